package controlplane

import (
	"net/http"

	"foldlb.example/foldlb/internal/rpc"
)

// Words of the operator's API for the progress of a retirement.
const (
	retirementRunning   = "running"
	retirementCompleted = "completed"
)

// retirementResponse tells how far the emptying of a machine is.
type retirementResponse struct {
	State string `json:"state"`
}

// handleRetireStart takes the order to empty a store machine. A repeated order is acknowledged again.
func (s *Server) handleRetireStart(writer http.ResponseWriter, request *http.Request) {
	if _, err := readBody(writer, request); err != nil {
		s.respond(writer, request, err, nil)
		return
	}
	node := request.PathValue("node")
	err := s.changeState(func(state *rpc.ControlState) error {
		return startRetirement(state, node, s.requiredCopies())
	})
	s.wakePlanner()
	s.respond(writer, request, err, okResponse{})
}

// startRetirement marks a store as leaving: its partitions move, and its copies count as missing.
func startRetirement(state *rpc.ControlState, node string, copies int) error {
	if findRetirement(state.Retirements, node) != nil {
		return nil
	}
	store := findStore(state.Stores, node)
	if store == nil || isRemoved(store) {
		return reject(http.StatusNotFound, "no store machine is called %q: give the name of one that takes part", node)
	}
	left := 0
	for _, other := range activeStores(state) {
		if other.Node != node && other.Whole && !other.Leaving {
			left++
		}
	}
	if left < copies {
		return reject(http.StatusConflict,
			"%d whole stores would be left and %d are needed: add store machines first", left, copies)
	}
	store.Leaving = true
	state.Retirements = append(state.Retirements, &rpc.Retirement{Node: node})
	state.MapVersion++
	return nil
}

// handleRetireRead tells how far the emptying of a machine is.
func (s *Server) handleRetireRead(writer http.ResponseWriter, request *http.Request) {
	node := request.PathValue("node")
	state, err := s.state.readLatest()
	if err != nil {
		s.respond(writer, request, err, nil)
		return
	}
	retirement := findRetirement(state.Retirements, node)
	if retirement == nil {
		s.respond(writer, request, reject(http.StatusNotFound, "%q was never asked to retire: start it first", node), nil)
		return
	}
	s.respond(writer, request, nil, retirementResponse{State: retirementState(retirement)})
}

func retirementState(retirement *rpc.Retirement) string {
	if retirement.Completed {
		return retirementCompleted
	}
	return retirementRunning
}
