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
	suspectAfter    = 2                      // answers in a row that did not come in time
	lateAfter       = 4                      // answers in a row that let ownerPatience pass, before a store counts as unreachable
	firstSuspicion  = 300 * time.Millisecond // the next in a row last longer
	longSuspicion   = time.Second
	failureLifetime = 3 * time.Second // a failure older than this says nothing of now
)

// health remembers which stores answer. A store is slow when it let ownerPatience pass, and unreachable when
// it refused a connection or stayed silent for much longer; slow ones are avoided where another will do, and
// unreachable ones are not waited for. It is safe for concurrent use.
type health struct {
	prober *prober // nil where suspicions end by time alone

	mutex       sync.Mutex
	stores      map[string]*storeHealth // by address
	asked       bool
	lastSuccess time.Time
	lastFailure time.Time
}

// storeHealth is what was seen of one store.
type storeHealth struct {
	slow        suspicion
	unreachable suspicion
	probed      bool // a prober asks the store, and the store counts as unreachable until it answers
}

// isUnreachable reports whether waiting for the store is likely in vain.
func (s *storeHealth) isUnreachable() bool { return s.probed || s.unreachable.holds() }

// suspicion holds for a while after failures, each time longer than before up to a bound.
type suspicion struct {
	failures int
	duration time.Duration
	until    time.Time
}

func newHealth() *health {
	return &health{stores: map[string]*storeHealth{}}
}

// slow reports whether a store should be asked only where no other will do.
func (h *health) slow(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	store := h.stores[address]
	return store != nil && (store.slow.holds() || store.isUnreachable())
}

// unreachable reports whether waiting for a store is likely in vain.
func (h *health) unreachable(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	store := h.stores[address]
	return store != nil && store.isUnreachable()
}

// succeeded notes an answer of a store, which ends any suspicion.
func (h *health) succeeded(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.asked = true
	h.lastSuccess = time.Now()
	if store := h.stores[address]; store != nil {
		*store = storeHealth{}
	}
}

// late notes that a store has let ownerPatience pass.
func (h *health) late(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.store(address).slow.add(suspectAfter)
	h.suspect(address, lateAfter)
}

// mostUnreachable reports whether more than half of the stores are unreachable, so that waiting for a new owner is in vain.
func (h *health) mostUnreachable(stores []*rpc.StoreMember) bool {
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

// silent notes that a store has not answered for silenceBound.
func (h *health) silent(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.asked = true
	h.lastFailure = time.Now()
	h.suspect(address, suspectAfter)
}

// refused notes that a connection to a store was refused or broke.
func (h *health) refused(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.asked = true
	h.lastFailure = time.Now()
	h.suspect(address, 1)
}

// suspect counts a failure against a store. Once there are enough in a row it is unreachable, until the prober has an answer of it
// where there is one: no request is held up to find out. The mutex is held.
func (h *health) suspect(address string, enough int) {
	store := h.store(address)
	store.unreachable.add(enough)
	if h.prober == nil || store.probed || !store.unreachable.holds() {
		return
	}
	store.probed = true
	until := store.unreachable.until
	go func() {
		if h.prober.awaitAnswer(address, until) {
			h.succeeded(address)
			return
		}
		h.forget(address)
	}()
}

// forget drops what was seen of a store that is none any more.
func (h *health) forget(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.stores, address)
}

func (h *health) store(address string) *storeHealth {
	store := h.stores[address]
	if store == nil {
		store = &storeHealth{}
		h.stores[address] = store
	}
	return store
}

// failing reports whether the stores asked lately all failed.
func (h *health) failing() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.asked && time.Since(h.lastSuccess) > failureLifetime && time.Since(h.lastFailure) < failureLifetime
}

// failed reports whether the newest call of all failed, however long ago.
func (h *health) failed() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.asked && h.lastFailure.After(h.lastSuccess)
}

// holds reports whether the suspicion holds now.
func (s *suspicion) holds() bool {
	return !s.until.IsZero() && time.Now().Before(s.until)
}

// add counts a failure; the suspicion begins once there are enough in a row. Failures while it holds come
// from calls that were already under way, and change nothing.
func (s *suspicion) add(enough int) {
	s.failures++
	if s.failures < enough || s.holds() {
		return
	}
	s.duration = min(max(2*s.duration, firstSuspicion), longSuspicion)
	s.until = time.Now().Add(s.duration)
}

// broke notes a call that failed in the middle. An error that the store itself answered is a sign of life.
func (h *health) broke(address string, err error) {
	if isBroken(err) {
		h.refused(address)
	}
}

// isBroken reports whether a call failed for its connection, so that no answer of the store came.
func isBroken(err error) bool {
	var broken *net.OpError
	return errors.As(err, &broken) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// neverSent reports whether a call failed before a byte of it left, because no connection was made.
func neverSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
