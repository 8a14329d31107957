// Package virtual plays many decision modules against one small model of workers, their list and callers, in virtual
// time by a seed: no sockets, no clock of the machine. It is a test's model, and counts what a dispatcher that knows
// only itself can't see: what all of them together do to a cold worker, to discovery and to connections.
package virtual

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"foldlb.example/foldlb/choice"
)

// The model's own figures, within what the platform's papers say of its machines.
const (
	slots        = 4
	queueMost    = 50
	idleClose    = 3.0    // seconds after which a kept connection is closed
	wayThere     = 0.0005 // seconds
	handshake    = 0.004  // seconds that a new connection takes
	coldFrom     = 0.2    // part of its capacity that a worker starts with; more than the settings promise
	coldFor      = 16.0   // seconds until it is warm; less than the settings allow
	callTime     = 0.04   // seconds of discovery's time for a call, and for each line of an answer
	lineTime     = 0.0002
	listTimeout  = 2.0 // seconds after which discovery gives up a call that waits
	noticeAfter  = 1.5 // seconds until a change is in the list
	viewAfter    = 1.0 // seconds until all members know of one that joined
	frontNotices = 1.5 // seconds until callers are no longer led to a dispatcher that died
)

// Config says what is played.
type Config struct {
	Seed        uint64
	Dispatchers int
	Workers     int
	Length      float64 // seconds
	Load        float64 // part of what all warm workers can do
	ConnsMost   int     // connections that a worker holds
	Plan        []Happening
	Told        bool // dispatchers keep a view, and tell their modules how many may be acting
	Behind      int  // of those that join, so many are behind a partition, and not in the view
	Uneven      bool // dispatchers' parts of the traffic differ, some being several times the mean
	Burst       Burst
	Site        *Site

	// To show that a promise can be broken: what changes the settings that a dispatcher is told, what stands between a
	// decision module and its host, and a host that lets deadlines pass. All off where nothing is altered.
	Alter      func(*choice.Settings)
	Wrap       func(choice.Actions) choice.Actions
	NoDeadline bool
}

// Site is a deployment in place of the model's own: what its settings say, and what its requests are like.
type Site struct {
	Set  func(*choice.Settings) // on what every dispatcher is told
	Work []float64              // mean seconds of each class at speed 1
	Mix  []float64              // part of the requests of each class
}

// Happening is something that befalls part of the fleet.
type Happening struct {
	At          float64
	Zone        string // of those that it befalls; empty for any
	Dispatchers float64
	Workers     float64 // part that is lost at once
	Replaced    float64 // part that is replaced by new ones
	Within      float64 // seconds over which that is done
	Back        float64 // seconds after which what was lost starts again, cold
	Join        int     // dispatchers that join
}

// Burst is a time in which more is asked.
type Burst struct {
	At, For float64
	Times   float64 // as much as before and after
}

// Count is what was counted over the whole fleet.
type Count struct {
	Requests   int
	Unanswered int // requests that got no final answer
	Twice      int // requests that got a further one
	Repeated   int // attempts beyond what their class allows
	Served     int
	Attempts   int
	Calls      []int   // at discovery, by second
	Told       float64 // mean part of the list's changes that a dispatcher knew at the end
	Refusals   int     // of connections
	ConnsMost  int     // at the worker that held most
	Cold       float64 // most work sent to a cold worker within the rule's window, by those who knew, over what it bears
	Fell       float64 // most jobs of mean work sent to one so, over what it falls under: N + 2 root N + 2, for N that it bears
	Least      float64 // work of the warm worker that did least, over the mean of its kind and zone
	Trace      uint64  // of all that happened, in order
	Overlaps   int     // attempts that began while another of the same request was out
	Asked      []int   // requests, by class
	InTime     []int   // of those, served within their aim

	finals int
}

