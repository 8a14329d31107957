// Package choice decides where a dispatcher sends its jobs, by inverse response time ratios.
// Its interface (settings, events and actions) is in api.go, what it remembers in state.go;
// docs/design.md gives the reasons.
package choice

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	memory                = 12.0      // answers that a profile averages over
	hintMemory            = 500.0     // hints that a class's mean is of
	borrowed              = 2.0       // answers' weight of the median that a sparse profile is filled up with
	sampleSize            = 3         // workers ranked where jobs in flight are fewer than workers
	refreshEvery          = 0.2       // seconds between looks at the whole fleet
	freshFor              = 1.5       // seconds that a load report tells free slots
	crossCharge           = 30.0      // a crossing's price lengthens R by e to this power
	reportLag             = 0.6       // seconds a report is taken to be old when it comes in
	fullPart              = 0.15      // part of a mean response that 'full' bars a worker for its size
	errBar, errBarMost    = 1.0, 16.0 // seconds an erring worker is barred: first and most
	unsafeBar             = 3.0       // times as long for jobs that a failure loses
	badMemory, badMost    = 12.0, 0.3 // attempts that the part of failed ones is of; part that bars in full
	probeShare            = 0.5       // probes for each request
	surely, sureOver      = 1.5, 1.3  // scatters less that what is carried counts; times the rest
	coldMargin            = 0.6       // part of the overload factor that all dispatchers together may use
	coldSaved             = 0.3       // seconds of its budget that a cold worker saves up at the most
	coldJob               = 0.3       // largest job for a cold worker, as a part of what tips it
	waitMemory            = 4.0       // seconds after which what a job waited at a worker is less sure
	rateMemory            = 8.0       // seconds over which rates are averaged
	carriedKeep           = 0.995     // of the most that a kind was seen to carry, at each refresh
	moveAfter             = 0.25      // part of the aim after which a job not started is tried elsewhere
	moveShare             = 0.3       // moves for each request at most, less where waste is dear
	moveMore              = 2.0       // or so many times the part of moves that found a worker free
	movePrice             = 0.0075    // at the square of waste's price; of what is moved a tenth has begun
	lateMemory            = 16.0      // starts or answers that the part of late ones is of
	lateBorne             = 0.2       // part of late ones up to which nothing is turned away
	shedGain, shedMost    = 2.0, 0.85 // part turned away, times the late part above lateBorne
	noRoomOf              = 64.0      // outcomes that the part of connections refused at once is of
	noRoomMost            = 0.03      // part from which idle connections are closed
	dearMost              = 4.0       // times as many of the dearest jobs, and as few of the cheapest
	backMemory, backMost  = 64.0, 0.9 // tries that the part of those that came back is of; and its bound
	tickEvery             = 0.1
	listMost              = 1.6      // seconds between failed calls: back, its news count after 6 s
	retryShare, retryMost = 1.2, 1.5 // tries after 'full' a request, by the square of what its aim bears
	scanMost              = 96       // workers of a large fleet looked at where a sample finds none
	retryPause            = 0.02     // seconds before a further try where no worker is known to be free
	tickToken, listToken  = 1, 2
)

// New starts a dispatcher at the given time. It returns an error where the settings cannot be honoured.
func New(now float64, s Settings, act Actions) (*Dispatcher, error) {
	if act == nil || len(s.Classes) == 0 || s.MaxAttempts < 1 || s.Dispatchers < 1 {
		return nil, errors.New("choice: actions, a class, an attempt and a dispatcher are needed")
	}
	pcg := rand.NewPCG(s.Seed, uint64(s.Self)+1)
	d := &Dispatcher{s: s, act: act, pcg: pcg, rng: rand.New(pcg),
		byID: map[string]*worker{}, kinds: map[string]*kind{}, reqs: map[string]*request{},
		waiting: map[uint64]*request{}, moves: map[uint64]*attempt{}, retries: 2, token: listToken,
		refreshAt: now}
	d.nextProbe = d.rng.IntN(1 << 20)
	for _, c := range s.Classes {
		d.classes = append(d.classes, class{Class: c, median: 1})
	}
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenant{Tenant: t})
	}
	d.listPause = min(s.AskWithin/16, listMost)
	if s.ListOnRequest { // all dispatchers may start at once: spread their first calls
		act.Timer(d.rng.Float64()*s.AskWithin/4, listToken)
	}
	if s.CanProbe && s.FreeSlots >= 0 { // a probe costs its worker work, and without a report tells nothing
		act.Timer(tickEvery*d.rng.Float64(), tickToken)
	}
	return d, nil
}

