// Package choice selects workers for a dispatcher's requests, in proportion to the inverse of their expected
// responses. Settings, events and actions are in api.go; state.go describes the state and the rules on it;
// docs/design.md gives the reasons.
package choice

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// Names ending in S are in seconds. A window is the number of events that a decaying average covers.
const (
	// Expected response times.
	profileWindow = 12.0  // answers of a class by a worker
	hintWindow    = 500.0 // requests with a hint
	priorAnswers  = 2.0   // weight, in answers, of the machine kind's median in each profile

	// Shares, load reports and the price of crossing zones.
	sampleWorkers     = 3    // workers compared while fewer jobs than workers are in flight
	refreshIntervalS  = 0.2  // between updates of medians and shares over all workers
	reportFreshS      = 1.5  // age up to which a load report is fresh; workers are probed after half of it
	crossZoneExponent = 30.0 // responses in other zones count exp(crossZoneExponent * price) times
	reportAgeS        = 0.6  // assumed age of a load report when it arrives

	// Exclusion of workers that answered 'busy' or failed.
	fullHoldShare                    = 0.15      // of a response: how long 'busy' excludes jobs of its size
	ejectionMinS, ejectionMaxS       = 1.0, 16.0 // first and longest ejection
	unsafeEjectionFactor             = 3.0       // times as long for at-most-once jobs, as failures lose them
	failureWindow, fullEjectionShare = 12.0, 0.3 // attempts; share of failures at which a break ejects fully

	probesPerRequest = 0.5 // credit for each request

	// Load and cold workers, see kind and worker.
	loadStdDevs, loadScale = 1.5, 1.3 // standard deviations subtracted from the load; factor on the rest
	coldFleetShare         = 0.6      // of the overload factor, for all dispatchers together
	coldSavingsS           = 0.3      // most of its budget that a cold worker accumulates beyond the next job
	coldJobShare           = 0.3      // largest job for a cold worker, of the work that overloads it
	waitDecayS             = 4.0      // decay of a worker's last wait to the mean wait
	rateDecayS             = 8.0      // decay of rates
	peakLoadDecay          = 0.995    // for each refresh

	// Moves of jobs that have not started to other workers.
	moveAfterAimShare = 0.25   // of the aim, after which a job that has not started is moved
	movesPerRequest   = 0.3    // credit for each request, less if waste is expensive
	movesPerHitShare  = 2.0    // if more: credit for each request, times the share of moves to a free worker
	moveWasteFactor   = 0.0075 // most credit times the squared price of waste; a tenth of moved jobs started

	// Load shedding, see Dispatcher.
	lateWindow                     = 16.0      // starts or answers
	toleratedLateShare             = 0.2       // up to which nothing is refused
	shedPerLateShare, shedShareMax = 2.0, 0.85 // refused share by the late share above the tolerated; limit

	connWindow          = 64.0 // outcomes, for the share of connections that are refused at once
	refusedConnShareMax = 0.03 // above which idle connections are closed

	costRatioMax                 = 4.0       // by cost, jobs are shed up to so many times as often or rarely
	returnWindow, returnShareMax = 64.0, 0.9 // tries; limit of the share of refused tries that return

	probeIntervalS                          = 0.1
	listRetryMaxS                           = 1.6      // changes count as known 6 s after discovery recovers
	retriesPerRequest, retriesPerRequestMax = 1.2, 1.5 // credit by the squared slack of the aim; its limit
	scanWorkersMax                          = 96       // workers examined if no sample finds one
	retryDelayS                             = 0.02     // before a new attempt if no worker seems free
	probeTimer, listTimer                   = 1, 2     // timer tokens
)

