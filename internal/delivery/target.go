package delivery

import (
	"slices"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	failureMemory = 8.0  // answers of a worker that its part of failed ones is of
	laneMemory    = 64.0 // answers of a service likewise
	blameFrom     = 0.3  // part of failed answers from which a worker may be at fault itself
	blameTimes    = 2.0  // if it is this many times the service's
)

// target is a worker, or a static endpoint, with the connections to it. It is guarded by the engine's lock.
type target struct {
	key     string // how the decision module knows it
	id      string // for X-Expect-Instance; empty for a static endpoint
	address string
	zone    string
	lane    *lane
	ready   bool          // may be sent to: listed, not draining, and the worker that it is taken for
	coldTo  time.Duration // until when it is slow after its start

	misdirected bool // another worker answers at its address, as far as the newest list goes

	idle        []*conn // the one used last is at the end
	open        int     // connections, with those being opened
	failedShare float64 // of the last answers that were 500
}

// update takes the worker's entry of a new list.
func (t *target) update(w *rpc.Worker) {
	t.zone = w.Zone
	t.ready = !w.Draining && !t.misdirected
}

// take reserves a connection for a job: an idle one, or the right to open one (nil). It tells false when all are in use.
func (t *target) take(now time.Duration, job *Job) (c *conn, ok bool) {
	if c = t.takeIdle(now, job); c != nil {
		return c, true
	}
	if t.open >= t.lane.connectionLimit() {
		return nil, t.swapIdle()
	}
	if !t.lane.engine.makeRoom() {
		return nil, false
	}
	t.open++
	t.lane.engine.open++
	return nil, true
}

// takeIdle takes the idle connection used last that may carry the job; nil for none.
func (t *target) takeIdle(now time.Duration, job *Job) *conn {
	for i := len(t.idle) - 1; i >= 0; i-- {
		c := t.idle[i]
		if now >= c.closeAt || c.carriedBefore(job.RequestID) {
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		return c
	}
	return nil
}

// swapIdle closes an idle connection, so that a new one may be opened in its place; false if there is none.
func (t *target) swapIdle() bool {
	if len(t.idle) == 0 {
		return false
	}
	t.idle[0].close()
	t.idle = slices.Delete(t.idle, 0, 1)
	return true
}

// release gives a reserved connection back: c is kept if it is not nil.
func (t *target) release(c *conn) {
	if c == nil || !t.ready || t.lane.engine.closed || t.open > t.lane.connectionLimit() {
		if c != nil {
			c.close()
		}
		t.forget()
		return
	}
	t.idle = append(t.idle, c)
	t.lane.engine.sweepSoon()
}

// forget gives up the place of a connection that was closed or not opened.
func (t *target) forget() {
	t.open--
	t.lane.engine.open--
	t.lane.engine.expect(t.open >= len(t.idle), "each connection gives up its place once")
}

// closeIdle closes the idle connections that match.
func (t *target) closeIdle(match func(*conn) bool) {
	closed := 0
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		if !match(c) {
			return false
		}
		c.close()
		closed++
		return true
	})
	for range closed {
		t.forget()
	}
}

// answered enters whether an answer was a failure, and tells whether the worker is to be blamed for it. Messages that fail
// at every worker say nothing of the one that they were sent to.
func (t *target) answered(failed bool) (blamed bool) {
	was := 0.0
	if failed {
		was = 1
	}
	t.failedShare += (was - t.failedShare) / failureMemory
	t.lane.failedShare += (was - t.lane.failedShare) / laneMemory
	return failed && t.failedShare >= blameFrom && t.failedShare >= blameTimes*t.lane.failedShare
}
