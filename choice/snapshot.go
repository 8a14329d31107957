package choice

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// Snapshot is the state of a Dispatcher as a value without pointers. Its fields are exported for serialisation; what
// follows from other fields is left out. Times are seconds on the host's clock, which must continue in the process that
// restores the state.
type Snapshot struct {
	RNG      []byte // state of math/rand/v2's PCG
	Classes  []ClassState
	Tenants  []TenantState
	Kinds    []KindState   // machine kinds, in the order in which they were first seen
	Workers  []WorkerState // sorted by ID
	Gone     []WorkerState // removed workers that open requests have attempts at
	Requests []RequestState
	Moves    []MoveState
	Scalars  Scalars
}

// Scalars are single values of Dispatcher. Token is its timerToken, RefreshAt nextRefreshAt, Probes probeCredit, Retries
// retryCredit, Late lateShare, PaidMoves moveCredit, Found moveHitShare, Dear meanCost, NoRoom refusedConnShare, Took
// meanResponse, ListPause listRetryDelay, Back returnShare, Turned shedShare and Asked subscribeSent.
type Scalars struct {
	Token                                                                                                uint64
	RefreshAt, RefreshedAt, Probes, Retries, Late, PaidMoves, Found, Dear, NoRoom, Wait, Took, ListPause float64
	Back, Turned                                                                                         float64
	NextProbe                                                                                            int
	Subscribed, Asked                                                                                    bool
}

// ClassState is the state of a class. Sum and Most are the sum and the maximum of the candidates' inverse responses, Hint
// is the mean hint and Hints how many it is the mean of, Run the mean run time and Fastest the fastest kind's median.
type ClassState struct {
	Name                                         string
	Sum, Most, Hint, Hints, Median, Run, Fastest float64
}

// RateState is a decaying sum and its time.
type RateState struct{ Sum, At float64 }

// TenantState is the state of a tenant.
type TenantState struct {
	Name string
	Seen RateState // admitted requests
}

// KindState is the state of a machine kind. Work and Squares are the rates of work and of its squares, UnitTime is the
// capacity that was available, Free the mean of free slots reported, Reports how many it is the mean of, Carried the peak
// load and Units the capacity.
type KindState struct {
	Name                          string
	Medians                       []float64 // by class
	Work, UnitTime                RateState
	Squares                       RateState `cbor:",omitempty"`
	Free, Reports, Carried, Units float64
}

// ProfileState is a worker's profile for one class, and the inverse of the expected response.
type ProfileState struct{ Took, Cost, Inv float64 }

// WorkerState is the state of a worker. Home says that it is in the dispatcher's zone. LifeAt is the time of its last
// sign of life, Free and FreeAt are its last load report, FullTill and FullSlots say until when and from how many slots
// on it counts as full. BarTill and UnsafeTil are the ends of its ejection for all and for at-most-once jobs, BarSpan is
// the length of the last one and Bad the share of failures. Credit, Need and ColdAt are the cold budget, the threshold
// for it and its time. Wait and WaitAt are the last wait and its time.
type WorkerState struct {
	Worker                                                        Worker
	Home, Listed                                                  bool
	Profiles                                                      []ProfileState // by class
	Out                                                           []AttemptRef   // oldest first
	LifeAt, Free, FreeAt, FullTill, FullSlots, BarTill, UnsafeTil float64
	BarSpan, Bad, Credit, Need, ColdAt, ProbedAt, Wait, WaitAt    float64
}

// AttemptRef identifies an attempt by its request's index in Snapshot.Requests and its number.
type AttemptRef struct{ Request, Attempt int }

// RequestState is the state of a request that is open or has outstanding attempts.
type RequestState struct {
	Request      Request
	Arrived      float64
	Over, Excess bool // finished; over its tenant's quota
	Judged       bool // counted as late or in time
	Token        uint64
	Waiting      bool // for the timer of Token, to be placed
	Attempts     []AttemptState
}

// AttemptState is the state of an attempt. HeardAt is the time of the worker's last update, Spared says that a move was
// put off.
type AttemptState struct {
	Worker                                  int // index in Snapshot.Workers; -1-n for index n in Snapshot.Gone
	Sent, StartedAt, HeardAt                float64
	Started, Taken, Spared, Ended, NeverRan bool
	Once                                    bool   `cbor:",omitempty"` // the worker may not get the request again
	Listen                                  uint64 // token of the timer for missing progress updates; 0 for none
}

