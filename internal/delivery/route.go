package delivery

import (
	"time"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/catalog"
)

const (
	tries         = 8             // workers that one submitted job is offered to at most, as long as none may have run it
	clockOffset   = 1000.0        // seconds added to the module's clock, for which 0 means long ago
	zonePrice     = 0.09          // bytes between zones are dear: a worker of another zone counts as fifteen times as slow
	holdAim       = 0.1           // seconds; the module holds a job for half of it while no worker is free
	neverLate     = 1e6           // stretch of the aim: no answer counts as late, so nothing is turned away
	farDeadline   = 3600.0        // seconds
	coldShare     = 0.4           // capacity that a worker is taken to start with
	overload      = 1.0           // times its capacity that a cold worker bears ...
	tipAfter      = 10.0          // ... for this many seconds
	warmDefault   = 5.0           // seconds after which a worker is warm, until the list shows otherwise
	coldKnownFrom = 50            // answers after which a route knows enough to hold back from cold workers
	liftEvery     = time.Second   // between two liftings of all bars
	liftStep      = 1e-6          // by which the start that the module is told rises then
	warmPart      = 0.5           // of the workers that must be warm for the cold ones to get less
	seedOfDecider = uint64(0xf01) // any number: the stores need not differ
)

// route is a message type: it hosts one instance of the decision module and carries out its actions. Its methods are called
// with the engine locked.
type route struct {
	engine     *Engine
	config     catalog.Route
	lane       *lane
	decider    *choice.Dispatcher
	deliveries map[string]*delivery // in the module's hands
	answered   int
	warmWithin float64 // seconds, as the module was told
	dropped    bool
	liftedAt   time.Duration
	lifts      int
}

var _ choice.Actions = (*route)(nil)

// newRoute starts the decision module for a route.
func newRoute(e *Engine, config catalog.Route, l *lane) (*route, error) {
	r := &route{engine: e, config: config, lane: l, deliveries: map[string]*delivery{}, warmWithin: e.warmWithin}
	settings := choice.Settings{
		Dispatchers: e.dispatchers,
		Zone:        e.options.Zone,
		Classes: []choice.Class{{
			Name:      config.Name,
			Effect:    choice.AtMostOnce, // the store decides on repeats of what may have run
			Aim:       holdAim,
			Stretch:   neverLate,
			Deadline:  farDeadline,
			LateWorth: 1,
			Worth:     1,
		}},
		Prices:         choice.Prices{CrossZone: zonePrice},
		MaxAttempts:    tries,
		DialTimeout:    dialTimeout.Seconds(),
		OverloadFactor: overload,
		TipAfter:       tipAfter,
		ColdShare:      coldShare,
		WarmWithin:     e.warmWithin,
		OverShareWorth: 1,
		FreeSlots:      -1,
		FreeMem:        -1,
		ErrorsPerS:     -1,
		ServiceMillis:  -1,
		Seed:           seedOfDecider,
	}
	decider, err := choice.New(seconds(e.now()), settings, r)
	if err != nil {
		return nil, err
	}
	r.decider = decider
	r.list(e.now())
	return r, nil
}

// seconds is the module's clock.
func seconds(now time.Duration) float64 { return now.Seconds() + clockOffset }

// list tells the module which workers there are.
func (r *route) list(now time.Duration) {
	if endpoint := r.lane.endpoint; endpoint != nil {
		r.decider.List(seconds(now), choice.ListAll, []choice.Worker{{ID: endpoint.key, Zone: r.engine.options.Zone}})
		return
	}
	targets := r.engine.listed(r.lane)
	minding := r.minds(now, targets)
	workers := make([]choice.Worker, 0, len(targets))
	for _, t := range targets {
		w := choice.Worker{ID: t.key, Zone: t.zone, Started: float64(r.lifts) * liftStep}
		if !t.ready {
			w.State = choice.Terminating
		}
		if minding && t.coldTo > now {
			w.Started = seconds(t.coldTo) - r.warmWithin
		}
		workers = append(workers, w)
	}
	r.decider.List(seconds(now), choice.ListAll, workers)
}

// relistService tells all routes of the service which workers there are.
func (r *route) relistService(now time.Duration) {
	for _, other := range r.engine.routes {
		if other.lane == r.lane {
			other.list(now)
		}
	}
}

// minds tells whether cold workers are to be held back from: only where there are enough others, and what they carry is known.
func (r *route) minds(now time.Duration, targets []*target) bool {
	if r.answered < coldKnownFrom {
		return false
	}
	warm, ready := 0, 0
	for _, t := range targets {
		if !t.ready {
			continue
		}
		ready++
		if t.coldTo <= now {
			warm++
		}
	}
	return float64(warm) >= warmPart*float64(ready)
}

