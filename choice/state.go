package choice

import (
	"math"
	"math/rand/v2"
)

// profile holds decayed sums of response times and of the jobs' relative costs.
type profile struct{ took, cost float64 }

func (p *profile) add(took, cost float64) {
	keep := min(1, max(0, (memory-cost)/memory))
	p.took, p.cost = p.took*keep+took, p.cost*keep+cost
}

// rate is a decaying sum, read as an amount a second.
type rate struct{ sum, at float64 }

func (m *rate) add(now, x float64) {
	m.sum, m.at = m.sum*math.Exp((m.at-now)/rateMemory)+x, now
}

func (m *rate) perS(now float64) float64 { return m.sum * math.Exp((m.at-now)/rateMemory) / rateMemory }

// part is the part of the last so many of something that were so, after one more.
func part(was float64, so bool, memory float64) float64 {
	was -= was / memory
	if so {
		was += 1 / memory
	}
	return was
}

type attempt struct {
	req       *request
	no        int
	w         *worker
	sent      float64
	started   bool
	startedAt float64
	taken     bool // the worker has said that it has it
	heardAt   float64
	listen    uint64 // token of the timer that looks whether it is still heard of
	spared    bool   // from a move, once, as its connection may not have come up yet
	ended     bool
	neverRan  bool
	once      bool // its worker gets the request no more
}

type request struct {
	Request
	arrived  float64
	attempts []*attempt
	out      int
	over     bool // a final answer was given or is no longer owed
	judged   bool // whether it began in time has been counted
	excess   bool // over its tenant's share
	token    uint64
}

// quietAfter is after how many missing progress notes a running job is taken for lost.
const quietAfter = 1.5

// heard enters that a worker told of an attempt. One that it has begun is listened to from then on.
func (d *Dispatcher) heard(now float64, a *attempt, n AttemptUpdate) {
	begins := !a.started && !n.Taken
	a.taken, a.started, a.heardAt = true, a.started || !n.Taken, now
	if c := &d.classes[a.req.Class]; begins && c.Effect != AtMostOnce && d.s.CanCancel && d.s.ProgressEvery > 0 {
		d.token++
		a.listen, d.moves[d.token] = d.token, a
		d.act.Timer(quietAfter*d.s.ProgressEvery, d.token)
	}
}

// stays tells whether a job that is looked at by timer is not to be moved: it has ended or begun, is to be looked at
// again later, or was just called off for its silence. Danger: to call off what the worker has not taken yet closes its connection; where a new one
// takes as long as a move waits, none would ever stay open, here or at the next worker. And a job whose worker
// has fallen silent, or whose answer was lost, would be waited for until its client has gone.
func (d *Dispatcher) stays(now float64, a *attempt, token uint64) bool {
	again := 0.0
	switch {
	case a.ended || a.req.over || a.started && token != a.listen:
		return true
	case a.taken && !a.started && d.classes[a.req.Class].Effect == Deduplicated && d.found < 0.5:
		return true // it waits at its group, where a repeat would wait too unless most moves find a worker free
	case a.started:
		if again = a.heardAt + quietAfter*d.s.ProgressEvery - now; again < 1e-3 {
			delete(d.moves, token)
			d.act.Cancel(a.req.ID, a.no)
			return true
		}
	case d.s.TellsTaken && !a.taken && !a.spared:
		a.spared, again = true, d.classes[a.req.Class].Aim*moveAfter
	default:
		return false
	}
	d.moves[token] = a
	d.act.Timer(again, token)
	return true
}

// aliveAt is when the worker last showed life by this attempt, which ends now without being done. Danger: one that
// fell silent with the job running, and is called off for that, must not look alive by our own act.
func (a *attempt) aliveAt(now float64) float64 {
	if a.started {
		return a.heardAt
	}
	return now
}

// bound is the first attempt that may have run; a repeat must not leave its group.
func (r *request) bound() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

type worker struct {
	Worker
	listed    bool
	home      bool
	kind      *kind
	profiles  []profile  // by class
	inv       []float64  // 1/R by class, as of the last refresh
	n         []int      // own jobs in flight, by class
	out       []*attempt // oldest first
	lifeAt    float64    // last sign of life
	wait      float64    // how long the last job waited to begin
	waitAt    float64    // when that was learned
	free      float64    // slots free by the last report
	freeAt    float64
	fullTill  float64
	fullSlots float64
	barTill   float64
	unsafeTil float64
	barSpan   float64
	bad       float64 // part of the last attempts that failed
	credit    float64 // of its cold budget, in seconds of work
	need      float64 // part of a job's size that its credit must reach, drawn anew for each
	coldAt    float64 // when that was last reckoned
	probedAt  float64
}

