package delivery

import (
	"time"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/catalog"
)

const (
	maxAttempts              = 8             // workers that one submitted job is offered to, as long as it can't have run
	clockOffsetSeconds       = 1000.0        // added to the module's clock, on which a start time of 0 means long ago
	crossZonePrice           = 0.09          // price of traffic between zones: a worker in another zone counts as fifteen times as slow
	latencyAimSeconds        = 0.1           // the module holds a job for up to half of it while no worker is free
	aimStretch               = 1e6           // multiplies the aim so that no response counts as late and the module rejects nothing for it
	deadlineSeconds          = 3600.0        // effectively no deadline
	coldCapacityShare        = 0.4           // capacity that a worker is assumed to have at its start
	overloadFactor           = 1.0           // multiple of its capacity that a cold worker is assumed to sustain ...
	overloadToleranceSeconds = 10.0          // ... for this long
	defaultWarmUpSeconds     = 5.0           // used until a worker list gives a longer cold time
	minSuccessesForWarmUp    = 50            // successes after which a route knows its workers well enough to limit the cold ones
	penaltyResetInterval     = time.Second   // minimum time between two resets of all penalties
	restartStepSeconds       = 1e-6          // added to start times for each reset: the module clears the penalty of a restarted worker
	minWarmShare             = 0.5           // of the ready workers that must be warm for the cold ones to be limited
	deciderSeed              = uint64(0xf01) // arbitrary: stores need not differ
)

// route is a message type. It runs one instance of the decision module and executes its actions. Callers of its methods hold the
// engine's lock.
type route struct {
	engine           *Engine
	config           catalog.Route
	service          *service
	decider          *choice.Dispatcher
	deliveries       map[string]*delivery // submitted to the module, by delivery id
	answered         int                  // successful responses
	warmUpSeconds    float64              // as configured in the module
	removed          bool
	penaltiesResetAt time.Duration
	penaltyResets    int
}

var _ choice.Actions = (*route)(nil)

// newRoute starts the decision module for a route.
func newRoute(e *Engine, config catalog.Route, s *service) (*route, error) {
	r := &route{engine: e, config: config, service: s, deliveries: map[string]*delivery{}, warmUpSeconds: e.warmUpSeconds}
	settings := choice.Settings{
		Dispatchers: e.dispatchers,
		Zone:        e.options.Zone,
		Classes: []choice.Class{{
			Name:      config.Name,
			Effect:    choice.AtMostOnce, // the store decides whether to repeat a message that may have run
			Aim:       latencyAimSeconds,
			Stretch:   aimStretch,
			Deadline:  deadlineSeconds,
			LateWorth: 1,
			Worth:     1,
		}},
		Prices:         choice.Prices{CrossZone: crossZonePrice},
		MaxAttempts:    maxAttempts,
		DialTimeout:    dialTimeout.Seconds(),
		OverloadFactor: overloadFactor,
		TipAfter:       overloadToleranceSeconds,
		ColdShare:      coldCapacityShare,
		WarmWithin:     e.warmUpSeconds,
		OverShareWorth: 1,
		FreeSlots:      -1,
		FreeMem:        -1,
		ErrorsPerS:     -1,
		ServiceMillis:  -1,
		Seed:           deciderSeed,
	}
	decider, err := choice.New(deciderTime(e.now()), settings, r)
	if err != nil {
		return nil, err
	}
	r.decider = decider
	r.sendWorkerList(e.now())
	return r, nil
}

// deciderTime returns the time on the decision module's clock, in seconds.
func deciderTime(now time.Duration) float64 { return now.Seconds() + clockOffsetSeconds }

// sendWorkerList sends the service's worker list to the decision module.
func (r *route) sendWorkerList(now time.Duration) {
	if endpoint := r.service.endpoint; endpoint != nil {
		r.decider.List(deciderTime(now), choice.ListAll, []choice.Worker{{ID: endpoint.key, Zone: r.engine.options.Zone}})
		return
	}
	targets := r.engine.listedWorkers(r.service)
	limitCold := r.limitsColdWorkers(now, targets)
	workers := make([]choice.Worker, 0, len(targets))
	for _, t := range targets {
		w := choice.Worker{ID: t.key, Zone: t.zone, Started: float64(r.penaltyResets) * restartStepSeconds}
		if !t.ready {
			w.State = choice.Terminating
		}
		if limitCold && t.coldUntil > now {
			w.Started = deciderTime(t.coldUntil) - r.warmUpSeconds
		}
		workers = append(workers, w)
	}
	r.decider.List(deciderTime(now), choice.ListAll, workers)
}

// sendServiceWorkerLists sends the worker list to the decision modules of all routes of this service.
func (r *route) sendServiceWorkerLists(now time.Duration) {
	for _, other := range r.engine.routes {
		if other.service == r.service {
			other.sendWorkerList(now)
		}
	}
}

// limitsColdWorkers reports whether cold workers get less load than warm ones: only if enough workers are warm, and the route has
// had enough successes to know their response times.
func (r *route) limitsColdWorkers(now time.Duration, targets []*target) bool {
	if r.answered < minSuccessesForWarmUp {
		return false
	}
	warm, ready := 0, 0
	for _, t := range targets {
		if !t.ready {
			continue
		}
		ready++
		if t.coldUntil <= now {
			warm++
		}
	}
	return float64(warm) >= minWarmShare*float64(ready)
}

