package message

import (
	"container/heap"
	"time"
)

// Routing returns the name of the route that a message has under the configuration in force, empty for none, and whether messages of one
// order key run one after the other there.
type Routing func(e *Entry) (route string, ordered bool)

// acceptedRouting is the routing before the first configuration: nothing is sent by it.
func acceptedRouting(e *Entry) (route string, ordered bool) { return e.Route, true }

// SetRouting puts another routing in force. Due messages move to the queues of their routes. Those that are not due are routed once they are.
func (t *Table) SetRouting(routing Routing, now time.Duration) {
	t.routing = routing
	var moved []*Entry
	for name, q := range t.routes {
		moved = q.removeMisrouted(moved, func(e *Entry) bool {
			route, _ := routing(e)
			return route == name
		})
	}
	for _, e := range moved {
		if e.scheduled && e.Due <= now {
			t.pushDue(e)
		}
	}
	for name, q := range t.routes {
		if q.len() == 0 && q.running == 0 {
			delete(t.routes, name)
		}
	}
	t.scheduleUnordered(now)
}

// scheduleUnordered schedules the messages with an order key that the routing no longer keeps waiting for earlier ones.
func (t *Table) scheduleUnordered(now time.Duration) {
	for _, p := range t.partitions {
		for _, queue := range p.keyQueues {
			for _, e := range queue[1:] {
				t.schedule(p, e, now)
			}
		}
	}
}

// removeMisrouted removes the entries that do not belong into the queue, appends them to removed and returns it.
func (q *routeQueue) removeMisrouted(removed []*Entry, belongs func(*Entry) bool) []*Entry {
	for _, h := range []*dueHeap{&q.onTime, &q.late} {
		kept := (*h)[:0]
		for _, e := range *h {
			if belongs(e) {
				kept = append(kept, e)
			} else {
				removed = append(removed, e)
			}
		}
		if len(kept) == len(*h) {
			continue
		}
		clear((*h)[len(kept):])
		*h = kept
		heap.Init(h)
	}
	return removed
}
