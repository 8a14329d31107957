package delivery

import (
	"math"
	"time"

	"foldlb.example/foldlb/internal/catalog"
)

const (
	maxQueueLength  = 200                    // deliveries waiting in one queue
	maxQueueWait    = 2 * time.Second        // of a delivery in a queue
	recheckInterval = 250 * time.Millisecond // upper bound of the wait before a queue is examined again

	overflowRetryDelayMin      = 200 * time.Millisecond // after the queue was full or a delivery waited too long
	overflowRetryDelayStep     = 20 * time.Millisecond  // added for each refusal since the last success
	overflowRetryDelayMax      = 600 * time.Millisecond // for services without a rate limit
	overflowRetryDelayMaxRated = time.Second            // for services with a rate limit

	busyBackoffInitial = 20 * time.Millisecond // after no worker had a free slot
	busyBackoffStep    = 10 * time.Millisecond // added for each consecutive time
	busyBackoffMax     = 50 * time.Millisecond
	maxRampUpCredits   = 64 // deliveries admitted together after such a backoff

	downBackoffInitial = 100 * time.Millisecond // after a static endpoint could not be connected to
	downBackoffMax     = 500 * time.Millisecond
	rateLimitBackoff   = 200 * time.Millisecond // after an endpoint responded 429

	usableConnShare   = 0.9  // of the connections that a worker accepts
	handoverConnShare = 0.45 // for rate-limited services, to which one process delivers: its predecessor may still hold as many
)

// service holds the queue and the flow control state of one service. A delivery is released at once unless the service's rate
// limit, the lack of free worker slots or an unreachable endpoint delays it. Callers of its methods hold the engine's lock.
type service struct {
	engine   *Engine
	name     string
	config   catalog.Service
	queue    deliveryQueue
	limit    *rateLimit // nil for a service without a rate limit
	inFlight int        // released deliveries without an outcome
	endpoint *target    // nil for a service whose workers are on the worker list

	pausedUntil   time.Duration
	busyBackoff   time.Duration // the last backoff for lack of a free slot; 0 after a success
	refusals      int           // for lack of a free slot since the last success
	congested     bool          // workers had no free slot: each released delivery needs a credit
	credits       int           // deliveries that may be released while congested
	rampUpCredits int           // credits to add when the timer next fires; doubles each time
	downBackoff   time.Duration // 0 while the static endpoint is reachable
	probing       bool          // a delivery is testing whether the failing endpoint is reachable again

	failureRate float64 // moving average of responses with status 500, 0 to 1
	timer       *time.Timer
	timerDue    time.Duration // 0 while the timer is not set
}

func newService(engine *Engine, config catalog.Service) *service {
	s := &service{engine: engine, name: config.Name}
	s.update(config)
	return s
}

// update applies a new configuration of the service.
func (s *service) update(config catalog.Service) {
	s.config = config
	s.updateLimit()
	s.updateEndpoint()
}

// updateLimit applies the configured rate.
func (s *service) updateLimit() {
	now := s.engine.now()
	switch {
	case s.config.RatePerS <= 0 && s.limit != nil:
		s.limit.close()
		s.limit = nil
	case s.config.RatePerS <= 0:
	case s.limit == nil:
		s.limit = &rateLimit{service: s}
		s.limit.ownedEpoch(now) // the bucket of an owner fills from now on
	default:
		s.limit.setRate(s.config.RatePerS, now)
	}
}

// updateEndpoint creates or replaces the target that stands for a static endpoint.
func (s *service) updateEndpoint() {
	address := ""
	if s.config.StaticEndpoint != nil {
		address = *s.config.StaticEndpoint
	}
	if s.endpoint != nil && s.endpoint.address == address {
		return
	}
	if s.endpoint != nil {
		s.engine.retireTarget(s.endpoint)
		s.endpoint = nil
	}
	if address == "" {
		return
	}
	s.downBackoff, s.probing = 0, false
	s.endpoint = &target{key: "static " + s.config.Name + " " + address, address: address, service: s, ready: true}
	s.engine.targets[s.endpoint.key] = s.endpoint
}

// maxConnsPerWorker returns how many connections this process may hold to each worker.
func (s *service) maxConnsPerWorker() int {
	connections := float64(s.config.MaxConns)
	others := float64(max(1, s.engine.dispatchers-1))
	switch {
	case s.limit == nil:
		return max(1, int(usableConnShare*connections/float64(s.engine.dispatchers)))
	case s.engine.options.Rates.Epoch(s.config.Name) != 0:
		return max(1, int(handoverConnShare*connections))
	default:
		return max(1, int(guestConnShare*connections/others))
	}
}

// enqueue adds a delivery to the queue and releases what may be released. If the queue is too long, its last delivery ends as
// NotRun.
func (s *service) enqueue(now time.Duration, d *delivery) {
	d.queuedAt = now
	s.queue.push(d)
	if s.queue.len() > maxQueueLength {
		last := s.queue.last()
		s.queue.remove(func(other *delivery) bool { return other == last })
		s.engine.finish(last, Outcome{Kind: NotRun, RetryAfter: s.overflowRetryDelay()})
	}
	s.releaseReady(now)
}

// overflowRetryDelay returns the retry delay for a delivery that did not fit into the queue or waited in it for too long. With a
// rate limit it is at least the time in which half of the queue is released, up to overflowRetryDelayMaxRated.
func (s *service) overflowRetryDelay() time.Duration {
	delay := min(overflowRetryDelayMin+time.Duration(s.refusals)*overflowRetryDelayStep, overflowRetryDelayMax)
	if s.limit != nil {
		halfDrained := time.Duration(maxQueueLength / 2 / s.config.RatePerS * float64(time.Second))
		delay = min(max(delay, halfDrained), overflowRetryDelayMaxRated)
	}
	return max(s.downBackoff, delay)
}

