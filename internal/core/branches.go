package core

import (
	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
)

// Branches: attempts of a request, from the send to their end.

// branch is one attempt of a request.
type branch struct {
	id     BranchID
	no     int
	req    *request
	worker WorkerID
	addr   string
	sent   float64
	zone   string // of the worker, as it was told then
	cell   int
	begun  bool // its start has been passed on

	// An attempt is open, given up (its worker is being told, and code is what it will end as), or ended. released says that nothing of it
	// runs, or may yet, as far as its worker or this machine can know.
	givenUp  bool
	ended    bool
	code     choice.Code
	released bool

	inDoubt bool // its connection broke, and a report of its start is still waited for
}

var faultCodes = map[Fault]choice.Code{NoConnect: choice.NoConnect, BrokenBeforeSend: choice.BrokenBeforeSend, WorkerBusy: choice.Busy,
	BrokenAfterSend: choice.Reset, StaleConnection: choice.StaleConnection, Errored: choice.Errored, RequestUnusable: choice.Skipped, NotSent: choice.Skipped}

// branchFailed ends a branch whose job was not taken. Danger: a worker that turns away what it can't use is
// well; taken for an error of its own, a few bad requests would bar it from all others.
func (r *Reducer) branchFailed(b *branch, f Fault) {
	switch {
	case f == RequestUnusable:
		r.endBranch(b, faultCodes[f], &Answer{Verdict: Rejected, Reason: "no worker can use the request"})
		return
	case f == BrokenAfterSend && b.begun:
		return // the job runs: its end will be reported, or it ends at the deadline
	case f == BrokenAfterSend && r.effect(b.req) == choice.AtMostOnce && !b.inDoubt:
		// Danger: a job that was taken before the break runs, and may never be sent again. Its start, if there
		// is one, is reported at once.
		b.inDoubt = true
		r.after(r.now+doubtTime, timer{kind: timerDoubt, branch: b.id, fault: f})
		return
	case b.begun && faultCodes[f].NeverRan():
		f = Errored // danger: the worker has told that it began, so what says that it never ran is another one's word, or a mistake
	case b.givenUp && (f == BrokenAfterSend || f == StaleConnection):
		return // this machine closed the connection, and the worker is being told
	case f == BrokenAfterSend || f == StaleConnection:
		// Danger: the worker may have taken the job and said so just as the connection broke.
		r.release(b, faultCodes[f])()
		return
	}
	b.released = f == Errored && !b.begun // where it has begun, whoever says that it ended may mean another one
	r.endBranch(b, faultCodes[f], nil)
}

// release gives a branch up, and returns what ends it. Where copies are not allowed and its class may be repeated, that is to wait for the word
// of its worker: until then it counts as out. Danger: a repeat elsewhere would be a second copy.
func (r *Reducer) release(b *branch, code choice.Code) (end func()) {
	r.giveUp(b)
	if b.code = code; !r.settings.SecondCopies && r.effect(b.req) != choice.AtMostOnce && !b.req.over {
		return func() {}
	}
	return func() { r.endBranch(b, code, nil) }
}

// released enters that the giving up of a branch is over, and ends the branch where that was waited for.
func (r *Reducer) released(ev BranchReleased) {
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

// endBranch passes the one outcome of a branch on. Where that decides the request it brings the final answer; the first one counts.
func (r *Reducer) endBranch(b *branch, code choice.Code, final *Answer) {
	if b.ended {
		return
	}
	b.ended, b.code = true, code
	b.released = b.released || code.NeverRan() || code == choice.Done
	delete(r.branches, b.id)
	q := b.req
	q.open--
	if final != nil && !q.over {
		r.answer(q, *final)
	}
	r.forget(q)
	r.decider.Outcome(r.now, choice.Outcome{Request: string(q.call.ID), Attempt: b.no, Worker: string(b.worker),
		Code: code, Latency: r.now - b.sent, Final: q.over})
}

// actOf is how the account counts an answer.
var actOf = map[Verdict]audit.Kind{Served: audit.Answered, Busy: audit.Refused, Failed: audit.Failed, Rejected: audit.Failed, UnknownRequest: audit.Failed}

// giveUp has a branch's worker told that nobody waits for it any more, once.
func (r *Reducer) giveUp(b *branch) {
	if b.givenUp {
		return
	}
	b.givenUp = true
	r.act(audit.GivenUp, b.req, b.worker)
	r.emit(GiveUpBranch{Branch: b.id, Request: b.req.call.ID, Worker: b.worker, Addr: b.addr})
}

// jobReported applies a call-back. Calls are repeated until answered and may come late, so whatever names
// no open branch changes nothing. A request may have branches at several workers: the sender tells which.
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
		if known && ev.State == JobDone && !q.over {
			r.doneAfterAll(q, ev.Result)
		}
		return
	}
	switch ev.State {
	case JobStarted, JobRunning:
		if ev.State == JobStarted && b.begun {
			return
		}
		b.begun = true
		r.decider.AttemptUpdate(r.now, choice.AttemptUpdate{Request: string(q.call.ID), Worker: string(b.worker), Attempt: b.no,
			Started: ev.State == JobStarted, Share: ev.Share})
	case JobDone:
		r.endBranch(b, choice.Done, &Answer{Verdict: Served, Body: ev.Result})
	case JobFailed:
		b.released = true
		r.endBranch(b, choice.Errored, nil)
	case JobReturned:
		code := choice.Returned
		if b.begun {
			code = choice.Errored // danger: what has begun was not handed back unstarted, whoever says so
		}
		r.endBranch(b, code, nil)
	case JobLost:
		b.released = true
		r.endBranch(b, choice.Reset, nil)
	}
}

// doneAfterAll serves a request with the result of a branch that was taken for lost, and ends the others.
func (r *Reducer) doneAfterAll(q *request, result []byte) {
	r.answer(q, Answer{Verdict: Served, Body: result})
	r.settle()
	r.decider.Withdrawn(r.now, string(q.call.ID))
}
