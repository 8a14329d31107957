package core

import (
	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
)

// Branches are the attempts of a request, from the send to their outcome.

// branch is one attempt of a request.
type branch struct {
	id      BranchID
	no      int // index among the request's branches
	req     *request
	worker  WorkerID
	addr    string
	sent    float64 // when the branch was opened
	zone    string  // of the worker when the branch was opened
	cell    int     // of the worker when the branch was opened
	started bool    // the worker reported that the job started

	// A branch is open, given up (its worker is being told, and code is the outcome it will have) or ended. released is set
	// when, as far as its worker or this machine can know, nothing of the branch runs or will run.
	givenUp  bool
	ended    bool
	code     choice.Code
	released bool

	inDoubt bool // the connection broke, and a report of the job's start is awaited
}

// faultCodes maps a branch's fault to its outcome for the decision module.
var faultCodes = map[Fault]choice.Code{NoConnect: choice.NoConnect, BrokenBeforeSend: choice.BrokenBeforeSend, WorkerBusy: choice.Busy,
	BrokenAfterSend: choice.Reset, StaleConnection: choice.StaleConnection, Errored: choice.Errored, RequestUnusable: choice.Skipped, NotSent: choice.Skipped}

// branchFailed handles a branch whose worker did not accept the job. A worker that rejects an invalid request is
// healthy: if that counted as its error, a few bad requests would bar it for all other requests.
func (r *Reducer) branchFailed(b *branch, f Fault) {
	switch {
	case f == RequestUnusable:
		r.endBranch(b, faultCodes[f], &Answer{Verdict: Rejected, Reason: "no worker can use the request"})
		return
	case f == BrokenAfterSend && b.started:
		return // the job is running: its end will be reported, or the branch times out
	case f == BrokenAfterSend && r.effectOf(b.req) == choice.AtMostOnce && !b.inDoubt:
		// A job that was accepted before the connection broke is running and must not be sent again. A worker reports
		// the start of a job at once, so a short wait settles whether it started.
		b.inDoubt = true
		r.setTimer(r.now+startReportWaitS, timer{kind: timerStartReport, branch: b.id, fault: f})
		return
	case b.started && faultCodes[f].NeverRan():
		f = Errored // the job has started, so a fault that says it never ran belongs to another branch or is wrong
	case b.givenUp && (f == BrokenAfterSend || f == StaleConnection):
		return // this machine closed the connection itself; the worker is being told
	case f == BrokenAfterSend || f == StaleConnection:
		// The worker may have accepted the job, and its answer may have been lost with the connection.
		r.giveUpWithCode(b, faultCodes[f])()
		return
	}
	b.released = f == Errored && !b.started // for a job that has started, the error may refer to another branch
	r.endBranch(b, faultCodes[f], nil)
}

// giveUpWithCode gives a branch up and returns the function that ends it. Where second copies are not allowed and the
// class permits repeats, that function does nothing: the branch counts as open until BranchReleased, because a repeat
// elsewhere before that would be a second copy.
func (r *Reducer) giveUpWithCode(b *branch, code choice.Code) (end func()) {
	r.giveUp(b)
	if b.code = code; !r.settings.SecondCopies && r.effectOf(b.req) != choice.AtMostOnce && !b.req.closed {
		return func() {}
	}
	return func() { r.endBranch(b, code, nil) }
}

// branchReleased records that giving up a branch has finished, and ends the branch if it was kept open for that.
func (r *Reducer) branchReleased(ev BranchReleased) {
	q := r.requests[ev.Request]
	if q == nil {
		return
	}
	for _, b := range q.branches {
		if b.id == ev.Branch && b.givenUp {
			b.released = b.released || ev.Told
			r.endBranch(b, b.code, nil)
		}
	}
}

// endBranch delivers a branch's outcome to the decision module, once. If the outcome decides the request, final is its
// answer; only the first final answer counts.
func (r *Reducer) endBranch(b *branch, code choice.Code, final *Answer) {
	if b.ended {
		return
	}
	b.ended, b.code = true, code
	b.released = b.released || code.NeverRan() || code == choice.Done
	delete(r.branches, b.id)
	q := b.req
	q.open--
	if final != nil && !q.closed {
		r.answer(q, *final)
	}
	r.removeIfDone(q)
	r.decider.Outcome(r.now, choice.Outcome{Request: string(q.call.ID), Attempt: b.no, Worker: string(b.worker),
		Code: code, Latency: r.now - b.sent, Final: q.closed})
}

// auditKinds maps an answer's verdict to the kind of act that the audit counts.
var auditKinds = map[Verdict]audit.Kind{Served: audit.Answered, Busy: audit.Refused, Failed: audit.Failed, Rejected: audit.Failed, UnknownRequest: audit.Failed}

// giveUp tells a branch's worker, once, that nobody waits for the branch any more.
func (r *Reducer) giveUp(b *branch) {
	if b.givenUp {
		return
	}
	b.givenUp = true
	r.recordAct(audit.GivenUp, b.req, b.worker)
	r.emit(GiveUpBranch{Branch: b.id, Request: b.req.call.ID, Worker: b.worker, Addr: b.addr})
}

// jobReported applies a callback. Callbacks are repeated until answered and may arrive late, so one that matches no open
// branch changes nothing. A request may have branches at several workers; the sender identifies the branch.
func (r *Reducer) jobReported(ev JobReported) {
	q := r.requests[ev.Request]
	if q == nil {
		return
	}
	var b *branch
	known := false
	for _, x := range q.branches {
		if x.worker == ev.From {
			known = true
			if !x.ended {
				b = x
			}
		}
	}
	if b == nil {
		if known && ev.State == JobDone && !q.closed {
			r.serveLateResult(q, ev.Result)
		}
		return
	}
	switch ev.State {
	case JobStarted, JobRunning:
		if ev.State == JobStarted && b.started {
			return
		}
		b.started = true
		r.decider.AttemptUpdate(r.now, choice.AttemptUpdate{Request: string(q.call.ID), Worker: string(b.worker), Attempt: b.no,
			Started: ev.State == JobStarted, Share: ev.Share})
	case JobDone:
		r.endBranch(b, choice.Done, &Answer{Verdict: Served, Body: ev.Result})
	case JobFailed:
		b.released = true
		r.endBranch(b, choice.Errored, nil)
	case JobReturned:
		code := choice.Returned
		if b.started {
			code = choice.Errored // a job that has started can't have been returned unstarted
		}
		r.endBranch(b, code, nil)
	case JobLost:
		b.released = true
		r.endBranch(b, choice.Reset, nil)
	}
}

// serveLateResult answers a request with the result of a branch that was believed lost, and ends the other branches.
func (r *Reducer) serveLateResult(req *request, result []byte) {
	r.answer(req, Answer{Verdict: Served, Body: result})
	r.runDeferred()
	r.decider.Withdrawn(r.now, string(req.call.ID))
}
