package core

import (
	"foldlb.example/foldlb/choice"
)

// Requests: from a call to its only answer.

// request is a caller's request until it is answered and its last branch has ended.
type request struct {
	call     Call
	deadline float64
	branches []*branch
	open     int  // branches that have not ended
	closed   bool // the final answer was given, or is no longer owed
}

func (r *Reducer) callArrived(c Call) {
	class, known := r.classes[c.Class]
	tenant, hasTenant := r.tenants[c.Tenant]
	if !hasTenant {
		tenant = -1
	}
	switch {
	case !known:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Rejected, Reason: "unknown class"})
		return
	case r.requests[c.ID] != nil || r.endedIDs[c.ID]:
		// An id used twice would mix up the two requests' call-backs, and a worker may still know the first.
		r.emit(Answer{Exchange: c.Exchange, Verdict: Rejected, Reason: "request id in use"})
		return
	case c.Remaining <= 0:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Failed, Reason: "no time remains"})
		return
	case r.fenced():
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "shut out"}) // asking elsewhere is harmless
		return
	case r.stopping:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "stopping"}) // danger: the process ends before an attempt could
		return
	case r.settings.OpenCap > 0 && len(r.exchanges) >= r.settings.OpenCap:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "too many open requests"})
		return
	}
	if most := r.settings.Classes[class].Deadline; most > 0 {
		c.Remaining = min(c.Remaining, most) // danger: a caller that says it waits for an hour is remembered for one
	}
	q := &request{call: c, deadline: r.now + c.Remaining}
	r.tally.Calls++
	r.requests[c.ID], r.exchanges[c.Exchange] = q, q
	r.setTimer(q.deadline, timer{kind: timerExpire, request: c.ID, exchange: c.Exchange})
	r.decider.Request(r.now, choice.Request{ID: string(c.ID), Deadline: q.deadline, Class: class,
		Tenant: tenant, Key: c.Key, HasKey: c.HasKey, Memory: c.Memory, Slots: c.Slots, Hint: c.Hint,
		HasHint: c.HasHint, Repeat: c.Repeat})
}

func (r *Reducer) callerLeft(exchange ExchangeID) {
	if q := r.exchanges[exchange]; q != nil {
		r.finish(q)
		r.runDeferred()
		r.decider.Withdrawn(r.now, string(q.call.ID))
	}
}

// expire ends a request at its caller's deadline. Open branches time out first, which lets the decider
// word the answer; where it says nothing the request fails, since no request may go unanswered.
func (r *Reducer) expire(q *request) {
	for _, b := range q.branches {
		if !b.ended {
			r.giveUp(b)
			r.endBranch(b, choice.TimedOut, nil)
		}
	}
	r.runDeferred()
	if !q.closed {
		r.answer(q, Answer{Verdict: Failed, Reason: "out of time"})
		r.decider.Withdrawn(r.now, string(q.call.ID))
	}
}

// effect tells what a repeat of the request would do.
func (r *Reducer) effectOf(q *request) choice.Effect {
	return r.settings.Classes[r.classes[q.call.Class]].Effect
}

// answer gives the one final answer of a request.
func (r *Reducer) answer(q *request, a Answer) {
	a.Exchange = q.call.Exchange
	r.recordAct(auditKinds[a.Verdict], q, "")
	switch {
	case a.Verdict == Busy && len(q.branches) == 0:
		r.tally.RefusedAtOnce++
	case a.Verdict == Busy:
		r.tally.RefusedTried++
	case a.Verdict == Failed:
		r.tally.Failed++
	}
	r.emit(a)
	r.finish(q)
}

// finish marks that nothing more is owed to the caller, and gives up what is still out for it. Danger: an attempt whose connection is
// still being opened would be sent when that comes up, long after its caller has gone or was answered.
func (r *Reducer) finish(q *request) {
	q.closed = true
	q.call.Message = Message{}
	delete(r.exchanges, q.call.Exchange)
	for _, b := range q.branches {
		if !b.ended {
			r.giveUp(b)
			r.deferred = append(r.deferred, func() { r.endBranch(b, choice.TimedOut, nil) }) // it tells nothing of its worker
		}
	}
	r.removeIfDone(q)
}

// forget drops a request that is answered and has no open branch.
func (r *Reducer) removeIfDone(q *request) {
	if q.closed && q.open == 0 {
		delete(r.requests, q.call.ID)
		if r.now < q.deadline {
			r.endedIDs[q.call.ID] = true
		}
	}
}
