package delivery

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// newVirtualTimeEngine has an engine on a clock that only jobs advance: each takes the given time at its worker.
func newVirtualTimeEngine(t *testing.T, took time.Duration, count int) (*Engine, []*fakeWorker) {
	var clock atomic.Int64
	var workers []*fakeWorker
	for range count {
		workers = append(workers, startFakeWorker(t, func(c net.Conn, r *http.Request) {
			clock.Add(int64(took))
			succeed(c, r)
		}))
	}
	e := New(Options{Zone: "a", Now: func() time.Duration { return time.Duration(clock.Load()) }})
	t.Cleanup(e.Close)
	e.SetCatalog(1, testConfig())
	return e, workers
}

// deliver delivers jobs, some at a time: with a single one in flight the module takes the fastest worker for each.
func deliver(t *testing.T, e *Engine, jobs int) {
	var under []<-chan Outcome
	for range jobs {
		if len(under) == 10 {
			must.Eq(t, Succeeded, await(t, under[0]).Kind)
			under = under[1:]
		}
		under = append(under, submit(e, newJob()))
	}
	for _, o := range under {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
}

// A worker that has just started gets less than the others, and its part once it is warm.
func TestColdWorkerGetsLess(t *testing.T) {
	e, workers := newVirtualTimeEngine(t, 10*time.Millisecond, 5)
	e.SetWorkers(workerList(workers[:4]...))
	deliver(t, e, 12000) // 2 minutes: until the module has seen its first medians, it takes jobs for longer than they are

	list := workerList(workers...)
	cold := list[4]
	cold.ColdMs = 4000
	e.SetWorkers(list)
	deliver(t, e, 200) // 2 s
	gotCold := workers[4].requests.Load()
	cold.ColdMs = 0
	deliver(t, e, 300) // 3 s
	e.SetWorkers(list)
	before := workers[4].requests.Load()
	deliver(t, e, 1000)
	gotWarm := workers[4].requests.Load() - before
	t.Logf("cold worker: %d of 200, warm: %d of 1000", gotCold, gotWarm)
	must.Less(t, 200/5*3/4, gotCold)
	must.Between(t, 1000/5/2, gotWarm, 1000/5*2)
}

// Where all workers have just started, they are used all the same.
func TestAllCold(t *testing.T) {
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
