package nexthop

import (
	"errors"
	"math"
	"sync/atomic"
)

// errFenced says that this dispatcher may send nothing new any more.
var errFenced = errors.New("shut out before the request was written")

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
func (s *Sender) Fenced() (branches uint64, longest float64) {
	return s.fence.stopped.Load(), math.Float64frombits(s.fence.longest.Load())
}

func nothing() {}

// mayWrite is asked in the last moment before a write. Danger: a process that is stopped after this look writes when it wakes; there is no later
// moment to look at.
func (s *Sender) mayWrite() (wrote func(), err error) {
	bits := s.fence.until.Load()
	if bits == 0 {
		return nothing, nil
	}
	now := s.clock()
	if now >= math.Float64frombits(bits) {
		s.fence.stopped.Add(1)
		return nil, errFenced
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