// List takes discovery's news of the workers.
func (d *Dispatcher) List(now float64, form ListForm, list []Worker) {
	if form == ListRefused {
		// Danger: many dispatchers asking again at once keep discovery jammed.
		d.subscribed, d.asked = false, false
		d.act.Timer(d.listPause*(0.5+d.rng.Float64()), listToken)
		d.listPause = min(d.listPause*2, d.s.AskWithin/2, listMost)
		return
	}
	if form != ListRemembered && d.asked {
		d.subscribed, d.listPause = true, min(d.s.AskWithin/16, listMost)
	}
	if form != ListChanges {
		for _, w := range d.workers {
			w.listed = false
		}
	}
	for _, e := range list {
		w := d.byID[e.ID]
		if w == nil {
			w = d.newWorker(d.kindOf(e.Kind))
			w.resetBudget(now, d.rng.Float64())
			d.byID[e.ID] = w
			d.workers = append(d.workers, w)
		}
		if e.Started > w.Started {
			w.barTill, w.unsafeTil, w.barSpan, w.bad, w.fullTill, w.freeAt, w.waitAt = 0, 0, 0, 0, 0, 0, 0
			w.resetBudget(now, d.rng.Float64())
		}
		w.Worker, w.home, w.listed = e, e.Zone == d.s.Zone, e.State != Terminated
	}
	d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
		if w.listed || len(w.out) > 0 {
			return false
		}
		delete(d.byID, w.ID)
		return true
	})
	slices.SortFunc(d.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.refresh(now)
}

// Fleet takes how many dispatchers may be acting from now on. Danger: those that join take over a part of
// what this one carries, and its memory of that fades slowly: all together would overdrive a cold worker
// for that long. Where some have gone, what is carried rises by itself.
func (d *Dispatcher) SetDispatchers(dispatchers int) {
	if part := float64(d.s.Dispatchers) / float64(dispatchers); part < 1 {
		for _, k := range d.kindList {
			k.carried, k.work.sum, k.squares.sum = k.carried*part, k.work.sum*part, k.squares.sum*part
		}
	}
	d.s.Dispatchers = max(1, dispatchers)
}

// warmth is the part of its capacity that a worker has at the least.
func (d *Dispatcher) warmth(now float64, w *worker) float64 {
	if w.Started == 0 || d.s.WarmWithin <= 0 || now >= w.Started+d.s.WarmWithin {
		return 1
	}
	return d.s.ColdShare + (1-d.s.ColdShare)*max(0, now-w.Started)/d.s.WarmWithin
}

// refresh looks over the whole fleet: medians, shares, and workers that have gone silent.
func (d *Dispatcher) refresh(now float64) {
	since := min(refreshEvery, now-d.refreshedAt)
	d.refreshedAt, d.refreshAt = now, now+refreshEvery
	for _, k := range d.kindList {
		k.units = 0
	}
	for _, w := range d.workers {
		if w.listed {
			w.kind.units += d.warmth(now, w)
		}
	}
	for _, k := range d.kindList {
		// Danger: what is carried now is no measure where the budget itself keeps it low, as when a release
		// has made a whole kind cold: the budget would only ever shrink.
		k.unitTime.add(now, k.units*since)
		// Danger: of many dispatchers each carries little, what it saw is chance for a good part, and the
		// most that each saw adds up to far more than all carried. So it counts less by its own scatter.
		seen := k.work.perS(now)
		seen = min(seen, sureOver*(seen-surely*math.Sqrt(k.squares.perS(now)/(2*rateMemory))))
		k.carried = max(k.carried*carriedKeep, seen/max(k.unitTime.perS(now), 1e-9))
	}
	for _, r := range d.reqs {
		// Danger: a job in a long queue tells so only as it starts, when the queue has grown for as long.
		if d.s.TellsStart && !r.over {
			d.judge(now, r, false)
		}
	}
	for i := range d.classes {
		c := &d.classes[i]
		d.listCandidates(i)
		if m := d.medianOf(i, nil); m > 0 {
			c.median = m
		}
		c.fastest = c.median
		for _, k := range d.kindList {
			k.medians[i] = d.medianOf(i, k)
			if k.medians[i] == 0 {
				k.medians[i] = c.median
			}
			c.fastest = min(c.fastest, k.medians[i])
		}
		c.sum, c.most = 0, 0
		for _, w := range c.all {
			d.rerate(now, i, w)
			c.sum += w.inv[i]
			c.most = max(c.most, w.inv[i])
		}
	}
}

