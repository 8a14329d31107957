package workerconn

import (
	"errors"
	"math"
	"sync/atomic"
)

// errWriteNotAllowed means that a branch must not be sent any more. No byte of it was written.
var errWriteNotAllowed = errors.New("branch not allowed to be sent; nothing was written")

// fence holds the time from which on no new branch may be written. The reducer checks it when it decides on a branch,
// but a dial or a pause of the process may lie between that decision and the write.
type fence struct {
	until        atomic.Uint64 // float bits of the time in seconds on the dispatcher's clock; 0 for no fence
	blocked      atomic.Uint64 // branches not written because of the fence
	longestWrite atomic.Uint64 // float bits of the longest time in seconds between the last reading of the clock and the end of the write
}

// Fence sets the time from which on no branch may be written, in seconds on the dispatcher's clock. Positive infinity
// removes the fence.
func (s *Sender) Fence(until float64) {
	bits := math.Float64bits(until)
	if math.IsInf(until, 1) {
		bits = 0
	}
	s.fence.until.Store(bits)
}

// Fenced returns the number of branches that were decided on but not written because of the fence, and the longest
// time in seconds from the last reading of the clock to the end of a write, which is how late after the fence a write
// may have ended at most.
func (s *Sender) Fenced() (branches uint64, longest float64) {
	return s.fence.blocked.Load(), math.Float64frombits(s.fence.longestWrite.Load())
}

func noop() {}

// authorizeWrite is called right before the first byte of a branch, and nothing else permits a branch to be written. It
// returns errWriteNotAllowed if
//   - the branch was cancelled: its request was answered, its worker is excluded or draining, or this process is stopping,
//   - the branch's time, or the time within which its class allows a retry, is over,
//   - the caller has closed its connection, even if the reducer has not been notified yet, or
//   - this dispatcher is fenced.
//
// Otherwise the branch counts as written: from here on the worker may have run it. The caller must call wrote when the
// write has returned. A process that is stopped between this check and the write sends when it resumes; no later check
// is possible.
func (s *Sender) authorizeWrite(x *exchange) (wrote func(), err error) {
	now := s.clock()
	if before := x.branch.Before; now >= x.branch.Until || before > 0 && now > before || x.branch.Exchange != 0 && !s.callerPresent(x.branch.Exchange) {
		return nil, errWriteNotAllowed
	}
	bits := s.fence.until.Load()
	if bits != 0 && now >= math.Float64frombits(bits) {
		s.fence.blocked.Add(1)
		return nil, errWriteNotAllowed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.cancelled {
		return nil, errWriteNotAllowed
	}
	x.written = true
	if bits == 0 {
		return noop, nil
	}
	return func() {
		took := math.Float64bits(s.clock() - now) // for non-negative floats, the order of the bits is that of the values
		for {
			most := s.fence.longestWrite.Load()
			if took <= most || s.fence.longestWrite.CompareAndSwap(most, took) {
				return
			}
		}
	}, nil
}