// requestWorker asks the decision module for a worker for the delivery.
func (r *route) requestWorker(now time.Duration, d *delivery) {
	r.deliveries[d.id] = d
	r.decider.Request(deciderTime(now), choice.Request{ID: d.id, Deadline: deciderTime(now) + deadlineSeconds, Tenant: -1})
}

// remove ends a route that is no longer configured or has another destination. Attempts in progress continue.
func (r *route) remove() {
	r.removed = true
	r.service.dropRoute(r)
	for _, d := range r.deliveries {
		if !d.inProgress {
			r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: busyBackoffInitial})
		}
	}
}

// withdraw ends the deliveries that match as NotRun. Those with an attempt in progress end so before the first byte of their request; if it
// is being written already, they go on.
func (r *route) withdraw(match func(*delivery) bool) {
	for _, d := range r.service.queue.remove(func(d *delivery) bool { return d.route == r && match(d) }) {
		r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: busyBackoffInitial})
	}
	for _, d := range r.deliveries {
		switch {
		case !match(d):
		case d.inProgress:
			d.withdrawn = true
		default:
			r.decider.Withdrawn(deciderTime(r.engine.now()), d.id)
			r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: busyBackoffInitial})
		}
	}
}

// handleAssignment starts the attempt that the decision module assigned to a worker.
func (r *route) handleAssignment(now time.Duration, deliveryID, targetKey string) {
	d := r.deliveries[deliveryID]
	if d == nil || r.removed {
		return
	}
	a := &attempt{delivery: d, number: d.attempts}
	d.attempts++
	a.target = r.engine.targets[targetKey]
	if a.target == nil || !a.target.ready {
		r.reportOutcome(now, a, choice.Skipped, 0, false)
		return
	}
	idleConn, ok := a.target.reserveConn(now, d.job)
	if !ok {
		r.handleNoFreeConn(now, a)
		return
	}
	a.conn = idleConn
	d.inProgress = true
	r.engine.attempts[a] = struct{}{}
	a.timeout = time.Duration(r.config.TimeoutMs * float64(time.Millisecond))
	go r.engine.runAttempt(a)
}

// handleNoFreeConn ends an attempt for which no connection to its worker was free.
func (r *route) handleNoFreeConn(now time.Duration, a *attempt) {
	final := r.service.endpoint != nil
	r.reportOutcome(now, a, choice.Busy, 0, final)
	if final {
		r.engine.finish(a.delivery, Outcome{Kind: NotRun, RetryAfter: r.service.backOffBusy(now)})
	}
}

// reportOutcome reports the end of an attempt to the decision module. Unless it is final, the module assigns another worker or
// refuses the delivery.
func (r *route) reportOutcome(now time.Duration, a *attempt, code choice.Code, latency time.Duration, final bool) {
	if r.removed {
		return
	}
	targetKey := ""
	if a.target != nil {
		targetKey = a.target.key
	}
	r.decider.Outcome(deciderTime(now), choice.Outcome{
		Request: a.delivery.id,
		Attempt: a.number,
		Worker:  targetKey,
		Code:    code,
		Latency: latency.Seconds(),
		Final:   final,
	})
}

// handleRefusal ends a delivery for which the decision module found no worker.
func (r *route) handleRefusal(now time.Duration, deliveryID string) {
	d := r.deliveries[deliveryID]
	if d == nil {
		return
	}
	if d.attempts == 0 {
		r.resetPenalties(now)
	}
	r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: r.service.backOffBusy(now)})
}

// resetPenalties clears the penalties of all workers in the decision module, for the case that it would not send to any.
// Penalties that grew while the whole service was unreachable would otherwise outlast the outage.
func (r *route) resetPenalties(now time.Duration) {
	if len(r.engine.listedWorkers(r.service)) == 0 || r.penaltiesResetAt > 0 && now-r.penaltiesResetAt < penaltyResetInterval {
		return
	}
	r.penaltiesResetAt = now
	r.penaltyResets++
	r.sendWorkerList(now)
}

// Assign implements choice.Actions.
func (r *route) Assign(request, targetKey string, _ float64) {
	r.engine.enqueueAction(action{kind: actionAssign, route: r, deliveryID: request, targetKey: targetKey})
}

// Refuse implements choice.Actions.
func (r *route) Refuse(request string, _ float64) {
	r.engine.enqueueAction(action{kind: actionRefuse, route: r, deliveryID: request})
}

// Fail implements choice.Actions. Outcomes of attempts that may have run are always reported as final, so the module calls it
// only for a delivery that did not run.
func (r *route) Fail(request string) { r.Refuse(request, 0) }

// Timer implements choice.Actions.
func (r *route) Timer(delay float64, token uint64) {
	time.AfterFunc(time.Duration(delay*float64(time.Second)), func() {
		r.engine.doAndNotify(func(now time.Duration) {
			if !r.removed {
				r.decider.Timer(deciderTime(now), token)
			}
		})
	})
}

// Log implements choice.Actions.
func (r *route) Log(text string) { r.engine.options.Log.V(1).Info(text, "route", r.config.Name) }

// The module's settings rule out the following actions.

// Cancel implements choice.Actions.
func (r *route) Cancel(string, int) {}

// Probe implements choice.Actions.
func (r *route) Probe(string) {}

// CloseIdle implements choice.Actions. The limit of connections per worker already leaves room for other processes.
func (r *route) CloseIdle(string) {}

// Tell implements choice.Actions.
func (r *route) SendToPeer(int, []byte) {}

// Subscribe implements choice.Actions.
func (r *route) Subscribe(bool) {}

// ListAll implements choice.Actions.
func (r *route) ListAll() {}
