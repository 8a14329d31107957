package delivery

import (
	"time"

	"foldlb.example/foldlb/internal/catalog"
)

const (
	queueLimit = 200             // deliveries that wait in one lane
	queueWait  = 2 * time.Second // for which a delivery waits in a lane at most
	sweepPause = 250 * time.Millisecond

	overflowPauseLeast = 200 * time.Millisecond // after the queue was full
	overflowPauseStep  = 20 * time.Millisecond  // longer for each refusal since the last success
	overflowPauseFull  = 600 * time.Millisecond
	overflowPauseMost  = time.Second // where there is a rate

	fullPauseFirst = 20 * time.Millisecond // after no worker had a slot free
	fullPauseStep  = 10 * time.Millisecond
	fullPauseMost  = 50 * time.Millisecond
	releaseMost    = 64 // deliveries let through together after such a pause

	downPauseFirst = 100 * time.Millisecond // after an endpoint could not be connected to
	downPauseMost  = 500 * time.Millisecond
	overRatePause  = 200 * time.Millisecond // after an endpoint answered 429

	usablePart   = 0.9  // of the connections that a worker takes
	handOverPart = 0.45 // where one process delivers: the one before it may still hold as many
)

// lane is the way of all deliveries to one service. Deliveries pass at once as long as nothing holds them back: the
// service's rate, workers that are full, or an endpoint that is down. Its methods are called with the engine locked.
type lane struct {
	engine   *Engine
	service  catalog.Service
	queue    jobQueue
	bucket   *Bucket // nil for a service without a rate
	inFlight int     // released, and not ended
	endpoint *target // nil for a service on the list

	pausedUntil time.Duration
	fullPause   time.Duration // the last pause for want of a slot; 0 after a success
	refusals    int           // since the last success
	congested   bool          // workers were full: only credits let deliveries pass
	credits     int
	release     int // credits to add at the next look
	downPause   time.Duration
	probing     bool // a delivery looks whether the failing endpoint is back

	failedShare float64 // of the last answers that were 500
	timer       *time.Timer
	timerAt     time.Duration // 0 while the timer is not set
}

func newLane(engine *Engine, service catalog.Service) *lane {
	l := &lane{engine: engine}
	l.update(service)
	return l
}

// update takes a new configuration of the service.
func (l *lane) update(service catalog.Service) {
	now := l.engine.now()
	switch {
	case service.RatePerS <= 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = NewBucket(service.RatePerS, now)
	default:
		l.bucket.SetRate(service.RatePerS, now)
	}
	l.service = service
	l.setEndpoint()
}

// setEndpoint makes the pseudo-worker of a static endpoint.
func (l *lane) setEndpoint() {
	address := ""
	if l.service.StaticEndpoint != nil {
		address = *l.service.StaticEndpoint
	}
	if l.endpoint != nil && l.endpoint.address == address {
		return
	}
	if l.endpoint != nil {
		l.engine.retire(l.endpoint)
		l.endpoint = nil
	}
	if address == "" {
		return
	}
	l.downPause, l.probing = 0, false
	l.endpoint = &target{key: "static " + l.service.Name + " " + address, address: address, lane: l, ready: true}
	l.engine.targets[l.endpoint.key] = l.endpoint
}

// connectionLimit is how many connections this process may hold to each worker.
func (l *lane) connectionLimit() int {
	connections := float64(l.service.MaxConns)
	if l.bucket != nil {
		return max(1, int(handOverPart*connections))
	}
	return max(1, int(usablePart*connections/float64(l.engine.dispatchers)))
}

// submit lets a delivery pass, or has it wait its turn.
func (l *lane) submit(now time.Duration, d *delivery) {
	d.queuedAt = now
	l.queue.push(d)
	if l.queue.len() > queueLimit {
		last := l.queue.last()
		l.queue.remove(func(other *delivery) bool { return other == last })
		l.engine.finish(last, Outcome{Kind: NotRun, RetryAfter: l.overflowPause()})
	}
	l.pump(now)
}

// overflowPause is what a delivery waits that found no place in the queue, or none in time. Where there is a rate it is the
// time after which half of the queue has passed.
func (l *lane) overflowPause() time.Duration {
	pause := min(overflowPauseLeast+time.Duration(l.refusals)*overflowPauseStep, overflowPauseFull)
	if l.bucket != nil {
		halfPassed := time.Duration(queueLimit / 2 / l.service.RatePerS * float64(time.Second))
		pause = min(max(pause, halfPassed), overflowPauseMost)
	}
	return max(l.downPause, pause)
}

