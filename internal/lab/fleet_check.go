package lab

import (
	"context"
	"fmt"
	"strings"
	"time"
)

var live = map[string]bool{"joining": true, "serving": true, "sent away": true, "stopping": true, "suspected": true}

// check holds what the dispatchers say against what the script did.
func (q *squad) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	group := q.groups()
	for _, p := range q.peers {
		if !p.up || p.paused || now.Sub(p.view.at) > staleAfter {
			continue
		}
		for _, m := range p.view.Members {
			if m.Incarnation < p.most[m.Name] {
				q.broken("%s holds incarnation %d of %s after %d", p.name, m.Incarnation, m.Name, p.most[m.Name])
			}
			p.most[m.Name] = max(p.most[m.Name], m.Incarnation)
			if x := q.named(m.Name); x != nil && x.up && !x.paused && group[x.no] == group[p.no] && m.Incarnation >= x.most[x.name] && (m.State == "failed" || m.State == "gone") {
				q.out.False++
			}
			if x := q.named(m.Name); x != nil && now.Before(x.calm) && x.up && !x.paused && group[x.no] == group[p.no] && !live[m.State] && p.view.at.After(x.calm.Add(-bounds["upgrade"])) {
				q.broken("%s holds %s for %s while that is only upgraded", p.name, m.Name, m.State)
			}
		}
	}
	for _, p := range q.peers {
		if !p.up || p.paused || now.Sub(p.view.at) > staleAfter {
			continue
		}
		may := 0 // that it has met since their starts, and that run
		for _, x := range q.peers {
			if x.up && p.most[x.name] > 0 && p.most[x.name] >= x.most[x.name] && now.Sub(x.since) > bounds["start"] {
				may++
			}
		}
		if p.view.Acting < may && now.Sub(p.since) > bounds["start"] {
			q.broken("%s counts %d that may be acting, and %d that it has met run", p.name, p.view.Acting, may)
		}
	}
	q.checkConfigs(now, group)
	q.checkTwofold(now)
	fault, hard := q.unsettled(now)
	took := now.Sub(q.lastAt)
	if fault == "" {
		q.faultAt = time.Time{}
	} else if q.faultAt.IsZero() {
		q.faultAt = now
	}
	stood := now.Sub(q.faultAt) // a change of the route set, say, is known to all after a moment
	switch {
	case hard && !q.waiting && !q.judged && !(took.Seconds() < q.last.Most && lateVerdict(q.last.What)):
		q.judged = true
		q.broken("without a cause, %.1f s after %s had settled: %s", took.Seconds(), q.last.What, fault)
	case fault == "" && q.waiting && took > 2*pollEvery:
		q.waiting = false
		q.last.Took = took.Seconds()
		q.out.Settlings = append(q.out.Settlings, q.last)
	case fault != "" && took.Seconds() > q.last.Most && (q.waiting || stood > bounds["start"]) && !q.judged:
		q.judged = true
		q.last.Fault = fault
		q.broken("%.1f s after %s at %.1f s: %s", took.Seconds(), q.last.What, q.last.At, fault)
		if q.waiting {
			q.waiting = false
			q.last.Took = took.Seconds()
			q.out.Settlings = append(q.out.Settlings, q.last)
		}
	}
}

// checkConfigs looks which configuration each acts on: never an older one, and not for long behind one that it reaches.
func (q *squad) checkConfigs(now time.Time, group []int) {
	if !q.s.Audit {
		return
	}
	newest := map[int]int64{}
	fresh := func(p *peer) bool {
		return p.up && !p.paused && now.Sub(p.view.at) <= staleAfter && len(p.view.Members) > 0
	}
	for _, p := range q.peers {
		if fresh(p) {
			newest[group[p.no]] = max(newest[group[p.no]], p.view.acts())
		}
	}
	for _, p := range q.peers {
		if !fresh(p) {
			p.behind = time.Time{}
			continue
		}
		q.fenced, q.gap = max(q.fenced, p.view.Stopped), max(q.gap, p.view.Gap)
		on := p.view.acts()
		if on < p.acted {
			q.broken("%s acts on configuration %d after %d", p.name, on, p.acted)
		}
		p.acted = max(p.acted, on)
		switch lags := on < newest[group[p.no]]; {
		case lags && p.behind.IsZero():
			p.behind = now
		case !lags && !p.behind.IsZero():
			q.lags = append(q.lags, now.Sub(p.behind).Seconds())
			p.behind = time.Time{}
		case lags && now.Sub(p.behind) > bounds["straggler"] && now.Sub(q.lastAt).Seconds() > q.last.Most:
			q.broken("%s acts on configuration %d, %.1f s after it reaches one that acts on %d", p.name, on, now.Sub(p.behind).Seconds(), newest[group[p.no]])
			p.behind = now
		}
	}
}

// lateVerdict tells whether what happened leaves suspicions behind that may still become verdicts after all was settled, for as long as the
// bound: one that is over is refuted by then. Nothing else does.
func lateVerdict(what string) bool {
	return strings.HasPrefix(what, "wake") || strings.HasPrefix(what, "heal")
}

