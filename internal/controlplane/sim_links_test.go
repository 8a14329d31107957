package controlplane

import (
	"strings"
	"sync"
	"time"
)

const (
	linkWindowBytes   = 64 << 10 // bytes of one connection that wait on a link at a time
	callOverheadBytes = 400      // bytes of the heads of a call or an answer
	replicatePath     = "/Replicate"
)

// simLinks are the links of machines: all that a machine sends leaves one after the other, at one rate.
type simLinks struct {
	rate float64 // bytes a second

	mutex         sync.Mutex
	idleFrom      map[string]time.Time // when a link has sent all that it was given, by address
	streamed      int                  // bytes of all streams
	heartbeatWait time.Duration        // the longest that a heartbeat or its answer waited for what was before it
}

func newSimLinks(rate float64) *simLinks {
	return &simLinks{rate: rate, idleFrom: map[string]time.Time{}}
}

// send returns once bytes have left a machine.
func (l *simLinks) send(from, path string, length int) {
	if l == nil {
		return
	}
	for length += callOverheadBytes; length > 0; length -= linkWindowBytes {
		time.Sleep(l.enqueue(from, path, min(length, linkWindowBytes)))
	}
}

// put puts bytes on a link and returns when they will have left.
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

// streamedBytes returns what all streams have sent.
func (l *simLinks) streamedBytes() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.streamed
}

// longestHeartbeatWait returns the longest wait since it was asked last.
func (l *simLinks) longestHeartbeatWait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	longest := l.heartbeatWait
	l.heartbeatWait = 0
	return longest
}