// newWorker makes a worker of which nothing is known yet.
func (d *Dispatcher) newWorker(k *kind) *worker {
	n := len(d.classes)
	return &worker{kind: k, profiles: make([]profile, n), inv: make([]float64, n), n: make([]int, n)}
}

// resetBudget empties a worker's cold budget, as of its start.
func (w *worker) resetBudget(now, need float64) { w.credit, w.need, w.coldAt = 0, need, now }

// failed bars a worker after a failure. Danger: where single connections break at workers that are well, a full
// bar for each would shut out most of the fleet at once; so for those it grows with the part that failed lately.
func (w *worker) failed(now float64, broke bool, spread float64) {
	w.bad += (1 - w.bad) / badMemory
	part := 1.0
	if broke {
		part = min(1, w.bad/badMost)
	}
	w.barSpan = min(errBarMost, max(errBar*part*part, 2*w.barSpan))
	w.barTill = now + w.barSpan*spread
	w.unsafeTil = now + unsafeBar*w.barSpan
}

// kind gathers what workers of one machine kind have in common.
type kind struct {
	medians  []float64 // of the response times seen, by class
	work     rate      // seconds of work served
	squares  rate      // and its squares
	free     float64   // mean of the free slots reported
	reports  float64   // that it is a mean of
	unitTime rate      // seconds that its units were there to work
	carried  float64   // the most work a second that each unit was seen to carry lately
	units    float64   // workers, each counted by the part of its capacity it has
}

// did enters work that was served, in seconds.
func (k *kind) did(now, work float64) {
	k.work.add(now, work)
	k.squares.add(now, work*work)
}

// class is a type of jobs with its candidates.
type class struct {
	Class
	all       []*worker // candidates
	sum, most float64   // of 1/R over all
	n         int       // own jobs in flight
	hint      float64   // mean of the hints
	hints     float64   // that it is a mean of
	median    float64
	run       float64 // mean time from start to answer, where starts are told
	fastest   float64 // the fastest kind's median
}

// runsOn tells whether the class's jobs may go to the worker.
func (c *class) runsOn(w *worker) bool { return !c.KindUnknown && (c.Kind == "" || c.Kind == w.Kind) }

type tenant struct {
	Tenant
	seen rate
}

// Dispatcher decides for one dispatcher process. Its methods must not be called concurrently.
type Dispatcher struct {
	s           Settings
	act         Actions
	pcg         *rand.PCG // what rng draws from
	rng         *rand.Rand
	workers     []*worker
	byID        map[string]*worker
	kinds       map[string]*kind
	kindList    []*kind
	classes     []class
	tenants     []tenant
	reqs        map[string]*request
	waiting     map[uint64]*request
	moves       map[uint64]*attempt // to be looked at, by timer
	token       uint64
	refreshAt   float64
	refreshedAt float64
	probes      float64 // that traffic has paid for
	retries     float64
	late        float64 // part of late starts or answers
	back        float64 // part of the tries that came back, as their callers say
	turned      float64 // part of the tries that were turned away at once
	paidMoves   float64
	found       float64 // part of further attempts that were begun at once
	dear        float64 // mean of the work that a job takes for its worth
	noRoom      float64 // part of outcomes that were connections refused at once
	wait        float64 // mean time that jobs wait to begin
	took        float64 // mean response of all classes
	nextProbe   int
	subscribed  bool
	asked       bool
	listPause   float64
	scratch     []float64
}

// kindOf returns what is kept of a machine kind.
func (d *Dispatcher) kindOf(name string) *kind {
	k := d.kinds[name]
	if k == nil {
		k = &kind{medians: make([]float64, len(d.classes))}
		d.kinds[name] = k
		d.kindList = append(d.kindList, k)
	}
	return k
}

// report enters a worker's load report.
func (d *Dispatcher) report(now float64, w *worker, values []float64) {
	if f := d.s.FreeSlots; f >= 0 && f < len(values) {
		w.kind.reports = min(w.kind.reports+1, 4*memory)
		w.kind.free += (values[f] - w.kind.free) / w.kind.reports
		w.free, w.freeAt = values[f], now
	}
}

// end forgets a request as far as nothing is out for it.
func (d *Dispatcher) end(r *request) {
	r.over = true
	delete(d.waiting, r.token)
	if r.out == 0 {
		delete(d.reqs, r.ID)
	}
}

// FirstByte binds a request to an attempt whose stream has begun.
func (d *Dispatcher) FirstByte(now float64, id string, no int) {
	if r := d.reqs[id]; r != nil && no >= 0 && no < len(r.attempts) {
		r.over = true
		r.attempts[no].w.lifeAt = now
	}
}

// Barred counts the listed workers in service that are barred for their failures.
func (d *Dispatcher) EjectedCount(now float64) (n int) {
	for _, w := range d.workers {
		if w.listed && w.State == InService && now < w.barTill {
			n++
		}
	}
	return n
}
