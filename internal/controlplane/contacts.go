package controlplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Contacts are the control processes that have sent a Join to a leader. Their addresses are part of the replicated state.
const (
	maxContacts           = 64               // addresses in the replicated state
	contactRetention      = 10 * time.Minute // since the last Join, within one term
	contactSilenceTimeout = 2 * joinInterval // after which the leader announces itself to a process that sent no Join
)

// otherAddresses returns the addresses of the other control processes that this one knows of besides the voters: the seeds, then the
// contacts in the replicated state. Any of them may no longer exist.
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

// runContacts saves the control processes that send a Join as contacts, and announces this process as the leader to those that do not, until
// the term ends. After a power loss only the voters hold the state; processes without a vote, and whoever calls them, learn the leader in
// this way.
func (s *Server) runContacts(t *term) {
	lastSeen := make(map[string]time.Time) // by address: the last Join in this term, else when the contact was first seen
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

// announceToSilentContacts announces this process as the leader to all others that sent no Join within contactSilenceTimeout.
func (s *Server) announceToSilentContacts(ctx context.Context, recent []peer, now time.Time) {
	var calls sync.WaitGroup
	for _, address := range s.otherAddresses() {
		index := slices.IndexFunc(recent, func(p peer) bool { return p.address == address })
		if index >= 0 && now.Sub(recent[index].seenAt) < contactSilenceTimeout {
			continue
		}
		calls.Go(func() {
			if s.state.leading() {
				_, _ = s.join(ctx, address, true) // retried in the next round
			}
		})
	}
	calls.Wait()
}

// saveContacts writes the contacts to the replicated state if they have changed.
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
		s.log.V(1).Info("the addresses of control processes were not saved", "error", err.Error())
	}
}

// planContacts returns the contacts to save: the known ones without those silent for contactRetention, and the recent ones. Beyond
// maxContacts, those silent for longest are dropped. It updates lastSeen.
func planContacts(known []string, recent []peer, lastSeen map[string]time.Time, now time.Time) []string {
	planned := slices.Clone(known)
	for _, address := range known {
		if _, noted := lastSeen[address]; !noted {
			lastSeen[address] = now
		}
	}
	for _, announced := range recent {
		lastSeen[announced.address] = announced.seenAt
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
