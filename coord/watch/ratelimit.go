package watch

import (
	"container/heap"
	"sync"
	"time"
)

const (
	// minQueuedFrameBytes is the length from which a frame is queued. Shorter frames count against the rate, but are
	// sent at once.
	minQueuedFrameBytes = 2 << 10
	// burstDuration bounds a burst after idle time: the bytes that the rate allows in this duration.
	burstDuration = 20 * time.Millisecond
)

// limiter limits the rate at which a hub sends long frames, so that they do not saturate the machine's link: other
// traffic on the link, such as heartbeats, is delayed by at most burstDuration and one frame. Urgent frames are sent
// before others; among equally urgent frames, the shortest is sent first. A limiter is safe for concurrent use.
type limiter struct {
	bytesPerSecond float64

	mutex        sync.Mutex
	drainedAt    time.Time // when the bytes counted so far have been sent, at the limited rate
	queue        frameHeap
	arrivals     uint64 // number of frames queued so far
	timerPending bool   // a timer that calls onTimer is running
}

// queuedFrame is a frame that waits until the rate allows it.
type queuedFrame struct {
	urgent    bool
	length    int           // in bytes
	arrival   uint64        // position in the order of arrival
	granted   chan struct{} // closed when the frame may be sent
	heapIndex int           // index in the heap, or notQueued
}

// notQueued is the heap index of a frame that was granted or cancelled.
const notQueued = -1

// newLimiter returns a limiter for a rate, which must be positive.
func newLimiter(bytesPerSecond float64) *limiter {
	return &limiter{bytesPerSecond: bytesPerSecond}
}

// consume counts length bytes that are sent now. A negative length corrects an earlier count that was too high.
func (l *limiter) consume(length int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.consumeLocked(length)
}

// consumeLocked is consume for callers that hold mutex.
func (l *limiter) consumeLocked(length int) {
	if earliest := time.Now().Add(-burstDuration); l.drainedAt.Before(earliest) {
		l.drainedAt = earliest
	}
	l.drainedAt = l.drainedAt.Add(time.Duration(float64(length) / l.bytesPerSecond * float64(time.Second)))
}

// enqueue adds a frame to the queue. Its bytes are counted when it is granted.
func (l *limiter) enqueue(length int, urgent bool) *queuedFrame {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals++
	frame := &queuedFrame{urgent: urgent, length: length, arrival: l.arrivals, granted: make(chan struct{})}
	heap.Push(&l.queue, frame)
	l.schedule()
	return frame
}

// cancel removes a frame from the queue. It has no effect on a frame that was granted.
func (l *limiter) cancel(frame *queuedFrame) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if frame.heapIndex != notQueued {
		heap.Remove(&l.queue, frame.heapIndex)
	}
}

// schedule grants the first frame if the rate allows it, and starts a timer for the next one. The caller holds mutex.
func (l *limiter) schedule() {
	if l.timerPending || len(l.queue) == 0 {
		return
	}
	wait := time.Until(l.drainedAt)
	if wait <= 0 {
		l.grantFirst()
		wait = time.Until(l.drainedAt)
	}
	if len(l.queue) > 0 {
		l.timerPending = true
		time.AfterFunc(wait, l.onTimer)
	}
}

// onTimer is called when the rate allows the next frame.
func (l *limiter) onTimer() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timerPending = false
	l.schedule()
}

// grantFirst removes the first frame from the queue, counts its bytes and grants it. The caller holds mutex.
func (l *limiter) grantFirst() {
	next := heap.Pop(&l.queue).(*queuedFrame)
	l.consumeLocked(next.length)
	close(next.granted)
}

// frameHeap orders frames by urgency, then by length, then by arrival. It implements heap.Interface.
type frameHeap []*queuedFrame

func (h frameHeap) Len() int { return len(h) }

func (h frameHeap) Less(i, j int) bool {
	left, right := h[i], h[j]
	switch {
	case left.urgent != right.urgent:
		return left.urgent
	case left.length != right.length:
		return left.length < right.length
	default:
		return left.arrival < right.arrival
	}
}

func (h frameHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *frameHeap) Push(added any) {
	frame := added.(*queuedFrame)
	frame.heapIndex = len(*h)
	*h = append(*h, frame)
}

func (h *frameHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	popped.heapIndex = notQueued
	return popped
}
