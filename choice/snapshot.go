package choice

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Snapshot is all that a Dispatcher remembers, as a value without pointers. Its fields are exported so that any
// well-kept serialisation can write it down; what can be worked out from others is left out.
// Times are seconds on the host's clock, which must go on counting where the state is taken up.
type Snapshot struct {
	RNG      []byte // of math/rand/v2's PCG
	Classes  []ClassState
	Tenants  []TenantState
	Kinds    []KindState   // in the order in which they were first seen
	Workers  []WorkerState // sorted by id
	Gone     []WorkerState // no longer known, but attempts of open requests were theirs
	Requests []RequestState
	Moves    []MoveState
	Scalars  Scalars
}

// Scalars holds the figures that exist once for each dispatcher.
type Scalars struct {
	Token                                                                                                uint64
	RefreshAt, RefreshedAt, Probes, Retries, Late, PaidMoves, Found, Dear, NoRoom, Wait, Took, ListPause float64
	Back, Turned                                                                                         float64
	NextProbe                                                                                            int
	Subscribed, Asked                                                                                    bool
}

// ClassState is what is known of a class.
type ClassState struct {
	Name                                         string
	Sum, Most, Hint, Hints, Median, Run, Fastest float64
}

// RateState is a decaying sum and the time that it is of.
type RateState struct{ Sum, At float64 }

// TenantState is what is known of a tenant.
type TenantState struct {
	Name string
	Seen RateState
}

// KindState is what is known of a machine kind.
type KindState struct {
	Name                          string
	Medians                       []float64 // by class
	Work, UnitTime                RateState
	Squares                       RateState `cbor:",omitempty"`
	Free, Reports, Carried, Units float64
}

// ProfileState is a worker's record with one class.
type ProfileState struct{ Took, Cost, Inv float64 }

// WorkerState is what is known of a worker.
type WorkerState struct {
	Worker                                                        Worker
	Home, Listed                                                  bool
	Profiles                                                      []ProfileState // by class
	Out                                                           []AttemptRef   // oldest first
	LifeAt, Free, FreeAt, FullTill, FullSlots, BarTill, UnsafeTil float64
	BarSpan, Bad, Credit, Need, ColdAt, ProbedAt, Wait, WaitAt    float64
}

// AttemptRef names an attempt by its request's place in Snapshot.Requests and its number.
type AttemptRef struct{ Request, Attempt int }

// RequestState is a request that is open, or has an attempt out.
type RequestState struct {
	Request      Request
	Arrived      float64
	Over, Excess bool
	Judged       bool
	Token        uint64
	Waiting      bool // for the timer of its token
	Attempts     []AttemptState
}

// AttemptState is one attempt of a request.
type AttemptState struct {
	Worker                                  int // place in Snapshot.Workers; -1-n for place n in Snapshot.Gone
	Sent, StartedAt, HeardAt                float64
	Started, Taken, Spared, Ended, NeverRan bool
	Once                                    bool `cbor:",omitempty"`
	Listen                                  uint64
}

// MoveState says that a timer will look at an attempt.
type MoveState struct {
	Token   uint64
	Attempt AttemptRef
}

// ErrState says that a state can't be taken up. The errors of Restore wrap it and name what is wrong.
var ErrState = errors.New("choice: state not usable")

