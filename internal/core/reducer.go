// Package core is the dispatcher's reducer: every change of state goes through Reducer.Step, which takes a
// typed event and returns the effects it asks for. It hosts the decision module and keeps the platform's
// rules; it knows nothing of sockets or of any protocol.
package core

import (
	"fmt"
	"maps"
	"slices"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
	"foldlb.example/foldlb/internal/membership"
)

// mostUninformed is for how long at the most a new process says that it is not ready since discovery has not answered, in seconds. Danger: who
// is given requests before that sends them to workers that have long gone; and where discovery is down, nobody would ever be ready.
const mostUninformed = 3.0

// doubtTime is how long a job in doubt may take to report its start, in seconds.
const doubtTime = 0.15

// Reducer owns all state of a dispatcher. It must be used from one goroutine.
type Reducer struct {
	now        float64
	settings   choice.Settings
	classes    map[string]int
	tenants    map[string]int
	decider    *choice.Dispatcher
	requests   map[RequestID]*request
	spent      map[RequestID]bool // ids of requests that have ended, until their deadlines
	exchanges  map[ExchangeID]*request
	branches   map[BranchID]*branch
	workers    map[WorkerID]Worker
	source     Source
	version    int64                // of the list that the source told
	watching   bool                 // a watch of the source was asked for and has not been refused
	readyAt    float64              // when it is ready whatever discovery says; 0 once that has told or refused something
	banned     map[WorkerID]bool    // out by hand, listed or not
	returned   map[WorkerID]float64 // when a listed worker was put back by hand
	hints      map[WorkerID]hint    // out by a peer's word, listed as active
	hintsAt    float64              // when the next question for drains may go out
	deafUntil  float64              // until when no hints are believed, since the source has begun anew
	recent     []HintState          // drains that were told lately, by this source or by peers
	routesName string               // of the source, among the members of a fleet
	draining   bool                 // by hand
	stopping   bool                 // all that was taken has been answered, and the process ends
	doubted    bool                 // the source was asked for its whole list, since what it told was odd
	tally      Tally
	fleet      *membership.View    // nil where this dispatcher keeps none
	says       membership.SelfInfo // of itself, to the fleet
	recorder   *audit.Recorder     // nil where there is none
	auditNo    uint64              // the process's number in its account
	lease      float64             // seconds that it may act without touch with the fleet; 0 for any time
	fenceUntil float64             // when it may act no longer
	fenceWhy   string
	audited    audit.Versions // as the recorder holds them
	shared     []byte         // the configuration's shared part, as text; empty where it is not known
	sharedBy   string         // the member that told it; empty for the own file
	bringsUp   bool           // newer configurations are asked for at members that act on them
	fetchAt    float64        // when the next question for one may go out
	fetches    uint64         // questions that went out
	acted      int64          // newest version of the source's route set that was held
	routeSum   uint64         // digest of the route set, where it is summed up
	summed     bool
	contested  int64                               // newest number of a list with two contents of which only what it takes out counts; 0 for none
	askAt      float64                             // when the source may be asked again for its whole list in place of one that is contested
	clashed    map[membership.VersionConflict]bool // numbers of which it was said
	acting     int                                 // members that may be acting, as last told to the decision module; 0 for the settings' number
	timers     timerHeap
	timerSeq   uint64
	lastID     BranchID
	effects    []Effect
	later      []func() // outcomes that the decider's own actions caused; it must not be called from them
}

// New starts a reducer from the route set that the dispatcher last held, with discovery's address. The first
// effects come with Resume, where lists are pushed, and with the first Step.
func New(now float64, s choice.Settings, known RouteSet, discovery string) (*Reducer, error) {
	r := empty(now, s)
	r.source = Source{Addr: discovery}
	s.TellsTaken = true // as BranchTaken
	d, err := choice.New(now, s, host{r})
	if err != nil {
		return nil, fmt.Errorf("start the decision module: %w", err)
	}
	r.decider = d
	known.Full = true
	r.applyRouteSet(known, choice.ListRemembered)
	// Danger: what is remembered may be old, and all that has changed since counts as told from the first moment; and where lists are pushed
	// the module asks for nothing, but the agent that they are pushed to speaks only when it is watched. So a new process watches at once.
	r.watching, r.readyAt = true, now+mostUninformed
	return r, nil
}

// empty makes a reducer without a decision module.
func empty(now float64, s choice.Settings) *Reducer {
	r := &Reducer{now: now, settings: s, classes: map[string]int{}, tenants: map[string]int{}, requests: map[RequestID]*request{},
		spent: map[RequestID]bool{}, exchanges: map[ExchangeID]*request{}, branches: map[BranchID]*branch{}, workers: map[WorkerID]Worker{},
		banned: map[WorkerID]bool{}, returned: map[WorkerID]float64{}, hints: map[WorkerID]hint{}, clashed: map[membership.VersionConflict]bool{}}
	for i, c := range s.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		r.tenants[t.Name] = i
	}
	return r
}

// Due tells when the reducer next wants a Tick.
func (r *Reducer) NextTimer() (float64, bool) {
	if len(r.timers) == 0 {
		return 0, false
	}
	return r.timers[0].at, true
}

// Step applies one event at the given time, then the timers that are due, and returns the effects to carry
// out, in order. Danger: timers first would send branches to a worker whose drain the event tells, and
// time out what the event says is done.
func (r *Reducer) Step(now float64, ev Event) []Effect {
	r.now = max(r.now, now) // the clock never runs backwards for the decider
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
		if b := r.branches[ev.Branch]; b != nil && !b.begun {
			r.decider.AttemptUpdate(r.now, choice.AttemptUpdate{Request: string(b.req.call.ID), Worker: string(b.worker), Attempt: b.no, Taken: true})
		}
	case BranchReleased:
		r.released(ev)
	case JobReported:
		if ev.Exchange != 0 {
			a := Answer{Exchange: ev.Exchange, Verdict: Served}
			if r.requests[ev.Request] == nil && !r.spent[ev.Request] {
				a.Verdict = UnknownRequest
			}
			r.emit(a)
		}
		r.jobReported(ev)
	case RouteSetTold:
		if ev.Source != r.source {
			break // danger: an old source's list may be older than what the new one has told
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
		r.figures()
	case Stopping:
		r.stop()
	case Tick:
	case AuditBegun, AuditLooked, AuditConfigured, AuditAsked, AuditEnded:
		r.auditOf(ev)
	default:
		r.fleetOf(ev)
	}
	r.settle()
	r.fireTimers(last)
	out := r.effects
	r.effects = nil
	return out
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

// settle delivers the outcomes that the decider's own actions have caused.
func (r *Reducer) settle() {
	for len(r.later) > 0 {
		next := r.later[0]
		r.later = r.later[1:]
		next()
	}
}

// stop answers all that callers wait for, since nothing will answer it later. Busy is a promise that asking
// again is harmless, so only what never ran, or may be repeated freely, is told that.
func (r *Reducer) stop() {
	r.stopping = true
	for _, exchange := range slices.Sorted(maps.Keys(r.exchanges)) { // in order, so that twins do alike
		q := r.exchanges[exchange]
		a := Answer{Verdict: Busy, Reason: "stopping"}
		if len(q.branches) > 0 && r.effect(q) != choice.Idempotent {
			a.Verdict = Failed
		}
		r.answer(q, a)
	}
}
