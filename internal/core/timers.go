package core

import (
	"container/heap"

	"foldlb.example/foldlb/choice"
)

// Timers are records, so that they pass on with the state.

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerExpire      timerKind = iota + 1 // a request's deadline
	timerBranch                           // a branch's end before that
	timerStartReport                      // the end of the wait for a start that was in doubt
	timerDecider                          // the decision module's own
)

// timer says what is to be done when its time has come. It is a record, not a function, so that it can be written
// down and taken up by another process.
type timer struct {
	at       float64
	seq      uint64
	kind     timerKind
	request  RequestID  // timerExpire
	exchange ExchangeID // timerExpire: ids may be used again, exchanges are not
	branch   BranchID   // timerBranch, timerStartReport
	fault    Fault      // timerStartReport
	token    uint64     // timerDecider
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// after sets a timer.
func (r *Reducer) setTimer(at float64, t timer) {
	r.timerSeq++
	t.at, t.seq = at, r.timerSeq
	heap.Push(&r.timers, t)
}

// fireTimers runs what is due, up to the last timer set before this step: the decider expects those that it
// sets meanwhile in a later one.
func (r *Reducer) fireTimers(last uint64) {
	for len(r.timers) > 0 && r.timers[0].at <= r.now && r.timers[0].seq <= last {
		r.fire(heap.Pop(&r.timers).(timer))
		r.runDeferred()
	}
}

func (r *Reducer) fire(t timer) {
	switch t.kind {
	case timerExpire:
		delete(r.endedIDs, t.request)
		if q := r.requests[t.request]; q != nil && q.call.Exchange == t.exchange {
			r.expire(q)
		}
	case timerBranch:
		if b := r.branches[t.branch]; b != nil {
			r.giveUp(b)
			r.endBranch(b, choice.TimedOut, nil)
		}
	case timerStartReport:
		if b := r.branches[t.branch]; b != nil {
			r.branchFailed(b, t.fault)
		}
	case timerDecider:
		r.decider.Timer(r.now, t.token)
	}
}