// MoveState is a timer that checks an attempt for a move or for missing progress updates.
type MoveState struct {
	Token   uint64
	Attempt AttemptRef
}

// ErrState is wrapped by the errors that Restore returns for an invalid state.
var ErrState = errors.New("choice: invalid state")

// Export returns a copy of the dispatcher's state.
func (d *Dispatcher) Export() (Snapshot, error) {
	rng, err := d.pcg.MarshalBinary()
	if err != nil {
		return Snapshot{}, fmt.Errorf("choice: export of the random number generator: %w", err)
	}
	s := Snapshot{RNG: rng, Scalars: Scalars{Token: d.timerToken, RefreshAt: d.nextRefreshAt, RefreshedAt: d.refreshedAt,
		Probes: d.probeCredit, Retries: d.retryCredit, Late: d.lateShare, Back: d.returnShare, Turned: d.shedShare,
		PaidMoves: d.moveCredit, Found: d.moveHitShare, Dear: d.meanCost, NoRoom: d.refusedConnShare,
		Wait: d.wait, Took: d.meanResponse, ListPause: d.listRetryDelay,
		NextProbe: d.nextProbe, Subscribed: d.subscribed, Asked: d.subscribeSent}}
	for i := range d.classes {
		c := &d.classes[i]
		s.Classes = append(s.Classes, ClassState{Name: c.Name, Sum: c.inverseSum, Most: c.inverseMax, Hint: c.meanHint,
			Hints: c.hintCount, Median: c.median, Run: c.meanRun, Fastest: c.fastestMedian})
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
			UnitTime: k.capacityTime.export(), Squares: k.workSquareRate.export(), Free: k.freeSlots,
			Reports: k.reportCount, Carried: k.peakLoad, Units: k.capacity})
	}
	workerIndex := make(map[*worker]int, len(d.workers))
	for i, w := range d.workers {
		workerIndex[w] = i
	}
	open := make([]*request, 0, len(d.requests))
	for _, r := range d.requests {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	requestIndex := make(map[*request]int, len(open))
	for i, r := range open {
		requestIndex[r] = i
		s.Requests = append(s.Requests, s.exportRequest(r, d.delayed[r.timerToken] == r, workerIndex))
	}
	for _, w := range d.workers {
		ws := exportWorker(w)
		for _, a := range w.outstanding {
			ws.Out = append(ws.Out, AttemptRef{requestIndex[a.req], a.number})
		}
		s.Workers = append(s.Workers, ws)
	}
	for token, a := range d.attemptTimers {
		// The timer of an attempt that has ended or of a finished request has no effect.
		if n, ok := requestIndex[a.req]; ok && !a.ended && !a.req.finished {
			s.Moves = append(s.Moves, MoveState{token, AttemptRef{n, a.number}})
		}
	}
	slices.SortFunc(s.Moves, func(a, b MoveState) int { return cmp.Compare(a.Token, b.Token) })
	return s, nil
}

func (m rate) export() RateState { return RateState{m.sum, m.at} }

func (s *Snapshot) exportRequest(r *request, waiting bool, workerIndex map[*worker]int) RequestState {
	q := RequestState{Request: r.Request, Arrived: r.arrivedAt, Over: r.finished, Excess: r.overShare, Judged: r.lateCounted,
		Token: r.timerToken, Waiting: waiting}
	for _, a := range r.attempts {
		index, ok := workerIndex[a.w]
		if !ok { // a removed worker: repeats must still stay in its group
			s.Gone = append(s.Gone, exportWorker(a.w))
			index = -len(s.Gone)
			workerIndex[a.w] = index
		}
		q.Attempts = append(q.Attempts, AttemptState{Worker: index, Sent: a.sentAt, StartedAt: a.startedAt,
			HeardAt: a.lastUpdateAt, Started: a.started, Taken: a.taken, Spared: a.moveDeferred, Ended: a.ended,
			NeverRan: a.neverRan, Once: a.workerExcluded, Listen: a.progressTimer})
	}
	return q
}

