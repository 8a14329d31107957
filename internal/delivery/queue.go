package delivery

import (
	"container/heap"
	"time"
)

// deliveryQueue holds the waiting deliveries of a service, by priority and then in order of submission.
type deliveryQueue struct{ items deliveryHeap }

func (q *deliveryQueue) len() int { return len(q.items) }

func (q *deliveryQueue) push(d *delivery) { heap.Push(&q.items, d) }

func (q *deliveryQueue) pop() *delivery { return heap.Pop(&q.items).(*delivery) }

// first returns the delivery that would be popped next. The queue must not be empty.
func (q *deliveryQueue) first() *delivery { return q.items[0] }

// last returns the delivery that would be popped last. The queue must not be empty.
func (q *deliveryQueue) last() *delivery {
	last := q.items[0]
	for _, d := range q.items {
		if last.precedes(d) {
			last = d
		}
	}
	return last
}

// remove removes and returns the deliveries that match.
func (q *deliveryQueue) remove(match func(*delivery) bool) []*delivery {
	var removed []*delivery
	kept := q.items[:0]
	for _, d := range q.items {
		if match(d) {
			removed = append(removed, d)
		} else {
			kept = append(kept, d)
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
	heap.Init(&q.items)
	return removed
}

// delivery is a submitted job whose outcome has not been reported yet.
type delivery struct {
	id          string // in the decision module
	sequence    uint64 // order of submission
	priority    int    // 0 is the highest
	job         *Job
	guard       func() bool // permits each write of the request, see Engine.Submit
	done        func(Outcome)
	route       *route
	queuedAt    time.Duration
	attempts    int       // workers assigned under the current id
	withdrawals int       // attempts that ended because their worker was withdrawn before the request was written
	inProgress  bool      // an attempt is in progress
	withdrawn   bool      // its message has another route by now: nothing more may be written for it
	token       rateToken // if the service's rate is limited
	isProbe     bool      // the only delivery admitted to an endpoint that is failing
}

// precedes reports whether d is released before other.
func (d *delivery) precedes(other *delivery) bool {
	if d.priority != other.priority {
		return d.priority < other.priority
	}
	return d.sequence < other.sequence
}

type deliveryHeap []*delivery

func (h deliveryHeap) Len() int           { return len(h) }
func (h deliveryHeap) Less(i, j int) bool { return h[i].precedes(h[j]) }
func (h deliveryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deliveryHeap) Push(x any) { *h = append(*h, x.(*delivery)) }

// Pop implements heap.Interface.
func (h *deliveryHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return d
}
