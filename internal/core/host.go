package core

import (
	"math"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/audit"
)

// host carries out the decider's actions. It never calls back into the decider: outcomes that an action
// causes are put off until the decider has returned.
type host struct{ r *Reducer }

var _ choice.Actions = host{}

// Assign opens the request's next branch. Where it can't be sent any more it ends as skipped.
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
	// A worker that drains, is out by hand or has gone gets nothing new, whatever the decider still thinks of it.
	if q.over || r.fenced() || !known || !r.usable(worker) || !allowed || until <= r.now || b.no >= r.settings.MaxAttempts {
		r.later = append(r.later, func() { r.endBranch(b, choice.Skipped, nil) })
		return
	}
	b.addr = worker.Addr
	r.tally.Branches++
	r.act(audit.Sent, q, b.worker)
	r.emit(SendBranch{Branch: b.id, Request: q.call.ID, Worker: b.worker, Addr: b.addr, Until: until, Exchange: q.call.Exchange, Before: before,
		Once: r.effect(q) != choice.Idempotent, Message: q.call.Message})
	if until < q.deadline {
		r.after(until, timer{kind: timerBranch, branch: b.id})
	}
}

// mayRepeat tells whether the request's class allows a further branch at a worker after those that it has had, whatever the decider thinks,
// and until when its first byte may be written; 0 for no such time. A worker gets a request a second time only where the first never
// reached it, was turned away on its own connection, or was called off and the worker has confirmed that. Danger: call-backs are told again until they are answered, so one that ended an
// earlier branch there may come once more, and would end the later one, which runs.
func (r *Reducer) mayRepeat(q *request, worker Worker) (before float64, ok bool) {
	class := &r.settings.Classes[r.classes[q.call.Class]]
	for _, b := range q.branches {
		again := b.ended && b.code.NeverRan()
		calledOff := b.ended && b.code == choice.Cancelled && b.released
		switch {
		case b.worker == worker.ID && (!again && !calledOff || b.code == choice.Returned), !b.released && !r.settings.SecondCopies:
			return 0, false
		case again || class.Effect == choice.Idempotent:
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
	h.final(id, Answer{Verdict: Busy, Pause: min(pause, h.r.settings.MaxRetryAfter), Reason: "busy"})
}

func (h host) Fail(id string) { h.final(id, Answer{Verdict: Failed, Reason: "failed"}) }

func (h host) final(id string, a Answer) {
	if q := h.r.requests[RequestID(id)]; q != nil && !q.over {
		h.r.answer(q, a)
	}
}

// Cancel gives up a branch, which ends as cancelled unless something else ended it first.
func (h host) Cancel(id string, attempt int) {
	q := h.r.requests[RequestID(id)]
	if q == nil || attempt < 0 || attempt >= len(q.branches) || q.branches[attempt].ended {
		return
	}
	if b := q.branches[attempt]; !b.givenUp {
		h.r.tally.Moves++
		h.r.later = append(h.r.later, h.r.release(b, choice.Cancelled))
	}
}

func (h host) Timer(delay float64, token uint64) {
	h.r.after(h.r.now+max(0, delay), timer{kind: timerDecider, token: token})
}

func (h host) CloseIdle(workerID string) {
	if worker, known := h.r.workers[WorkerID(workerID)]; known {
		h.r.emit(CloseIdle{Addr: worker.Addr})
	}
}

func (h host) Subscribe(on bool) {
	if on && h.r.watching {
		return // danger: a watch that runs would be opened anew, and what it was about to tell be lost with its connection
	}
	h.r.watching = on
	h.r.emit(Watch{On: on, Source: h.r.source, Since: h.r.version})
}

func (h host) ListAll()        { h.r.emit(FetchRouteSet{Source: h.r.source}) }
func (h host) Log(text string) { h.r.emit(Log{Text: text}) }

// Probe and Tell have no counterpart on this platform, which allows neither.
func (h host) Probe(worker string) {
	h.Log("a probe of " + worker + " was asked for, which is not allowed")
}
func (h host) SendToPeer(int, []byte) {
	h.Log("a message to peers was asked for, which is not allowed")
}
