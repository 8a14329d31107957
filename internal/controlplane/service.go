package controlplane

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"foldlb.example/foldlb/internal/rpc"
)

// Roles of members in RenewRequest.Role.
const (
	roleStore      = "store"
	roleDispatcher = "dispatcher"
)

// releaseTimeout bounds the wait of a Release call for the new map to be committed.
const releaseTimeout = time.Second

// service implements rpc.Control on a Server.
type service struct {
	server *Server
}

// Vote implements rpc.Control.
func (s *service) Vote(ctx context.Context, request *rpc.VoteRequest) (*rpc.VoteReply, error) {
	reply, err := s.server.node.HandleVote(ctx, voteFromWire(request))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpc.VoteReply{Granted: reply.Granted, Epoch: reply.Epoch, NotMember: reply.NotMember}, nil
}

// Replicate implements rpc.Control.
func (s *service) Replicate(ctx context.Context, request *rpc.ReplicateRequest) (*rpc.ReplicateReply, error) {
	decoded, err := replicateFromWire(request)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	reply, err := s.server.node.HandleReplicate(ctx, decoded)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpc.ReplicateReply{
		Ok:          reply.Ok,
		Epoch:       reply.Epoch,
		StateEpoch:  reply.StateEpoch,
		StateSeq:    reply.StateSeq,
		NotMember:   reply.NotMember,
		Incarnation: reply.Incarnation,
	}, nil
}

// Join implements rpc.Control.
func (s *service) Join(_ context.Context, request *rpc.JoinRequest) (*rpc.JoinReply, error) {
	server := s.server
	server.callCounts.joins.Add(1)
	leading := server.state.leading()
	switch {
	case leading:
		server.peers.record(request, time.Now())
	case request.Leads:
		server.setLeaderHint(request.Address)
	}
	return &rpc.JoinReply{
		Leader:        leading,
		LeaderAddress: server.leaderAddress(),
		Members:       membersToWire(server.node.Status().Members),
	}, nil
}

// Renew implements rpc.Control.
func (s *service) Renew(_ context.Context, request *rpc.RenewRequest) (*rpc.RenewReply, error) {
	server := s.server
	server.callCounts.renewals.Add(1)
	term := server.currentTerm()
	outcome := renewal{}
	if term != nil && server.state.leading() {
		outcome = server.renew(term, request)
	}
	// The leader's lease is checked again after the grant was recorded and the version was read: a later leader starts
	// only after this lease has ended, so no other process has acknowledged a configuration until now.
	newest := server.state.committed().ConfigVersion
	leading := server.state.leading()
	reply := &rpc.RenewReply{
		Granted:          outcome.granted && leading && server.currentTerm() == term,
		Leader:           leading,
		LeaderAddress:    server.leaderAddress(),
		ControlAddresses: server.controlAddresses(),
	}
	if term != nil {
		reply.LeaderEpoch = term.epoch
	}
	if leading {
		reply.ConfigVersion = newest
	}
	if reply.Granted {
		reply.LeaseMs = outcome.duration.Milliseconds()
	}
	return reply, nil
}

func (s *Server) renew(t *term, request *rpc.RenewRequest) renewal {
	now := time.Now()
	switch request.Role {
	case roleStore:
		outcome := t.renewStore(s.state.committed(), request, now)
		if outcome.notifyPlanner {
			s.wakePlanner()
		}
		return outcome
	case roleDispatcher:
		t.renewDispatcher(request, now)
		return renewal{granted: true, duration: s.storeLease}
	default:
		return renewal{}
	}
}

// Release implements rpc.Control. It replies once the new map is committed, or with Ok unset after releaseTimeout.
func (s *service) Release(ctx context.Context, request *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	term := s.server.currentTerm()
	if term == nil || !s.server.state.leading() {
		return &rpc.ReleaseReply{}, nil
	}
	queued := term.addRelease(request)
	s.server.wakePlanner()
	waiting, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	select {
	case <-queued.done:
		return &rpc.ReleaseReply{Ok: true}, nil
	case <-term.context.Done():
		return &rpc.ReleaseReply{}, nil
	case <-waiting.Done():
		return &rpc.ReleaseReply{}, nil
	}
}
