// Package core is the dispatcher's reducer: every change of state goes through Reducer.Step, which takes a
// typed event and returns the effects it asks for. It hosts the decision module and keeps the platform's
// rules; it knows nothing of sockets or of any protocol.
package core

import (
	"container/heap"
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

// request is a caller's request until it is answered and its last branch has ended.
type request struct {
	call     Call
	deadline float64
	branches []*branch
	open     int  // branches that have not ended
	over     bool // the final answer was given, or is no longer owed
}

// branch is one attempt of a request.
type branch struct {
	id     BranchID
	no     int
	req    *request
	worker WorkerID
	addr   string
	sent   float64
	zone   string // of the worker, as it was told then
	cell   int
	begun  bool // its start has been passed on

	// An attempt is open, given up (its worker is being told, and code is what it will end as), or ended. released says that nothing of it
	// runs, or may yet, as far as its worker or this machine can know.
	givenUp  bool
	ended    bool
	code     choice.Code
	released bool

	inDoubt bool // its connection broke, and a report of its start is still waited for
}

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
	fleet      *membership.View // nil where this dispatcher keeps none
	says       membership.Says  // of itself, to the fleet
	recorder   *audit.Recorder  // nil where there is none
	auditNo    uint64           // the process's number in its account
	lease      float64          // seconds that it may act without touch with the fleet; 0 for any time
	fenceUntil float64          // when it may act no longer
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
	contested  int64                     // newest number of a list with two contents of which only what it takes out counts; 0 for none
	askAt      float64                   // when the source may be asked again for its whole list in place of one that is contested
	clashed    map[membership.Clash]bool // numbers of which it was said
	acting     int                       // members that may be acting, as last told to the decision module; 0 for the settings' number
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
		banned: map[WorkerID]bool{}, returned: map[WorkerID]float64{}, hints: map[WorkerID]hint{}, clashed: map[membership.Clash]bool{}}
	for i, c := range s.Classes {
		r.classes[c.Name] = i
	}
	for i, t := range s.Tenants {
		r.tenants[t.Name] = i
	}
	return r
}

