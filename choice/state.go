package choice

import (
	"math"
	"math/rand/v2"
)

// profile is what a dispatcher has seen of one class at one worker: decaying sums of responses in seconds and of the
// jobs' relative costs. The quotient is the response of a mean job.
//
// One of many dispatchers sees few answers for most pairs of worker and class. Each profile is therefore filled up with
// priorAnswers answers of the machine kind's median. Alone, that would take a slow worker for an average one, so the
// median is multiplied by how much slower than the medians the worker is with the other classes, if it is slower.
type profile struct{ response, cost float64 }

func (p *profile) add(response, cost float64) {
	keep := min(1, max(0, (profileWindow-cost)/profileWindow))
	p.response, p.cost = p.response*keep+response, p.cost*keep+cost
}

// rate is a sum that decays by a factor of e in rateDecayS. at is the time of the sum.
type rate struct{ sum, at float64 }

func (m *rate) add(now, amount float64) {
	m.sum, m.at = m.sum*math.Exp((m.at-now)/rateDecayS)+amount, now
}

// perS returns the average amount for each second.
func (m *rate) perS(now float64) float64 {
	return m.sum * math.Exp((m.at-now)/rateDecayS) / rateDecayS
}

// decayedShare returns the share of hits among the last window events after one more event.
func decayedShare(share float64, hit bool, window float64) float64 {
	share -= share / window
	if hit {
		share += 1 / window
	}
	return share
}

// attempt is one sending of a request to a worker.
type attempt struct {
	req            *request
	number         int // index in req.attempts
	w              *worker
	sentAt         float64
	started        bool
	startedAt      float64 // 0 if the worker has not reported the start
	taken          bool    // the worker has confirmed that it holds the job
	lastUpdateAt   float64 // time of the worker's last status update of it
	progressTimer  uint64  // token of the timer that checks for missing progress updates; 0 for none
	moveDeferred   bool    // a move was put off once, as the connection may still have been opening
	ended          bool
	neverRan       bool // the outcome proves that the worker did not run it
	workerExcluded bool // not to w again: the request may have run there, or w's return of it may arrive again
}

// request is a request that is open or has outstanding attempts.
type request struct {
	Request
	arrivedAt   float64
	attempts    []*attempt
	outstanding int    // attempts that have not ended
	finished    bool   // a final answer was given or is no longer needed
	lateCounted bool   // it was counted as late or in time
	overShare   bool   // its tenant was over its quota when it arrived
	timerToken  uint64 // of the last timer that delayed its placement
}

// lostAfterIntervals is the number of progress intervals without an update after which a running job is taken for lost.
const lostAfterIntervals = 1.5

// recordUpdate records a worker's status update of an attempt. From the start on it checks for missing progress updates.
func (d *Dispatcher) recordUpdate(now float64, a *attempt, u AttemptUpdate) {
	starts := !a.started && !u.Taken
	a.taken, a.started, a.lastUpdateAt = true, a.started || !u.Taken, now
	if c := &d.classes[a.req.Class]; starts && c.Effect != AtMostOnce && d.cfg.CanCancel && d.cfg.ProgressEvery > 0 {
		d.timerToken++
		a.progressTimer, d.attemptTimers[d.timerToken] = d.timerToken, a
		d.actions.Timer(lostAfterIntervals*d.cfg.ProgressEvery, d.timerToken)
	}
}

// keepInPlace is called when a timer of an attempt expires. It reports whether the job must not be moved: it has ended
// or started, will be checked again later, or was just cancelled for missing progress updates.
//
// Cancelling a job that the worker has not taken yet closes its connection. If opening one takes as long as a move
// waits, no connection would ever stay open, at this worker or the next, so such a job gets a second wait. A running job
// whose worker hangs or whose answer was lost is cancelled, as otherwise it would be waited for until the client's
// deadline.
func (d *Dispatcher) keepInPlace(now float64, a *attempt, timer uint64) bool {
	delay := 0.0
	switch {
	case a.ended || a.req.finished || a.started && timer != a.progressTimer:
		return true
	case a.taken && !a.started && d.classes[a.req.Class].Effect == Deduplicated && d.moveHitShare < 0.5:
		return true // a repeat must stay in the group, and would wait there too unless most moves find a free worker
	case a.started:
		if delay = a.lastUpdateAt + lostAfterIntervals*d.cfg.ProgressEvery - now; delay < 1e-3 {
			delete(d.attemptTimers, timer)
			d.actions.Cancel(a.req.ID, a.number)
			return true
		}
	case d.cfg.TellsTaken && !a.taken && !a.moveDeferred:
		a.moveDeferred, delay = true, d.classes[a.req.Class].Aim*moveAfterAimShare
	default:
		return false
	}
	d.attemptTimers[timer] = a
	d.actions.Timer(delay, timer)
	return true
}