// listCandidates lists the workers that a class's jobs may go to.
func (d *Dispatcher) listCandidates(i int) {
	c := &d.classes[i]
	c.all = c.all[:0]
	for _, w := range d.workers {
		if w.listed && w.State == InService && c.runsOn(w) {
			c.all = append(c.all, w)
		}
	}
}

func (d *Dispatcher) medianOf(i int, k *kind) float64 {
	d.scratch = d.scratch[:0]
	for _, w := range d.classes[i].all {
		if p := w.profiles[i]; p.cost > 0 && (k == nil || w.kind == k) {
			d.scratch = append(d.scratch, p.took/p.cost)
		}
	}
	if len(d.scratch) == 0 {
		return 0
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2]
}

// response is R: how long the class's jobs run there, with a sparse profile filled up by what the kind takes,
// times the worker's own pace; and how long jobs of any class wait there, where starts are told.
func (d *Dispatcher) response(now float64, i int, w *worker) float64 {
	// Danger: a dispatcher that sees little traffic has no profile of most pairs of worker and class, and
	// would take the slowest worker for a usual one. How the worker fared with other classes tells.
	took, cost := borrowed, borrowed
	for j, p := range w.profiles {
		if j != i {
			took, cost = took+p.took/max(w.kind.medians[j], 1e-4), cost+p.cost
		}
	}
	p := w.profiles[i]
	runs := (p.took + borrowed*w.kind.medians[i]*max(1, took/cost)) / (p.cost + borrowed)
	return runs + d.queue(now, w)
}

// queue is how long jobs are thought to wait at the worker: what the last one waited, less sure with time.
// Danger: one of many dispatchers meets a worker every few seconds. Averaged over a dozen answers of a
// class, a queue would count for minutes after it has gone, and one that is there now would not show.
func (d *Dispatcher) queue(now float64, w *worker) float64 {
	return d.wait + (w.wait-d.wait)*math.Exp((w.waitAt-now)/waitMemory)
}

// waited enters how long a job waited at its worker, and has its shares follow.
func (d *Dispatcher) waited(now float64, w *worker, wait float64) {
	w.wait, w.waitAt = wait, now
	if wait > retryPause { // what stands there on average is worked off by then
		w.fullTill, w.fullSlots = now+min(wait, waitMemory)/2, 0
	}
	d.wait += (wait - d.wait) / (4 * memory)
	for i := range d.classes {
		d.reshare(now, i, w)
	}
}

// reshare has a worker's share of a class follow news of it at once.
func (d *Dispatcher) reshare(now float64, i int, w *worker) {
	c := &d.classes[i]
	if !w.listed || w.State != InService || !c.runsOn(w) {
		return
	}
	c.sum -= w.inv[i]
	d.rerate(now, i, w)
	c.sum += w.inv[i]
	c.most = max(c.most, w.inv[i])
}

func (d *Dispatcher) rerate(now float64, i int, w *worker) {
	r := d.response(now, i, w)
	if len(w.out) > 0 {
		// Danger: a worker that swallows jobs answers none, so its fast profile would draw ever more.
		r = max(r, now-max(w.out[0].sent, w.lifeAt))
	}
	if !w.home {
		r *= math.Exp(crossCharge * d.s.Prices.CrossZone)
	}
	w.inv[i] = 1 / max(r, 1e-4)
}

