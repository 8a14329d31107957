package virtual

import (
	"cmp"
	"slices"

	"foldlb.example/foldlb/choice"
)

// dispatcher is one decision module with what is around it.
type dispatcher struct {
	w          *world
	no         int
	zone       string
	s          choice.Settings
	plain      choice.Settings // as the model means them, not altered
	dec        *choice.Dispatcher
	alive      bool
	life       int // counts its starts
	diedAt     float64
	requests   map[string]*request
	known      map[string]choice.Worker
	version    int // of the list: how many changes it has been told
	subscribed bool
}

type request struct {
	d        *dispatcher
	id       string
	class    int
	work     float64
	asked    float64 // when
	attempts []*attempt
	over     bool
}

// start begins from nothing but the list last held.
func (d *dispatcher) start() {
	d.plain = settings(Config{Seed: d.w.Seed, Dispatchers: d.w.Dispatchers, Site: d.w.Site}, d.no, d.zone)
	d.s = settings(d.w.Config, d.no, d.zone)
	d.s.Seed += uint64(d.life) << 32
	d.alive, d.requests, d.subscribed = true, map[string]*request{}, !d.plain.ListOnRequest
	if d.known == nil {
		d.known = map[string]choice.Worker{}
		for _, x := range d.w.workers {
			d.known[x.id] = x.entry(choice.InService)
		}
	}
	var act choice.Actions = d
	if d.w.Wrap != nil {
		act = d.w.Wrap(d)
	}
	dec, err := choice.New(d.w.now, d.s, act)
	if err != nil {
		panic(err) // the settings are this package's own
	}
	d.dec = dec
	var list []choice.Worker
	for _, x := range d.w.workers {
		if e, ok := d.known[x.id]; ok {
			list = append(list, e)
		}
	}
	dec.List(d.w.now, choice.ListRemembered, list)
}

// die loses everything; what it had taken is its callers' to try again.
func (d *dispatcher) die() {
	d.alive, d.subscribed, d.diedAt = false, false, d.w.now
	d.life++
	for _, q := range d.open() {
		q.final() // nobody is owed an answer any more
		for _, a := range q.attempts {
			a.x.end(a, choice.Cancelled)
		}
	}
	for _, x := range d.w.workers {
		if h := x.conns[d]; h != nil {
			x.open -= h.busy + len(h.idle)
			delete(x.conns, d)
		}
	}
}

