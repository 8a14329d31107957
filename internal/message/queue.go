package message

import (
	"container/heap"
	"time"
)

// timerHeap orders waiting messages by the time at which they are due.
type timerHeap []*Entry

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].Due < h[j].Due }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// lateTurn is how often a late message goes before one that is in time: once in so many.
const lateTurn = 4

// routeQueue holds the messages of one route that are due.
type routeQueue struct {
	fresh   timerHeap // that may still begin within the aim
	late    timerHeap
	running int
	turn    int
}

func (q *routeQueue) len() int { return len(q.fresh) + len(q.late) }

func (q *routeQueue) push(e *Entry) { heap.Push(&q.fresh, e) }

// pop returns the next message, or nil. Those whose aim has passed move to the late ones.
func (q *routeQueue) pop(aim, now time.Duration) *Entry {
	for len(q.fresh) > 0 && q.fresh[0].Due+aim < now {
		heap.Push(&q.late, heap.Pop(&q.fresh))
	}
	if len(q.late) > 0 && (len(q.fresh) == 0 || q.turn+1 >= lateTurn) {
		q.turn = 0
		return heap.Pop(&q.late).(*Entry)
	}
	if len(q.fresh) == 0 {
		return nil
	}
	q.turn++
	return heap.Pop(&q.fresh).(*Entry)
}
