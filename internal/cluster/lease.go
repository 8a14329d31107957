package cluster

import (
	"time"

	"go.uber.org/atomic"
)

// lease tracks the validity of the process's lease on the monotonic clock. It is safe for concurrent use.
type lease struct {
	start         time.Time    // reference for end and lastGrantSent
	end           atomic.Int64 // nanoseconds since start; 0 before the first grant
	lastGrantSent atomic.Int64 // send time of the latest granted renewal, nanoseconds since start
}

func newLease() *lease {
	return &lease{start: time.Now()}
}

// renew records a renewal that was sent at the given time and granted for a duration from then. It never shortens the
// lease.
func (l *lease) renew(sent time.Time, duration time.Duration) {
	since := sent.Sub(l.start)
	l.lastGrantSent.Store(int64(since))
	end := int64(since + duration - leaseMargin)
	if end > l.end.Load() {
		l.end.Store(end)
	}
}

// valid reports whether the lease is valid now.
func (l *lease) valid() bool {
	return int64(time.Since(l.start)) < l.end.Load()
}

// sinceGrant returns the time since the latest granted renewal was sent, or since the start if there is none.
func (l *lease) sinceGrant() time.Duration {
	return time.Since(l.start) - time.Duration(l.lastGrantSent.Load())
}
