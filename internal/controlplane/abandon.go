package controlplane

import (
	"net/http"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// handleAbandon removes a store whose disk is permanently lost, although that may lose messages: takeovers no longer wait for the copies
// that it holds. A repeated request is acknowledged again.
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

// abandon removes a store before its copies are restored elsewhere. It returns a RequestError if the store is unknown or may hold a lease.
func (t *term) abandon(state *rpc.ControlState, node string, now time.Time) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	store := findStore(state.Stores, node)
	if store == nil {
		return reject(http.StatusNotFound, "there is no store machine %q: give a name that the status shows", node)
	}
	if isRemoved(store) {
		return nil
	}
	if t.isAlive(store, now) || !t.leases.ended(store.Node, store.Incarnation, now) {
		return reject(http.StatusConflict, "%q holds a lease or may hold one: retire it, or repeat the request once its machine is off", node)
	}
	markRemoved(store)
	state.MapVersion++
	return nil
}
