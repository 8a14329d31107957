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

// Bounds of the digests of applied change requests that the state holds.
const (
	maxAppliedDigests = 1024 // the oldest are dropped
	digestBytes       = 16   // size of each
)

// readTimeout bounds the wait for a majority to confirm that the state of this process is the latest. Callers give up
// after about 1 s.
const readTimeout = 800 * time.Millisecond

// replica is the part of failover.Node that gives access to the replicated state.
type replica interface {
	Propose(ctx context.Context, change func(old []byte) ([]byte, error)) error
	Read(ctx context.Context) error
	Status() failover.Status
	LeaseValid() bool
}

// replicatedState gives access to the replicated state as a ControlState. It caches the decoded state.
type replicatedState struct {
	replica replica

	mutex    sync.Mutex
	epoch    uint64 // with sequence, the version of the decoded state
	sequence uint64
	decoded  *rpc.ControlState
}

func newReplicatedState(replica replica) *replicatedState {
	return &replicatedState{replica: replica, decoded: &rpc.ControlState{}}
}

// readLatest returns the committed state once a majority has confirmed, after the call began, that this process leads: it
// includes every change acknowledged before the call. The caller must not modify it. Errors are those of failover.Node.Read.
func (s *replicatedState) readLatest() (*rpc.ControlState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := s.replica.Read(ctx); err != nil {
		return nil, err
	}
	return s.committed(), nil
}

// committed returns the latest committed state that this process knows. Other processes may know a later one: see
// readLatest. The caller must not modify it.
func (s *replicatedState) committed() *rpc.ControlState {
	status := s.replica.Status()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if status.StateEpoch == s.epoch && status.StateSeq == s.sequence {
		return s.decoded
	}
	decoded := &rpc.ControlState{}
	if err := proto.Unmarshal(status.State, decoded); err != nil {
		panic(errors.Wrap(err, "the committed state can't be decoded: restore the data directory of this process"))
	}
	s.epoch = status.StateEpoch
	s.sequence = status.StateSeq
	s.decoded = decoded
	return decoded
}

// leading reports whether this process holds a valid leader lease now.
func (s *replicatedState) leading() bool {
	return s.replica.LeaseValid()
}

// change commits a change of the state. The function gets a private copy of the state; if it returns an error, nothing is
// proposed, and the error is returned once a majority has confirmed that the copy was the latest state. The function may
// run while others read the committed state, and must not block.
func (s *replicatedState) change(ctx context.Context, change func(*rpc.ControlState) error) error {
	return s.replica.Propose(ctx, func(old []byte) ([]byte, error) {
		state := &rpc.ControlState{}
		if err := proto.Unmarshal(old, state); err != nil {
			return nil, errors.Wrap(err, "decode the state: restore the data directory of this process")
		}
		before := versionsOf(state)
		if err := change(state); err != nil {
			return nil, err
		}
		before.check(state)
		return proto.Marshal(state)
	})
}

// versions are the versions of a state that must never decrease.
type versions struct {
	config uint64
	table  uint64
}

func versionsOf(state *rpc.ControlState) versions {
	return versions{config: state.ConfigVersion, table: state.MapVersion}
}

// check panics if a change violated an invariant of the state: a version decreased, or there are too many digests.
func (f versions) check(state *rpc.ControlState) {
	if state.ConfigVersion < f.config || state.MapVersion < f.table {
		panic(errors.Errorf("a change decreased a version (config %d to %d, map %d to %d): report this as a defect",
			f.config, state.ConfigVersion, f.table, state.MapVersion))
	}
	if len(state.Taken) > maxAppliedDigests {
		panic(errors.New("the state holds more digests than the bound: report this as a defect"))
	}
}

// wasApplied reports whether a change request with this digest was applied. Digests stored by earlier versions are
// longer, so only their first bytes are compared.
func wasApplied(state *rpc.ControlState, digest []byte) bool {
	for _, taken := range state.Taken {
		if bytes.HasPrefix(taken.Digest, digest) {
			return true
		}
	}
	return false
}

// digestMayBeDropped reports whether a change request based on ifVersion may have been applied so long ago that its
// digest was dropped. The configuration that resulted from it was then older than that of every digest still held.
func digestMayBeDropped(state *rpc.ControlState, ifVersion uint64) bool {
	return len(state.Taken) >= maxAppliedDigests && ifVersion < state.Taken[0].Version
}

// recordApplied adds a digest and drops the oldest ones beyond maxAppliedDigests.
func recordApplied(state *rpc.ControlState, digest []byte) {
	state.Taken = append(state.Taken, &rpc.Taken{Digest: digest, Version: state.ConfigVersion})
	if excess := len(state.Taken) - maxAppliedDigests; excess > 0 {
		state.Taken = state.Taken[excess:]
	}
}