// Request takes a job and places it.
func (d *Dispatcher) Request(now float64, q Request) {
	if q.Class < 0 || q.Class >= len(d.classes) || d.reqs[q.ID] != nil {
		return
	}
	r := &request{Request: q, arrived: now}
	r.Slots = max(r.Slots, 1)
	c := &d.classes[q.Class]
	if q.HasHint {
		c.hints = min(c.hints+1, hintMemory)
		c.hint += (q.Hint - c.hint) / c.hints
	}
	if q.Tenant >= 0 && q.Tenant < len(d.tenants) {
		t := &d.tenants[q.Tenant]
		r.excess = t.Quota > 0 && t.seen.perS(now)*float64(d.s.Dispatchers) > t.Quota
	}
	// Danger: a fleet that is asked for more than it can do answers everything late. Part of the jobs is
	// turned away at once, before anything may have run, first what is dear for its worth or over-share.
	// Never all: with nothing let in, no start would tell that the fleet is in time again.
	worth := c.Worth
	if c.Deadline-(q.Deadline-now) > c.Aim+c.Stretch*c.median {
		worth *= c.LateWorth // it has come back, and can't be in time any more
	}
	dear := 1 / max(worth, 1e-9)
	if !d.s.WorthByWork {
		dear *= c.median
	}
	d.dear += (dear - d.dear) / lateMemory
	// Lateness is borne for what late answers are worth: all of it where they keep a quarter or more, none
	// where they are worth nothing: their queue only takes places from those that could be in time.
	late := max(0, d.late-lateBorne*min(1, 4*c.LateWorth))
	shed := min(shedMost, shedGain*late*min(dearMost, max(1/dearMost, dear/d.dear)))
	if r.excess { // its worth is that part of the usual
		shed *= min(dearMost, 1/max(d.s.OverShareWorth, 1e-3))
	}
	// Danger: where callers come back at once, a part that is turned away at each try is far less for good.
	// It is raised until what is meant to stay away does, by the part of those turned away that came back.
	back := min(backMost, d.back/max(d.turned, 1/backMemory))
	shed = min(1, shed)
	turned := d.rng.Float64() < min(shed/(1-back+shed*back), 0.95)
	d.back, d.turned = part(d.back, q.Repeat, backMemory), part(d.turned, turned, backMemory)
	if turned {
		d.act.Refuse(r.ID, d.s.MaxRetryAfter)
		return
	}
	if q.Tenant >= 0 && q.Tenant < len(d.tenants) {
		d.tenants[q.Tenant].seen.add(now, 1) // tries turned away must not make everybody look over-share
	}
	d.probes = min(d.probes+probeShare, 20)
	waste := max(d.s.Prices.Waste, 1e-3)
	most := max(moveShare, moveMore*d.found)
	d.paidMoves = min(d.paidMoves+min(most, movePrice*(1-c.LateWorth)/(waste*waste)), 10)
	bears := max(0, c.Aim/max(c.fastest, 1e-3)+c.Stretch-2)
	d.retries = min(d.retries+min(retryMost, retryShare*bears*bears), 20)
	d.reqs[q.ID] = r
	d.place(now, r)
}

// place sends the request's next attempt, holds it for a moment, or ends it.
func (d *Dispatcher) place(now float64, r *request) {
	if now >= d.refreshAt {
		d.refresh(now)
	}
	b, c := r.bound(), &d.classes[r.Class]
	if len(r.attempts) >= d.s.MaxAttempts || now >= r.Deadline ||
		b != nil && (c.Effect == AtMostOnce || c.Effect == Deduplicated && now > b.sent+c.Window) {
		d.giveUp(r) // danger: what may have run is repeated only as its class allows
		return
	}
	w, available := d.pick(now, r)
	if (w != nil && !available && len(r.attempts) > 0 || w == nil && len(c.all) > 0) &&
		!r.excess && now-r.arrived < c.Aim/2 && now+2*retryPause < r.Deadline {
		// Danger: tries spent at once on workers known to be full only multiply the load.
		d.token++
		r.token = d.token
		d.waiting[r.token] = r
		d.act.Timer(retryPause, r.token)
		return
	}
	if w == nil || !available && r.excess || len(r.attempts) > 0 && b == nil && d.retries < 1 {
		d.giveUp(r)
		return
	}
	if len(r.attempts) > 0 && b == nil {
		// Danger: when the fleet is full, every further try takes connections and time from the first ones.
		d.retries--
	}
	a := &attempt{req: r, no: len(r.attempts), w: w, sent: now}
	r.attempts = append(r.attempts, a)
	r.out++
	w.out = append(w.out, a)
	w.credit, w.need = w.credit-d.cost(r)*w.kind.medians[r.Class], d.rng.Float64()
	w.n[r.Class]++
	c.n++
	d.act.Assign(r.ID, w.ID, 0)
	if d.s.TellsStart && d.s.CanCancel &&
		(c.Effect == Idempotent || c.Effect == Deduplicated && d.s.TellsTaken) {
		d.token++
		d.moves[d.token] = a
		d.act.Timer(c.Aim*moveAfter, d.token)
	}
}

