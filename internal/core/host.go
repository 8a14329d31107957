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
func (h host) Assign(id, worker string, until float64) {
	r := h.r
	q := r.requests[RequestID(id)]
	if q == nil {
		h.Log("decision on an unknown request " + id)
		return
	}
	if until == 0 || until > q.deadline {
		until = q.deadline
	}
	r.lastID++
	b := &branch{id: r.lastID, no: len(q.branches), req: q, hop: HopID(worker), sent: r.now}
	q.branches = append(q.branches, b)
	q.open++
	r.branches[b.id] = b
	hop, known := r.hops[b.hop]
	// A hop that drains, is out by hand or has gone gets nothing new, whatever the decider still thinks of it.
	if q.over || r.fenced() || !known || !r.usable(hop) || until <= r.now || b.no >= r.settings.MaxAttempts {
		r.later = append(r.later, func() { r.endBranch(b, choice.Skipped, nil) })
		return
	}
	b.addr = hop.Addr
	r.tally.Branches++
	r.act(audit.Sent, q, b.hop)
	r.emit(SendBranch{Branch: b.id, Request: q.call.ID, Hop: b.hop, Addr: b.addr, Until: until,
		Message: q.call.Message})
	if until < q.deadline {
		r.after(until, timer{kind: timerBranch, branch: b.id})
	}
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
	b := q.branches[attempt]
	h.r.tally.Moves++
	h.r.giveUp(b)
	h.r.later = append(h.r.later, func() { h.r.endBranch(b, choice.Cancelled, nil) })
}

func (h host) Timer(delay float64, token uint64) {
	h.r.after(h.r.now+max(0, delay), timer{kind: timerDecider, token: token})
}

func (h host) CloseIdle(worker string) {
	if hop, known := h.r.hops[HopID(worker)]; known {
		h.r.emit(CloseIdle{Addr: hop.Addr})
	}
}

func (h host) Subscribe(on bool) {
	h.r.watching = on
	h.r.emit(Watch{On: on, Source: h.r.source, Since: h.r.version})
}

func (h host) ListAll()        { h.r.emit(FetchRouteSet{Source: h.r.source}) }
func (h host) Log(text string) { h.r.emit(Log{Text: text}) }

// Probe and Tell have no counterpart on this platform, which allows neither.
func (h host) Probe(worker string) {
	h.Log("a probe of " + worker + " was asked for, which is not allowed")
}
func (h host) Tell(int, []byte) { h.Log("a message to peers was asked for, which is not allowed") }
