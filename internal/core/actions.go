package core

import (
	"math"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
)

// host performs the decision module's actions. It must not call back into the module from within one, so outcomes that
// an action causes are deferred until the module has returned.
type host struct{ r *Reducer }

var _ choice.Actions = host{}

// Assign opens the request's next branch. If the branch may not be sent any more, it ends as skipped.
func (h host) Assign(id, workerID string, until float64) {
	r := h.r
	q := r.requests[RequestID(id)]
	if q == nil {
		h.Log("decision on an unknown request " + id)
		return
	}
	if until == 0 || until > q.deadline {
		until = q.deadline
	}
	worker, known := r.workers[WorkerID(workerID)]
	before, allowed := r.mayRepeat(q, worker)
	r.lastID++
	b := &branch{id: r.lastID, no: len(q.branches), req: q, worker: WorkerID(workerID), sent: r.now, zone: worker.Zone, cell: worker.Cell}
	q.branches = append(q.branches, b)
	q.open++
	r.branches[b.id] = b
	// A worker that is draining, excluded or gone must get nothing new, even if the decision module still selects it.
	if q.closed || r.fenced() || !known || !r.usable(worker) || !allowed || until <= r.now || b.no >= r.settings.MaxAttempts {
		r.deferred = append(r.deferred, func() { r.endBranch(b, choice.Skipped, nil) })
		return
	}
	b.addr = worker.Addr
	r.tally.Branches++
	r.recordAct(audit.Sent, q, b.worker)
	r.emit(SendBranch{Branch: b.id, Request: q.call.ID, Worker: b.worker, Addr: b.addr, Until: until, Exchange: q.call.Exchange, Before: before,
		Once: r.effectOf(q) != choice.Idempotent, Message: q.call.Message})
	if until < q.deadline {
		r.setTimer(until, timer{kind: timerBranch, branch: b.id})
	}
}

// mayRepeat reports whether the request's class allows a further branch at a worker, given the earlier branches, and the
// time before which its first byte must be written; 0 for no limit. This check does not rely on the decision module.
// A worker gets a request a second time only if the first branch never reached it, was refused as busy on its own
// connection, or was cancelled with the worker's confirmation. Otherwise, as callbacks are repeated until they are
// answered, a repeated callback for the earlier branch would end the later one, which is still running.
func (r *Reducer) mayRepeat(q *request, worker Worker) (before float64, ok bool) {
	class := &r.settings.Classes[r.classes[q.call.Class]]
	for _, b := range q.branches {
		neverRan := b.ended && b.code.NeverRan()
		cancelled := b.ended && b.code == choice.Cancelled && b.released
		switch {
		case b.worker == worker.ID && (!neverRan && !cancelled || b.code == choice.Returned), !b.released && !r.settings.SecondCopies:
			return 0, false
		case neverRan || class.Effect == choice.Idempotent:
			continue
		case class.Effect == choice.AtMostOnce,
			class.Group == choice.GroupZone && b.zone != worker.Zone, class.Group == choice.GroupCell && b.cell != worker.Cell:
			return 0, false
		}
		if end := b.sent + class.Window; before == 0 || end < before {
			before = end
		}
	}
	return before, before == 0 || r.now <= before
}

func (h host) Refuse(id string, pause float64) {
	if !h.r.settings.RetryAfter || pause < 0 || math.IsNaN(pause) {
		pause = 0
	}
	h.answer(id, Answer{Verdict: Busy, Pause: min(pause, h.r.settings.MaxRetryAfter), Reason: "busy"})
}

func (h host) Fail(id string) { h.answer(id, Answer{Verdict: Failed, Reason: "failed"}) }

func (h host) answer(id string, a Answer) {
	if q := h.r.requests[RequestID(id)]; q != nil && !q.closed {
		h.r.answer(q, a)
	}
}

// Cancel gives up a branch. It ends as cancelled unless another outcome arrives first.
func (h host) Cancel(id string, attempt int) {
	q := h.r.requests[RequestID(id)]
	if q == nil || attempt < 0 || attempt >= len(q.branches) || q.branches[attempt].ended {
		return
	}
	if b := q.branches[attempt]; !b.givenUp {
		h.r.tally.Moves++
		h.r.deferred = append(h.r.deferred, h.r.giveUpWithCode(b, choice.Cancelled))
	}
}

func (h host) Timer(delay float64, token uint64) {
	h.r.setTimer(h.r.now+max(0, delay), timer{kind: timerDecider, token: token})
}

func (h host) CloseIdle(workerID string) {
	if worker, known := h.r.workers[WorkerID(workerID)]; known {
		h.r.emit(CloseIdle{Addr: worker.Addr})
	}
}

func (h host) Subscribe(on bool) {
	if on && h.r.watching {
		return // opening it again would close the connection of the running watch and lose what it was about to deliver
	}
	h.r.watching = on
	h.r.emit(Watch{On: on, Source: h.r.source, Since: h.r.routeSetVersion})
}

func (h host) ListAll()        { h.r.emit(FetchRouteSet{Source: h.r.source}) }
func (h host) Log(text string) { h.r.emit(Log{Text: text}) }

// Probe and SendToPeer are not supported on this platform, which allows neither.
func (h host) Probe(worker string) {
	h.Log("a probe of " + worker + " was asked for, which is not allowed")
}
func (h host) SendToPeer(int, []byte) {
	h.Log("a message to peers was asked for, which is not allowed")
}
