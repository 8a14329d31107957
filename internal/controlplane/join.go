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
	hintExpiry        = 5 * time.Second // of the leader's address as another process told it

	// searchLogDelay is for how long this process finds no leader before it says so.
	searchLogDelay = 3 * time.Second
)

// leaderHint is the leader's address as another process told it.
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

// leaderSearch is since when this process has found no leader.
type leaderSearch struct {
	lastReachedAt time.Time // when the leader was reached last, or the start
	logged        bool      // it was logged that none is found
}

// logSearch logs that no leader is found, and that one is found again.
func (s *Server) logSearch(search *leaderSearch, reached bool, now time.Time) {
	elapsed := now.Sub(search.lastReachedAt).Round(time.Millisecond).String()
	switch {
	case reached && search.logged:
		s.log.Info("a leader is found again", "after", elapsed, "leader", s.leaderAddress())
		*search = leaderSearch{lastReachedAt: now}
	case reached:
		search.lastReachedAt = now
	case !search.logged && now.Sub(search.lastReachedAt) >= searchLogDelay:
		search.logged = true
		s.log.Info("no leader is found; name a control process that reaches it among the seeds", "for", elapsed, "seeds", s.settings().Seeds)
	}
}

// announce sends one Join and reports whether it reached the leader.
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

// join tells a process of this one, and that it leads where it does.
func (s *Server) join(ctx context.Context, target string, leads bool) (*rpc.JoinReply, error) {
	calling, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return s.client(target).Join(calling, s.joinRequest(leads))
}

// joinRequest describes this process.
func (s *Server) joinRequest(leads bool) *rpc.JoinRequest {
	return &rpc.JoinRequest{
		Id: s.identity(), Address: s.address, Zone: s.zone, Disk: s.hasDisk, Leads: leads, StoreLeaseMs: s.storeLease.Milliseconds(),
	}
}

func (s *Server) setLeaderHint(address string) {
	if address == "" {
		return
	}
	s.leaderHint.Store(&leaderHint{address: address, receivedAt: time.Now()})
}

// clearLeaderHint drops what was told of a leader that doesn't answer.
func (s *Server) clearLeaderHint(address string) {
	if hint := s.leaderHint.Load(); hint != nil && hint.address == address {
		s.leaderHint.CompareAndSwap(hint, nil)
	}
}

// remoteLeader returns the address of the leader if it is known and another process, else empty.
func (s *Server) remoteLeader() string {
	address := s.node.Status().LeaderAddress
	if address == "" {
		if hint := s.leaderHint.Load(); hint != nil && time.Since(hint.receivedAt) < hintExpiry {
			address = hint.address
		}
	}
	if address == s.address {
		return ""
	}
	return address
}

// leaderAddress returns the address of the leader, this process included; empty where it isn't known.
func (s *Server) leaderAddress() string {
	if s.state.leading() {
		return s.address
	}
	return s.remoteLeader()
}

// controlAddresses lists the control processes that callers may turn to, in rising order.
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