func exportWorker(w *worker) WorkerState {
	ws := WorkerState{Worker: w.Worker, Home: w.sameZone, Listed: w.listed, LifeAt: w.lastAliveAt, Free: w.freeSlots,
		FreeAt: w.freeSlotsAt, FullTill: w.fullUntil, FullSlots: w.fullFromSlots, BarTill: w.ejectedUntil,
		UnsafeTil: w.unsafeUntil, BarSpan: w.ejectionDuration, Bad: w.failureShare, Credit: w.coldBudget,
		Need: w.coldThreshold, ColdAt: w.coldBudgetAt, ProbedAt: w.probedAt, Wait: w.wait, WaitAt: w.waitAt}
	for i, p := range w.profiles {
		ws.Profiles = append(ws.Profiles, ProfileState{p.response, p.cost, w.inverse[i]})
	}
	return ws
}

// Restore returns a dispatcher with an exported state: with the same settings it makes the same decisions on the same
// events. The settings may differ from the exported dispatcher's. Classes and tenants are matched by name, and new ones
// have no statistics. Restore calls no action. It returns an error that wraps ErrState if the state is inconsistent or
// an open request has a class that the settings lack, and an error of New if the settings are invalid.
func Restore(s Settings, act Actions, st Snapshot) (*Dispatcher, error) {
	if len(st.Workers) > 1<<20 || len(st.Requests) > 1<<20 {
		return nil, fmt.Errorf("%w: too many entries: %d workers, %d requests", ErrState, len(st.Workers), len(st.Requests))
	}
	d, err := New(0, s, withoutTimers{act})
	if err != nil {
		return nil, err
	}
	d.actions = act
	if err := d.pcg.UnmarshalBinary(st.RNG); err != nil {
		return nil, fmt.Errorf("%w: random number generator: %w", ErrState, err)
	}
	x := st.Scalars
	d.timerToken, d.nextRefreshAt, d.refreshedAt, d.probeCredit, d.retryCredit =
		x.Token, x.RefreshAt, x.RefreshedAt, x.Probes, x.Retries
	d.lateShare, d.moveCredit, d.moveHitShare, d.meanCost, d.refusedConnShare, d.wait, d.meanResponse =
		x.Late, x.PaidMoves, x.Found, x.Dear, x.NoRoom, x.Wait, x.Took
	d.returnShare, d.shedShare = x.Back, x.Turned
	d.listRetryDelay, d.nextProbe, d.subscribed, d.subscribeSent =
		x.ListPause, max(0, x.NextProbe%(1<<21)), x.Subscribed, x.Asked
	r := restorer{d: d, st: &st, classIndex: make([]int, len(st.Classes))}
	r.classes()
	if err := r.kinds(); err != nil {
		return nil, err
	}
	if err := r.workers(); err != nil {
		return nil, err
	}
	if err := r.requests(); err != nil {
		return nil, err
	}
	return d, r.outstanding()
}

// withoutTimers ignores the timers that New starts, as the state has its own.
type withoutTimers struct{ Actions }

func (withoutTimers) Timer(float64, uint64) {}

// restorer is the common state of the steps of Restore.
type restorer struct {
	d          *Dispatcher
	st         *Snapshot
	classIndex []int      // by index in st.Classes, the index in the dispatcher's classes; -1 for a class not in the settings
	gone       []*worker  // as in st.Gone
	open       []*request // as in st.Requests
}

