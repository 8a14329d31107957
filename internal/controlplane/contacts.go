package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Contacts are control processes that have announced themselves to a leader.
const (
	maxContacts           = 64               // addresses that are kept
	contactRetention      = 10 * time.Minute // without an announcement, within one term
	contactSilenceTimeout = 2 * joinInterval // a process that has not announced itself for so long is told who leads
)

// otherAddresses lists the other control processes that this one knows of besides the voters: the seeds, then the contacts of the replicated
// state. Any of them may be gone.
func (s *Server) otherAddresses() []string {
	candidates := slices.Concat(s.settings().Seeds, s.state.committed().ControlAddresses)
	others := make([]string, 0, len(candidates))
	for _, address := range candidates {
		if address != s.address && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	return others
}

// runContacts keeps the control processes that announce themselves in the replicated state, and tells those that do not who leads, until the
// term ends. After a loss of power the voters alone hold the state: whoever asks a process that does not vote depends on this.
func (s *Server) runContacts(t *term) {
	lastSeen := make(map[string]time.Time) // when a contact announced itself, or since when it has been known in this term
	for {
		now := time.Now()
		recent := s.peers.recent(now)
		s.announceToSilentContacts(t.context, recent, now)
		s.saveContacts(t.context, recent, lastSeen, now)
		if !sleep(t.context, joinInterval) {
			return
		}
	}
}

// announceToSilentContacts announces this process as the leader to all others that have not announced themselves lately.
func (s *Server) announceToSilentContacts(ctx context.Context, recent []peer, now time.Time) {
	var calls sync.WaitGroup
	for _, address := range s.otherAddresses() {
		index := slices.IndexFunc(recent, func(p peer) bool { return p.address == address })
		if index >= 0 && now.Sub(recent[index].lastSeen) < contactSilenceTimeout {
			continue
		}
		calls.Go(func() {
			if s.state.leading() {
				_, _ = s.join(ctx, address, true) // one that is gone is told again
			}
		})
	}
	calls.Wait()
}

// saveContacts writes the contacts to the replicated state where they have changed.
func (s *Server) saveContacts(ctx context.Context, recent []peer, lastSeen map[string]time.Time, now time.Time) {
	known := s.state.committed().ControlAddresses
	planned := planContacts(known, recent, lastSeen, now)
	if slices.Equal(planned, known) || !s.state.leading() {
		return
	}
	proposing, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := s.state.change(proposing, func(state *rpc.ControlState) error {
		state.ControlAddresses = planned
		return nil
	})
	if err != nil {
		s.log.V(1).Info("the addresses of control processes were not kept", "error", err.Error())
	}
}

// planContacts returns the contacts to keep: those known but for the ones that have been silent for long, and those heard. Of more than
// maxContacts the ones silent for longest go. It notes in last when each was heard.
func planContacts(known []string, recent []peer, lastSeen map[string]time.Time, now time.Time) []string {
	planned := slices.Clone(known)
	for _, address := range known {
		if _, noted := lastSeen[address]; !noted {
			lastSeen[address] = now
		}
	}
	for _, announced := range recent {
		lastSeen[announced.address] = announced.lastSeen
		if !slices.Contains(planned, announced.address) {
			planned = append(planned, announced.address)
		}
	}
	planned = slices.DeleteFunc(planned, func(address string) bool { return now.Sub(lastSeen[address]) >= contactRetention })
	for len(planned) > maxContacts {
		oldest := slices.MinFunc(planned, func(left, right string) int { return lastSeen[left].Compare(lastSeen[right]) })
		planned = slices.DeleteFunc(planned, func(address string) bool { return address == oldest })
	}
	return planned
}