// giveUp ends a request, by a refusal where that promise can be made.
func (d *Dispatcher) giveUp(r *request) {
	c := &d.classes[r.Class]
	if r.bound() == nil || c.Effect == Idempotent || c.Effect == Deduplicated && c.Group == GroupAll {
		d.act.Refuse(r.ID, 0)
	} else if r.out == 0 {
		d.act.Fail(r.ID)
	} else {
		return
	}
	d.end(r)
}

// pick chooses a worker by the gap below its share, and tells whether it is available.
func (d *Dispatcher) pick(now float64, r *request) (*worker, bool) {
	c, b := &d.classes[r.Class], r.bound()
	if w := d.rank(now, r, c, b, true); w != nil {
		return w, true
	}
	return d.rank(now, r, c, b, false), false
}

// rank returns the worker with the largest gap below its share, if free is set among the available ones.
func (d *Dispatcher) rank(now float64, r *request, c *class, b *attempt, free bool) *worker {
	var best *worker
	bestGap, list := 0.0, c.all
	consider := func(w *worker) bool {
		if !d.usable(now, r, c, b, w, free) || free && !d.available(now, r, w) ||
			d.warmth(now, w) < 1 && !d.coldAllows(now, r, w) {
			return false
		}
		gap := float64(w.n[r.Class]) - w.inv[r.Class]/c.sum*float64(c.n+1)
		if best == nil || gap < bestGap || gap == bestGap && w.inv[r.Class] > best.inv[r.Class] {
			best, bestGap = w, gap
		}
		return true
	}
	// Danger: with few jobs in flight every gap is close to -share, and all dispatchers would herd onto
	// the same largest share. A few workers drawn by their shares are ranked instead.
	if free && c.n < len(list) && len(list) > sampleSize {
		draw, need := d.rng, sampleSize
		if r.HasKey { // all dispatchers draw alike, so that a key is met where it was used
			draw, need = rand.New(rand.NewPCG(r.Key, 0)), 2
		}
		for found, draws := 0, 0; found < need && draws < 12*sampleSize; draws++ {
			w := list[draw.IntN(len(list))]
			if draw.Float64()*c.most <= w.inv[r.Class] && consider(w) {
				found++
			}
		}
		if best != nil {
			return best
		}
	}
	// Danger: where most of a large fleet is full, looking at all of it for every try costs more time than
	// a dispatcher has, and its requests run late. The random start decides among equals.
	for i, from := 0, d.rng.IntN(len(list)+1); i < min(len(list), scanMost); i++ {
		consider(list[(from+i)%len(list)])
	}
	return best
}

// usable tells whether the rules and the worker's failures let this request go there.
func (d *Dispatcher) usable(now float64, r *request, c *class, b *attempt, w *worker, free bool) bool {
	if now < w.barTill || c.Effect == AtMostOnce && now < w.unsafeTil {
		return false
	}
	if b != nil && c.Effect == Deduplicated &&
		(c.Group == GroupZone && w.Zone != b.w.Zone || c.Group == GroupCell && w.Cell != b.w.Cell) {
		return false
	}
	for _, a := range r.attempts {
		if a.w == w && (!a.ended || a.once || free || now < w.fullTill) {
			return false
		}
	}
	return true
}

