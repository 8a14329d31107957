package message

import (
	"container/heap"
	"time"
)

// dueHeap is a min-heap of messages by due time.
type dueHeap []*Entry

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].Due < h[j].Due }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	e := x.(*Entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}

// lateInterval is the share of late messages while others are on time: one in lateInterval, so that late messages are not
// starved.
const lateInterval = 4

// routeQueue holds the due messages of one route.
type routeQueue struct {
	onTime          dueHeap // can still start within the route's target
	late            dueHeap // can no longer start within it
	running         int     // attempts in progress
	onTimeSinceLate int     // messages started from onTime since the last one from late
}

func (q *routeQueue) len() int { return len(q.onTime) + len(q.late) }

func (q *routeQueue) push(e *Entry) { heap.Push(&q.onTime, e) }

// pop removes and returns the next message, or nil if there is none. Messages that can no longer start within startTarget of
// their due time move to the late ones.
func (q *routeQueue) pop(startTarget, now time.Duration) *Entry {
	for len(q.onTime) > 0 && q.onTime[0].Due+startTarget < now {
		heap.Push(&q.late, heap.Pop(&q.onTime))
	}
	if len(q.late) > 0 && (len(q.onTime) == 0 || q.onTimeSinceLate+1 >= lateInterval) {
		q.onTimeSinceLate = 0
		return heap.Pop(&q.late).(*Entry)
	}
	if len(q.onTime) == 0 {
		return nil
	}
	q.onTimeSinceLate++
	return heap.Pop(&q.onTime).(*Entry)
}