// pump releases what may pass now, and sets the timer for the rest.
func (l *lane) pump(now time.Duration) {
	for l.queue.len() > 0 {
		wait, held := l.heldBack(now)
		if held {
			l.wakeAfter(now, wait)
			return
		}
		l.inFlight++
		d := l.queue.pop()
		d.probe = l.downPause > 0
		l.probing = l.probing || d.probe
		d.route.place(now, d)
	}
	if now >= l.pausedUntil {
		l.congested, l.credits = false, 0
	}
}

// heldBack tells whether the next delivery must wait, and for how long if nothing else happens. Otherwise what the delivery
// needs to pass has been taken.
func (l *lane) heldBack(now time.Duration) (wait time.Duration, held bool) {
	freed := l.endpoint == nil && l.bucket == nil && l.credits > 0 // slots seen to become free in a pause for want of them
	if now < l.pausedUntil && !freed {
		return l.pausedUntil - now, true
	}
	if l.probing {
		return sweepPause, true
	}
	if l.endpoint != nil && l.inFlight >= l.connectionLimit() {
		return sweepPause, true
	}
	if l.congested && l.credits <= 0 {
		return fullPauseFirst, true
	}
	if l.bucket != nil {
		if ok, wait := l.bucket.Take(now); !ok {
			return wait, true
		}
	}
	if l.congested {
		l.credits--
	}
	return 0, false
}

// wakeAfter has the lane looked at again, sooner if it is to be anyway.
func (l *lane) wakeAfter(now, wait time.Duration) {
	wait = min(wait, sweepPause)
	if l.timerAt > 0 && l.timerAt <= now+wait {
		return
	}
	l.timerAt = now + wait
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.wake)
		return
	}
	l.timer.Reset(wait)
}

// wake is the timer's.
func (l *lane) wake() {
	l.engine.locked(func(now time.Duration) {
		l.timerAt = 0
		l.expire(now)
		if l.congested && now >= l.pausedUntil {
			l.credits = max(l.credits, l.release)
			l.release = min(2*l.release, releaseMost)
		}
		l.pump(now)
	})
}

// expire ends deliveries that have waited for too long.
func (l *lane) expire(now time.Duration) {
	for _, d := range l.queue.remove(func(d *delivery) bool { return now-d.queuedAt >= queueWait }) {
		l.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: l.overflowPause()})
	}
}

// drop ends all deliveries of a route that wait.
func (l *lane) drop(r *route) {
	for _, d := range l.queue.remove(func(d *delivery) bool { return d.route == r }) {
		l.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: fullPauseFirst})
	}
}

// left is called once for each delivery that was released, when its outcome is known.
func (l *lane) left(now time.Duration, d *delivery) {
	l.inFlight--
	l.engine.expect(l.inFlight >= 0, "each delivery leaves its lane once")
	if d.probe {
		l.probing = false
	}
	l.pump(now)
}

// reached says that a worker has sent an answer, whatever it says.
func (l *lane) reached() { l.downPause = 0 }

// served says that a worker took a delivery and answered it, so that it has a slot free again.
func (l *lane) served() {
	l.fullPause, l.refusals = 0, 0
	if l.congested {
		l.credits++
	}
}

// full says that no worker had a slot free, and returns the pause to ask for.
func (l *lane) full(now time.Duration) time.Duration {
	if l.fullPause == 0 {
		l.fullPause = fullPauseFirst
	} else {
		l.fullPause = min(l.fullPause+fullPauseStep, fullPauseMost)
	}
	l.refusals++
	l.congested, l.credits, l.release = true, 0, 1
	l.pausedUntil = max(l.pausedUntil, now+l.fullPause)
	return l.fullPause
}

// overRate says that the endpoint counted more arrivals than its rate, and returns the pause to ask for.
func (l *lane) overRate(now time.Duration) time.Duration {
	l.pausedUntil = max(l.pausedUntil, now+overRatePause)
	return overRatePause
}

// down says that the endpoint could not be connected to, and returns the pause to ask for.
func (l *lane) down(now time.Duration) time.Duration {
	if l.downPause == 0 {
		l.downPause = downPauseFirst
	} else if now >= l.pausedUntil { // those that were on their way together count once
		l.downPause = min(2*l.downPause, downPauseMost)
	}
	l.pausedUntil = max(l.pausedUntil, now+l.downPause)
	return l.downPause
}
