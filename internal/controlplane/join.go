package controlplane

import (
	"context"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	joinInterval      = 500 * time.Millisecond
	joinRetryInterval = 500 * time.Millisecond // while no leader is known
	joinTimeout       = 700 * time.Millisecond
	hintExpiry        = 5 * time.Second // of a leaderHint

	// searchLogDelay is how long this process must have found no leader before it logs that.
	searchLogDelay = 3 * time.Second
)

// leaderHint is the leader's address as received from another process.
type leaderHint struct {
	address    string
	receivedAt time.Time
}

// runJoin announces this process to the leader until the context ends.
func (s *Server) runJoin(ctx context.Context) {
	search := leaderSearch{lastReachedAt: time.Now()}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		pause := joinInterval
		reached := s.state.leading() || s.announce(ctx, attempt)
		if !reached {
			pause = joinRetryInterval
		}
		s.logSearch(&search, reached, time.Now())
		if !sleep(ctx, pause) {
			return
		}
	}
}

// leaderSearch tracks how long this process has found no leader.
type leaderSearch struct {
	lastReachedAt time.Time // when the leader was last reached, initially the start of the process
	logged        bool      // whether it was logged that no leader is found
}

// logSearch logs when no leader has been found for searchLogDelay, and when one is found again.
func (s *Server) logSearch(search *leaderSearch, reached bool, now time.Time) {
	elapsed := now.Sub(search.lastReachedAt).Round(time.Millisecond).String()
	switch {
	case reached && search.logged:
		s.log.Info("found a leader again", "after", elapsed, "leader", s.leaderAddress())
		*search = leaderSearch{lastReachedAt: now}
	case reached:
		search.lastReachedAt = now
	case !search.logged && now.Sub(search.lastReachedAt) >= searchLogDelay:
		search.logged = true
		s.log.Info("found no leader; add a control process that can reach the leader to the seeds", "for", elapsed, "seeds", s.settings().Seeds)
	}
}

// announce sends one Join, to the known leader or else to the next of the other addresses, and reports whether it
// reached the leader.
func (s *Server) announce(ctx context.Context, attempt int) bool {
	target := s.remoteLeader()
	if others := s.otherAddresses(); target == "" && len(others) > 0 {
		target = others[attempt%len(others)]
	}
	if target == "" {
		return false
	}
	reply, err := s.join(ctx, target, false)
	if err != nil {
		s.clearLeaderHint(target)
		return false
	}
	if reply.Leader {
		s.setLeaderHint(target)
		return true
	}
	if reply.LeaderAddress != s.address {
		s.setLeaderHint(reply.LeaderAddress)
	}
	return false
}

// join sends a Join for this process to another one; leads states that this process is the leader.
func (s *Server) join(ctx context.Context, target string, leads bool) (*rpc.JoinReply, error) {
	calling, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return s.client(target).Join(calling, s.joinRequest(leads))
}

// joinRequest returns a JoinRequest that describes this process.
func (s *Server) joinRequest(leads bool) *rpc.JoinRequest {
	return &rpc.JoinRequest{
		Id: s.identity(), Address: s.address, Zone: s.zone, Disk: s.hasDisk, Leads: leads, StoreLeaseMs: s.storeLease.Milliseconds(),
	}
}

func (s *Server) setLeaderHint(address string) {
	if address == "" {
		return
	}
	s.hint.Store(&leaderHint{address: address, receivedAt: time.Now()})
}

// clearLeaderHint drops the hint if it names the given address, which does not respond.
func (s *Server) clearLeaderHint(address string) {
	if hint := s.hint.Load(); hint != nil && hint.address == address {
		s.hint.CompareAndSwap(hint, nil)
	}
}

// remoteLeader returns the address of the leader if it is known and is another process, else "".
func (s *Server) remoteLeader() string {
	address := s.node.Status().LeaderAddress
	if address == "" {
		if hint := s.hint.Load(); hint != nil && time.Since(hint.receivedAt) < hintExpiry {
			address = hint.address
		}
	}
	if address == s.address {
		return ""
	}
	return address
}

// leaderAddress returns the address of the leader, which may be this process, or "" if it isn't known.
func (s *Server) leaderAddress() string {
	if s.state.leading() {
		return s.address
	}
	return s.remoteLeader()
}

// controlAddresses returns the sorted addresses of the control processes that callers may use: this process, the voters
// and the known peers.
func (s *Server) controlAddresses() []string {
	addresses := []string{s.address}
	for _, member := range s.node.Status().Members {
		addresses = append(addresses, member.Address)
	}
	for _, known := range s.peers.recent(time.Now()) {
		addresses = append(addresses, known.address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
