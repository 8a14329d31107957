package message

import (
	"container/heap"
	"time"
)

// Scheduling of due messages and of attempts.

// schedule queues the entry to run when it is due, if its partition and its order key permit that.
func (t *Table) schedule(p *partition, e *Entry, now time.Duration) {
	if e.scheduled || e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !t.mayRunInKey(p, e) {
		return
	}
	e.scheduled = true
	if e.Due <= now {
		t.pushDue(e)
		return
	}
	heap.Push(&t.delayed, e)
}

// pushDue adds a due entry to the queue of its route.
func (t *Table) pushDue(e *Entry) {
	e.queue, _ = t.routing(e)
	t.queueFor(e.queue).push(e)
}

// unschedule keeps a scheduled entry from running.
func (t *Table) unschedule(e *Entry) {
	if !e.scheduled {
		return
	}
	e.scheduled = false
	if e.heapIndex >= 0 && e.heapIndex < len(t.delayed) && t.delayed[e.heapIndex] == e {
		heap.Remove(&t.delayed, e.heapIndex)
	}
	// An entry in a route's queue stays there: StartNext skips it.
}

// queueFor returns the queue of a route, and creates it on first use.
func (t *Table) queueFor(name string) *routeQueue {
	q := t.routes[name]
	if q == nil {
		q = &routeQueue{}
		t.routes[name] = q
	}
	return q
}

// NextDue returns when the next delayed message is due, or false if there is none.
func (t *Table) NextDue() (time.Duration, bool) {
	if len(t.delayed) == 0 {
		return 0, false
	}
	return t.delayed[0].Due, true
}

// Advance moves delayed messages that are due to the queues of their routes.
func (t *Table) Advance(now time.Duration) {
	for len(t.delayed) > 0 && t.delayed[0].Due <= now {
		e := heap.Pop(&t.delayed).(*Entry)
		t.pushDue(e)
	}
}

// EachWaitingRoute calls visit for every route with messages waiting to run, with their number and the number of attempts in
// progress.
func (t *Table) EachWaitingRoute(visit func(route string, waiting, running int)) {
	for name, q := range t.routes {
		if q.len() > 0 {
			visit(name, q.len(), q.running)
		}
	}
}

// StartNext takes the next message of the route that may run, and marks it as running. startTarget is the route's target for the
// time from due to start. Messages that can still meet it run before late ones, except that every fourth is a late one, so that
// none starves. It returns nil if no message may run.
func (t *Table) StartNext(route string, startTarget, now time.Duration) *Entry {
	q := t.queueFor(route)
	for {
		e := q.pop(startTarget, now)
		if e == nil {
			return nil
		}
		p := t.partition(e.Partition)
		if !e.scheduled || e.Due > now { // an outdated queue entry
			continue
		}
		if e.Running || e.Ended() || p.epoch == 0 || !p.ready || p.paused || !t.mayRunInKey(p, e) {
			e.scheduled = false
			continue
		}
		e.scheduled, e.Running, e.queue = false, true, route
		p.running++
		q.running++
		return e
	}
}

// Requeue ends an attempt of a message that remains queued. The message may run again from due on. If it was marked as ended
// meanwhile, only the attempt ends.
func (t *Table) Requeue(e *Entry, due, now time.Duration) {
	t.endAttempt(e)
	if e.Ended() {
		t.scheduleNextOfKey(e, now)
		return
	}
	e.Due = max(e.Due, due)
	p := t.partition(e.Partition)
	if e.OrderKey != "" { // a message that precedes it may have been added meanwhile
		t.schedule(p, p.keyQueues[e.OrderKey][0], now)
	}
	t.schedule(p, e, now)
}

// endAttempt marks the attempt of an entry as ended. It panics if none is in progress.
func (t *Table) endAttempt(e *Entry) {
	if !e.Running {
		panic("message: ended an attempt that was not in progress")
	}
	e.Running = false
	t.partition(e.Partition).running--
	t.queueFor(e.queue).running--
}
