package controlplane

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
)

// What the state keeps of the orders that were taken.
const (
	maxAppliedDigests = 1024 // orders, the newest
	digestBytes       = 16   // of the digest of each
)

// readTimeout bounds the wait for a majority to confirm that the state of this process is the newest. Callers move on after
// about a second.
const readTimeout = 800 * time.Millisecond

// replica is what this package uses of failover.Node.
type replica interface {
	Propose(ctx context.Context, change func(old []byte) ([]byte, error)) error
	Read(ctx context.Context) error
	Status() failover.Status
	LeaseValid() bool
}

// replicatedState gives typed access to the replicated state.
type replicatedState struct {
	replica replica

	mutex    sync.Mutex
	epoch    uint64 // version of the state that is decoded
	sequence uint64
	decoded  *rpc.ControlState
}

func newReplicatedState(replica replica) *replicatedState {
	return &replicatedState{replica: replica, decoded: &rpc.ControlState{}}
}

// newest returns the committed state once a majority has confirmed, after the call began, that this process leads: it
// holds all that was acknowledged by then. The caller must not change it. Errors are those of failover.Node.Read.
func (s *replicatedState) readLatest() (*rpc.ControlState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := s.replica.Read(ctx); err != nil {
		return nil, err
	}
	return s.committed(), nil
}

// committed returns the newest committed state that this process knows, which may not be the newest of all: see newest.
// The caller must not change it.
func (s *replicatedState) committed() *rpc.ControlState {
	status := s.replica.Status()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if status.StateEpoch == s.epoch && status.StateSeq == s.sequence {
		return s.decoded
	}
	decoded := &rpc.ControlState{}
	if err := proto.Unmarshal(status.State, decoded); err != nil {
		panic(errors.Wrap(err, "the committed state can't be read: restore the data folder of this process"))
	}
	s.epoch = status.StateEpoch
	s.sequence = status.StateSeq
	s.decoded = decoded
	return decoded
}

// leading reports whether this process holds the leader's lease at this moment.
func (s *replicatedState) leading() bool {
	return s.replica.LeaseValid()
}

// change commits a change of the state. The change gets a copy of its own; an error of it stops the proposal
// and is returned, once a majority has confirmed that the copy was the newest state. It may run while others read the
// committed state, and must not block.
func (s *replicatedState) change(ctx context.Context, change func(*rpc.ControlState) error) error {
	return s.replica.Propose(ctx, func(old []byte) ([]byte, error) {
		state := &rpc.ControlState{}
		if err := proto.Unmarshal(old, state); err != nil {
			return nil, errors.Wrap(err, "read the state: restore the data folder of this process")
		}
		before := versionsOf(state)
		if err := change(state); err != nil {
			return nil, err
		}
		before.check(state)
		return proto.Marshal(state)
	})
}

// figures are the versions of a state that may only rise.
type versions struct {
	config uint64
	table  uint64
}

func versionsOf(state *rpc.ControlState) versions {
	return versions{config: state.ConfigVersion, table: state.MapVersion}
}

// check panics where a change broke an invariant of the state.
func (f versions) check(state *rpc.ControlState) {
	if state.ConfigVersion < f.config || state.MapVersion < f.table {
		panic(errors.Errorf("a change lowered a version (config %d to %d, map %d to %d): report this as a defect",
			f.config, state.ConfigVersion, f.table, state.MapVersion))
	}
	if len(state.Taken) > maxAppliedDigests {
		panic(errors.New("more digests are kept than allowed: report this as a defect"))
	}
}

// wasApplied reports whether an order with this digest has been taken. Digests in older states are longer.
func wasApplied(state *rpc.ControlState, digest []byte) bool {
	for _, taken := range state.Taken {
		if bytes.HasPrefix(taken.Digest, digest) {
			return true
		}
	}
	return false
}

// digestMayBeDropped reports whether an order that builds on a version may have been taken so long ago that its digest was
// dropped. The configuration that it led to was then older than that of every order that is still known.
func digestMayBeDropped(state *rpc.ControlState, ifVersion uint64) bool {
	return len(state.Taken) >= maxAppliedDigests && ifVersion < state.Taken[0].Version
}

// recordApplied adds a digest and drops the oldest above the bound.
func recordApplied(state *rpc.ControlState, digest []byte) {
	state.Taken = append(state.Taken, &rpc.Taken{Digest: digest, Version: state.ConfigVersion})
	if excess := len(state.Taken) - maxAppliedDigests; excess > 0 {
		state.Taken = state.Taken[excess:]
	}
}