// New starts a dispatcher. It returns an error if act is nil or the settings can't be satisfied.
func New(now float64, cfg Settings, actions Actions) (*Dispatcher, error) {
	if actions == nil || len(cfg.Classes) == 0 || cfg.MaxAttempts < 1 || cfg.Dispatchers < 1 {
		return nil, errors.New("choice: actions, a class, an attempt and a dispatcher are required")
	}
	pcg := rand.NewPCG(cfg.Seed, uint64(cfg.Self)+1)
	d := &Dispatcher{cfg: cfg, actions: actions, pcg: pcg, rng: rand.New(pcg),
		byID: map[string]*worker{}, kinds: map[string]*kind{}, requests: map[string]*request{},
		delayed: map[uint64]*request{}, attemptTimers: map[uint64]*attempt{}, retryCredit: 2,
		timerToken: listTimer, nextRefreshAt: now}
	d.nextProbe = d.rng.IntN(1 << 20)
	for _, c := range cfg.Classes {
		d.classes = append(d.classes, class{Class: c, median: 1})
	}
	for _, t := range cfg.Tenants {
		d.tenants = append(d.tenants, tenant{Tenant: t})
	}
	d.listRetryDelay = min(cfg.AskWithin/16, listRetryMaxS)
	if cfg.ListOnRequest { // random delay, as all dispatchers may start at once
		actions.Timer(d.rng.Float64()*cfg.AskWithin/4, listTimer)
	}
	if cfg.CanProbe && cfg.FreeSlots >= 0 { // a probe costs the worker time and is useless without a report
		actions.Timer(probeIntervalS*d.rng.Float64(), probeTimer)
	}
	return d, nil
}

