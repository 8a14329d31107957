package delivery

import (
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	defaultSockets = 1024
	sweepEvery     = time.Second // between looks for connections that were idle for too long
	unplacedPause  = 50 * time.Millisecond
	longestCold    = 60 * time.Second // that a worker is believed to be slow for after its start
)

// Options is what the host of an engine sets.
type Options struct {
	Zone       string               // this machine's
	Log        logr.Logger          // the zero value drops all
	Now        func() time.Duration // monotonic; nil for the time since the engine was made
	MaxSockets int                  // connections to workers, over all; 0 for 1024
}

// Engine sends jobs to workers. All its methods may be called concurrently; none blocks on the network. One mutex guards all
// state: what is done under it is short, and a queue of commands would cost a change of goroutines for each.
type Engine struct {
	options Options

	mu          sync.Mutex
	closed      bool
	version     uint64 // of the configuration in force
	dispatchers int
	lanes       map[string]*lane         // by service
	configs     map[string]catalog.Route // by name
	routes      map[string]*route        // those used so far, by name
	targets     map[string]*target       // by worker id, and the static endpoints
	workers     []*rpc.Worker            // the newest list
	attempts    map[*attempt]struct{}    // under way
	open        int                      // connections to workers
	warmWithin  float64                  // seconds, the longest that the list has shown a worker to be cold for
	sequence    uint64
	actions     []action
	ended       []ending
	sweepSet    bool
	broken      uint64 // invariants found broken
}

// errInvariant is logged for a fault of this package.
var errInvariant = errors.New("an invariant of the delivery engine is broken")

// ending is an outcome that is to be told once the lock is free.
type ending struct {
	done    func(Outcome)
	outcome Outcome
}

// actionKind is what the decision module asks for.
type actionKind int

const (
	actionAssign actionKind = iota
	actionRefuse
)

// action is put off until the module has returned.
type action struct {
	kind     actionKind
	route    *route
	delivery string
	worker   string
}

// New makes an engine without routes and workers.
func New(options Options) *Engine {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.MaxSockets <= 0 {
		options.MaxSockets = defaultSockets
	}
	return &Engine{
		options:     options,
		dispatchers: 1,
		lanes:       map[string]*lane{},
		configs:     map[string]catalog.Route{},
		routes:      map[string]*route{},
		targets:     map[string]*target{},
		attempts:    map[*attempt]struct{}{},
		warmWithin:  warmDefault,
	}
}

func (e *Engine) now() time.Duration { return e.options.Now() }

// locked runs f with the engine locked, carries out what the module asked for, and tells the outcomes that came of it.
func (e *Engine) locked(f func(now time.Duration)) {
	for _, ending := range e.update(f) {
		ending.done(ending.outcome)
	}
}

func (e *Engine) update(f func(now time.Duration)) []ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	f(now)
	e.settle(now)
	ended := e.ended
	e.ended = nil
	return ended
}

// lockedAside is locked for callers of the engine, which may hold locks of their own: outcomes are told by another goroutine.
func (e *Engine) lockedAside(f func(now time.Duration)) {
	ended := e.update(f)
	if len(ended) == 0 {
		return
	}
	go func() {
		for _, ending := range ended {
			ending.done(ending.outcome)
		}
	}()
}

// later puts off an action until the module has returned.
func (e *Engine) later(a action) { e.actions = append(e.actions, a) }

// settle carries out actions, with those that follow from them.
func (e *Engine) settle(now time.Duration) {
	for i := 0; i < len(e.actions); i++ {
		a := e.actions[i]
		switch a.kind {
		case actionAssign:
			a.route.assign(now, a.delivery, a.worker)
		case actionRefuse:
			a.route.refused(now, a.delivery)
		}
	}
	clear(e.actions)
	e.actions = e.actions[:0]
}

// Submit sends a job. The guard is called right before the first byte of each request that is written for it, on the
// goroutine that writes; if it returns false nothing is written and the outcome is NotRun. As long as nothing may have run, the
// job may be offered to a few workers. done is called exactly once, on another goroutine and never from within Submit.
func (e *Engine) Submit(job *Job, guard func() bool, done func(Outcome)) {
	e.lockedAside(func(now time.Duration) {
		id := e.nextID()
		d := &delivery{
			id:       id,
			sequence: e.sequence,
			job:      job,
			guard:    guard,
			done:     done,
		}
		r := e.routeOf(job.Route)
		if e.closed || r == nil || !wellFormed(job) {
			e.ended = append(e.ended, ending{done, Outcome{Kind: NotRun, RetryAfter: unplacedPause}})
			return
		}
		d.route, d.priority = r, r.config.Priority
		r.lane.submit(now, d)
	})
}

// nextID names a delivery to the decision module.
func (e *Engine) nextID() string {
	e.sequence++
	return strconv.FormatUint(e.sequence, 36)
}

// routeOf returns the route of that name, with its instance of the module; nil if there is none.
func (e *Engine) routeOf(name string) *route {
	if r := e.routes[name]; r != nil {
		return r
	}
	config, ok := e.configs[name]
	l := e.lanes[config.Service]
	if !ok || l == nil {
		return nil
	}
	r, err := newRoute(e, config, l)
	if err != nil {
		e.options.Log.Error(err, "the decision module refuses the route: check its settings", "route", name)
		return nil
	}
	e.routes[name] = r
	return r
}

// finish ends a delivery.
func (e *Engine) finish(d *delivery, outcome Outcome) {
	e.ended = append(e.ended, ending{d.done, outcome})
	if d.route.deliveries[d.id] != d {
		return // it was never released
	}
	delete(d.route.deliveries, d.id)
	d.route.lane.left(e.now(), d)
}

// expect reports a broken invariant: a fault of this package, which it lives on with.
func (e *Engine) expect(holds bool, invariant string) {
	if holds {
		return
	}
	e.broken++
	e.options.Log.Error(errInvariant, "report this with the log", "invariant", invariant)
}

// makeRoom tells whether one more connection may be opened, and closes an idle one if that is needed for it.
func (e *Engine) makeRoom() bool {
	if e.open < e.options.MaxSockets {
		return true
	}
	for _, t := range e.targets {
		if len(t.idle) > 0 {
			oldest := t.idle[0]
			t.closeIdle(func(c *conn) bool { return c == oldest })
			return true
		}
	}
	return false
}

// sweepSoon has idle connections looked at.
func (e *Engine) sweepSoon() {
	if e.sweepSet {
		return
	}
	e.sweepSet = true
	time.AfterFunc(sweepEvery, e.sweep)
}

// sweep closes connections before their workers do.
func (e *Engine) sweep() {
	e.locked(func(now time.Duration) {
		e.sweepSet = false
		idle := 0
		for _, t := range e.targets {
			t.closeIdle(func(c *conn) bool { return now >= c.closeAt })
			idle += len(t.idle)
		}
		if idle > 0 {
			e.sweepSoon()
		}
	})
}

// Close ends the engine. Jobs that wait end as not run; the connections of those with a worker are closed, and they end as
// unknown.
func (e *Engine) Close() {
	e.lockedAside(func(time.Duration) {
		if e.closed {
			return
		}
		e.closed = true
		for _, r := range e.routes {
			r.drop()
		}
		for a := range e.attempts {
			if a.conn != nil {
				a.conn.close()
			}
		}
		for _, t := range e.targets {
			t.closeIdle(always)
		}
		clear(e.configs)
		clear(e.routes)
	})
}