type event struct {
	at  float64
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// world is one play.
type world struct {
	Config
	rng         *rand.Rand
	now         float64
	seq         int
	events      queue
	dispatchers []*dispatcher
	workers     []*worker
	byID        map[string]*worker
	listed      []choice.Worker // in the order of the versions that brought them
	freeAt      float64         // when discovery has done its calls
	count       Count
	nextID      int
	work, mix   []float64 // of the site
	mean        float64   // of a request's work
}

func (w *world) after(delay float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(0, delay), w.seq, do})
}

// note enters a happening into the trace.
func (w *world) note(words ...any) {
	for _, c := range []byte(fmt.Sprint(append(words, w.now)...)) {
		w.count.Trace = (w.count.Trace ^ uint64(c)) * 1099511628211
	}
}

// settings are what a dispatcher of a large fleet is told.
func settings(c Config, me int, zone string) choice.Settings {
	s := choice.Settings{Self: me, Dispatchers: c.Dispatchers, Zone: zone, Seed: c.Seed*1000 + uint64(me), ListOnRequest: true,
		AskWithin: 10, MaxAttempts: 6, CanCancel: true, RetryAfter: true, MaxRetryAfter: 2, DialTimeout: 0.25, ConnIdle: 5,
		OverloadFactor: 3, TipAfter: 2, ColdShare: 0.13, WarmWithin: 24, FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1,
		ServiceMillis: -1, TellsStart: true, TellsTaken: true, ProgressEvery: 1, DrainGrace: 0.75,
		Prices: choice.Prices{CrossZone: 0.03, Waste: 0.014},
		Classes: []choice.Class{
			{Name: "safe", Aim: 0.075, Stretch: 2, Deadline: 5, Worth: 3, LateWorth: 0.25, Window: 5},
			{Name: "keyed", Effect: choice.Deduplicated, Group: choice.GroupZone, Aim: 0.25, Stretch: 2, Deadline: 5, Worth: 8, LateWorth: 0.3, Window: 7.5},
			{Name: "once", Effect: choice.AtMostOnce, Aim: 0.2, Stretch: 2, Deadline: 7.5, Worth: 2, LateWorth: 0.3}}}
	if c.Site != nil {
		c.Site.Set(&s)
	}
	if c.Alter != nil {
		c.Alter(&s)
	}
	return s
}

// The model's own site: mean seconds of a class at speed 1, and its part of the requests.
var (
	ownWork = []float64{0.11, 0.3, 0.6}
	ownMix  = []float64{0.5, 0.35, 0.15}
)
var speeds = map[string]float64{"new": 2, "mid": 1.2, "old": 0.8}

// Play plays a configuration and tells what was counted.
func Play(c Config) Count {
	w := &world{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 1)), byID: map[string]*worker{}}
	w.count.Least = math.Inf(1)
	w.work, w.mix = ownWork, ownMix
	if c.Site != nil {
		w.work, w.mix = c.Site.Work, c.Site.Mix
	}
	w.count.Asked, w.count.InTime = make([]int, len(w.work)), make([]int, len(w.work))
	kinds := []string{"new", "mid", "mid", "old", "old"}
	capacity := 0.0
	for i := range c.Workers {
		x := w.addWorker(zoneOf(i), kinds[i/2%len(kinds)], 0)
		capacity += slots * x.speed
	}
	for i := range c.Dispatchers {
		d := &dispatcher{w: w, no: i, zone: zoneOf(i)}
		w.dispatchers = append(w.dispatchers, d)
		d.start()
	}
	for i, x := range w.work {
		w.mean += x * w.mix[i]
	}
	gap := w.mean / (capacity * c.Load)
	var arrive func()
	arrive = func() {
		if w.now < c.Length {
			w.call()
			w.after(w.rng.ExpFloat64()*gap/w.burst(), arrive)
		}
	}
	w.after(0.1, arrive)
	for _, h := range c.Plan {
		w.after(h.At, func() { w.befall(h) })
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.finish()
	return w.count
}

func zoneOf(i int) string { return []string{"a", "b"}[i%2] }

// burst is how many times the usual is asked now.
func (w *world) burst() float64 {
	if b := w.Burst; w.now >= b.At && w.now < b.At+b.For {
		return b.Times
	}
	return 1
}