func (q *squad) broken(format string, args ...any) {
	if len(q.out.Broken) < 50 {
		q.out.Broken = append(q.out.Broken, fmt.Sprintf("at %.1f s: ", time.Since(q.begin).Seconds())+fmt.Sprintf(format, args...))
	}
}

// unsettled tells what is not as it must be in the end; empty where all is. It is hard where one that lives is held for dead. q.mu is
// held.
func (q *squad) unsettled(now time.Time) (fault string, hard bool) {
	group := q.groups()
	digest := map[int]string{}
	for _, p := range q.peers {
		if !p.up || p.paused {
			continue
		}
		if now.Sub(p.view.at) > staleAfter {
			return p.name + " does not say what it holds", false
		}
		if d, ok := digest[group[p.no]]; ok && d != p.view.Digest && now.After(q.churns) {
			return fmt.Sprintf("%s holds another view than others that it reaches", p.name), false
		}
		digest[group[p.no]] = p.view.Digest
		states := map[string]string{}
		for _, m := range p.view.Members {
			states[m.Name] = m.State
		}
		for _, x := range q.peers {
			state, known := states[x.name]
			switch {
			case x.paused:
			case x.up && group[x.no] != group[p.no]:
				if live[state] {
					return fmt.Sprintf("%s holds %s, which it can't reach, for %q", p.name, x.name, state), false
				}
			case x.up && (!known || !live[state]):
				return fmt.Sprintf("%s holds %s, which runs and is reached, for %q", p.name, x.name, state), true
			case !x.up && live[state]:
				return fmt.Sprintf("%s holds %s, which does not run, for %q", p.name, x.name, state), false
			}
		}
	}
	return "", false
}

// groups are the members that reach each other, if need be through others.
func (q *squad) groups() []int {
	g := make([]int, len(q.peers))
	for i := range g {
		g[i] = i
	}
	for range g {
		for i, a := range q.peers {
			for j, b := range q.peers {
				if a.up && b.up && !a.paused && !b.paused && q.links.meets(i, j) {
					g[i], g[j] = min(g[i], g[j]), min(g[i], g[j])
				}
			}
		}
	}
	return g
}

// waitSettled waits for the last thing that happened to be over.
func (q *squad) waitSettled(stop <-chan struct{}) {
	for {
		q.mu.Lock()
		waiting := q.waiting
		q.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(pollEvery):
		}
	}
}

const (
	returnLook  = 12 * time.Second // after which a worker that is back must have been sent something by the members
	returnSends = 20               // that are to be expected from a member in that time, or nothing is said
	returnMost  = 1                // members that may have sent nothing all the same: a choice by response times leaves one aside at times
)

// returned looks whether a worker that is in service again is used by those members whose discovery was late with its drain, so that they had a
// peer's word of it, once it has told that the worker is back. That word must not outlast this.
func (q *squad) returned(id string, stop <-chan struct{}) {
	at := time.Now()
	told := at // by the last discovery
	for _, p := range q.peers {
		if late := p.roster.lateUntil(); late.After(told) {
			told = late
		}
	}
	select {
	case <-stop:
		return
	case <-time.After(time.Until(told.Add(returnLook))):
	}
	if q.s.Rate*returnLook.Seconds()/float64(len(q.peers)*len(q.f.workers)) < returnSends {
		return
	}
	for _, w := range q.f.workers {
		if w.ID != id {
			continue
		}
		heard, back := w.since()
		if back.After(at) {
			return // it drained and came back once more
		}
		q.mu.Lock()
		var none []string
		for _, p := range q.peers {
			if !p.up || p.paused || p.since.After(at) || p.down.After(at) || !p.roster.lateUntil().After(q.drains[id]) {
				continue
			}
			q.out.Back = append(q.out.Back, heard[p.addr])
			if heard[p.addr] == 0 {
				none = append(none, p.name)
			}
		}
		if len(none) > returnMost {
			q.broken("%v sent nothing to %s in the %v after their discoveries told that it is back", none, id, returnLook)
		}
		q.mu.Unlock()
	}
}

// judge adds the fleet's promises to the run's.
func (q *squad) judge(ctx context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.links.mu.Lock()
	q.out.Sent, q.out.Lost = q.links.sent, q.links.lost
	q.links.mu.Unlock()
	q.out.Members = len(q.peers)
	q.r.Fleet = &q.out
	none := func(name string, got float64) {
		q.r.Promises = append(q.r.Promises, Promise{name, got <= 0, got, 0})
		q.r.OK = q.r.OK && got <= 0
	}
	none("promises of the view broken", float64(len(q.out.Broken)))
	if q.s.Promises.Strict {
		none("looks that showed a live member as failed", float64(q.out.False))
	}
	if q.s.Audit {
		q.audit(none)
	}
	unplayed := 0.0
	if ctx.Err() != nil || q.out.Views == 0 {
		unplayed = 1 // danger: what was not looked at can't have gone wrong
	}
	none("runs cut short", unplayed)
}