// available tells whether the worker is thought to have the job's slots free.
func (d *Dispatcher) available(now float64, r *request, w *worker) bool {
	if now < w.fullTill && r.Slots >= w.fullSlots {
		return false
	}
	if d.s.TellsStart {
		for _, a := range w.out {
			if !a.started && now-a.sent > 0.02 {
				return false
			}
		}
	}
	if d.s.FreeSlots < 0 || w.freeAt == 0 {
		return true
	}
	// Danger: all dispatchers hold the same old reports, and would herd onto those that told of free slots
	// and shun the others for longer than their jobs last. A report is worth less the older it is, and
	// counts as a chance.
	slots := w.kind.free + (w.free-w.kind.free)*math.Exp((w.freeAt-reportLag-now)/max(d.took, 1e-3))
	for i := len(w.out) - 1; i >= 0 && w.out[i].sent > w.freeAt-reportLag; i-- {
		slots -= w.out[i].req.Slots // the report does not hold these yet
	}
	return d.rng.Float64() < 1-math.Exp(-slots/r.Slots)
}

// coldAllows draws on a cold worker's budget. Danger: dispatchers that never talk push a cold worker over
// together, so each may spend only its own part of what warm peers carry, and none may start with credit.
func (d *Dispatcher) coldAllows(now float64, r *request, w *worker) bool {
	warmth := d.warmth(now, w)
	perS := w.kind.carried * warmth // this dispatcher's part of what it can carry now
	job := d.cost(r) * w.kind.medians[r.Class]
	if job > coldJob*d.s.OverloadFactor*perS*float64(d.s.Dispatchers)*d.s.TipAfter {
		return false
	}
	// The part of a job that must be saved up is drawn: equal ones would make all dispatchers send at once.
	w.credit = min(w.credit+perS*coldMargin*d.s.OverloadFactor*(now-w.coldAt), job+perS*coldSaved)
	w.coldAt = now
	return w.credit >= w.need*job
}

// cost is the job's size in mean jobs of its class, where hints tell.
func (d *Dispatcher) cost(r *request) float64 {
	h := d.classes[r.Class].hint
	if !r.HasHint || h <= 0 || r.Hint <= 0 {
		return 1
	}
	return r.Hint / h
}

