package ingest

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

const (
	suspectThreshold = 2                      // consecutive late responses before a store is slow, or timeouts before it is unreachable
	lateThreshold    = 4                      // consecutive late responses before a store is unreachable
	minSuspicionTime = 300 * time.Millisecond // doubles with each consecutive suspicion up to maxSuspicionTime
	maxSuspicionTime = time.Second
	failureWindow    = 3 * time.Second // older failures say nothing about the present
)

// health tracks which stores respond. A store is slow if it exceeded hedgeDelay repeatedly, and unreachable if
// it refused a connection or timed out repeatedly. Slow stores are avoided if there is another choice;
// unreachable ones are not waited for. It is safe for concurrent use.
type health struct {
	prober *prober // nil if suspicions end by time alone

	mutex       sync.Mutex
	stores      map[string]*storeHealth // by address
	called      bool
	lastSuccess time.Time
	lastFailure time.Time
}

// storeHealth is the state of one store.
type storeHealth struct {
	slow        suspicion
	unreachable suspicion
	probing     bool // the prober is probing the store; it counts as unreachable until it responds
}

// isUnreachable reports whether waiting for the store is likely futile.
func (s *storeHealth) isUnreachable() bool { return s.probing || s.unreachable.active() }

// suspicion is active for a while after failures; each one lasts longer than the one before, up to
// maxSuspicionTime.
type suspicion struct {
	failures int
	duration time.Duration
	until    time.Time
}

func newHealth() *health {
	return &health{stores: map[string]*storeHealth{}}
}

// slow reports whether a store should be used only if there is no other choice.
func (h *health) slow(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	store := h.stores[address]
	return store != nil && (store.slow.active() || store.isUnreachable())
}

// unreachable reports whether waiting for a store is likely futile.
func (h *health) unreachable(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	store := h.stores[address]
	return store != nil && store.isUnreachable()
}

// recordSuccess records a response, which ends all suspicions of the store.
func (h *health) recordSuccess(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.called = true
	h.lastSuccess = time.Now()
	if store := h.stores[address]; store != nil {
		*store = storeHealth{}
	}
}

// recordLate records that a store has not responded within hedgeDelay.
func (h *health) recordLate(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.entry(address).slow.recordFailure(suspectThreshold)
	h.suspect(address, lateThreshold)
}

// majorityUnreachable reports whether more than half of the stores are unreachable, so that no new owner can be
// expected.
func (h *health) majorityUnreachable(stores []*rpc.StoreMember) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	unreachable := 0
	for _, member := range stores {
		if store := h.stores[member.Address]; store != nil && store.isUnreachable() {
			unreachable++
		}
	}
	return 2*unreachable > len(stores)
}

// recordTimeout records that a store has not responded within storeTimeout.
func (h *health) recordTimeout(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.called = true
	h.lastFailure = time.Now()
	h.suspect(address, suspectThreshold)
}

// recordRefused records that a connection to a store was refused or broke.
func (h *health) recordRefused(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.called = true
	h.lastFailure = time.Now()
	h.suspect(address, 1)
}

// suspect counts a failure of a store. After threshold consecutive failures the store is unreachable; if there
// is a prober, it stays so until a probe is answered, so that no request has to wait to find out. Callers hold
// the mutex.
func (h *health) suspect(address string, threshold int) {
	store := h.entry(address)
	store.unreachable.recordFailure(threshold)
	if h.prober == nil || store.probing || !store.unreachable.active() {
		return
	}
	store.probing = true
	until := store.unreachable.until
	go func() {
		if h.prober.awaitResponse(address, until) {
			h.recordSuccess(address)
			return
		}
		h.remove(address)
	}()
}

// remove discards the state of a store that has left the deployment.
func (h *health) remove(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.stores, address)
}

// entry returns the state of a store, which it adds if needed. Callers hold the mutex.
func (h *health) entry(address string) *storeHealth {
	entry := h.stores[address]
	if entry == nil {
		entry = &storeHealth{}
		h.stores[address] = entry
	}
	return entry
}

// allFailing reports whether all recent calls to stores failed.
func (h *health) allFailing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.called && time.Since(h.lastSuccess) > failureWindow && time.Since(h.lastFailure) < failureWindow
}

// lastCallFailed reports whether the latest call to any store failed, however long ago.
func (h *health) lastCallFailed() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.called && h.lastFailure.After(h.lastSuccess)
}

// active reports whether the store is suspected now.
func (s *suspicion) active() bool {
	return !s.until.IsZero() && time.Now().Before(s.until)
}

// recordFailure counts a failure; after threshold consecutive ones the suspicion becomes active. Failures while
// it is active come from calls that were already in progress and change nothing.
func (s *suspicion) recordFailure(threshold int) {
	s.failures++
	if s.failures < threshold || s.active() {
		return
	}
	s.duration = min(max(2*s.duration, minSuspicionTime), maxSuspicionTime)
	s.until = time.Now().Add(s.duration)
}

// recordError records a call that failed after it was sent. An error returned by the store itself shows that it
// is alive.
func (h *health) recordError(address string, err error) {
	if isConnectionError(err) {
		h.recordRefused(address)
	}
}

// isConnectionError reports whether a call failed because of its connection, so without a response from the
// store.
func isConnectionError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// isDialError reports whether no connection could be made, so that no byte of the call was sent.
func isDialError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}
