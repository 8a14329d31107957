package delivery

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// The list of workers, as the engine takes it.

// SetWorkers takes the list of all workers. Nothing new is sent to one that drains or is not listed any more.
func (e *Engine) SetWorkers(workers []*rpc.Worker) {
	e.lockedAside(func(now time.Duration) {
		if e.closed {
			return
		}
		e.workers = workers
		for _, t := range e.targets {
			t.misdirected = false
		}
		e.setWorkers(now)
	})
}

// setWorkers applies the newest list to the services there are.
func (e *Engine) setWorkers(now time.Duration) {
	listed := make(map[string]bool, len(e.workers))
	for _, w := range e.workers {
		if l := e.lanes[w.Service]; l != nil && l.endpoint == nil {
			listed[w.Id] = true
			e.setWorker(now, l, w)
		}
	}
	for key, t := range e.targets {
		if t.id != "" && !listed[key] {
			e.retire(t)
		}
	}
	e.relist(now)
}

// setWorker enters one worker of a list.
func (e *Engine) setWorker(now time.Duration, l *lane, w *rpc.Worker) {
	t := e.targets[w.Id]
	if t != nil && (t.lane != l || t.address != w.Address) {
		e.retire(t)
		t = nil
	}
	if t == nil {
		t = &target{key: w.Id, id: w.Id, address: w.Address, lane: l}
		if cold := min(time.Duration(w.ColdMs)*time.Millisecond, longestCold); cold > 0 {
			t.coldTo = now + cold
			e.warmWithin = max(e.warmWithin, cold.Seconds())
		}
		e.targets[w.Id] = t
	}
	t.update(w)
	if !t.ready {
		t.closeIdle(always)
	}
}

// relist tells all instances of the module which workers there are.
func (e *Engine) relist(now time.Duration) {
	for _, r := range e.routes {
		r.list(now)
	}
}

// listed returns the workers of a service.
func (e *Engine) listed(l *lane) []*target {
	var listed []*target
	for _, t := range e.targets {
		if t.lane == l && t.id != "" {
			listed = append(listed, t)
		}
	}
	return listed
}

// SetDispatchers says how many processes deliver: limits of connections and what cold workers may be sent are divided by it.
func (e *Engine) SetDispatchers(n int) {
	e.lockedAside(func(time.Duration) {
		n = max(n, 1)
		if n == e.dispatchers {
			return
		}
		e.dispatchers = n
		for _, r := range e.routes {
			r.decider.SetDispatchers(n)
		}
	})
}
