package virtual

import (
	"fmt"
	"math"
	"slices"

	"foldlb.example/foldlb/choice"
)

// worker is one with slots, a queue, connections, and a capacity that grows after a start.
type worker struct {
	w                *world
	id, zone, kind   string
	speed, startedAt float64 // 0 for long ago
	down             bool
	running, queued  []*attempt
	conns            map[*dispatcher]*held
	open             int
	sent             []sent  // by those that know of its start, while it is cold
	done             float64 // seconds of work
}

type sent struct{ at, work float64 }

// held are the connections that one dispatcher has at a worker.
type held struct {
	busy int
	idle []float64 // since when
}

type attempt struct {
	q    *request
	no   int
	x    *worker
	sent float64
	conn bool // it still holds its connection
	over bool
	ran  bool // it has ended, and may have run
}

func (w *world) addWorker(zone, kind string, startedAt float64) *worker {
	x := &worker{w: w, id: fmt.Sprint("w", len(w.workers)), zone: zone, kind: kind, speed: speeds[kind], startedAt: startedAt,
		conns: map[*dispatcher]*held{}}
	w.workers = append(w.workers, x)
	w.byID[x.id] = x
	return x
}

func (x *worker) entry(s choice.State) choice.Worker {
	return choice.Worker{ID: x.id, Zone: x.zone, Kind: x.kind, State: s, Share: 1, Started: x.startedAt}
}

// capacity is the part of its own that it has by now.
func (x *worker) capacity() float64 {
	if x.startedAt == 0 {
		return 1
	}
	return min(1, coldFrom+(1-coldFrom)*(x.w.now-x.startedAt)/coldFor)
}

func (x *worker) stop() {
	x.down = true
	for _, a := range append(append([]*attempt(nil), x.running...), x.queued...) {
		x.end(a, choice.Reset)
	}
	x.conns, x.open = map[*dispatcher]*held{}, 0
}

func (x *worker) begin() { x.down, x.startedAt, x.sent = false, x.w.now, nil }

// connect gives an attempt's dispatcher a connection, and tells whether it is a new one and whether there is one.
func (x *worker) connect(d *dispatcher) (isNew, ok bool) {
	h := x.conns[d]
	if h == nil {
		h = &held{}
		x.conns[d] = h
	}
	x.retire()
	if n := len(h.idle); n > 0 {
		h.idle = h.idle[:n-1]
		h.busy++
		return false, true
	}
	if x.open >= x.w.ConnsMost {
		x.w.count.Refusals++
		return true, false
	}
	x.open++
	x.w.count.ConnsMost = max(x.w.count.ConnsMost, x.open)
	h.busy++
	return true, true
}

// retire closes what has been idle for too long.
func (x *worker) retire() {
	for _, h := range x.conns {
		for len(h.idle) > 0 && x.w.now-h.idle[0] >= idleClose {
			h.idle = h.idle[1:]
			x.open--
		}
	}
}

func (x *worker) release(a *attempt, closes bool) {
	if h := x.conns[a.q.d]; a.conn && h != nil && h.busy > 0 {
		a.conn = false
		h.busy--
		if closes {
			x.open--
		} else {
			h.idle = append(h.idle, x.w.now)
		}
	}
}

// closeIdle closes a dispatcher's idle connections.
func (x *worker) closeIdle(d *dispatcher) {
	if h := x.conns[d]; h != nil {
		x.open -= len(h.idle)
		h.idle = nil
	}
}

// arrive takes an attempt whose last byte has come.
func (x *worker) arrive(a *attempt) {
	if a.over {
		return
	}
	if x.down {
		a.outcome(choice.NoConnect)
		return
	}
	x.countCold(a)
	if len(x.queued) >= queueMost {
		x.release(a, false)
		a.outcome(choice.Busy)
		return
	}
	x.queued = append(x.queued, a)
	x.release(a, false)
	a.q.d.tell(func(d choice.AttemptUpdate) choice.AttemptUpdate { d.Taken = true; return d }, a)
	x.next()
}

// countCold enters what is sent to a cold worker, in parts of what it can bear within the settings' window.
func (x *worker) countCold(a *attempt) {
	s := a.q.d.plain
	if x.startedAt == 0 || x.w.now >= x.startedAt+coldFor || !a.q.d.knows(x) {
		return
	}
	// Sizes are told by nobody: a job counts as its class's mean, and what chance adds is the rule's own slack.
	x.sent = append(x.sent, sent{x.w.now, x.w.work[a.q.class] / x.speed})
	for x.sent[0].at < x.w.now-s.TipAfter {
		x.sent = x.sent[1:]
	}
	sum := 0.0
	for _, e := range x.sent {
		sum += e.work
	}
	bears := s.OverloadFactor * s.TipAfter * x.capacity() * slots // seconds of work
	x.w.count.Cold = max(x.w.count.Cold, sum/bears)
	job := x.w.mean / x.speed
	n := bears / job
	x.w.count.Fell = max(x.w.count.Fell, sum/job/(n+2*math.Sqrt(n)+2))
}

// next starts what its slots allow.
func (x *worker) next() {
	for len(x.running) < slots && len(x.queued) > 0 && !x.down {
		at := 0 // the first of those with the highest priority
		for i, a := range x.queued {
			if a.priority() > x.queued[at].priority() {
				at = i
			}
		}
		a := x.queued[at]
		x.queued = slices.Delete(x.queued, at, at+1)
		x.running = append(x.running, a)
		if a.q.d.plain.TellsStart {
			a.q.d.tell(func(n choice.AttemptUpdate) choice.AttemptUpdate { n.Started = true; return n }, a)
		}
		x.w.after(a.q.work/x.speed/x.capacity(), func() {
			if !a.over {
				x.done += a.q.work
				x.end(a, choice.Done)
			}
		})
	}
}

func (a *attempt) priority() int { return a.q.d.plain.Classes[a.q.class].Priority }

// end ends an attempt here and tells its dispatcher.
func (x *worker) end(a *attempt, code choice.Code) {
	if !a.over {
		a.outcome(code)
		x.drop(a, code == choice.Cancelled)
	}
}

// drop takes an attempt off its slot or out of the queue.
func (x *worker) drop(a *attempt, closes bool) {
	a.over = true
	other := func(y *attempt) bool { return y == a }
	x.running, x.queued = slices.DeleteFunc(x.running, other), slices.DeleteFunc(x.queued, other)
	x.release(a, closes)
	x.next()
}
