package core

import (
	"foldlb.example/foldlb/choice"
)

// Requests, from the call to their final answer.

// request is a caller's request, kept until it is answered and its last branch has ended.
type request struct {
	call     Call
	deadline float64 // on the dispatcher's clock, seconds
	branches []*branch
	open     int  // number of branches that have not ended
	closed   bool // the final answer was given, or is no longer owed
}

// callArrived accepts a request, or answers it at once if it can't be accepted.
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
		// Callbacks of two requests with the same id could not be told apart, and a worker may still know the first one.
		r.emit(Answer{Exchange: c.Exchange, Verdict: Rejected, Reason: "request id in use"})
		return
	case c.Remaining <= 0:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Failed, Reason: "no time remains"})
		return
	case r.fenced():
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "shut out"}) // never sent, so the caller may try another dispatcher
		return
	case r.stopping:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "stopping"}) // the process ends before an attempt could finish
		return
	case r.settings.OpenCap > 0 && len(r.exchanges) >= r.settings.OpenCap:
		r.emit(Answer{Exchange: c.Exchange, Verdict: Busy, Reason: "too many open requests"})
		return
	}
	if maxRemaining := r.settings.Classes[class].Deadline; maxRemaining > 0 {
		c.Remaining = min(c.Remaining, maxRemaining) // otherwise a caller that states an hour would keep its request in memory for an hour
	}
	q := &request{call: c, deadline: r.now + c.Remaining}
	r.tally.Calls++
	r.requests[c.ID], r.exchanges[c.Exchange] = q, q
	r.setTimer(q.deadline, timer{kind: timerExpire, request: c.ID, exchange: c.Exchange})
	r.decider.Request(r.now, choice.Request{ID: string(c.ID), Deadline: q.deadline, Class: class,
		Tenant: tenant, Key: c.Key, HasKey: c.HasKey, Memory: c.Memory, Slots: c.Slots, Hint: c.Hint,
		HasHint: c.HasHint, Repeat: c.Repeat})
}

// callerLeft ends a request whose caller closed its exchange.
func (r *Reducer) callerLeft(exchange ExchangeID) {
	if q := r.exchanges[exchange]; q != nil {
		r.finish(q)
		r.runDeferred()
		r.decider.Withdrawn(r.now, string(q.call.ID))
	}
}

// expire ends a request at its caller's deadline. Open branches time out first, so that the decision module can choose
// the answer; if it gives none, the request fails, since every request must be answered.
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

// effectOf returns the effect of repeating the request, according to its class.
func (r *Reducer) effectOf(q *request) choice.Effect {
	return r.settings.Classes[r.classes[q.call.Class]].Effect
}

// answer gives a request its final answer.
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

// finish records that the caller is owed nothing more, and gives up the request's open branches. Otherwise a branch whose
// connection is still being opened would be sent once it is up, long after the caller was answered or has left.
func (r *Reducer) finish(q *request) {
	q.closed = true
	q.call.Message = Message{}
	delete(r.exchanges, q.call.Exchange)
	for _, b := range q.branches {
		if !b.ended {
			r.giveUp(b)
			r.deferred = append(r.deferred, func() { r.endBranch(b, choice.TimedOut, nil) }) // the outcome says nothing about the worker
		}
	}
	r.removeIfDone(q)
}

// removeIfDone removes a request that is answered and has no open branch.
func (r *Reducer) removeIfDone(q *request) {
	if q.closed && q.open == 0 {
		delete(r.requests, q.call.ID)
		if r.now < q.deadline {
			r.endedIDs[q.call.ID] = true
		}
	}
}