// Due tells when the reducer next wants a Tick.
func (r *Reducer) Due() (float64, bool) {
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
			r.decider.Note(r.now, choice.Note{Request: string(b.req.call.ID), Worker: string(b.worker), Attempt: b.no, Taken: true})
		}
	case BranchReleased:
		r.released(ev)
	case JobReported:
		if ev.Exchange != 0 {
			a := Answer{Exchange: ev.Exchange, Verdict: Served}
			if r.requests[ev.Request] == nil && !r.spent[ev.Request] {
				a.Verdict = Unowned
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

var faultCodes = map[Fault]choice.Code{NoConnect: choice.NoConnect, Cut: choice.Cut, TurnedAway: choice.Busy,
	Broken: choice.Reset, Stale: choice.Stale, Errored: choice.Errored, Unfit: choice.Skipped, NotSent: choice.Skipped}

// branchFailed ends a branch whose job was not taken. Danger: a worker that turns away what it can't use is
// well; taken for an error of its own, a few bad requests would bar it from all others.
func (r *Reducer) branchFailed(b *branch, f Fault) {
	switch {
	case f == Unfit:
		r.endBranch(b, faultCodes[f], &Answer{Verdict: Rejected, Reason: "no worker can use the request"})
		return
	case f == Broken && b.begun:
		return // the job runs: its end will be reported, or it ends at the deadline
	case f == Broken && r.effect(b.req) == choice.AtMostOnce && !b.inDoubt:
		// Danger: a job that was taken before the break runs, and may never be sent again. Its start, if there
		// is one, is reported at once.
		b.inDoubt = true
		r.after(r.now+doubtTime, timer{kind: timerDoubt, branch: b.id, fault: f})
		return
	case b.begun && faultCodes[f].NeverRan():
		f = Errored // danger: the worker has told that it began, so what says that it never ran is another one's word, or a mistake
	case b.givenUp && (f == Broken || f == Stale):
		return // this machine closed the connection, and the worker is being told
	case f == Broken || f == Stale:
		// Danger: the worker may have taken the job and said so just as the connection broke.
		r.release(b, faultCodes[f])()
		return
	}
	b.released = f == Errored && !b.begun // where it has begun, whoever says that it ended may mean another one
	r.endBranch(b, faultCodes[f], nil)
}

// release gives a branch up, and returns what ends it. Where copies are not allowed and its class may be repeated, that is to wait for the word
// of its worker: until then it counts as out. Danger: a repeat elsewhere would be a second copy.
func (r *Reducer) release(b *branch, code choice.Code) (end func()) {
	r.giveUp(b)
	if b.code = code; !r.settings.SecondCopies && r.effect(b.req) != choice.AtMostOnce && !b.req.over {
		return func() {}
	}
	return func() { r.endBranch(b, code, nil) }
}

func (r *Reducer) callArrived(c Call) {
	class, known := r.classes[c.Class]
	tenant, hasTenant := r.tenants[c.Tenant]
	if !hasTenant {
		tenant = -1
	}
	switch {
	case !known:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Rejected, Reason: "unknown class"})
		return
	case r.requests[c.ID] != nil || r.spent[c.ID]:
		// An id used twice would mix up the two requests' call-backs, and a worker may still know the first.
		r.emit(Answer{Exchange: c.Exchange, Verdict: Rejected, Reason: "request id in use"})
		return
	case c.Remaining <= 0:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Failed, Reason: "no time remains"})
		return
	case r.fenced():
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "shut out"}) // asking elsewhere is harmless
		return
	case r.stopping:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "stopping"}) // danger: the process ends before an attempt could
		return
	case r.settings.OpenCap > 0 && len(r.exchanges) >= r.settings.OpenCap:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "too many open requests"})
		return
	}
	if most := r.settings.Classes[class].Deadline; most > 0 {
		c.Remaining = min(c.Remaining, most) // danger: a caller that says it waits for an hour is remembered for one
	}
	q := &request{call: c, deadline: r.now + c.Remaining}
	r.tally.Calls++
	r.requests[c.ID], r.exchanges[c.Exchange] = q, q
	r.after(q.deadline, timer{kind: timerExpire, request: c.ID, exchange: c.Exchange})
	r.decider.Request(r.now, choice.Request{ID: string(c.ID), Deadline: q.deadline, Class: class,
		Tenant: tenant, Key: c.Key, HasKey: c.HasKey, Memory: c.Memory, Slots: c.Slots, Hint: c.Hint,
		HasHint: c.HasHint, Repeat: c.Repeat})
}

func (r *Reducer) callerLeft(exchange ExchangeID) {
	if q := r.exchanges[exchange]; q != nil {
		r.finish(q)
		r.settle()
		r.decider.Withdrawn(r.now, string(q.call.ID))
	}
}

// expire ends a request at its caller's deadline. Open branches time out first, which lets the decider
// word the answer; where it says nothing the request fails, since no request may go unanswered.
func (r *Reducer) expire(q *request) {
	for _, b := range q.branches {
		if !b.ended {
			r.giveUp(b)
			r.endBranch(b, choice.TimedOut, nil)
		}
	}
	r.settle()
	if !q.over {
		r.answer(q, Answer{Verdict: Failed, Reason: "out of time"})
		r.decider.Withdrawn(r.now, string(q.call.ID))
	}
}

