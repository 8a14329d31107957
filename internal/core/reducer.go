// Package core holds the dispatcher's reducer: every change of state goes through Reducer.Step, which takes a typed
// event and returns the effects to perform, in order. It hosts the decision module (package choice) and enforces the
// platform's rules. It does no I/O and is independent of sockets and protocols.
package core

import (
	"fmt"
	"maps"
	"slices"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

// maxDiscoveryWaitS bounds how long a new process reports itself as not ready while discovery has not answered. If it
// were ready at once, it would send requests to workers that left long ago; without the bound, no new process would
// become ready during an outage of discovery.
const maxDiscoveryWaitS = 3.0

// startReportWaitS is how long to wait for a worker's report that a job started after the connection to it broke.
const startReportWaitS = 0.15

// Reducer owns all state of a dispatcher. It is not safe for concurrent use. Times are seconds on the dispatcher's clock.
type Reducer struct {
	now               float64
	settings          choice.Settings
	classes           map[string]int
	tenants           map[string]int
	decider           *choice.Dispatcher
	requests          map[RequestID]*request
	endedIDs          map[RequestID]bool // ids of finished requests whose deadlines have not passed
	exchanges         map[ExchangeID]*request
	branches          map[BranchID]*branch
	workers           map[WorkerID]Worker
	source            Source
	routeSetVersion   int64                // of the route set last received from the source
	watching          bool                 // a watch of the source was requested and has not been refused
	readyAt           float64              // when the dispatcher is ready even if discovery has not answered; 0 once it has answered or refused
	banned            map[WorkerID]bool    // taken out of use by an operator, listed or not
	restoredAt        map[WorkerID]float64 // when an operator put a listed worker back into use
	hints             map[WorkerID]hint    // listed as active, but reported as draining by a peer or by a contested list
	nextHintRequestAt float64              // earliest time of the next AskHints
	hintsIgnoredUntil float64              // hints are ignored until then, because the source has started over
	recentDrains      []HintState          // drains received recently from this source or from peers
	routeSourceName   string               // the source's name within the fleet; empty for its address
	draining          bool                 // an operator has ordered it
	stopping          bool                 // the process is ending, and every request taken has been answered
	recheckPending    bool                 // the source was asked for its full list because its last one was implausible
	tally             Tally
	fleet             *membership.View    // nil without a fleet
	ownVersions       membership.SelfInfo // what this process reports of itself to the fleet
	recorder          *audit.Recorder     // nil without an audit
	auditProcess      uint64              // the process's number in its audit records
	leaseS            float64             // seconds that the dispatcher may act without contact to its fleet; 0 for no limit
	mayActUntil       float64             // nothing new may be sent from then on
	fenceReason       string              // for operators
	heldVersions      audit.Versions      // as the recorder has them
	sharedConfig      []byte              // the configuration's shared part as text; empty if unknown
	sharedConfigFrom  string              // the member it came from; empty for the local file
	fetchesConfigs    bool                // newer configurations are requested from members that have them in force
	nextConfigFetchAt float64             // earliest time of the next FetchConfig
	peerRequests      uint64              // sent so far, to spread them over the peers
	newestHeldVersion int64               // newest version of the source's route set that was in use
	routeSetDigest    uint64              // valid if digestValid is set
	digestValid       bool
	contestedVersion  int64                               // newest version with conflicting contents whose removals alone are applied; 0 for none
	nextFullFetchAt   float64                             // earliest time of the next request for the full list while one is contested
	loggedClashes     map[membership.VersionConflict]bool // conflicts that have been logged, without their members
	actingMembers     int                                 // members that may be acting, as last passed to the decision module; 0 for the number in the settings
	timers            timerHeap
	timerSeq          uint64
	lastID            BranchID
	effects           []Effect
	deferred          []func() // outcomes caused by the decision module's own actions, which must not be delivered from within them
}

// New returns a reducer that starts with the route set that the dispatcher last held, and with discovery's address. The
// first effects come from Resume, where lists are pushed, and from the first Step.
func New(now float64, s choice.Settings, known RouteSet, discovery string) (*Reducer, error) {
	r := newReducer(now, s)
	r.source = Source{Addr: discovery}
	s.TellsTaken = true // the connections to workers report it, as BranchTaken
	d, err := choice.New(now, s, host{r})
	if err != nil {
		return nil, fmt.Errorf("start the decision module: %w", err)
	}
	r.decider = d
	known.Full = true
	r.applyRouteSet(known, choice.ListRemembered)
	// The remembered route set may be stale, and drains ordered since must be honoured from the start. Where lists are
	// pushed the decision module requests nothing, but the agent that receives the pushes reports only to a watcher. A
	// new process therefore opens a watch at once.
	r.watching, r.readyAt = true, now+maxDiscoveryWaitS
	return r, nil
}

// newReducer returns a reducer without a decision module.
func newReducer(now float64, s choice.Settings) *Reducer {
	r := &Reducer{now: now, settings: s, classes: map[string]int{}, tenants: map[string]int{}, requests: map[RequestID]*request{},
		endedIDs: map[RequestID]bool{}, exchanges: map[ExchangeID]*request{}, branches: map[BranchID]*branch{}, workers: map[WorkerID]Worker{},
		banned: map[WorkerID]bool{}, restoredAt: map[WorkerID]float64{}, hints: map[WorkerID]hint{}, loggedClashes: map[membership.VersionConflict]bool{}}
	for i, c := range s.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		r.tenants[t.Name] = i
	}
	return r
}

