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
	defaultMaxSockets  = 1024
	idleSweepInterval  = time.Second           // between checks for connections that were idle for too long
	unplacedRetryDelay = 50 * time.Millisecond // for a delivery that could not be handed to a worker
	maxColdDuration    = 60 * time.Second      // upper bound of the cold time that a worker list may give
)

// Options configures an Engine.
type Options struct {
	Zone       string               // zone of this machine
	Log        logr.Logger          // the zero value discards all messages
	Now        func() time.Duration // monotonic clock; nil for the time since New
	MaxSockets int                  // upper bound of connections to workers in total; 0 for 1024
	Rates      RateOwnership        // who may spend the rates of services; nil if this process alone delivers
}

// Engine sends jobs to workers. All its methods may be called concurrently, and none blocks on the network. One mutex guards all
// state: critical sections are short, whereas a command queue would cost a goroutine switch per command.
type Engine struct {
	options Options

	mu                  sync.Mutex
	closed              bool
	configVersion       uint64                // version of the catalog in force
	dispatchers         int                   // number of processes that deliver to the same workers
	services            map[string]*service   // by service name
	table               *catalog.Table        // routes in force; nil before the first catalog
	routes              map[string]*route     // routes used so far, by name
	targets             map[string]*target    // workers by id, and static endpoints
	workers             []*rpc.Worker         // newest worker list
	attempts            map[*attempt]struct{} // in progress
	openConns           int                   // connections to workers, including those being opened
	warmUpSeconds       float64               // longest cold time that a worker list has given, in seconds
	lastSequence        uint64                // of the newest delivery
	pendingActions      []action              // requested by the decision module, not yet executed
	pendingOutcomes     []outcomeCallback     // to be reported once the lock is released
	sweepScheduled      bool
	invariantViolations uint64 // number of violations found
}

// errInvariantViolated is logged when the engine detects a bug in its own bookkeeping.
var errInvariantViolated = errors.New("delivery engine invariant violated")

// outcomeCallback is an outcome that is reported after the engine's lock is released.
type outcomeCallback struct {
	done    func(Outcome)
	outcome Outcome
}

// actionKind is the kind of a request by the decision module.
type actionKind int

const (
	actionAssign actionKind = iota
	actionRefuse
)

// action is a request by the decision module. It is executed after the call into the module has returned, because the module must
// not be called from its own callbacks.
type action struct {
	kind       actionKind
	route      *route
	deliveryID string
	targetKey  string
}

// New returns an engine without routes and workers.
func New(options Options) *Engine {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.MaxSockets <= 0 {
		options.MaxSockets = defaultMaxSockets
	}
	if options.Rates == nil {
		options.Rates = soleOwner{}
	}
	return &Engine{
		options:       options,
		dispatchers:   1,
		services:      map[string]*service{},
		routes:        map[string]*route{},
		targets:       map[string]*target{},
		attempts:      map[*attempt]struct{}{},
		warmUpSeconds: defaultWarmUpSeconds,
	}
}

func (e *Engine) now() time.Duration { return e.options.Now() }

// doAndNotify runs f with the engine locked, executes the actions that the decision module requested, and then reports the
// resulting outcomes on the calling goroutine.
func (e *Engine) doAndNotify(f func(now time.Duration)) {
	for _, callback := range e.do(f) {
		callback.done(callback.outcome)
	}
}

// do runs f with the engine locked, executes the actions that the decision module requested, and returns the outcomes to report.
func (e *Engine) do(f func(now time.Duration)) []outcomeCallback {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	f(now)
	e.runActions(now)
	pendingOutcomes := e.pendingOutcomes
	e.pendingOutcomes = nil
	return pendingOutcomes
}

// doAndNotifyAsync is like doAndNotify, but reports outcomes on another goroutine. Exported methods use it, because their callers
// may hold locks that the callbacks need.
func (e *Engine) doAndNotifyAsync(f func(now time.Duration)) {
	callbacks := e.do(f)
	if len(callbacks) == 0 {
		return
	}
	go func() {
		for _, callback := range callbacks {
			callback.done(callback.outcome)
		}
	}()
}

// enqueueAction defers an action until the call into the decision module has returned.
func (e *Engine) enqueueAction(a action) { e.pendingActions = append(e.pendingActions, a) }

// runActions executes the pending actions, including those that they cause.
func (e *Engine) runActions(now time.Duration) {
	for i := 0; i < len(e.pendingActions); i++ {
		a := e.pendingActions[i]
		switch a.kind {
		case actionAssign:
			a.route.handleAssignment(now, a.deliveryID, a.targetKey)
		case actionRefuse:
			a.route.handleRefusal(now, a.deliveryID)
		}
	}
	clear(e.pendingActions)
	e.pendingActions = e.pendingActions[:0]
}