// effect tells what a repeat of the request would do.
func (r *Reducer) effect(q *request) choice.Effect {
	return r.settings.Classes[r.classes[q.call.Class]].Effect
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

// answer gives the one final answer of a request.
func (r *Reducer) answer(q *request, a Answer) {
	a.Exchange = q.call.Exchange
	r.act(actOf[a.Verdict], q, "")
	switch {
	case a.Verdict == Busy && len(q.branches) == 0:
		r.tally.RefusedAtOnce++
	case a.Verdict == Busy:
		r.tally.RefusedTried++
	case a.Verdict == Failed:
		r.tally.Failed++
	}
	r.emit(a)
	r.finish(q)
}

// finish marks that nothing more is owed to the caller, and gives up what is still out for it. Danger: an attempt whose connection is
// still being opened would be sent when that comes up, long after its caller has gone or was answered.
func (r *Reducer) finish(q *request) {
	q.over = true
	q.call.Message = Message{}
	delete(r.exchanges, q.call.Exchange)
	for _, b := range q.branches {
		if !b.ended {
			r.giveUp(b)
			r.later = append(r.later, func() { r.endBranch(b, choice.TimedOut, nil) }) // it tells nothing of its worker
		}
	}
	r.forget(q)
}

// forget drops a request that is answered and has no open branch.
func (r *Reducer) forget(q *request) {
	if q.over && q.open == 0 {
		delete(r.requests, q.call.ID)
		if r.now < q.deadline {
			r.spent[q.call.ID] = true
		}
	}
}

// released enters that the giving up of a branch is over, and ends the branch where that was waited for.
func (r *Reducer) released(ev BranchReleased) {
	q := r.requests[ev.Request]
	if q == nil {
		return
	}
	for _, b := range q.branches {
		if b.id == ev.Branch && b.givenUp {
			b.released = b.released || ev.Told
			r.endBranch(b, b.code, nil)
		}
	}
}

// endBranch passes the one outcome of a branch on. Where that decides the request it brings the final answer; the first one counts.
func (r *Reducer) endBranch(b *branch, code choice.Code, final *Answer) {
	if b.ended {
		return
	}
	b.ended, b.code = true, code
	b.released = b.released || code.NeverRan() || code == choice.Done
	delete(r.branches, b.id)
	q := b.req
	q.open--
	if final != nil && !q.over {
		r.answer(q, *final)
	}
	r.forget(q)
	r.decider.Outcome(r.now, choice.Outcome{Request: string(q.call.ID), Attempt: b.no, Worker: string(b.worker),
		Code: code, Latency: r.now - b.sent, Final: q.over})
}

// actOf is how the account counts an answer.
var actOf = map[Verdict]audit.Kind{Served: audit.Answered, Busy: audit.Refused, Failed: audit.Failed, Rejected: audit.Failed, Unowned: audit.Failed}

// giveUp has a branch's worker told that nobody waits for it any more, once.
func (r *Reducer) giveUp(b *branch) {
	if b.givenUp {
		return
	}
	b.givenUp = true
	r.act(audit.GivenUp, b.req, b.worker)
	r.emit(GiveUpBranch{Branch: b.id, Request: b.req.call.ID, Worker: b.worker, Addr: b.addr})
}

// jobReported applies a call-back. Calls are repeated until answered and may come late, so whatever names
// no open branch changes nothing. A request may have branches at several workers: the sender tells which.
func (r *Reducer) jobReported(ev JobReported) {
	q := r.requests[ev.Request]
	if q == nil {
		return
	}
	var b *branch
	known := false
	for _, x := range q.branches {
		if x.worker == ev.From {
			known = true
			if !x.ended {
				b = x
			}
		}
	}
	if b == nil {
		if known && ev.State == JobDone && !q.over {
			r.doneAfterAll(q, ev.Result)
		}
		return
	}
	switch ev.State {
	case JobStarted, JobRunning:
		if ev.State == JobStarted && b.begun {
			return
		}
		b.begun = true
		r.decider.Note(r.now, choice.Note{Request: string(q.call.ID), Worker: string(b.worker), Attempt: b.no,
			Started: ev.State == JobStarted, Share: ev.Share})
	case JobDone:
		r.endBranch(b, choice.Done, &Answer{Verdict: Served, Body: ev.Result})
	case JobFailed:
		b.released = true
		r.endBranch(b, choice.Errored, nil)
	case JobReturned:
		code := choice.Returned
		if b.begun {
			code = choice.Errored // danger: what has begun was not handed back unstarted, whoever says so
		}
		r.endBranch(b, code, nil)
	case JobLost:
		b.released = true
		r.endBranch(b, choice.Reset, nil)
	}
}

// doneAfterAll serves a request with the result of a branch that was taken for lost, and ends the others.
func (r *Reducer) doneAfterAll(q *request, result []byte) {
	r.answer(q, Answer{Verdict: Served, Body: result})
	r.settle()
	r.decider.Withdrawn(r.now, string(q.call.ID))
}

var workerStates = map[WorkerState]choice.State{WorkerActive: choice.InService, WorkerLeaving: choice.Terminating,
	WorkerLeft: choice.Terminated}

// applyRouteSet takes discovery's news before any later branch is sent.
func (r *Reducer) applyRouteSet(set RouteSet, form choice.ListForm) {
	r.version = set.Version
	before := maps.Clone(r.workers)
	if set.Full {
		r.workers = make(map[WorkerID]Worker, len(set.Workers))
	}
	list := make([]choice.Worker, 0, len(set.Workers))
	for _, h := range set.Workers {
		r.workers[h.ID] = h
	}
	back := r.unhint(set.Version) // discovery's own word
	for _, h := range set.Workers {
		list = append(list, r.worker(h))
	}
	if !set.Full {
		for _, h := range back {
			list = append(list, r.worker(h))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		h := before[id]
		now, listed := r.workers[id]
		if h.State == WorkerActive && (!listed || now.State != WorkerActive || now.Addr != h.Addr) {
			r.emit(DropWorker{Addr: h.Addr})
		}
	}
	for id, h := range r.workers {
		if h.State == WorkerLeft {
			delete(r.workers, id)
		}
	}
	maps.DeleteFunc(r.returned, func(id WorkerID, _ float64) bool {
		_, listed := r.workers[id]
		return !listed
	})
	r.decider.List(r.now, form, list)
	r.acted, r.summed, r.contested = r.version, false, 0
	r.holds()
	if form != choice.ListRemembered {
		r.drained(before)
	}
}

// reloaded applies a configuration read again. A new source is asked for its whole list at once; its version
// numbers have nothing to do with the old one's.
func (r *Reducer) reloaded(ev Reloaded) {
	r.emit(SetLimits{Limits: ev.Limits})
	if ev.Discovery == r.source.Addr {
		return
	}
	r.source = Source{Addr: ev.Discovery, No: r.source.No + 1}
	r.version, r.acted, r.watching, r.doubted = VersionUnknown, VersionUnknown, true, false
	r.recent, r.contested = nil, 0
	clear(r.hints) // of the old source; each worker that is still out is told by the new one
	r.audited.Begun++
	r.holds()
	r.emit(Watch{On: true, Source: r.source, Since: r.version})
}

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerExpire  timerKind = iota + 1 // a request's deadline
	timerBranch                       // a branch's end before that
	timerDoubt                        // the end of the wait for a start that was in doubt
	timerDecider                      // the decision module's own
)

// timer says what is to be done when its time has come. It is a record, not a function, so that it can be written
// down and taken up by another process.
type timer struct {
	at       float64
	seq      uint64
	kind     timerKind
	request  RequestID  // timerExpire
	exchange ExchangeID // timerExpire: ids may be used again, exchanges are not
	branch   BranchID   // timerBranch, timerDoubt
	fault    Fault      // timerDoubt
	token    uint64     // timerDecider
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// after sets a timer.
func (r *Reducer) after(at float64, t timer) {
	r.timerSeq++
	t.at, t.seq = at, r.timerSeq
	heap.Push(&r.timers, t)
}

// fireTimers runs what is due, up to the last timer set before this step: the decider expects those that it
// sets meanwhile in a later one.
func (r *Reducer) fireTimers(last uint64) {
	for len(r.timers) > 0 && r.timers[0].at <= r.now && r.timers[0].seq <= last {
		r.fire(heap.Pop(&r.timers).(timer))
		r.settle()
	}
}

func (r *Reducer) fire(t timer) {
	switch t.kind {
	case timerExpire:
		delete(r.spent, t.request)
		if q := r.requests[t.request]; q != nil && q.call.Exchange == t.exchange {
			r.expire(q)
		}
	case timerBranch:
		if b := r.branches[t.branch]; b != nil {
			r.giveUp(b)
			r.endBranch(b, choice.TimedOut, nil)
		}
	case timerDoubt:
		if b := r.branches[t.branch]; b != nil {
			r.branchFailed(b, t.fault)
		}
	case timerDecider:
		r.decider.Timer(r.now, t.token)
	}
}