// Export returns all that the dispatcher remembers. The dispatcher is not changed and shares nothing with it.
func (d *Dispatcher) Export() (Snapshot, error) {
	rng, err := d.pcg.MarshalBinary()
	if err != nil {
		return Snapshot{}, fmt.Errorf("choice: random numbers: %w", err)
	}
	s := Snapshot{RNG: rng, Scalars: Scalars{Token: d.timerToken, RefreshAt: d.nextRefreshAt, RefreshedAt: d.refreshedAt,
		Probes: d.probeCredit, Retries: d.retryCredit, Late: d.lateShare, Back: d.returnShare, Turned: d.shedShare, PaidMoves: d.moveCredit, Found: d.moveHitShare, Dear: d.meanCost,
		NoRoom: d.refusedConnShare, Wait: d.wait, Took: d.meanResponse, ListPause: d.listRetryDelay, NextProbe: d.nextProbe, Subscribed: d.subscribed, Asked: d.subscribeSent}}
	for i := range d.classes {
		c := &d.classes[i]
		s.Classes = append(s.Classes, ClassState{Name: c.Name, Sum: c.inverseSum, Most: c.inverseMax, Hint: c.meanHint, Hints: c.hintCount,
			Median: c.median, Run: c.meanRun, Fastest: c.fastestMedian})
	}
	for i := range d.tenants {
		s.Tenants = append(s.Tenants, TenantState{Name: d.tenants[i].Name, Seen: d.tenants[i].requestRate.export()})
	}
	names := make(map[*kind]string, len(d.kinds))
	for name, k := range d.kinds {
		names[k] = name
	}
	for _, k := range d.kindList {
		s.Kinds = append(s.Kinds, KindState{Name: names[k], Medians: slices.Clone(k.medians), Work: k.workRate.export(),
			UnitTime: k.capacityTime.export(), Squares: k.workSquareRate.export(), Free: k.freeSlots, Reports: k.reportCount, Carried: k.peakLoad, Units: k.capacity})
	}
	place := make(map[*worker]int, len(d.workers))
	for i, w := range d.workers {
		place[w] = i
	}
	open := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	number := make(map[*request]int, len(open))
	for i, r := range open {
		number[r] = i
		s.Requests = append(s.Requests, s.exportRequest(r, d.delayed[r.timerToken] == r, place))
	}
	for _, w := range d.workers {
		ws := exportWorker(w)
		for _, a := range w.outstanding {
			ws.Out = append(ws.Out, AttemptRef{number[a.req], a.number})
		}
		s.Workers = append(s.Workers, ws)
	}
	for token, a := range d.attemptTimers {
		// What has ended or is over stays where it is, whenever the timer comes: it need not be kept.
		if n, ok := number[a.req]; ok && !a.ended && !a.req.finished {
			s.Moves = append(s.Moves, MoveState{token, AttemptRef{n, a.number}})
		}
	}
	slices.SortFunc(s.Moves, func(a, b MoveState) int { return cmp.Compare(a.Token, b.Token) })
	return s, nil
}

func (m rate) export() RateState { return RateState{m.sum, m.at} }

func (s *Snapshot) exportRequest(r *request, waiting bool, place map[*worker]int) RequestState {
	q := RequestState{Request: r.Request, Arrived: r.arrivedAt, Over: r.finished, Excess: r.overShare, Judged: r.lateCounted, Token: r.timerToken, Waiting: waiting}
	for _, a := range r.attempts {
		at, ok := place[a.w]
		if !ok { // it has left for good; repeats must still keep to its group
			s.Gone = append(s.Gone, exportWorker(a.w))
			at = -len(s.Gone)
			place[a.w] = at
		}
		q.Attempts = append(q.Attempts, AttemptState{Worker: at, Sent: a.sentAt, StartedAt: a.startedAt, HeardAt: a.lastUpdateAt,
			Started: a.started, Taken: a.taken, Spared: a.moveDeferred, Ended: a.ended, NeverRan: a.neverRan, Once: a.workerExcluded, Listen: a.progressTimer})
	}
	return q
}

func exportWorker(w *worker) WorkerState {
	ws := WorkerState{Worker: w.Worker, Home: w.sameZone, Listed: w.listed, LifeAt: w.lastAliveAt, Free: w.freeSlots, FreeAt: w.freeSlotsAt,
		FullTill: w.fullUntil, FullSlots: w.fullFromSlots, BarTill: w.ejectedUntil, UnsafeTil: w.unsafeUntil, BarSpan: w.ejectionDuration,
		Bad: w.failureShare, Credit: w.coldBudget, Need: w.coldThreshold, ColdAt: w.coldBudgetAt, ProbedAt: w.probedAt,
		Wait: w.wait, WaitAt: w.waitAt}
	for i, p := range w.profiles {
		ws.Profiles = append(ws.Profiles, ProfileState{p.response, p.cost, w.inverse[i]})
	}
	return ws
}