// releaseReady releases the deliveries that may be sent now, and sets the timer for the rest.
func (s *service) releaseReady(now time.Duration) {
	defer s.serveWaiters(now, math.MaxInt)
	for s.queue.len() > 0 {
		if s.limit != nil {
			if d := s.queue.first(); !d.guard() { // it may not be sent from here any more: it needs no part of the rate
				s.queue.pop()
				s.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: unplacedRetryDelay})
				continue
			}
			s.serveWaiters(now, s.limit.owed)
		}
		token, wait, blocked := s.admitNext(now)
		if blocked {
			s.scheduleWake(now, wait)
			return
		}
		s.inFlight++
		d := s.queue.pop()
		d.token = token
		d.isProbe = s.downBackoff > 0
		s.probing = s.probing || d.isProbe
		d.route.requestWorker(now, d)
	}
	if now >= s.pausedUntil {
		s.congested, s.credits = false, 0
	}
}

// serveWaiters gives up to the given number of tokens to the processes that wait for permits.
func (s *service) serveWaiters(now time.Duration, most int) {
	if s.limit == nil || len(s.limit.waiters) == 0 {
		return
	}
	if wait, waiting := s.limit.serveWaiters(now, most); waiting {
		s.scheduleWake(now, wait)
	}
}

// admitNext reports whether the next delivery is blocked, and after which wait it should be tried again if nothing else happens.
// If it is not blocked, the token or credit that it needs has been taken.
func (s *service) admitNext(now time.Duration) (token rateToken, wait time.Duration, blocked bool) {
	slotFreed := s.endpoint == nil && s.limit == nil && s.credits > 0 // slots seen to become free during a backoff
	if now < s.pausedUntil && !slotFreed {
		return token, s.pausedUntil - now, true
	}
	if s.probing {
		return token, recheckInterval, true
	}
	if s.endpoint != nil && s.inFlight >= s.maxConnsPerWorker() {
		return token, recheckInterval, true
	}
	if s.congested && s.credits <= 0 {
		return token, busyBackoffInitial, true
	}
	if s.limit != nil {
		var ok bool
		if token, ok, wait = s.limit.take(now); !ok {
			return token, wait, true
		}
	}
	if s.congested {
		s.credits--
	}
	return token, 0, false
}

// scheduleWake sets the timer to fire after wait, but not later than it is already due.
func (s *service) scheduleWake(now, wait time.Duration) {
	wait = min(wait, recheckInterval)
	if s.timerDue > 0 && s.timerDue <= now+wait {
		return
	}
	s.timerDue = now + wait
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.wake)
		return
	}
	s.timer.Reset(wait)
}

// wake runs when the timer fires.
func (s *service) wake() {
	s.engine.doAndNotify(func(now time.Duration) {
		s.timerDue = 0
		s.expireWaiting(now)
		if s.congested && now >= s.pausedUntil {
			s.credits = max(s.credits, s.rampUpCredits)
			s.rampUpCredits = min(2*s.rampUpCredits, maxRampUpCredits)
		}
		s.releaseReady(now)
	})
}

// expireWaiting ends deliveries that have waited for too long.
func (s *service) expireWaiting(now time.Duration) {
	for _, d := range s.queue.remove(func(d *delivery) bool { return now-d.queuedAt >= maxQueueWait }) {
		s.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: s.overflowRetryDelay()})
	}
}

// dropRoute ends all waiting deliveries of a route.
func (s *service) dropRoute(r *route) {
	for _, d := range s.queue.remove(func(d *delivery) bool { return d.route == r }) {
		s.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: busyBackoffInitial})
	}
}

// deliveryFinished must be called once for each released delivery, when its outcome is known.
func (s *service) deliveryFinished(now time.Duration, d *delivery) {
	s.inFlight--
	s.engine.checkInvariant(s.inFlight >= 0, "each released delivery finishes once")
	if d.isProbe {
		s.probing = false
	}
	s.releaseReady(now)
}

// markReachable records that the service sent a response, of whatever status.
func (s *service) markReachable() { s.downBackoff = 0 }

// recordServed records that a worker processed a delivery and responded, so that one of its slots is free again.
func (s *service) recordServed() {
	s.busyBackoff, s.refusals = 0, 0
	if s.congested {
		s.credits++
	}
}

// backOffBusy records that no worker had a free slot, and returns the retry delay.
func (s *service) backOffBusy(now time.Duration) time.Duration {
	if s.busyBackoff == 0 {
		s.busyBackoff = busyBackoffInitial
	} else {
		s.busyBackoff = min(s.busyBackoff+busyBackoffStep, busyBackoffMax)
	}
	s.refusals++
	s.congested, s.credits, s.rampUpCredits = true, 0, 1
	s.pausedUntil = max(s.pausedUntil, now+s.busyBackoff)
	return s.busyBackoff
}

// backOffRateLimited records that the endpoint found its rate limit exceeded, and returns the retry delay.
func (s *service) backOffRateLimited(now time.Duration) time.Duration {
	s.pausedUntil = max(s.pausedUntil, now+rateLimitBackoff)
	return rateLimitBackoff
}

// backOffDown records that the endpoint could not be connected to, and returns the retry delay.
func (s *service) backOffDown(now time.Duration) time.Duration {
	if s.downBackoff == 0 {
		s.downBackoff = downBackoffInitial
	} else if now >= s.pausedUntil { // concurrent failures count once
		s.downBackoff = min(2*s.downBackoff, downBackoffMax)
	}
	s.pausedUntil = max(s.pausedUntil, now+s.downBackoff)
	return s.downBackoff
}