// NextTimer returns the time at which the reducer next needs a Tick; false if no timer is pending.
func (r *Reducer) NextTimer() (float64, bool) {
	if len(r.timers) == 0 {
		return 0, false
	}
	return r.timers[0].at, true
}

// Step applies one event at the given time, then fires the timers that are due, and returns the effects to perform, in
// order. If timers came first, they would send branches to a worker that the event drains, and time out a job that
// the event reports as done.
func (r *Reducer) Step(now float64, ev Event) []Effect {
	r.now = max(r.now, now) // the decision module requires a clock that never runs backwards
	last := r.timerSeq
	switch ev := ev.(type) {
	case CallArrived:
		r.callArrived(ev.Call)
	case CallerLeft:
		r.callerLeft(ev.Exchange)
	case HealthAsked:
		if r.draining {
			r.emit(Answer{Exchange: ev.Exchange, Verdict: Busy, Reason: "draining"})
		} else if r.fenced() {
			r.emit(Answer{Exchange: ev.Exchange, Verdict: Busy, Reason: "shut out"})
		} else if r.now < r.readyAt {
			r.emit(Answer{Exchange: ev.Exchange, Verdict: Busy, Reason: "discovery has not answered yet"})
		} else {
			r.emit(Answer{Exchange: ev.Exchange, Verdict: Served, Body: []byte("ready\n")})
		}
	case BranchFailed:
		if b := r.branches[ev.Branch]; b != nil {
			r.branchFailed(b, ev.Fault)
		}
	case BranchTaken:
		if b := r.branches[ev.Branch]; b != nil && !b.started {
			r.decider.AttemptUpdate(r.now, choice.AttemptUpdate{Request: string(b.req.call.ID), Worker: string(b.worker), Attempt: b.no, Taken: true})
		}
	case BranchReleased:
		r.branchReleased(ev)
	case JobReported:
		if ev.Exchange != 0 {
			a := Answer{Exchange: ev.Exchange, Verdict: Served}
			if r.requests[ev.Request] == nil && !r.endedIDs[ev.Request] {
				a.Verdict = UnknownRequest
			}
			r.emit(a)
		}
		r.jobReported(ev)
	case RouteSetTold:
		if ev.Source != r.source {
			break // a list of the previous source may be older than what the new one has sent
		}
		r.readyAt = 0
		r.routeSetTold(ev.RouteSet)
	case RouteSetRefused:
		if ev.Source == r.source {
			r.watching, r.readyAt = false, 0
			r.decider.List(r.now, choice.ListRefused, nil)
		}
	case Reloaded:
		r.reloaded(ev)
	case BanOrdered:
		r.banOrdered(ev)
	case DrainOrdered:
		r.drainOrdered(ev)
	case FiguresAsked:
		r.emitFigures()
	case Stopping:
		r.stop()
	case Tick:
	case AuditBegun, AuditLooked, AuditConfigured, AuditAsked, AuditEnded:
		r.applyAuditEvent(ev)
	default:
		r.applyFleetEvent(ev)
	}
	r.runDeferred()
	r.fireTimers(last)
	out := r.effects
	r.effects = nil
	return out
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// runDeferred delivers the outcomes caused by the decision module's own actions.
func (r *Reducer) runDeferred() {
	for len(r.deferred) > 0 {
		next := r.deferred[0]
		r.deferred = r.deferred[1:]
		next()
	}
}

// stop answers every request that a caller is waiting for, since nothing will answer it later. Busy promises that
// a repeat is harmless, so it is given only to requests that never ran or are idempotent.
func (r *Reducer) stop() {
	r.stopping = true
	for _, exchange := range slices.Sorted(maps.Keys(r.exchanges)) { // sorted, as effects must be reproducible
		q := r.exchanges[exchange]
		a := Answer{Verdict: Busy, Reason: "stopping"}
		if len(q.branches) > 0 && r.effectOf(q) != choice.Idempotent {
			a.Verdict = Failed
		}
		r.answer(q, a)
	}
}