// classes restores the statistics of classes and tenants, matched by name.
func (r *restorer) classes() {
	d := r.d
	for i, c := range r.st.Classes {
		r.classIndex[i] = slices.IndexFunc(d.classes, func(x class) bool { return x.Name == c.Name })
		if n := r.classIndex[i]; n >= 0 {
			to := &d.classes[n]
			to.inverseSum, to.inverseMax, to.meanHint, to.hintCount, to.median, to.meanRun, to.fastestMedian =
				c.Sum, c.Most, c.Hint, c.Hints, c.Median, c.Run, c.Fastest
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
		if len(k.Medians) != len(r.classIndex) || r.d.kinds[k.Name] != nil {
			return fmt.Errorf("%w: kind %d (%q) has %d medians for %d classes, or is a duplicate", ErrState, i, k.Name,
				len(k.Medians), len(r.classIndex))
		}
		to := r.d.kindNamed(k.Name)
		for j, m := range k.Medians {
			if n := r.classIndex[j]; n >= 0 {
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
			return fmt.Errorf("%w: worker %d (%q) is a duplicate or out of order", ErrState, i, ws.Worker.ID)
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
			return fmt.Errorf("removed worker %d: %w", i, err)
		}
		r.gone = append(r.gone, w)
	}
	for i := range d.classes {
		d.listCandidates(i)
	}
	return nil
}

func (r *restorer) worker(ws WorkerState) (*worker, error) {
	if len(ws.Profiles) != len(r.classIndex) {
		return nil, fmt.Errorf("%w: %d profiles for %d classes", ErrState, len(ws.Profiles), len(r.classIndex))
	}
	k := r.d.kinds[ws.Worker.Kind]
	if k == nil {
		return nil, fmt.Errorf("%w: unknown machine kind %q", ErrState, ws.Worker.Kind)
	}
	w := r.d.newWorker(k)
	w.Worker, w.sameZone, w.listed = ws.Worker, ws.Home, ws.Listed
	w.lastAliveAt, w.freeSlots, w.freeSlotsAt, w.fullUntil, w.fullFromSlots =
		ws.LifeAt, ws.Free, ws.FreeAt, ws.FullTill, ws.FullSlots
	w.ejectedUntil, w.unsafeUntil, w.ejectionDuration, w.failureShare = ws.BarTill, ws.UnsafeTil, ws.BarSpan, ws.Bad
	w.coldBudget, w.coldThreshold, w.coldBudgetAt, w.probedAt = ws.Credit, ws.Need, ws.ColdAt, ws.ProbedAt
	w.wait, w.waitAt = ws.Wait, ws.WaitAt
	for i, p := range ws.Profiles {
		if n := r.classIndex[i]; n >= 0 {
			w.profiles[n], w.inverse[n] = profile{p.Took, p.Cost}, p.Inv
		}
	}
	return w, nil
}

func (r *restorer) requests() error {
	d := r.d
	for i, q := range r.st.Requests {
		if q.Request.Class < 0 || q.Request.Class >= len(r.classIndex) || d.requests[q.Request.ID] != nil {
			return fmt.Errorf("%w: request %d (%q) is a duplicate or has no valid class", ErrState, i, q.Request.ID)
		}
		to := &request{Request: q.Request, arrivedAt: q.Arrived, finished: q.Over, overShare: q.Excess,
			lateCounted: q.Judged, timerToken: q.Token}
		if to.Class = r.classIndex[q.Request.Class]; to.Class < 0 {
			return fmt.Errorf("%w: an open request has class %q, which the settings lack", ErrState,
				r.st.Classes[q.Request.Class].Name)
		}
		to.Tenant = -1
		if t := q.Request.Tenant; t >= 0 && t < len(r.st.Tenants) {
			to.Tenant = slices.IndexFunc(d.tenants, func(x tenant) bool { return x.Name == r.st.Tenants[t].Name })
		}
		for number, a := range q.Attempts {
			w := r.workerAt(a.Worker)
			if w == nil || a.Worker < 0 && !a.Ended {
				return fmt.Errorf("%w: request %d: attempt %d has no valid worker", ErrState, i, number)
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

// workerAt returns the worker for AttemptState.Worker, or nil if there is none.
func (r *restorer) workerAt(index int) *worker {
	switch {
	case index >= 0 && index < len(r.d.workers):
		return r.d.workers[index]
	case index < 0 && -1-index >= 0 && -1-index < len(r.gone):
		return r.gone[-1-index]
	}
	return nil
}

// outstanding restores the workers' outstanding attempts, their counts, and the timers of attempts.
func (r *restorer) outstanding() error {
	d := r.d
	counted := map[*attempt]bool{}
	for i, ws := range r.st.Workers {
		w := d.workers[i]
		for _, ref := range ws.Out {
			a := r.attempt(ref)
			if a == nil || a.ended || a.w != w || counted[a] {
				return fmt.Errorf("%w: worker %q lists an attempt that is not outstanding there", ErrState, w.ID)
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
		return fmt.Errorf("%w: %d attempts are outstanding, the workers list %d", ErrState, out, len(counted))
	}
	for _, m := range r.st.Moves {
		a := r.attempt(m.Attempt)
		if a == nil {
			return fmt.Errorf("%w: timer %d has no valid attempt", ErrState, m.Token)
		}
		d.attemptTimers[m.Token] = a
	}
	return nil
}

// attempt returns the attempt for ref, or nil if there is none.
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
