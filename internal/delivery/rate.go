package delivery

import (
	"time"
)

// The rate of a service is spent by one process at a time, its owner. Other processes ask the owner for permits, one for each request that
// they write to the service. So the sum over all processes stays under the rate, wherever the messages of the service are.

const (
	// PermitValidity is how long after its grant a permit may be used. It must be shorter than the time between the end of an owner's lease
	// and the first token of its successor.
	PermitValidity = 250 * time.Millisecond
	// maxPermitWait bounds how long a process waits at the owner for its first permit.
	maxPermitWait = 800 * time.Millisecond
	// permitBatchTime is how long an owner collects permits for one process after the first one.
	permitBatchTime   = 20 * time.Millisecond
	permitRetryDelay  = 50 * time.Millisecond // after the owner gave none
	maxPermitsPerCall = 64
	// guestConnShare is the share of a worker's connections that all processes without the rate hold together.
	guestConnShare = 0.1
)

// RateOwnership tells an engine which process owns the rate of a service, and asks that process for permits. Its methods may be called with
// the engine locked, so they must not call it back on the same goroutine.
type RateOwnership interface {
	// Epoch returns the epoch in which this process owns the rate of the service now, or 0 if it does not.
	Epoch(service string) uint64
	// RequestPermits asks the owner for permits. It calls done once, on another goroutine, with the number granted and the time until
	// which they may be used.
	RequestPermits(service string, count int, done func(granted int, until time.Duration))
}

// soleOwner owns the rates of all services. It serves a process that is the only one to deliver to them.
type soleOwner struct{}

// Epoch implements RateOwnership.
func (soleOwner) Epoch(string) uint64 { return 1 }

// RequestPermits implements RateOwnership. It is never called, as this process owns every rate.
func (soleOwner) RequestPermits(string, int, func(int, time.Duration)) {}

// rateToken is the right to write one request to a service with a limited rate.
type rateToken struct {
	epoch uint64        // epoch of the owner that took it from its own bucket; 0 for a permit
	until time.Duration // end of a permit
}

// rateLimit is the share of a service's rate that this process may spend. Callers of its methods hold the engine's lock.
type rateLimit struct {
	service *service
	bucket  *TokenBucket // of the rate, in the epoch below
	epoch   uint64       // epoch in which this process owned the rate when it last asked; 0 for never

	permits    int           // granted by the owner and not used
	until      time.Duration // end of the permits
	requesting bool          // a request for permits is in progress
	retryAt    time.Duration // earliest time of the next request

	waiters []*permitWaiter // processes that wait for permits, the longest wait first
	owed    int             // tokens that these get before the next delivery of this process: one each
}

// permitWaiter is a request of another process for permits.
type permitWaiter struct {
	count    int
	granted  int
	since    time.Duration
	answerAt time.Duration // when it is answered with what it has
	waited   time.Duration // until the first permit
	done     func(granted int, waited time.Duration)
}

// ownedEpoch returns the epoch in which this process owns the rate, or 0. A bucket of an earlier epoch is replaced by an empty one.
func (l *rateLimit) ownedEpoch(now time.Duration) uint64 {
	epoch := l.service.engine.options.Rates.Epoch(l.service.config.Name)
	if epoch != 0 && epoch != l.epoch {
		l.epoch = epoch
		l.bucket = NewTokenBucket(l.service.config.RatePerS, now)
	}
	return epoch
}

// setRate changes the rate from now on.
func (l *rateLimit) setRate(rate float64, now time.Duration) {
	if l.bucket != nil {
		l.bucket.SetRate(rate, now)
	}
}