// Submit sends a job. guard is called immediately before the first byte of each request for the job is written, on the goroutine
// that writes; if it returns false, nothing is written and the outcome is NotRun. It may be called before, with the engine locked.
// While the job can't have run, it may be offered to several workers. done is called exactly once, on another goroutine and never from within Submit.
func (e *Engine) Submit(job *Job, guard func() bool, done func(Outcome)) {
	e.doAndNotifyAsync(func(now time.Duration) {
		id := e.nextDeliveryID()
		d := &delivery{
			id:       id,
			sequence: e.lastSequence,
			job:      job,
			guard:    guard,
			done:     done,
		}
		r := e.routeByName(job.Route)
		if e.closed || r == nil || !isWellFormed(job) {
			e.pendingOutcomes = append(e.pendingOutcomes, outcomeCallback{done, Outcome{Kind: NotRun, RetryAfter: unplacedRetryDelay}})
			return
		}
		d.route, d.priority = r, r.config.Priority
		r.service.enqueue(now, d)
	})
}

// nextDeliveryID returns a new id for a delivery in the decision module.
func (e *Engine) nextDeliveryID() string {
	e.lastSequence++
	return strconv.FormatUint(e.lastSequence, 36)
}

// routeByName returns the route with this name, and starts its decision module on first use. It returns nil if the route or its
// service is not configured, or if the module rejects the route's settings.
func (e *Engine) routeByName(name string) *route {
	if r := e.routes[name]; r != nil {
		return r
	}
	if e.table == nil {
		return nil
	}
	config, ok := e.table.Route(name)
	if !ok || e.services[config.Service] == nil {
		return nil
	}
	r, err := newRoute(e, *config, e.services[config.Service])
	if err != nil {
		e.options.Log.Error(err, "decision module rejected the settings of the route: check and correct them", "route", name)
		return nil
	}
	e.routes[name] = r
	return r
}

// finish ends a delivery with its outcome.
func (e *Engine) finish(d *delivery, outcome Outcome) {
	e.pendingOutcomes = append(e.pendingOutcomes, outcomeCallback{d.done, outcome})
	if d.route.deliveries[d.id] != d {
		return // it never left the service's queue
	}
	delete(d.route.deliveries, d.id)
	d.route.service.deliveryFinished(e.now(), d)
}

// checkInvariant logs and counts a violated invariant, which is a bug in this package. The engine continues.
func (e *Engine) checkInvariant(holds bool, invariant string) {
	if holds {
		return
	}
	e.invariantViolations++
	e.options.Log.Error(errInvariantViolated, "bug in the delivery engine, please report it with this log", "invariant", invariant)
}

// ensureSocketAvailable reports whether one more connection may be opened. At the limit it closes an idle connection of any
// worker to make room.
func (e *Engine) ensureSocketAvailable() bool {
	if e.openConns < e.options.MaxSockets {
		return true
	}
	for _, t := range e.targets {
		if len(t.idleConns) > 0 {
			oldest := t.idleConns[0]
			t.closeIdleConns(func(c *conn) bool { return c == oldest })
			return true
		}
	}
	return false
}

// scheduleIdleSweep starts the timer for the next check of idle connections, unless it is already running.
func (e *Engine) scheduleIdleSweep() {
	if e.sweepScheduled {
		return
	}
	e.sweepScheduled = true
	time.AfterFunc(idleSweepInterval, e.sweepIdle)
}

// sweepIdle closes connections whose idle time is over, so that this side closes them before the workers do.
func (e *Engine) sweepIdle() {
	e.doAndNotify(func(now time.Duration) {
		e.sweepScheduled = false
		idle := 0
		for _, t := range e.targets {
			t.closeIdleConns(func(c *conn) bool { return now >= c.idleDeadline })
			idle += len(t.idleConns)
		}
		if idle > 0 {
			e.scheduleIdleSweep()
		}
	})
}

// Close ends the engine. Queued jobs end as NotRun. Connections in use are closed, and the outcome of their jobs is Unknown if
// the request had been written.
func (e *Engine) Close() {
	e.doAndNotifyAsync(func(time.Duration) {
		if e.closed {
			return
		}
		e.closed = true
		for _, r := range e.routes {
			r.remove()
		}
		for a := range e.attempts {
			if a.conn != nil {
				a.conn.close()
			}
		}
		for _, t := range e.targets {
			t.closeIdleConns(anyConn)
		}
		for _, s := range e.services {
			if s.limit != nil {
				s.limit.close()
			}
		}
		e.table = nil
		clear(e.routes)
	})
}
