package delivery

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Processing of worker lists.

// SetWorkers applies a list of all workers. No further requests are sent to workers that are draining or no longer listed.
func (e *Engine) SetWorkers(workers []*rpc.Worker) {
	e.doAndNotifyAsync(func(now time.Duration) {
		if e.closed {
			return
		}
		e.workers = workers
		for _, t := range e.targets {
			t.misdirected = false
		}
		e.applyWorkers(now)
	})
}

// applyWorkers applies the newest list to the configured services.
func (e *Engine) applyWorkers(now time.Duration) {
	listed := make(map[string]bool, len(e.workers))
	for _, w := range e.workers {
		if s := e.services[w.Service]; s != nil && s.endpoint == nil {
			listed[w.Id] = true
			e.applyWorker(now, s, w)
		}
	}
	for key, t := range e.targets {
		if t.id != "" && !listed[key] {
			e.retireTarget(t)
		}
	}
	e.sendWorkerLists(now)
}

// applyWorker applies one entry of a worker list.
func (e *Engine) applyWorker(now time.Duration, s *service, w *rpc.Worker) {
	t := e.targets[w.Id]
	if t != nil && (t.service != s || t.address != w.Address) {
		e.retireTarget(t)
		t = nil
	}
	if t == nil {
		t = &target{key: w.Id, id: w.Id, address: w.Address, service: s}
		if cold := min(time.Duration(w.ColdMs)*time.Millisecond, maxColdDuration); cold > 0 {
			t.coldUntil = now + cold
			e.warmUpSeconds = max(e.warmUpSeconds, cold.Seconds())
		}
		e.targets[w.Id] = t
	}
	t.update(w)
	if !t.ready {
		t.closeIdleConns(anyConn)
	}
}

// sendWorkerLists sends each route's worker list to its decision module.
func (e *Engine) sendWorkerLists(now time.Duration) {
	for _, r := range e.routes {
		r.sendWorkerList(now)
	}
}

// listedWorkers returns the workers of a service.
func (e *Engine) listedWorkers(s *service) []*target {
	var listedWorkers []*target
	for _, t := range e.targets {
		if t.service == s && t.id != "" {
			listedWorkers = append(listedWorkers, t)
		}
	}
	return listedWorkers
}

// SetDispatchers sets the number of processes that deliver to the same workers. Connection limits and the load for cold workers
// are divided by it.
func (e *Engine) SetDispatchers(n int) {
	e.doAndNotifyAsync(func(time.Duration) {
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