// drawn is the place of a dispatcher that callers may be led to. Where traffic is uneven the parts fall as a geometric row, so that the first of
// many has some four times the mean and the last a tenth of it.
func (w *world) drawn() int {
	n := len(w.dispatchers)
	if !w.Uneven {
		return w.rng.IntN(n)
	}
	return min(n-1, int(w.rng.ExpFloat64()*float64(n)/4))
}

// call brings a request to a dispatcher that callers are led to.
func (w *world) call() {
	var d *dispatcher
	for range 20 {
		d = w.dispatchers[w.drawn()]
		if d.alive {
			break
		}
		if w.now > d.diedAt+frontNotices {
			continue
		}
		return // led to a dead one: never taken
	}
	if !d.alive {
		return
	}
	class, r := 0, w.rng.Float64()
	for upTo := w.mix[0]; r > upTo && class < len(w.mix)-1; upTo += w.mix[class] {
		class++
	}
	w.nextID++
	w.count.Requests++
	w.count.Asked[class]++
	q := &request{d: d, id: fmt.Sprint("r", w.nextID), class: class, work: w.work[class] * w.rng.ExpFloat64(), asked: w.now}
	d.requests[q.id] = q
	deadline := d.s.Classes[class].Deadline
	tenant := -1
	if n := len(d.plain.Tenants); n > 0 {
		tenant = w.rng.IntN(n)
	}
	d.dec.Request(w.now, choice.Request{ID: q.id, Class: class, Tenant: tenant, Slots: 1, Deadline: w.now + deadline})
	if !w.NoDeadline {
		w.after(deadline, func() { d.expire(q) })
	}
}

// befall carries a happening out.
func (w *world) befall(h Happening) {
	for _, d := range w.dispatchers {
		if (h.Zone == "" || d.zone == h.Zone) && w.rng.Float64() < h.Dispatchers {
			d.die()
			w.after(h.Back, d.start)
		}
	}
	for range h.Join {
		d := &dispatcher{w: w, no: len(w.dispatchers), zone: zoneOf(len(w.dispatchers))}
		w.dispatchers = append(w.dispatchers, d)
		d.start()
	}
	if h.Join > 0 && w.Told {
		w.after(viewAfter, func() {
			for _, d := range w.dispatchers {
				if d.alive {
					d.dec.SetDispatchers(len(w.dispatchers) - w.Behind)
				}
			}
		})
	}
	for _, x := range append([]*worker(nil), w.workers...) {
		if h.Zone != "" && x.zone != h.Zone || x.startedAt > 0 {
			continue
		}
		switch r := w.rng.Float64(); {
		case r < h.Workers:
			x.stop()
			w.tell(x, choice.Terminated)
			w.after(h.Back, func() { x.begin(); w.tell(x, choice.InService) })
		case r < h.Workers+h.Replaced:
			w.after(w.rng.Float64()*h.Within, func() {
				w.tell(w.addWorker(x.zone, x.kind, w.now), choice.InService)
				w.after(2, func() { w.tell(x, choice.Terminating) })
				w.after(8, func() { x.stop(); w.tell(x, choice.Terminated) })
			})
		}
	}
}

// finish makes up the sums.
func (w *world) finish() {
	sums, n := map[string]float64{}, map[string]float64{}
	for _, x := range w.workers {
		if x.startedAt == 0 && !x.down {
			sums[x.kind+x.zone] += x.done
			n[x.kind+x.zone]++
		}
	}
	for _, x := range w.workers {
		if k := x.kind + x.zone; x.startedAt == 0 && !x.down && sums[k] > 0 {
			w.count.Least = min(w.count.Least, x.done*n[k]/sums[k])
		}
	}
	w.count.Unanswered = w.count.Requests - w.count.finals
	for _, d := range w.dispatchers {
		if n := len(w.listed) * len(w.dispatchers); n > 0 {
			w.count.Told += float64(d.version) / float64(n)
		}
	}
}