// Outcome takes the end of an attempt.
func (d *Dispatcher) Outcome(now float64, o Outcome) {
	r := d.reqs[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	w := a.w
	a.ended, a.neverRan = true, o.Code.NeverRan()
	a.once = !a.neverRan && o.Code != Cancelled || o.Code == Returned // danger: its worker may tell it again
	r.out--
	w.out = slices.DeleteFunc(w.out, func(x *attempt) bool { return x == a })
	w.n[r.Class]--
	d.classes[r.Class].n--
	d.report(now, w, o.Report)
	d.learn(now, r, a, o)
	d.noRoom -= d.noRoom / noRoomOf
	if o.Code == NoConnect && o.Latency < d.s.DialTimeout/2 {
		d.noRoom += 1 / noRoomOf
	} else if o.Code == Done && len(w.out) == 0 && d.noRoom > noRoomMost {
		// Danger: many dispatchers' idle connections fill the workers' tables, and nobody gets in.
		d.act.CloseIdle(w.ID)
	}
	if o.Final || r.over {
		d.end(r)
		return
	}
	d.place(now, r)
}

// learn enters what an outcome tells of its worker.
func (d *Dispatcher) learn(now float64, r *request, a *attempt, o Outcome) {
	w := a.w
	switch o.Code {
	case Done:
		w.lifeAt, w.fullTill, w.barSpan, w.bad = now, 0, w.barSpan/2, w.bad-w.bad/badMemory
		cost := d.cost(r)
		if c := &d.classes[r.Class]; a.startedAt > 0 {
			c.run += (now - a.startedAt - c.run) / memory
		} else if !d.s.TellsStart {
			own := c.fastest
			if r.HasHint {
				own = r.Hint
			}
			d.sawLate(o.Latency > c.Aim+c.Stretch*own)
		}
		d.took += (o.Latency - d.took) / (4 * memory)
		w.kind.did(now, cost*w.kind.medians[r.Class])
		took := o.Latency
		if a.startedAt > 0 {
			took = now - a.startedAt
		}
		w.profiles[r.Class].add(took, cost)
		d.reshare(now, r.Class, w)
	case Busy, Returned, Cancelled:
		if o.Code == Cancelled && !a.started && d.s.TellsStart {
			d.waited(now, w, max(2*o.Latency, d.queue(now, w)))
		}
		w.lifeAt = max(w.lifeAt, a.aliveAt(now))
		if till := now + max(retryPause, fullPart*d.response(now, r.Class, w)); till > w.fullTill {
			w.fullTill, w.fullSlots = till, r.Slots
		}
	case Errored, Reset, NoConnect, BrokenBeforeSend:
		// Danger: one that fails fast empties its count of jobs in flight and would draw ever more.
		w.lifeAt = now
		w.failed(now, (o.Code == Reset || o.Code == BrokenBeforeSend) && d.warmth(now, w) == 1, 0.75+d.rng.Float64()/2)
	}
}

// judge counts a request once: when it has waited for longer than its aim bears, or as it begins in time.
func (d *Dispatcher) judge(now float64, r *request, begins bool) {
	c := &d.classes[r.Class]
	if late := now-r.arrived > c.Aim+(c.Stretch-1)*c.run; !r.judged && (late || begins) {
		r.judged = true
		d.sawLate(late)
	}
}

// StoodStill says that nothing could be read until now: what is out tells nothing of the workers.
func (d *Dispatcher) ProcessStalled() {
	for _, r := range d.reqs {
		r.judged = true
	}
}

// sawLate enters whether a job waited or took longer than its aim bears.
func (d *Dispatcher) sawLate(late bool) { d.late = part(d.late, late, lateMemory) }

// Withdrawn ends a request whose client has left.
func (d *Dispatcher) Withdrawn(_ float64, id string) {
	if r := d.reqs[id]; r != nil {
		d.end(r)
	}
}

// Note takes news of a running attempt.
func (d *Dispatcher) AttemptUpdate(now float64, n AttemptUpdate) {
	r := d.reqs[n.Request]
	if r == nil || n.Attempt < 0 || n.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[n.Attempt]
	if c := &d.classes[r.Class]; n.Started && !a.started {
		a.startedAt = now
		if d.s.TellsStart {
			d.waited(now, a.w, now-a.sent)
		}
		d.judge(now, r, true)
		if a.no > 0 && now-a.sent < c.Aim*moveAfter {
			d.found += (1 - d.found) / lateMemory
		}
	}
	d.heard(now, a, n)
	if n.Started || n.Share > 0 && (now-a.sent)/n.Share < 3*d.response(now, r.Class, a.w)*max(1, d.cost(r)) {
		a.w.lifeAt = now
	}
}

// Probed takes the result of a health check.
func (d *Dispatcher) Probed(now float64, p Probe) {
	if w := d.byID[p.Worker]; w != nil && p.Code == Done {
		d.report(now, w, p.Report)
	}
}

// Heard takes a peer's message. Peers tell nothing yet.
func (d *Dispatcher) PeerMessage(_ float64, _ int, _ []byte) {}

// Timer takes a timer that has come due.
func (d *Dispatcher) Timer(now float64, token uint64) {
	switch token {
	case listToken:
		if !d.subscribed {
			d.asked = true
			d.act.Subscribe(true)
		}
	case tickToken:
		d.act.Timer(tickEvery, tickToken)
		d.probe(now)
	default:
		if a := d.moves[token]; a != nil {
			// Danger: a worker may run what is called off all the same, so moves are rationed by the price
			// of waste, and stop when the whole fleet is late.
			delete(d.moves, token)
			stays := d.stays(now, a, token)
			if a.no > 0 && !a.started && !a.ended {
				d.found -= d.found / lateMemory
			}
			if !stays && len(a.req.attempts) < d.s.MaxAttempts &&
				d.paidMoves >= 1 && d.late <= 2*lateBorne {
				d.paidMoves--
				d.act.Cancel(a.req.ID, a.no)
			}
		}
		if r := d.waiting[token]; r != nil {
			delete(d.waiting, token)
			if !r.over {
				d.place(now, r)
			}
		}
	}
}

// probe asks workers in turn for reports, as many as the traffic pays for.
func (d *Dispatcher) probe(now float64) {
	for i, most := 0, len(d.workers); i < most && d.probes >= 1; i++ {
		d.nextProbe = (d.nextProbe + 1) % most
		w := d.workers[d.nextProbe]
		if w.listed && w.State == InService && now-w.probedAt > freshFor/2 {
			w.probedAt = now
			d.probes--
			d.act.Probe(w.ID)
		}
	}
}
