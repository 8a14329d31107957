package controlplane

import (
	"context"

	"foldlb.example/foldlb/coord/failover"
)

// node is what this package uses of failover.Node.
type node interface {
	replica
	HandleVote(ctx context.Context, request failover.VoteRequest) (failover.VoteReply, error)
	HandleReplicate(ctx context.Context, request failover.ReplicateRequest) (failover.ReplicateReply, error)
	ProposeMembers(ctx context.Context, add *failover.Member, removeID string) error
	Resign()
	Close()
}

// outsider is the node of a process without a disk: it has no vote and no copy of the state, and sends
// callers to the leader.
type outsider struct{}

func (outsider) Propose(context.Context, func([]byte) ([]byte, error)) error {
	return failover.NotLeaderError{}
}

func (outsider) Read(context.Context) error {
	return failover.NotLeaderError{}
}

func (outsider) ProposeMembers(context.Context, *failover.Member, string) error {
	return failover.NotLeaderError{}
}

func (outsider) HandleVote(context.Context, failover.VoteRequest) (failover.VoteReply, error) {
	return failover.VoteReply{NotMember: true}, nil
}

func (outsider) HandleReplicate(context.Context, failover.ReplicateRequest) (failover.ReplicateReply, error) {
	return failover.ReplicateReply{NotMember: true}, nil
}

func (outsider) Status() failover.Status { return failover.Status{} }

func (outsider) LeaseValid() bool { return false }

func (outsider) Resign() {}

func (outsider) Close() {}
