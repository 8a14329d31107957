package delivery

import (
	"slices"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	workerFailureWindow  = 8.0  // responses over which a worker's failure rate is averaged
	serviceFailureWindow = 64.0 // responses over which a service's failure rate is averaged
	blameMinFailureRate  = 0.3  // a worker's failure rate from which the worker may be at fault
	blameMinRatio        = 2.0  // if it is also this multiple of the service's failure rate
)

// target is a worker or a static endpoint, with the connections to it. It is guarded by the engine's lock.
type target struct {
	key       string // identifies it in the decision module
	id        string // value of X-Expect-Instance; empty for a static endpoint
	address   string
	zone      string
	service   *service
	ready     bool          // may be sent to: listed, not draining, not misdirected
	coldUntil time.Duration // the worker counts as cold before this time

	misdirected bool // a response of 421 since the newest worker list: another worker has this address

	idleConns   []*conn // most recently used last
	openConns   int     // connections, including those being opened
	failureRate float64 // moving average of responses with status 500, 0 to 1
}

// update applies the worker's entry in a new list.
func (t *target) update(w *rpc.Worker) {
	t.zone = w.Zone
	t.ready = !w.Draining && !t.misdirected
}

// reserveConn reserves a connection for a job: an idle one, or a slot to open one (nil). ok is false if all are in use.
func (t *target) reserveConn(now time.Duration, job *Job) (c *conn, ok bool) {
	if c = t.popIdleConn(now, job); c != nil {
		return c, true
	}
	if t.openConns >= t.service.maxConnsPerWorker() {
		return nil, t.closeOldestIdleConn()
	}
	if !t.service.engine.ensureSocketAvailable() {
		return nil, false
	}
	t.openConns++
	t.service.engine.openConns++
	return nil, true
}

// popIdleConn removes and returns the most recently used idle connection that may carry the job, or nil if there is none.
func (t *target) popIdleConn(now time.Duration, job *Job) *conn {
	for i := len(t.idleConns) - 1; i >= 0; i-- {
		c := t.idleConns[i]
		if now >= c.idleDeadline || c.hasUnsuccessful(job.RequestID) {
			continue
		}
		t.idleConns = slices.Delete(t.idleConns, i, i+1)
		return c
	}
	return nil
}

// closeOldestIdleConn closes the least recently used idle connection, so that its slot can be used for a new one. It returns
// false if there is none.
func (t *target) closeOldestIdleConn() bool {
	if len(t.idleConns) == 0 {
		return false
	}
	t.idleConns[0].close()
	t.idleConns = slices.Delete(t.idleConns, 0, 1)
	return true
}

// releaseConn returns a reservation. The connection c is kept idle if it is not nil and may still be used.
func (t *target) releaseConn(c *conn) {
	if c == nil || !t.ready || t.service.engine.closed || t.openConns > t.service.maxConnsPerWorker() {
		if c != nil {
			c.close()
		}
		t.releaseConnSlot()
		return
	}
	t.idleConns = append(t.idleConns, c)
	t.service.engine.scheduleIdleSweep()
}

// releaseConnSlot releases the slot of a connection that was closed or never opened.
func (t *target) releaseConnSlot() {
	t.openConns--
	t.service.engine.openConns--
	t.service.engine.checkInvariant(t.openConns >= len(t.idleConns), "each connection slot is released once")
}

// closeIdleConns closes the idle connections that match.
func (t *target) closeIdleConns(match func(*conn) bool) {
	closed := 0
	t.idleConns = slices.DeleteFunc(t.idleConns, func(c *conn) bool {
		if !match(c) {
			return false
		}
		c.close()
		closed++
		return true
	})
	for range closed {
		t.releaseConnSlot()
	}
}

// answered records whether a response was a failure, and reports whether the worker is likely at fault. Messages that fail on
// every worker do not count against the worker that they were sent to.
func (t *target) answered(failed bool) (blamed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	t.failureRate += (sample - t.failureRate) / workerFailureWindow
	t.service.failureRate += (sample - t.service.failureRate) / serviceFailureWindow
	return failed && t.failureRate >= blameMinFailureRate && t.failureRate >= blameMinRatio*t.service.failureRate
}
