package controlplane

import (
	"net/http"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// handleAbandon takes the order to go on without a store whose disk will not come back, although that may cost messages: takeovers no
// longer wait for what it holds. A repeated order is acknowledged again.
func (s *Server) handleAbandon(writer http.ResponseWriter, request *http.Request) {
	if _, err := readBody(writer, request); err != nil {
		s.respond(writer, request, err, nil)
		return
	}
	term := s.currentTerm()
	if term == nil {
		s.redirectToLeader(writer, request)
		return
	}
	node := request.PathValue("node")
	err := s.changeState(func(state *rpc.ControlState) error {
		return term.abandon(state, node, time.Now())
	})
	s.wakePlanner()
	s.respond(writer, request, err, okResponse{})
}

// abandon gives a store up before its copies were restored elsewhere. One that holds a lease, or may, is none to abandon.
func (t *term) abandon(state *rpc.ControlState, node string, now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	store := findStore(state.Stores, node)
	if store == nil {
		return reject(http.StatusNotFound, "no store machine is called %q: give the name that the status shows", node)
	}
	if isRemoved(store) {
		return nil
	}
	if t.isAlive(store, now) || !t.leases.ended(store.Node, store.Incarnation, now) {
		return reject(http.StatusConflict, "%q holds a lease or may hold one: retire it, or ask again once its machine is off", node)
	}
	markRemoved(store)
	state.MapVersion++
	return nil
}