// Restore makes a dispatcher that goes on where the exported one stood: from the same events it takes the
// same decisions. The settings may differ from the exported one's: classes and tenants are found by name, new
// ones start afresh, and only a class that has gone with requests of it open is an error. Nothing is asked of
// act before the first event. A state that does not fit together is an error that wraps ErrState.
func Restore(s Settings, act Actions, st Snapshot) (*Dispatcher, error) {
	if len(st.Workers) > 1<<20 || len(st.Requests) > 1<<20 {
		return nil, fmt.Errorf("%w: %d workers and %d requests", ErrState, len(st.Workers), len(st.Requests))
	}
	d, err := New(0, s, muted{act})
	if err != nil {
		return nil, err
	}
	d.actions = act
	if err := d.pcg.UnmarshalBinary(st.RNG); err != nil {
		return nil, fmt.Errorf("%w: random numbers: %w", ErrState, err)
	}
	x := st.Scalars
	d.timerToken, d.nextRefreshAt, d.refreshedAt, d.probeCredit, d.retryCredit = x.Token, x.RefreshAt, x.RefreshedAt, x.Probes, x.Retries
	d.lateShare, d.moveCredit, d.moveHitShare, d.meanCost, d.refusedConnShare, d.wait, d.meanResponse = x.Late, x.PaidMoves, x.Found, x.Dear, x.NoRoom, x.Wait, x.Took
	d.returnShare, d.shedShare = x.Back, x.Turned
	d.listRetryDelay, d.nextProbe, d.subscribed, d.subscribeSent = x.ListPause, max(0, x.NextProbe%(1<<21)), x.Subscribed, x.Asked
	r := restorer{d: d, st: &st, class: make([]int, len(st.Classes))}
	r.scalars()
	if err := r.kinds(); err != nil {
		return nil, err
	}
	if err := r.workers(); err != nil {
		return nil, err
	}
	if err := r.requests(); err != nil {
		return nil, err
	}
	return d, r.inFlight()
}

// muted is an act that asks for nothing, for the time of a start.
type muted struct{ Actions }

func (muted) Timer(float64, uint64) {}

// restorer holds what the steps of one Restore share.
type restorer struct {
	d     *Dispatcher
	st    *Snapshot
	class []int // the state's class number -> the dispatcher's; -1 for a class that has gone
	gone  []*worker
	open  []*request
}

// scalars takes up the classes' and tenants' figures by their names.
func (r *restorer) scalars() {
	d := r.d
	for i, c := range r.st.Classes {
		r.class[i] = slices.IndexFunc(d.classes, func(x class) bool { return x.Name == c.Name })
		if n := r.class[i]; n >= 0 {
			to := &d.classes[n]
			to.inverseSum, to.inverseMax, to.meanHint, to.hintCount, to.median, to.meanRun, to.fastestMedian = c.Sum, c.Most, c.Hint, c.Hints, c.Median, c.Run, c.Fastest
		}
	}
	for _, t := range r.st.Tenants {
		if n := slices.IndexFunc(d.tenants, func(x tenant) bool { return x.Name == t.Name }); n >= 0 {
			d.tenants[n].requestRate = rate{t.Seen.Sum, t.Seen.At}
		}
	}
}

func (r *restorer) kinds() error {
	for i, k := range r.st.Kinds {
		if len(k.Medians) != len(r.class) || r.d.kinds[k.Name] != nil {
			return fmt.Errorf("%w: kind %d (%q) has %d medians for %d classes, or is there twice", ErrState, i, k.Name,
				len(k.Medians), len(r.class))
		}
		to := r.d.kindNamed(k.Name)
		for j, m := range k.Medians {
			if n := r.class[j]; n >= 0 {
				to.medians[n] = m
			}
		}
		to.workSquareRate = rate{k.Squares.Sum, k.Squares.At}
		to.workRate, to.capacityTime = rate{k.Work.Sum, k.Work.At}, rate{k.UnitTime.Sum, k.UnitTime.At}
		to.freeSlots, to.reportCount, to.peakLoad, to.capacity = k.Free, k.Reports, k.Carried, k.Units
	}
	return nil
}

func (r *restorer) workers() error {
	d := r.d
	for i, ws := range r.st.Workers {
		if d.byID[ws.Worker.ID] != nil || i > 0 && d.workers[i-1].ID > ws.Worker.ID {
			return fmt.Errorf("%w: worker %d (%q) is there twice or out of order", ErrState, i, ws.Worker.ID)
		}
		w, err := r.worker(ws)
		if err != nil {
			return fmt.Errorf("worker %d: %w", i, err)
		}
		d.workers = append(d.workers, w)
		d.byID[w.ID] = w
	}
	for i, ws := range r.st.Gone {
		w, err := r.worker(ws)
		if err != nil {
			return fmt.Errorf("gone worker %d: %w", i, err)
		}
		r.gone = append(r.gone, w)
	}
	for i := range d.classes {
		d.listCandidates(i)
	}
	return nil
}