func (d *dispatcher) open() (list []*request) {
	for _, q := range d.requests {
		if !q.over {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // so that twins do alike
	return list
}

// knows tells whether it was told of a worker's last start.
func (d *dispatcher) knows(x *worker) bool { return d.known[x.id].Started == x.startedAt }

// later does what it is about, unless the dispatcher has died since.
func (d *dispatcher) later(delay float64, do func()) {
	life := d.life
	d.w.after(delay, func() {
		if d.alive && d.life == life {
			do()
		}
	})
}

func (d *dispatcher) tell(set func(choice.AttemptUpdate) choice.AttemptUpdate, a *attempt) {
	d.later(wayThere, func() {
		if !a.over {
			d.dec.AttemptUpdate(d.w.now, set(choice.AttemptUpdate{Request: a.q.id, Worker: a.x.id, Attempt: a.no}))
		}
	})
}

// outcome ends an attempt with its dispatcher.
func (a *attempt) outcome(code choice.Code) {
	if a.over {
		return
	}
	a.over = true
	a.ran = !code.NeverRan()
	d := a.q.d
	d.later(wayThere, func() {
		if code == choice.Done && !a.q.over {
			a.q.final()
			d.w.count.Served++
			if c := d.plain.Classes[a.q.class]; d.w.now <= a.q.asked+c.Aim+c.Stretch*a.q.work {
				d.w.count.InTime[a.q.class]++
			}
		}
		d.dec.Outcome(d.w.now, choice.Outcome{Request: a.q.id, Attempt: a.no, Worker: a.x.id, Code: code, Final: a.q.over,
			Latency: d.w.now - a.sent})
	})
}

// final enters a request's one answer.
func (q *request) final() {
	if q.over {
		q.d.w.count.Twice++
		return
	}
	q.over = true
	q.d.w.count.finals++
	q.d.w.note(q.id, len(q.attempts))
}

// expire is a caller's deadline: what is out times out, and where nothing is said the request fails.
func (d *dispatcher) expire(q *request) {
	if q.over || !d.alive || d.requests[q.id] != q {
		return
	}
	for _, a := range q.attempts {
		if !a.over {
			a.x.drop(a, true)
			d.dec.Outcome(d.w.now, choice.Outcome{Request: q.id, Attempt: a.no, Worker: a.x.id, Code: choice.TimedOut})
		}
	}
	if !q.over {
		q.final()
		d.dec.Withdrawn(d.w.now, q.id)
	}
}

// Assign sends an attempt over a kept connection, or a new one.
func (d *dispatcher) Assign(id, worker string, _ float64) {
	q, x := d.requests[id], d.w.byID[worker]
	a := &attempt{q: q, no: len(q.attempts), x: x, sent: d.w.now}
	d.w.count.Attempts++
	for _, b := range q.attempts {
		class := d.plain.Classes[q.class]
		if !b.over && !d.plain.SecondCopies {
			d.w.count.Overlaps++
		}
		if b.ran && (class.Effect == choice.AtMostOnce || class.Effect == choice.Deduplicated && (b.x.zone != x.zone || d.w.now > b.sent+class.Window)) {
			d.w.count.Repeated++
		}
	}
	q.attempts = append(q.attempts, a)
	d.w.note(id, worker)
	if x.down {
		a.outcome(choice.NoConnect)
		return
	}
	isNew, ok := x.connect(d)
	if !ok {
		a.outcome(choice.NoConnect)
		return
	}
	a.conn = true
	delay := wayThere
	if isNew {
		delay += handshake
	}
	d.w.after(delay, func() { x.arrive(a) })
}

// Refuse ends a request with a busy answer.
func (d *dispatcher) Refuse(id string, _ float64) { d.requests[id].final() }

// Fail ends a request with no promise.
func (d *dispatcher) Fail(id string) { d.requests[id].final() }

// Cancel calls an attempt off. The module must not be called from here, which outcome sees to.
func (d *dispatcher) Cancel(id string, no int) {
	if q := d.requests[id]; q != nil && no < len(q.attempts) && !q.attempts[no].over {
		q.attempts[no].x.end(q.attempts[no], choice.Cancelled)
	}
}

// Timer brings a token back.
func (d *dispatcher) Timer(delay float64, token uint64) {
	d.later(delay, func() { d.dec.Timer(d.w.now, token) })
}

// Subscribe asks discovery, which does one call after the other and gives up those that wait too long.
func (d *dispatcher) Subscribe(on bool) {
	w := d.w
	for len(w.count.Calls) <= int(w.now) {
		w.count.Calls = append(w.count.Calls, 0)
	}
	w.count.Calls[int(w.now)]++
	if w.freeAt > w.now+listTimeout {
		d.later(listTimeout, func() { d.dec.List(w.now, choice.ListRefused, nil) })
		return
	}
	w.freeAt = max(w.freeAt, w.now) + callTime + float64(len(w.listed)-d.version)*lineTime
	d.later(w.freeAt-w.now, func() {
		d.subscribed = on
		d.take()
	})
}

// take passes on to the module what has changed since it was told last.
func (d *dispatcher) take() {
	news := d.w.listed[d.version:]
	d.version = len(d.w.listed)
	var list []choice.Worker
	for i, e := range news {
		d.known[e.ID] = e
		if !slices.ContainsFunc(news[i+1:], func(x choice.Worker) bool { return x.ID == e.ID }) {
			list = append(list, e)
		}
	}
	d.dec.List(d.w.now, choice.ListChanges, list)
}

// tell puts a change into the list when discovery has noticed it, and tells those that watch.
func (w *world) tell(x *worker, s choice.State) {
	e := x.entry(s)
	w.after(noticeAfter, func() {
		w.listed = append(w.listed, e)
		for _, d := range w.dispatchers {
			if d.subscribed {
				d.later(w.rng.Float64()*0.1, d.take)
			}
		}
	})
}

// What the settings of the model don't allow, or what nobody listens to.

func (d *dispatcher) Probe(string)            {}
func (d *dispatcher) CloseIdle(worker string) { d.w.byID[worker].closeIdle(d) }
func (d *dispatcher) SendToPeer(int, []byte)  {}
func (d *dispatcher) ListAll()                {}
func (d *dispatcher) Log(string)              {}
