package delivery

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newVirtualTimeEngine returns an engine on a clock that only jobs advance: each takes serviceTime at its worker.
func newVirtualTimeEngine(t *testing.T, serviceTime time.Duration, count int) (*Engine, []*fakeWorker) {
	var clock atomic.Int64
	var workers []*fakeWorker
	for range count {
		workers = append(workers, startFakeWorker(t, func(c net.Conn, r *http.Request) {
			clock.Add(int64(serviceTime))
			succeed(c, r)
		}))
	}
	e := New(Options{Zone: "a", Now: func() time.Duration { return time.Duration(clock.Load()) }})
	t.Cleanup(e.Close)
	e.SetCatalog(1, testConfig())
	return e, workers
}

// deliver delivers jobs, ten at a time: with only one in flight the decision module would choose the fastest worker for each.
func deliver(t *testing.T, e *Engine, jobs int) {
	var pending []<-chan Outcome
	for range jobs {
		if len(pending) == 10 {
			must.Eq(t, Succeeded, await(t, pending[0]).Kind)
			pending = pending[1:]
		}
		pending = append(pending, submit(e, newJob()))
	}
	for _, o := range pending {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
}

// A cold worker gets less load than the others, and about an equal share once it is warm.
func TestColdWorkerGetsLessLoad(t *testing.T) {
	e, workers := newVirtualTimeEngine(t, 10*time.Millisecond, 5)
	e.SetWorkers(workerList(workers[:4]...))
	deliver(t, e, 12000) // 2 minutes: the module overestimates the duration of jobs until it has its first medians

	list := workerList(workers...)
	cold := list[4]
	cold.ColdMs = 4000
	e.SetWorkers(list)
	deliver(t, e, 200) // 2 s
	coldRequests := workers[4].requests.Load()
	cold.ColdMs = 0
	deliver(t, e, 300) // 3 s
	e.SetWorkers(list)
	before := workers[4].requests.Load()
	deliver(t, e, 1000)
	warmRequests := workers[4].requests.Load() - before
	t.Logf("cold worker: %d of 200, warm: %d of 1000", coldRequests, warmRequests)
	must.Less(t, 200/5*3/4, coldRequests)
	must.Between(t, 1000/5/2, warmRequests, 1000/5*2)
}

// If all workers are cold, all of them still get load.
func TestAllWorkersCold(t *testing.T) {
	e, workers := newVirtualTimeEngine(t, 10*time.Millisecond, 3)
	list := workerList(workers...)
	for _, w := range list {
		w.ColdMs = 5000
	}
	e.SetWorkers(list)
	deliver(t, e, 100)
	e.SetWorkers(list)
	deliver(t, e, 100)
	for _, w := range workers {
		must.Greater(t, 200/3/3, w.requests.Load())
	}
}