func (r *restorer) worker(ws WorkerState) (*worker, error) {
	if len(ws.Profiles) != len(r.class) {
		return nil, fmt.Errorf("%w: %d profiles for %d classes", ErrState, len(ws.Profiles), len(r.class))
	}
	k := r.d.kinds[ws.Worker.Kind]
	if k == nil {
		return nil, fmt.Errorf("%w: unknown kind %q", ErrState, ws.Worker.Kind)
	}
	w := r.d.newWorker(k)
	w.Worker, w.sameZone, w.listed = ws.Worker, ws.Home, ws.Listed
	w.lastAliveAt, w.freeSlots, w.freeSlotsAt, w.fullUntil, w.fullFromSlots = ws.LifeAt, ws.Free, ws.FreeAt, ws.FullTill, ws.FullSlots
	w.ejectedUntil, w.unsafeUntil, w.ejectionDuration, w.failureShare = ws.BarTill, ws.UnsafeTil, ws.BarSpan, ws.Bad
	w.coldBudget, w.coldThreshold, w.coldBudgetAt, w.probedAt = ws.Credit, ws.Need, ws.ColdAt, ws.ProbedAt
	w.wait, w.waitAt = ws.Wait, ws.WaitAt
	for i, p := range ws.Profiles {
		if n := r.class[i]; n >= 0 {
			w.profiles[n], w.inverse[n] = profile{p.Took, p.Cost}, p.Inv
		}
	}
	return w, nil
}

func (r *restorer) requests() error {
	d := r.d
	for i, q := range r.st.Requests {
		if q.Request.Class < 0 || q.Request.Class >= len(r.class) || d.requests[q.Request.ID] != nil {
			return fmt.Errorf("%w: request %d (%q) is there twice or of no class", ErrState, i, q.Request.ID)
		}
		to := &request{Request: q.Request, arrivedAt: q.Arrived, finished: q.Over, overShare: q.Excess, lateCounted: q.Judged, timerToken: q.Token}
		if to.Class = r.class[q.Request.Class]; to.Class < 0 {
			return fmt.Errorf("%w: a request of class %q is open, which the settings no longer name", ErrState,
				r.st.Classes[q.Request.Class].Name)
		}
		to.Tenant = -1
		if t := q.Request.Tenant; t >= 0 && t < len(r.st.Tenants) {
			to.Tenant = slices.IndexFunc(d.tenants, func(x tenant) bool { return x.Name == r.st.Tenants[t].Name })
		}
		for number, a := range q.Attempts {
			w := r.find(a.Worker)
			if w == nil || a.Worker < 0 && !a.Ended {
				return fmt.Errorf("%w: request %d: attempt %d is at no worker", ErrState, i, number)
			}
			to.attempts = append(to.attempts, &attempt{req: to, number: number, w: w, sentAt: a.Sent, started: a.Started,
				startedAt: a.StartedAt, taken: a.Taken, lastUpdateAt: a.HeardAt, progressTimer: a.Listen, moveDeferred: a.Spared,
				ended: a.Ended, neverRan: a.NeverRan, workerExcluded: a.Once})
			if !a.Ended {
				to.outstanding++
			}
		}
		if q.Waiting {
			d.delayed[to.timerToken] = to
		}
		d.requests[to.ID] = to
		r.open = append(r.open, to)
	}
	return nil
}

func (r *restorer) find(place int) *worker {
	switch {
	case place >= 0 && place < len(r.d.workers):
		return r.d.workers[place]
	case place < 0 && -1-place >= 0 && -1-place < len(r.gone):
		return r.gone[-1-place]
	}
	return nil
}

// count takes up what is out at each worker and what timers will look at, and counts it.
func (r *restorer) inFlight() error {
	d := r.d
	counted := map[*attempt]bool{}
	for i, ws := range r.st.Workers {
		w := d.workers[i]
		for _, ref := range ws.Out {
			a := r.attempt(ref)
			if a == nil || a.ended || a.w != w || counted[a] {
				return fmt.Errorf("%w: worker %q holds an attempt that is not out there", ErrState, w.ID)
			}
			counted[a] = true
			w.outstanding = append(w.outstanding, a)
			w.count[a.req.Class]++
			d.classes[a.req.Class].count++
		}
	}
	out := 0
	for _, q := range r.open {
		out += q.outstanding
	}
	if out != len(counted) {
		return fmt.Errorf("%w: %d attempts are out, the workers hold %d", ErrState, out, len(counted))
	}
	for _, m := range r.st.Moves {
		a := r.attempt(m.Attempt)
		if a == nil {
			return fmt.Errorf("%w: timer %d looks at no attempt", ErrState, m.Token)
		}
		d.attemptTimers[m.Token] = a
	}
	return nil
}

func (r *restorer) attempt(ref AttemptRef) *attempt {
	if ref.Request < 0 || ref.Request >= len(r.open) {
		return nil
	}
	q := r.open[ref.Request]
	if ref.Attempt < 0 || ref.Attempt >= len(q.attempts) {
		return nil
	}
	return q.attempts[ref.Attempt]
}
