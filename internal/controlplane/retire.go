package controlplane

import (
	"net/http"

	"foldlb.example/foldlb/internal/rpc"
)

// Values of retirementResponse.State.
const (
	retirementRunning   = "running"
	retirementCompleted = "completed"
)

// retirementResponse is the progress of a retirement: the machine's partitions and copies are moved to other stores.
type retirementResponse struct {
	State string `json:"state"`
}

// handleRetireStart starts the retirement of a store machine. A repeated request is acknowledged again.
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

// startRetirement marks a store as leaving: its partitions are moved, and its copies count as missing. It returns a
// RequestError if the store is unknown or fewer than copies whole stores would remain.
func startRetirement(state *rpc.ControlState, node string, copies int) error {
	if findRetirement(state.Retirements, node) != nil {
		return nil
	}
	store := findStore(state.Stores, node)
	if store == nil || isRemoved(store) {
		return reject(http.StatusNotFound, "there is no store machine %q: give the name of an active one", node)
	}
	left := 0
	for _, other := range activeStores(state) {
		if other.Node != node && other.Whole && !other.Leaving {
			left++
		}
	}
	if left < copies {
		return reject(http.StatusConflict,
			"%d whole stores would remain and %d are needed: add store machines first", left, copies)
	}
	store.Leaving = true
	state.Retirements = append(state.Retirements, &rpc.Retirement{Node: node})
	state.MapVersion++
	return nil
}

// handleRetireRead responds with the progress of a retirement.
func (s *Server) handleRetireRead(writer http.ResponseWriter, request *http.Request) {
	node := request.PathValue("node")
	state, err := s.state.readLatest()
	if err != nil {
		s.respond(writer, request, err, nil)
		return
	}
	retirement := findRetirement(state.Retirements, node)
	if retirement == nil {
		s.respond(writer, request, reject(http.StatusNotFound, "%q has no retirement: start it first", node), nil)
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
