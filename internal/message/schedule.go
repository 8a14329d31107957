package message

import (
	"container/heap"
	"time"
)

// What is due, and what runs.

// schedule lets the entry run when it is due, where the partition and its key allow it.
func (t *Table) schedule(p *partition, e *Entry, now time.Duration) {
	if e.scheduled || e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !p.first(e) {
		return
	}
	e.scheduled = true
	if e.Due <= now {
		t.route(e.Route).push(e)
		return
	}
	heap.Push(&t.timers, e)
}

func (t *Table) unschedule(e *Entry) {
	if !e.scheduled {
		return
	}
	e.scheduled = false
	if e.index >= 0 && e.index < len(t.timers) && t.timers[e.index] == e {
		heap.Remove(&t.timers, e.index)
	}
	// An entry in a route's queue is skipped when it comes up.
}

func (t *Table) route(name string) *routeQueue {
	q := t.routes[name]
	if q == nil {
		q = &routeQueue{}
		t.routes[name] = q
	}
	return q
}

// NextDue returns when the next waiting message becomes due, and false where none waits.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.timers) == 0 {
		return 0, false
	}
	return t.timers[0].Due, true
}

// Advance moves messages that have become due to the queues of their routes.
func (t *Table) Advance(now time.Duration) {
	for len(t.timers) > 0 && t.timers[0].Due <= now {
		e := heap.Pop(&t.timers).(*Entry)
		t.route(e.Route).push(e)
	}
}

// Routes calls visit with every route that has messages waiting to run, and the number of its attempts under way.
func (t *Table) EachWaitingRoute(visit func(route string, waiting, running int)) {
	for name, q := range t.routes {
		if q.len() > 0 {
			visit(name, q.len(), q.running)
		}
	}
}

// Start takes the next message of the route that may run, and marks it running. A message that can still begin within
// its aim goes before late ones, of which one in four goes first so that none starves. It returns nil where none may run.
func (t *Table) StartNext(route string, aim, now time.Duration) *Entry {
	q := t.route(route)
	for {
		e := q.pop(aim, now)
		if e == nil {
			return nil
		}
		p := t.partition(e.Partition)
		if !e.scheduled || e.Due > now { // left over from an earlier place in the queue
			continue
		}
		if e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !p.first(e) {
			e.scheduled = false
			continue
		}
		e.scheduled, e.Running = false, true
		p.running++
		q.running++
		return e
	}
}

// Stop ends an attempt that left the message queued: it may run again from due on.
func (t *Table) Requeue(e *Entry, due, now time.Duration) {
	t.stopRunning(e)
	if e.Ended() {
		t.releaseKey(e, now)
		return
	}
	e.Due = max(e.Due, due)
	p := t.partition(e.Partition)
	if e.OrderKey != "" { // one that goes before it may have been learnt meanwhile
		e = p.keys[e.OrderKey][0]
	}
	t.schedule(p, e, now)
}

func (t *Table) stopRunning(e *Entry) {
	if !e.Running {
		panic("message: an attempt ended that was not under way")
	}
	e.Running = false
	t.partition(e.Partition).running--
	t.route(e.Route).running--
}
