package core

import (
	"container/heap"

	"foldlb.example/foldlb/choice"
)

// Timers are plain records, so that they can be handed over with the state.

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	timerExpire      timerKind = iota + 1 // a request's deadline
	timerBranch                           // a branch's time-out before that deadline
	timerStartReport                      // the end of the wait for a start report after a broken connection
	timerDecider                          // requested by the decision module
)

// timer is an action to take at a given time. It is a record rather than a function, so that it can be encoded and
// handed over to another process.
type timer struct {
	at       float64 // seconds on the dispatcher's clock
	seq      uint64  // order of creation, which breaks ties
	kind     timerKind
	request  RequestID  // timerExpire
	exchange ExchangeID // timerExpire: a request id may be reused after its deadline, an exchange id is not
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

// setTimer schedules a timer for the given time.
func (r *Reducer) setTimer(at float64, t timer) {
	r.timerSeq++
	t.at, t.seq = at, r.timerSeq
	heap.Push(&r.timers, t)
}

// fireTimers fires the timers that are due, up to sequence number last. Timers set during this step wait for a later one,
// as the decision module expects.
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
