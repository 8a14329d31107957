package controlplane

import (
	"strings"
	"sync"
	"time"
)

const (
	linkWindowBytes   = 64 << 10 // bytes of one connection that may be queued on a link
	callOverheadBytes = 400      // bytes of the headers of a request or response
	replicatePath     = "/Replicate"
)

// simLinks are the outgoing links of machines. Everything that a machine sends is queued on its link and sent at one rate.
type simLinks struct {
	rate float64 // bytes per second

	mutex         sync.Mutex
	idleFrom      map[string]time.Time // by address: when the link has sent everything that is queued
	streamed      int                  // bytes of all streams
	heartbeatWait time.Duration        // longest time that a heartbeat or its response was queued
}

func newSimLinks(rate float64) *simLinks {
	return &simLinks{rate: rate, idleFrom: map[string]time.Time{}}
}

// send returns once the given number of bytes has been sent.
func (l *simLinks) send(from, path string, length int) {
	if l == nil {
		return
	}
	for length += callOverheadBytes; length > 0; length -= linkWindowBytes {
		time.Sleep(l.enqueue(from, path, min(length, linkWindowBytes)))
	}
}

// enqueue queues bytes on a link and returns the time until they are sent.
func (l *simLinks) enqueue(from, path string, length int) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	waits := max(l.idleFrom[from].Sub(now), 0)
	if strings.HasSuffix(path, replicatePath) {
		l.heartbeatWait = max(l.heartbeatWait, waits)
	}
	left := waits + time.Duration(float64(length)/l.rate*float64(time.Second))
	l.idleFrom[from] = now.Add(left)
	if path == streamPath {
		l.streamed += length
	}
	return left
}

// streamedBytes returns the number of bytes sent on all streams.
func (l *simLinks) streamedBytes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.streamed
}

// longestHeartbeatWait returns the longest queueing time of a heartbeat since the previous call.
func (l *simLinks) longestHeartbeatWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	longest := l.heartbeatWait
	l.heartbeatWait = 0
	return longest
}