// aliveAt returns the worker's last sign of life by this attempt, which ends now without success. If the job was
// running, that is its last update: cancelling it for missing updates must not count as a sign of life.
func (a *attempt) aliveAt(now float64) float64 {
	if a.started {
		return a.lastUpdateAt
	}
	return now
}

// firstMaybeRun returns the first attempt that may have run, or nil. Repeats must stay in its worker's group.
func (r *request) firstMaybeRun() *attempt {
	for _, a := range r.attempts {
		if !a.neverRan {
			return a
		}
	}
	return nil
}

// worker is what is known of a worker.
//
// A worker that started lately is cold: it has a part of its capacity, and fails if it gets more than OverloadFactor
// times that for TipAfter. Dispatchers do not communicate, and would overload it together. So each may send it only
// coldFleetShare of its own part of that, by the peak load of warm workers, and starts with an empty budget. Jobs are
// paid for in seconds of work. The part of a job that the budget must reach is drawn at random for each job: with equal
// parts all dispatchers would send at the same time.
//
// The last wait counts instead of an average, as one of many dispatchers uses a worker every few seconds only: averaged
// over a dozen answers of a class, a queue would count for minutes after it has gone, and a new one would not show.
//
// All dispatchers have the same old load reports. If they relied on them, they would all send to the workers that
// reported free slots and avoid the others for longer than their jobs last. So a report counts as a probability, and
// decays with its age to the mean of the machine kind.
type worker struct {
	Worker
	listed           bool // in discovery's list
	sameZone         bool // as the dispatcher
	kind             *kind
	profiles         []profile  // by class
	inverse          []float64  // 1 / expected response, by class, as of the last update
	count            []int      // own jobs in flight, by class
	outstanding      []*attempt // oldest first
	lastAliveAt      float64    // last sign of life
	wait             float64    // seconds that the last job waited to start
	waitAt           float64    // when the last wait was recorded
	freeSlots        float64    // by the last load report
	freeSlotsAt      float64    // when that arrived; 0 without a report
	fullUntil        float64    // taken for full until then ...
	fullFromSlots    float64    // ... by jobs of at least so many slots
	ejectedUntil     float64    // gets no jobs until then, after a failure
	unsafeUntil      float64    // gets no at-most-once jobs until then
	ejectionDuration float64    // seconds of the last ejection, halved by each success
	failureShare     float64    // of the last attempts
	coldBudget       float64    // in seconds of work
	coldThreshold    float64    // part of the next job's work that coldBudget must reach
	coldBudgetAt     float64    // when coldBudget was last added to
	probedAt         float64
}

func (d *Dispatcher) newWorker(k *kind) *worker {
	count := len(d.classes)
	return &worker{kind: k, profiles: make([]profile, count), inverse: make([]float64, count),
		count: make([]int, count)}
}

func (w *worker) resetColdBudget(now, threshold float64) {
	w.coldBudget, w.coldThreshold, w.coldBudgetAt = 0, threshold, now
}

// recordFailure ejects a worker after a failure, for up to ejectionMaxS and times jitter. Single connections break at
// healthy workers too, and a full ejection for each could exclude most of the fleet at once. For a broken connection the
// ejection therefore grows with the share of attempts that failed lately.
func (w *worker) recordFailure(now float64, connBroke bool, jitter float64) {
	w.failureShare += (1 - w.failureShare) / failureWindow
	severity := 1.0
	if connBroke {
		severity = min(1, w.failureShare/fullEjectionShare)
	}
	w.ejectionDuration = min(ejectionMaxS, max(ejectionMinS*severity*severity, 2*w.ejectionDuration))
	w.ejectedUntil = now + w.ejectionDuration*jitter
	w.unsafeUntil = now + unsafeEjectionFactor*w.ejectionDuration
}

// kind is what workers of one machine kind have in common.
//
// peakLoad is a slowly decaying maximum of the load for each unit of capacity. The current load would be no measure when
// the cold budgets themselves limit it: after a release that restarts all workers of a kind, the budgets would only
// shrink. What one of many dispatchers carries is little, and varies by chance: the maxima that all of them see add up
// to far more than the load. So loadStdDevs standard deviations are subtracted from a load before it counts.
type kind struct {
	medians        []float64 // responses in seconds, by class
	workRate       rate      // seconds of work done
	workSquareRate rate      // squares of the work of each job
	freeSlots      float64   // mean of the free slots reported
	reportCount    float64   // reports that freeSlots is the mean of, up to a limit
	capacityTime   rate      // seconds of full capacity that were available
	peakLoad       float64   // work in seconds for each second of full capacity
	capacity       float64   // listed workers, each counted by the part of its full capacity that it has
}

// recordWork adds a job's work, in seconds.
func (k *kind) recordWork(now, work float64) {
	k.workRate.add(now, work)
	k.workSquareRate.add(now, work*work)
}

