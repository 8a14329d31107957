package workerconn

import (
	"errors"
	"math"
	"sync/atomic"
)

// errCalledOff says that a branch must not be written any more: no byte of it was.
var errCalledOff = errors.New("called off before the request was written")

// fence is the time from which on nothing new may be written. The reducer asks as it decides; a dial, or a stop of the process, may lie
// between that and the write.
type fence struct {
	until   atomic.Uint64 // bits of the time on the dispatcher's clock; 0 for no fence
	stopped atomic.Uint64 // branches that were not written for it
	longest atomic.Uint64 // bits of the longest time, in seconds, from the last look at the clock until a write had returned
}

// Fence says from when on nothing new may be written: seconds on the dispatcher's clock, positive infinity for never.
func (s *Sender) Fence(until float64) {
	bits := math.Float64bits(until)
	if math.IsInf(until, 1) {
		bits = 0
	}
	s.fence.until.Store(bits)
}

// Fenced counts the branches that were decided on and not written, since this dispatcher was shut out in between, and tells the longest time in
// seconds that passed from the last look at the clock until a write had returned: what may be written late at the most.
func (s *Sender) FenceStats() (branches uint64, longest float64) {
	return s.fence.stopped.Load(), math.Float64frombits(s.fence.longest.Load())
}

func nothing() {}

// lastWord is asked in the last moment before a branch's first byte, and is the only place that lets one be written. What forbids it: the
// branch was given up or dropped (its request answered, its worker out or draining, this process stopping); its time, or the time within which its
// class allows a repeat, is over; its caller has closed the connection, whether or not the reducer has heard; this dispatcher is shut out.
// Where it allows, the branch counts as written: it may have run from here on. wrote must be called when the write has returned.
// Danger: a process that is stopped after this look writes when it wakes; there is no later moment to look at.
func (s *Sender) lastWord(x *exchange) (wrote func(), err error) {
	now := s.clock()
	if before := x.branch.Before; now >= x.branch.Until || before > 0 && now > before || x.branch.Exchange != 0 && !s.asks(x.branch.Exchange) {
		return nil, errCalledOff
	}
	bits := s.fence.until.Load()
	if bits != 0 && now >= math.Float64frombits(bits) {
		s.fence.stopped.Add(1)
		return nil, errCalledOff
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.over {
		return nil, errCalledOff
	}
	x.written = true
	if bits == 0 {
		return nothing, nil
	}
	return func() {
		took := math.Float64bits(s.clock() - now) // of numbers that are not negative, the bits have the same order
		for {
			most := s.fence.longest.Load()
			if took <= most || s.fence.longest.CompareAndSwap(most, took) {
				return
			}
		}
	}, nil
}
