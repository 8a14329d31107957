package controlplane

import (
	"context"

	"foldlb.example/foldlb/coord/failover"
)

// node is the part of failover.Node that this package uses.
type node interface {
	replica
	HandleVote(ctx context.Context, request failover.VoteRequest) (failover.VoteReply, error)
	HandleReplicate(ctx context.Context, request failover.ReplicateRequest) (failover.ReplicateReply, error)
	ProposeMembers(ctx context.Context, add *failover.Member, removeID string) error
	Resign()
	Close()
}

// disklessNode is the node of a process without a disk: it has no vote and no copy of the state, and fails every
// proposal and read with failover.NotLeaderError, so that callers are redirected to the leader.
type disklessNode struct{}

func (disklessNode) Propose(context.Context, func([]byte) ([]byte, error)) error {
	return failover.NotLeaderError{}
}

func (disklessNode) Read(context.Context) error {
	return failover.NotLeaderError{}
}

func (disklessNode) ProposeMembers(context.Context, *failover.Member, string) error {
	return failover.NotLeaderError{}
}

func (disklessNode) HandleVote(context.Context, failover.VoteRequest) (failover.VoteReply, error) {
	return failover.VoteReply{NotMember: true}, nil
}

func (disklessNode) HandleReplicate(context.Context, failover.ReplicateRequest) (failover.ReplicateReply, error) {
	return failover.ReplicateReply{NotMember: true}, nil
}

func (disklessNode) Status() failover.Status { return failover.Status{} }

func (disklessNode) LeaseValid() bool { return false }

func (disklessNode) Resign() {}

func (disklessNode) Close() {}