// class is a class of requests with its statistics.
type class struct {
	Class
	candidates             []*worker // workers that may run its jobs
	inverseSum, inverseMax float64   // over the inverse responses of the candidates
	count                  int       // own jobs in flight
	meanHint               float64   // core seconds
	hintCount              float64   // hints that meanHint is the mean of, up to hintWindow
	median                 float64   // response in seconds
	meanRun                float64   // seconds from start to answer, if workers report starts
	fastestMedian          float64   // of the machine kinds' medians
}

// runsOn reports whether the settings let the class's jobs run on the worker.
func (c *class) runsOn(w *worker) bool { return !c.KindUnknown && (c.Kind == "" || c.Kind == w.Kind) }

// tenant is a tenant with the rate of its admitted requests.
type tenant struct {
	Tenant
	requestRate rate
}

// Dispatcher makes the decisions of one dispatcher process. Its methods must not be called concurrently. Times that they
// take must not decrease.
//
// A worker's share of a class is the inverse of its expected response, divided by the sum over all candidates. A request
// goes to the worker with the largest gap: the one whose own jobs in flight are furthest below its share of all of them.
//
// Load shedding: workers that get more than they can do answer everything late. While the share of late requests is
// above what is tolerated, Request refuses a part of the requests at once, before any attempt may have run. Those that
// cost most work for their worth, or are over their tenant's share, are refused more often. Some are always admitted:
// otherwise no start would show that workers are in time again.
//
// Requests add to the credits for probes, moves, and retries after attempts that never ran; each of these takes 1 from its
// credit. A move cancels a job that has not started, so that it is placed anew.
type Dispatcher struct {
	cfg              Settings
	actions          Actions
	pcg              *rand.PCG // source of rng
	rng              *rand.Rand
	workers          []*worker // sorted by ID
	byID             map[string]*worker
	kinds            map[string]*kind    // by name
	kindList         []*kind             // in the order in which they were first seen
	classes          []class             // as in the settings
	tenants          []tenant            // as in the settings
	requests         map[string]*request // by ID
	delayed          map[uint64]*request // waiting for placement, by timer token
	attemptTimers    map[uint64]*attempt // to be checked for a move or missing progress updates, by timer token
	timerToken       uint64              // last one used
	nextRefreshAt    float64
	refreshedAt      float64
	probeCredit      float64
	retryCredit      float64
	lateShare        float64 // of requests that started or were answered
	returnShare      float64 // of tries that clients marked as retries
	shedShare        float64 // of tries that were refused by load shedding
	moveCredit       float64
	moveHitShare     float64 // of attempts after the first that started before they would be moved
	meanCost         float64 // work of a request for each unit of its worth
	refusedConnShare float64 // of outcomes that were connections refused at once
	wait             float64 // mean seconds that jobs wait to start
	meanResponse     float64 // seconds, over all classes
	nextProbe        int     // index in workers of the last one probed
	subscribed       bool    // discovery has answered a subscription that was not dropped since
	subscribeSent    bool    // a subscription was requested and not refused since
	listRetryDelay   float64 // seconds before the next subscription, before it is randomised
	scratch          []float64
}

// kindNamed returns the state of a machine kind, and creates it if necessary.
func (d *Dispatcher) kindNamed(name string) *kind {
	k := d.kinds[name]
	if k == nil {
		k = &kind{medians: make([]float64, len(d.classes))}
		d.kinds[name] = k
		d.kindList = append(d.kindList, k)
	}
	return k
}

// recordReport records a worker's load report.
func (d *Dispatcher) recordReport(now float64, w *worker, values []float64) {
	if f := d.cfg.FreeSlots; f >= 0 && f < len(values) {
		w.kind.reportCount = min(w.kind.reportCount+1, 4*profileWindow)
		w.kind.freeSlots += (values[f] - w.kind.freeSlots) / w.kind.reportCount
		w.freeSlots, w.freeSlotsAt = values[f], now
	}
}

// finish marks a request as finished, and removes it once no attempt is outstanding.
func (d *Dispatcher) finish(r *request) {
	r.finished = true
	delete(d.delayed, r.timerToken)
	if r.outstanding == 0 {
		delete(d.requests, r.ID)
	}
}

// FirstByte records that an attempt's answer has begun to stream to the client: the request is not placed again.
func (d *Dispatcher) FirstByte(now float64, id string, attempt int) {
	if r := d.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.finished = true
		r.attempts[attempt].w.lastAliveAt = now
	}
}

// EjectedCount returns the number of listed workers in service that are ejected after failures.
func (d *Dispatcher) EjectedCount(now float64) (n int) {
	for _, w := range d.workers {
		if w.listed && w.State == InService && now < w.ejectedUntil {
			n++
		}
	}
	return n
}