// List applies an answer or update of discovery.
func (d *Dispatcher) List(now float64, form ListForm, list []Worker) {
	if form == ListRefused {
		// Many dispatchers that retry at the same time would keep discovery overloaded.
		d.subscribed, d.subscribeSent = false, false
		d.actions.Timer(d.listRetryDelay*(0.5+d.rng.Float64()), listTimer)
		d.listRetryDelay = min(d.listRetryDelay*2, d.cfg.AskWithin/2, listRetryMaxS)
		return
	}
	if form != ListRemembered && d.subscribeSent {
		d.subscribed, d.listRetryDelay = true, min(d.cfg.AskWithin/16, listRetryMaxS)
	}
	if form != ListChanges {
		for _, w := range d.workers {
			w.listed = false
		}
	}
	for _, e := range list {
		w := d.byID[e.ID]
		if w == nil {
			w = d.newWorker(d.kindNamed(e.Kind))
			w.resetColdBudget(now, d.rng.Float64())
			d.byID[e.ID] = w
			d.workers = append(d.workers, w)
		}
		if e.Started > w.Started {
			w.ejectedUntil, w.unsafeUntil, w.ejectionDuration, w.failureShare, w.fullUntil, w.freeSlotsAt,
				w.waitAt = 0, 0, 0, 0, 0, 0, 0
			w.resetColdBudget(now, d.rng.Float64())
		}
		w.Worker, w.sameZone, w.listed = e, e.Zone == d.cfg.Zone, e.State != Terminated
	}
	d.workers = slices.DeleteFunc(d.workers, func(w *worker) bool {
		if w.listed || len(w.outstanding) > 0 {
			return false
		}
		delete(d.byID, w.ID)
		return true
	})
	slices.SortFunc(d.workers, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.refresh(now)
}

// SetDispatchers sets how many dispatchers may be active from now on. Those that join take over a part of the
// load, whose average decays slowly: cold budgets by the old average would add up to more than a cold worker
// can handle. After some have left, the load rises by itself.
func (d *Dispatcher) SetDispatchers(dispatchers int) {
	if share := float64(d.cfg.Dispatchers) / float64(dispatchers); share < 1 {
		for _, k := range d.kindList {
			k.peakLoad, k.workRate.sum, k.workSquareRate.sum =
				k.peakLoad*share, k.workRate.sum*share, k.workSquareRate.sum*share
		}
	}
	d.cfg.Dispatchers = max(1, dispatchers)
}

// capacityShare is the least part of its full capacity that a worker has while it warms up.
func (d *Dispatcher) capacityShare(now float64, w *worker) float64 {
	if w.Started == 0 || d.cfg.WarmWithin <= 0 || now >= w.Started+d.cfg.WarmWithin {
		return 1
	}
	return d.cfg.ColdShare + (1-d.cfg.ColdShare)*max(0, now-w.Started)/d.cfg.WarmWithin
}

// refresh updates loads, medians and shares over all workers, and counts requests that wait too long.
func (d *Dispatcher) refresh(now float64) {
	elapsed := min(refreshIntervalS, now-d.refreshedAt)
	d.refreshedAt, d.nextRefreshAt = now, now+refreshIntervalS
	for _, k := range d.kindList {
		k.capacity = 0
	}
	for _, w := range d.workers {
		if w.listed {
			w.kind.capacity += d.capacityShare(now, w)
		}
	}
	for _, k := range d.kindList {
		k.capacityTime.add(now, k.capacity*elapsed)
		load := k.workRate.perS(now) // counted less by its standard deviation, see kind
		load = min(load, loadScale*(load-loadStdDevs*math.Sqrt(k.workSquareRate.perS(now)/(2*rateDecayS))))
		k.peakLoad = max(k.peakLoad*peakLoadDecay, load/max(k.capacityTime.perS(now), 1e-9))
	}
	for _, r := range d.requests {
		// A job in a long queue starts late, and until then the queue would grow unnoticed.
		if d.cfg.TellsStart && !r.finished {
			d.countLate(now, r, false)
		}
	}
	for i := range d.classes {
		c := &d.classes[i]
		d.listCandidates(i)
		if m := d.medianResponse(i, nil); m > 0 {
			c.median = m
		}
		c.fastestMedian = c.median
		for _, k := range d.kindList {
			k.medians[i] = d.medianResponse(i, k)
			if k.medians[i] == 0 {
				k.medians[i] = c.median
			}
			c.fastestMedian = min(c.fastestMedian, k.medians[i])
		}
		c.inverseSum, c.inverseMax = 0, 0
		for _, w := range c.candidates {
			d.updateInverse(now, i, w)
			c.inverseSum += w.inverse[i]
			c.inverseMax = max(c.inverseMax, w.inverse[i])
		}
	}
}

// listCandidates finds the workers that may run jobs of class i.
func (d *Dispatcher) listCandidates(i int) {
	c := &d.classes[i]
	c.candidates = c.candidates[:0]
	for _, w := range d.workers {
		if w.listed && w.State == InService && c.runsOn(w) {
			c.candidates = append(c.candidates, w)
		}
	}
}

// medianResponse is the median response of class i at kind k, at all kinds if k is nil; 0 without answers.
func (d *Dispatcher) medianResponse(i int, k *kind) float64 {
	d.scratch = d.scratch[:0]
	for _, w := range d.classes[i].candidates {
		if p := w.profiles[i]; p.cost > 0 && (k == nil || w.kind == k) {
			d.scratch = append(d.scratch, p.response/p.cost)
		}
	}
	if len(d.scratch) == 0 {
		return 0
	}
	slices.Sort(d.scratch)
	return d.scratch[len(d.scratch)/2]
}

// response is the expected response of a mean job of class i, in seconds: the expected wait, and the run time
// by the worker's profile, filled up as described at profile.
func (d *Dispatcher) response(now float64, i int, w *worker) float64 {
	responses, costs := priorAnswers, priorAnswers
	for j, p := range w.profiles {
		if j != i {
			responses, costs = responses+p.response/max(w.kind.medians[j], 1e-4), costs+p.cost
		}
	}
	p := w.profiles[i]
	runTime := (p.response + priorAnswers*w.kind.medians[i]*max(1, responses/costs)) / (p.cost + priorAnswers)
	return runTime + d.expectedWait(now, w)
}

// expectedWait is the last wait seen at the worker, which decays to the mean wait of all.
func (d *Dispatcher) expectedWait(now float64, w *worker) float64 {
	return d.wait + (w.wait-d.wait)*math.Exp((w.waitAt-now)/waitDecayS)
}

// recordWait records how long a job waited at its worker, and updates the worker's shares.
func (d *Dispatcher) recordWait(now float64, w *worker, wait float64) {
	w.wait, w.waitAt = wait, now
	if wait > retryDelayS { // the average queue is worked off in half of it
		w.fullUntil, w.fullFromSlots = now+min(wait, waitDecayS)/2, 0
	}
	d.wait += (wait - d.wait) / (4 * profileWindow)
	for i := range d.classes {
		d.updateShare(now, i, w)
	}
}

// updateShare updates a worker's share of class i between refreshes.
func (d *Dispatcher) updateShare(now float64, i int, w *worker) {
	c := &d.classes[i]
	if !w.listed || w.State != InService || !c.runsOn(w) {
		return
	}
	c.inverseSum -= w.inverse[i]
	d.updateInverse(now, i, w)
	c.inverseSum += w.inverse[i]
	c.inverseMax = max(c.inverseMax, w.inverse[i])
}

// updateInverse sets the inverse of the worker's expected response for class i, as its share follows from it.
func (d *Dispatcher) updateInverse(now float64, i int, w *worker) {
	r := d.response(now, i, w)
	if len(w.outstanding) > 0 {
		// A worker that never answers keeps its fast profile, and would get more and more jobs.
		r = max(r, now-max(w.outstanding[0].sentAt, w.lastAliveAt))
	}
	if !w.sameZone {
		r *= math.Exp(crossZoneExponent * d.cfg.Prices.CrossZone)
	}
	w.inverse[i] = 1 / max(r, 1e-4)
}

// Request admits a request and places it, or refuses it; Dispatcher describes load shedding.
func (d *Dispatcher) Request(now float64, q Request) {
	if q.Class < 0 || q.Class >= len(d.classes) || d.requests[q.ID] != nil {
		return
	}
	r := &request{Request: q, arrivedAt: now}
	r.Slots = max(r.Slots, 1)
	c := &d.classes[q.Class]
	if q.HasHint {
		c.hintCount = min(c.hintCount+1, hintWindow)
		c.meanHint += (q.Hint - c.meanHint) / c.hintCount
	}
	if q.Tenant >= 0 && q.Tenant < len(d.tenants) {
		t := &d.tenants[q.Tenant]
		r.overShare = t.Quota > 0 && t.requestRate.perS(now)*float64(d.cfg.Dispatchers) > t.Quota
	}
	worth := c.Worth
	if c.Deadline-(q.Deadline-now) > c.Aim+c.Stretch*c.median {
		worth *= c.LateWorth // a retry of the client, too late for the aim
	}
	cost := 1 / max(worth, 1e-9)
	if !d.cfg.WorthByWork {
		cost *= c.median
	}
	d.meanCost += (cost - d.meanCost) / lateWindow
	// Lateness is tolerated in full if late answers keep a quarter of their worth or more, and not at all if
	// they keep none: late requests would only take slots from those that could be in time.
	late := max(0, d.lateShare-toleratedLateShare*min(1, 4*c.LateWorth))
	shed := min(shedShareMax, shedPerLateShare*late*min(costRatioMax, max(1/costRatioMax, cost/d.meanCost)))
	if r.overShare { // its worth is multiplied by OverShareWorth
		shed *= min(costRatioMax, 1/max(d.cfg.OverShareWorth, 1e-3))
	}
	// If callers retry at once, a share refused at each try drops far fewer requests for good. It is raised
	// by the share of refused tries that return, so that a share of shed is dropped for good.
	returning := min(returnShareMax, d.returnShare/max(d.shedShare, 1/returnWindow))
	shed = min(1, shed)
	refuse := d.rng.Float64() < min(shed/(1-returning+shed*returning), 0.95)
	d.returnShare, d.shedShare =
		decayedShare(d.returnShare, q.Repeat, returnWindow), decayedShare(d.shedShare, refuse, returnWindow)
	if refuse {
		d.actions.Refuse(r.ID, d.cfg.MaxRetryAfter)
		return
	}
	if q.Tenant >= 0 && q.Tenant < len(d.tenants) {
		d.tenants[q.Tenant].requestRate.add(now, 1) // shed tries would put all tenants over quota
	}
	d.probeCredit = min(d.probeCredit+probesPerRequest, 20)
	waste := max(d.cfg.Prices.Waste, 1e-3)
	perRequest := max(movesPerRequest, movesPerHitShare*d.moveHitShare)
	d.moveCredit = min(d.moveCredit+min(perRequest, moveWasteFactor*(1-c.LateWorth)/(waste*waste)), 10)
	slack := max(0, c.Aim/max(c.fastestMedian, 1e-3)+c.Stretch-2)
	d.retryCredit = min(d.retryCredit+min(retriesPerRequestMax, retriesPerRequest*slack*slack), 20)
	d.requests[q.ID] = r
	d.place(now, r)
}

// place sends the request's next attempt, delays it by retryDelayS, or ends the request.
func (d *Dispatcher) place(now float64, r *request) {
	if now >= d.nextRefreshAt {
		d.refresh(now)
	}
	first, c := r.firstMaybeRun(), &d.classes[r.Class]
	if len(r.attempts) >= d.cfg.MaxAttempts || now >= r.Deadline ||
		first != nil && (c.Effect == AtMostOnce || c.Effect == Deduplicated && now > first.sentAt+c.Window) {
		d.giveUp(r) // what may have run is repeated only as its class allows
		return
	}
	w, available := d.pickWorker(now, r)
	if (w != nil && !available && len(r.attempts) > 0 || w == nil && len(c.candidates) > 0) &&
		!r.overShare && now-r.arrivedAt < c.Aim/2 && now+2*retryDelayS < r.Deadline {
		// Immediate retries at workers known to be full only multiply the load.
		d.timerToken++
		r.timerToken = d.timerToken
		d.delayed[r.timerToken] = r
		d.actions.Timer(retryDelayS, r.timerToken)
		return
	}
	if w == nil || !available && r.overShare || len(r.attempts) > 0 && first == nil && d.retryCredit < 1 {
		d.giveUp(r)
		return
	}
	if len(r.attempts) > 0 && first == nil {
		// When all workers are full, each retry takes connections and time from first attempts.
		d.retryCredit--
	}
	a := &attempt{req: r, number: len(r.attempts), w: w, sentAt: now}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	w.outstanding = append(w.outstanding, a)
	w.coldBudget, w.coldThreshold = w.coldBudget-d.relativeCost(r)*w.kind.medians[r.Class], d.rng.Float64()
	w.count[r.Class]++
	c.count++
	d.actions.Assign(r.ID, w.ID, 0)
	if d.cfg.TellsStart && d.cfg.CanCancel &&
		(c.Effect == Idempotent || c.Effect == Deduplicated && d.cfg.TellsTaken) {
		d.timerToken++
		d.attemptTimers[d.timerToken] = a
		d.actions.Timer(c.Aim*moveAfterAimShare, d.timerToken)
	}
}

// giveUp refuses a request if a repeat is safe, and otherwise fails it after its last outstanding attempt.
func (d *Dispatcher) giveUp(r *request) {
	c := &d.classes[r.Class]
	if r.firstMaybeRun() == nil || c.Effect == Idempotent || c.Effect == Deduplicated && c.Group == GroupAll {
		d.actions.Refuse(r.ID, 0)
	} else if r.outstanding == 0 {
		d.actions.Fail(r.ID)
	} else {
		return
	}
	d.finish(r)
}

// pickWorker returns the worker with the largest gap below its share, and whether it is available.
func (d *Dispatcher) pickWorker(now float64, r *request) (*worker, bool) {
	c, first := &d.classes[r.Class], r.firstMaybeRun()
	if w := d.largestGap(now, r, c, first, true); w != nil {
		return w, true
	}
	return d.largestGap(now, r, c, first, false), false
}

// largestGap returns the worker with the largest gap below its share, among available ones if free is set.
func (d *Dispatcher) largestGap(now float64, r *request, c *class, first *attempt, free bool) *worker {
	var best *worker
	bestGap, list := 0.0, c.candidates
	consider := func(w *worker) bool {
		if !d.allowed(now, r, c, first, w, free) || free && !d.available(now, r, w) ||
			d.capacityShare(now, w) < 1 && !d.withinColdBudget(now, r, w) {
			return false
		}
		gap := float64(w.count[r.Class]) - w.inverse[r.Class]/c.inverseSum*float64(c.count+1)
		if best == nil || gap < bestGap || gap == bestGap && w.inverse[r.Class] > best.inverse[r.Class] {
			best, bestGap = w, gap
		}
		return true
	}
	// With few jobs in flight every gap is close to -share, and all dispatchers would crowd the worker with
	// the largest share. A few workers drawn by their shares are compared instead.
	if free && c.count < len(list) && len(list) > sampleWorkers {
		source, wanted := d.rng, sampleWorkers
		if r.HasKey { // all dispatchers draw the same workers for a key, which may have its data cached
			source, wanted = rand.New(rand.NewPCG(r.Key, 0)), 2
		}
		for found, draws := 0, 0; found < wanted && draws < 12*sampleWorkers; draws++ {
			w := list[source.IntN(len(list))]
			if source.Float64()*c.inverseMax <= w.inverse[r.Class] && consider(w) {
				found++
			}
		}
		if best != nil {
			return best
		}
	}
	// When most of a large fleet is full, a scan of all workers for every attempt takes more time than a
	// dispatcher has, and requests become late. The random start decides between equal gaps.
	for i, from := 0, d.rng.IntN(len(list)+1); i < min(len(list), scanWorkersMax); i++ {
		consider(list[(from+i)%len(list)])
	}
	return best
}

// allowed reports whether ejections, the class's effect and earlier attempts permit the worker. first is
// r.firstMaybeRun(); if free is set, any earlier attempt there excludes the worker.
func (d *Dispatcher) allowed(now float64, r *request, c *class, first *attempt, w *worker, free bool) bool {
	if now < w.ejectedUntil || c.Effect == AtMostOnce && now < w.unsafeUntil {
		return false
	}
	if first != nil && c.Effect == Deduplicated &&
		(c.Group == GroupZone && w.Zone != first.w.Zone || c.Group == GroupCell && w.Cell != first.w.Cell) {
		return false
	}
	for _, a := range r.attempts {
		if a.w == w && (!a.ended || a.workerExcluded || free || now < w.fullUntil) {
			return false
		}
	}
	return true
}

// available reports whether the worker is expected to have the job's slots free; at random by load reports.
func (d *Dispatcher) available(now float64, r *request, w *worker) bool {
	if now < w.fullUntil && r.Slots >= w.fullFromSlots {
		return false
	}
	if d.cfg.TellsStart {
		for _, a := range w.outstanding {
			if !a.started && now-a.sentAt > 0.02 {
				return false
			}
		}
	}
	if d.cfg.FreeSlots < 0 || w.freeSlotsAt == 0 {
		return true
	}
	slots := w.kind.freeSlots + (w.freeSlots-w.kind.freeSlots)*
		math.Exp((w.freeSlotsAt-reportAgeS-now)/max(d.meanResponse, 1e-3))
	for i := len(w.outstanding) - 1; i >= 0 && w.outstanding[i].sentAt > w.freeSlotsAt-reportAgeS; i-- {
		slots -= w.outstanding[i].req.Slots // sent after the report
	}
	return d.rng.Float64() < 1-math.Exp(-slots/r.Slots)
}

// withinColdBudget reports whether a cold worker's budget, described at worker, covers the job.
func (d *Dispatcher) withinColdBudget(now float64, r *request, w *worker) bool {
	share := d.capacityShare(now, w)
	capacity := w.kind.peakLoad * share // this dispatcher's part of the worker's
	job := d.relativeCost(r) * w.kind.medians[r.Class]
	if job > coldJobShare*d.cfg.OverloadFactor*capacity*float64(d.cfg.Dispatchers)*d.cfg.TipAfter {
		return false
	}
	w.coldBudget = min(w.coldBudget+capacity*coldFleetShare*d.cfg.OverloadFactor*(now-w.coldBudgetAt),
		job+capacity*coldSavingsS)
	w.coldBudgetAt = now
	return w.coldBudget >= w.coldThreshold*job
}

// relativeCost is the job's hint divided by its class's mean hint; 1 without hints.
func (d *Dispatcher) relativeCost(r *request) float64 {
	h := d.classes[r.Class].meanHint
	if !r.HasHint || h <= 0 || r.Hint <= 0 {
		return 1
	}
	return r.Hint / h
}

// Outcome records the end of an attempt, and places its request anew unless that is final.
func (d *Dispatcher) Outcome(now float64, o Outcome) {
	r := d.requests[o.Request]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	w := a.w
	a.ended, a.neverRan = true, o.Code.NeverRan()
	a.workerExcluded = !a.neverRan && o.Code != Cancelled || o.Code == Returned
	r.outstanding--
	w.outstanding = slices.DeleteFunc(w.outstanding, func(x *attempt) bool { return x == a })
	w.count[r.Class]--
	d.classes[r.Class].count--
	d.recordReport(now, w, o.Report)
	d.recordOutcome(now, r, a, o)
	d.refusedConnShare -= d.refusedConnShare / connWindow
	if o.Code == NoConnect && o.Latency < d.cfg.DialTimeout/2 {
		d.refusedConnShare += 1 / connWindow
	} else if o.Code == Done && len(w.outstanding) == 0 && d.refusedConnShare > refusedConnShareMax {
		// Idle connections of many dispatchers fill the workers' tables, and new ones are refused.
		d.actions.CloseIdle(w.ID)
	}
	if o.Final || r.finished {
		d.finish(r)
		return
	}
	d.place(now, r)
}

// recordOutcome updates the state of the attempt's worker, and the lateness.
func (d *Dispatcher) recordOutcome(now float64, r *request, a *attempt, o Outcome) {
	w := a.w
	switch o.Code {
	case Done:
		w.lastAliveAt, w.fullUntil, w.ejectionDuration, w.failureShare =
			now, 0, w.ejectionDuration/2, w.failureShare-w.failureShare/failureWindow
		cost := d.relativeCost(r)
		if c := &d.classes[r.Class]; a.startedAt > 0 {
			c.meanRun += (now - a.startedAt - c.meanRun) / profileWindow
		} else if !d.cfg.TellsStart {
			expected := c.fastestMedian
			if r.HasHint {
				expected = r.Hint
			}
			d.recordLate(o.Latency > c.Aim+c.Stretch*expected)
		}
		d.meanResponse += (o.Latency - d.meanResponse) / (4 * profileWindow)
		w.kind.recordWork(now, cost*w.kind.medians[r.Class])
		response := o.Latency
		if a.startedAt > 0 {
			response = now - a.startedAt
		}
		w.profiles[r.Class].add(response, cost)
		d.updateShare(now, r.Class, w)
	case Busy, Returned, Cancelled:
		if o.Code == Cancelled && !a.started && d.cfg.TellsStart {
			d.recordWait(now, w, max(2*o.Latency, d.expectedWait(now, w)))
		}
		w.lastAliveAt = max(w.lastAliveAt, a.aliveAt(now))
		if until := now + max(retryDelayS, fullHoldShare*d.response(now, r.Class, w)); until > w.fullUntil {
			w.fullUntil, w.fullFromSlots = until, r.Slots
		}
	case Errored, Reset, NoConnect, BrokenBeforeSend:
		// A worker that fails fast has few jobs in flight, and would get more and more.
		w.lastAliveAt = now
		w.recordFailure(now, (o.Code == Reset || o.Code == BrokenBeforeSend) && d.capacityShare(now, w) == 1,
			0.75+d.rng.Float64()/2)
	}
}

// countLate counts a request once: as late when it has waited too long for its aim, else when it starts.
func (d *Dispatcher) countLate(now float64, r *request, started bool) {
	c := &d.classes[r.Class]
	if late := now-r.arrivedAt > c.Aim+(c.Stretch-1)*c.meanRun; !r.lateCounted && (late || started) {
		r.lateCounted = true
		d.recordLate(late)
	}
}

// ProcessStalled excludes open requests from the lateness: it was the process that stopped for a while.
func (d *Dispatcher) ProcessStalled() {
	for _, r := range d.requests {
		r.lateCounted = true
	}
}

func (d *Dispatcher) recordLate(late bool) { d.lateShare = decayedShare(d.lateShare, late, lateWindow) }

// Withdrawn ends a request whose client has disconnected.
func (d *Dispatcher) Withdrawn(_ float64, id string) {
	if r := d.requests[id]; r != nil {
		d.finish(r)
	}
}

// AttemptUpdate records a worker's status update of an attempt.
func (d *Dispatcher) AttemptUpdate(now float64, u AttemptUpdate) {
	r := d.requests[u.Request]
	if r == nil || u.Attempt < 0 || u.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[u.Attempt]
	if c := &d.classes[r.Class]; u.Started && !a.started {
		a.startedAt = now
		if d.cfg.TellsStart {
			d.recordWait(now, a.w, now-a.sentAt)
		}
		d.countLate(now, r, true)
		if a.number > 0 && now-a.sentAt < c.Aim*moveAfterAimShare {
			d.moveHitShare += (1 - d.moveHitShare) / lateWindow
		}
	}
	d.recordUpdate(now, a, u)
	if u.Started || u.Share > 0 &&
		(now-a.sentAt)/u.Share < 3*d.response(now, r.Class, a.w)*max(1, d.relativeCost(r)) {
		a.w.lastAliveAt = now
	}
}

// Probed records the result of a health check.
func (d *Dispatcher) Probed(now float64, p Probe) {
	if w := d.byID[p.Worker]; w != nil && p.Code == Done {
		d.recordReport(now, w, p.Report)
	}
}

// PeerMessage ignores a message of another dispatcher; none are sent yet.
func (d *Dispatcher) PeerMessage(_ float64, _ int, _ []byte) {}

// Timer handles an expired timer.
func (d *Dispatcher) Timer(now float64, token uint64) {
	switch token {
	case listTimer:
		if !d.subscribed {
			d.subscribeSent = true
			d.actions.Subscribe(true)
		}
	case probeTimer:
		d.actions.Timer(probeIntervalS, probeTimer)
		d.sendProbes(now)
	default:
		if a := d.attemptTimers[token]; a != nil {
			// A worker may still run a cancelled job, so moves are rationed by the price of waste, and stop
			// when the whole fleet is late.
			delete(d.attemptTimers, token)
			keep := d.keepInPlace(now, a, token)
			if a.number > 0 && !a.started && !a.ended {
				d.moveHitShare -= d.moveHitShare / lateWindow
			}
			if !keep && len(a.req.attempts) < d.cfg.MaxAttempts &&
				d.moveCredit >= 1 && d.lateShare <= 2*toleratedLateShare {
				d.moveCredit--
				d.actions.Cancel(a.req.ID, a.number)
			}
		}
		if r := d.delayed[token]; r != nil {
			delete(d.delayed, token)
			if !r.finished {
				d.place(now, r)
			}
		}
	}
}

// sendProbes probes workers in turn for load reports, while the credit that requests have added lasts.
func (d *Dispatcher) sendProbes(now float64) {
	for i, n := 0, len(d.workers); i < n && d.probeCredit >= 1; i++ {
		d.nextProbe = (d.nextProbe + 1) % n
		w := d.workers[d.nextProbe]
		if w.listed && w.State == InService && now-w.probedAt > reportFreshS/2 {
			w.probedAt = now
			d.probeCredit--
			d.actions.Probe(w.ID)
		}
	}
}