// take takes a token if there is one. Otherwise it returns after which wait to try again, and sees to it that there will be one.
func (l *rateLimit) take(now time.Duration) (token rateToken, ok bool, wait time.Duration) {
	if epoch := l.ownedEpoch(now); epoch != 0 {
		if ok, wait = l.bucket.Take(now); ok {
			l.owed = len(l.waiters)
		}
		return rateToken{epoch: epoch}, ok, wait
	}
	if l.permits > 0 && now < l.until {
		l.permits--
		return rateToken{until: l.until}, true, 0
	}
	l.permits = 0
	l.request(now)
	return rateToken{}, false, max(l.retryAt-now, permitRetryDelay)
}

// request asks the owner for as many permits as deliveries wait, unless it is being asked already.
func (l *rateLimit) request(now time.Duration) {
	if l.requesting || now < l.retryAt {
		return
	}
	l.requesting = true
	s := l.service
	s.engine.options.Rates.RequestPermits(s.config.Name, min(s.queue.len(), maxPermitsPerCall), func(granted int, until time.Duration) {
		s.engine.doAndNotify(func(now time.Duration) {
			l.requesting = false
			l.permits, l.until = granted, until
			if granted == 0 {
				l.retryAt = now + permitRetryDelay
			}
			if s.limit == l {
				s.releaseReady(now)
			}
		})
	})
}

// mayWrite reports whether a token is still good for a request that is written now.
func (e *Engine) mayWrite(service string, token rateToken) bool {
	if token.epoch != 0 {
		return e.options.Rates.Epoch(service) == token.epoch
	}
	return e.now() < token.until
}

// GrantPermits gives another process up to count permits to write requests to a service, taken from the rate that this process owns. It calls
// done once, on another goroutine or before it returns, with their number and the time until the first was granted. While deliveries of this
// process wait too, each of them is followed by one permit for every process that waits.
func (e *Engine) GrantPermits(serviceName string, count int, done func(granted int, waited time.Duration)) {
	refused := false
	e.doAndNotifyAsync(func(now time.Duration) {
		s := e.services[serviceName]
		if e.closed || s == nil || s.limit == nil || s.limit.ownedEpoch(now) == 0 || count <= 0 {
			refused = true
			return
		}
		s.limit.waiters = append(s.limit.waiters, &permitWaiter{count: min(count, maxPermitsPerCall), since: now, answerAt: now + maxPermitWait, done: done})
		s.releaseReady(now)
	})
	if refused {
		done(0, 0)
	}
}

// serveWaiters grants up to the given number of tokens to the processes that wait, and answers those that have waited long enough. It returns
// after which wait to call it again; false if nobody waits.
func (l *rateLimit) serveWaiters(now time.Duration, most int) (wait time.Duration, waiting bool) {
	owned := l.ownedEpoch(now) != 0
	for w := l.nextWaiter(); owned && most > 0 && w != nil; w = l.nextWaiter() {
		ok, untilNext := l.bucket.Take(now)
		if !ok {
			wait, waiting = untilNext, true
			break
		}
		if w.granted == 0 {
			w.waited, w.answerAt = now-w.since, now+permitBatchTime
		}
		w.granted++
		most--
		l.owed = max(0, l.owed-1)
	}
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		if !owned || w.granted == w.count || now >= w.answerAt {
			go w.done(w.granted, w.waited)
			continue
		}
		if untilAnswer := w.answerAt - now; !waiting || untilAnswer < wait {
			wait, waiting = untilAnswer, true
		}
		kept = append(kept, w)
	}
	clear(l.waiters[len(kept):])
	l.waiters = kept
	return wait, waiting
}

// nextWaiter returns the process that gets the next token: the one with the fewest, and among these the one that has waited longest; nil if
// none lacks any.
func (l *rateLimit) nextWaiter() *permitWaiter {
	var next *permitWaiter
	for _, w := range l.waiters {
		if w.granted < w.count && (next == nil || w.granted < next.granted) {
			next = w
		}
	}
	return next
}

// close answers all processes that wait.
func (l *rateLimit) close() {
	for _, w := range l.waiters {
		go w.done(w.granted, w.waited)
	}
	l.waiters = nil
}