// place hands a delivery to the module.
func (r *route) place(now time.Duration, d *delivery) {
	r.deliveries[d.id] = d
	r.decider.Request(seconds(now), choice.Request{ID: d.id, Deadline: seconds(now) + farDeadline, Tenant: -1})
}

// drop ends a route that the configuration no longer has, or has otherwise.
func (r *route) drop() {
	r.dropped = true
	r.lane.drop(r)
	for _, d := range r.deliveries {
		if !d.sending {
			r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: fullPauseFirst})
		}
	}
}

// assign starts the attempt that the module decided on.
func (r *route) assign(now time.Duration, id, worker string) {
	d := r.deliveries[id]
	if d == nil || r.dropped {
		return
	}
	a := &attempt{delivery: d, number: d.attempts}
	d.attempts++
	a.target = r.engine.targets[worker]
	if a.target == nil || !a.target.ready {
		r.tell(now, a, choice.Skipped, 0, false)
		return
	}
	kept, ok := a.target.take(now, d.job)
	if !ok {
		r.busy(now, a)
		return
	}
	a.conn = kept
	d.sending = true
	r.engine.attempts[a] = struct{}{}
	a.timeout = time.Duration(r.config.TimeoutMs * float64(time.Millisecond))
	go r.engine.run(a)
}

// busy ends an attempt that found no connection to its worker free.
func (r *route) busy(now time.Duration, a *attempt) {
	final := r.lane.endpoint != nil
	r.tell(now, a, choice.Busy, 0, final)
	if final {
		r.engine.finish(a.delivery, Outcome{Kind: NotRun, RetryAfter: r.lane.full(now)})
	}
}

// tell enters the end of an attempt in the module. Where it is not final, the module assigns the next or refuses.
func (r *route) tell(now time.Duration, a *attempt, code choice.Code, latency time.Duration, final bool) {
	if r.dropped {
		return
	}
	worker := ""
	if a.target != nil {
		worker = a.target.key
	}
	r.decider.Outcome(seconds(now), choice.Outcome{
		Request: a.delivery.id,
		Attempt: a.number,
		Worker:  worker,
		Code:    code,
		Latency: latency.Seconds(),
		Final:   final,
	})
}

// refused ends a delivery that the module found no worker for.
func (r *route) refused(now time.Duration, id string) {
	d := r.deliveries[id]
	if d == nil {
		return
	}
	if d.attempts == 0 {
		r.liftBars(now)
	}
	r.engine.finish(d, Outcome{Kind: NotRun, RetryAfter: r.lane.full(now)})
}

// liftBars has the module forget which workers erred, where it would not send to any. Bars that grew while all of a service
// could not be reached would outlast the trouble.
func (r *route) liftBars(now time.Duration) {
	if len(r.engine.listed(r.lane)) == 0 || r.liftedAt > 0 && now-r.liftedAt < liftEvery {
		return
	}
	r.liftedAt = now
	r.lifts++
	r.list(now)
}

// Assign implements choice.Actions.
func (r *route) Assign(request, worker string, _ float64) {
	r.engine.later(action{kind: actionAssign, route: r, delivery: request, worker: worker})
}

// Refuse implements choice.Actions.
func (r *route) Refuse(request string, _ float64) {
	r.engine.later(action{kind: actionRefuse, route: r, delivery: request})
}

// Fail implements choice.Actions. As the end of what may have run is always final, it can only mean a refusal.
func (r *route) Fail(request string) { r.Refuse(request, 0) }

// Timer implements choice.Actions.
func (r *route) Timer(delay float64, token uint64) {
	time.AfterFunc(time.Duration(delay*float64(time.Second)), func() {
		r.engine.locked(func(now time.Duration) {
			if !r.dropped {
				r.decider.Timer(seconds(now), token)
			}
		})
	})
}

// Log implements choice.Actions.
func (r *route) Log(text string) { r.engine.options.Log.V(1).Info(text, "route", r.config.Name) }

// The module is set up so that it asks for none of the following.

// Cancel implements choice.Actions.
func (r *route) Cancel(string, int) {}

// Probe implements choice.Actions.
func (r *route) Probe(string) {}

// CloseIdle implements choice.Actions. The limit of connections to each worker keeps others from being locked out.
func (r *route) CloseIdle(string) {}

// Tell implements choice.Actions.
func (r *route) SendToPeer(int, []byte) {}

// Subscribe implements choice.Actions.
func (r *route) Subscribe(bool) {}

// ListAll implements choice.Actions.
func (r *route) ListAll() {}
