package delivery

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
)

func TestGuardPreventsSend(t *testing.T) {
	worker := startFakeWorker(t, succeed)
	e := startEngine(t, testConfig(), worker)
	outcomes := make(chan Outcome, 2)
	e.Submit(newJob(), func() bool { return false }, func(o Outcome) { outcomes <- o })
	must.Eq(t, NotRun, await(t, outcomes).Kind)
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 1, worker.requests.Load()) // of the second job, on the same connection
	must.Eq(t, 1, worker.connections.Load())
}

func TestConnectionsAreReused(t *testing.T) {
	worker := startFakeWorker(t, succeed)
	e := startEngine(t, testConfig(), worker)
	for range 20 {
		must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	}
	must.Eq(t, 1, worker.connections.Load())
}

func TestKeepAliveTimeout(t *testing.T) {
	const fallback = 3 * time.Second
	must.Eq(t, 4*time.Second, keepAliveTimeout("timeout=5, max=100", fallback))
	must.Eq(t, 400*time.Millisecond, keepAliveTimeout("max=2,timeout=0.5", fallback))
	for _, field := range []string{"", "max=5", "timeout=x", "timeout=-1", "timeout=1e30", "timeout=NaN"} {
		must.Eq(t, fallback, keepAliveTimeout(field, fallback))
	}
}

func TestConnectionClosedWhileIdle(t *testing.T) {
	closed := make(chan struct{}, 1)
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		succeed(c, r)
		_ = c.Close()
		closed <- struct{}{}
	})
	e := startEngine(t, testConfig(), worker)
	for range 10 {
		must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
		<-closed // loopback delivers the FIN at once
	}
	must.Eq(t, 10, worker.connections.Load())
}

// A duplicate response must not be taken for the response to the next request, whether it arrives before that is sent or after.
func TestDuplicateResponse(t *testing.T) {
	t.Run("before the next request", func(t *testing.T) {
		worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
			text := responseText(r.Header.Get(headerRequestID), 200, headerStamp+": "+r.Header.Get(headerRequestID))
			_, _ = c.Write([]byte(text + text))
		})
		e := startEngine(t, testConfig(), worker)
		for range 10 {
			job := newJob()
			must.Eq(t, Outcome{Kind: Succeeded, Stamp: job.RequestID}, await(t, submit(e, job)))
		}
	})
	t.Run("with the next request", func(t *testing.T) {
		var lastID atomic.Value
		worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
			id := r.Header.Get(headerRequestID)
			if previous, ok := lastID.Swap(id).(string); ok {
				writeResponseFor(c, previous, 200, headerStamp+": "+previous)
			}
			writeResponse(c, r, 200, headerStamp+": "+id)
		})
		e := startEngine(t, testConfig(), worker)
		first, second := newJob(), newJob()
		must.Eq(t, Outcome{Kind: Succeeded, Stamp: first.RequestID}, await(t, submit(e, first)))
		must.Eq(t, Outcome{Kind: Succeeded, Stamp: second.RequestID}, await(t, submit(e, second)))
		must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind) // on a new connection, whose first response has an unknown id
		must.Eq(t, 2, worker.connections.Load())
	})
}

// A failed message is retried on another connection, so that a late duplicate of the first response can't be taken for the
// second.
func TestRetryAvoidsConnectionOfFailure(t *testing.T) {
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 500) })
	e := startEngine(t, testConfig(), worker)
	job := newJob()
	must.Eq(t, FailedAttempt, await(t, submit(e, job)).Kind)
	must.Eq(t, FailedAttempt, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 1, worker.connections.Load())
	must.Eq(t, FailedAttempt, await(t, submit(e, job)).Kind)
	must.Eq(t, 2, worker.connections.Load())
}

func TestTriesOtherWorkerIfNothingRan(t *testing.T) {
	rejections := map[string]func(net.Conn, *http.Request){
		"full":        func(c net.Conn, r *http.Request) { writeResponse(c, r, 503, "X-Not-Executed: 1") },
		"misdirected": func(c net.Conn, r *http.Request) { writeResponse(c, r, 421) },
	}
	for name, respond := range rejections {
		t.Run(name, func(t *testing.T) {
			e := startEngine(t, testConfig(), startFakeWorker(t, respond), startFakeWorker(t, succeed))
			for range 20 {
				must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
			}
		})
	}
	t.Run("down", func(t *testing.T) {
		gone := startFakeWorker(t, succeed)
		gone.close()
		e := startEngine(t, testConfig(), gone, startFakeWorker(t, succeed))
		for range 20 {
			must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
		}
	})
}

func TestMisdirectedWorkerExcludedUntilNextList(t *testing.T) {
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 421) })
	e := startEngine(t, testConfig(), worker)
	for range 3 {
		must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	}
	must.Eq(t, 1, worker.requests.Load())
	e.SetWorkers(workerList(worker))
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 2, worker.requests.Load())
}

// No request is sent to a worker after a list that shows it as draining or no longer contains it.
func TestDrainStopsAtOnce(t *testing.T) {
	leaving, staying := startFakeWorker(t, succeed), startFakeWorker(t, succeed)
	e := startEngine(t, testConfig(), leaving, staying)
	var outcomes []<-chan Outcome
	for range 50 {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	list := workerList(leaving, staying)
	list[0].Draining = true
	e.SetWorkers(list)
	for _, o := range outcomes {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
	before := leaving.requests.Load()
	for range 50 {
		must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	}
	e.SetWorkers(list[1:])
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	must.Eq(t, before, leaving.requests.Load())
}

// No request is written to a worker that began to drain while a connection to it was being opened, or just before the write.
func TestDrainBeforeWrite(t *testing.T) {
	worker := startFakeWorker(t, succeed)
	e := startEngine(t, testConfig(), worker)
	a := &attempt{target: e.targets["i-0"], delivery: &delivery{route: &route{}}}
	must.True(t, e.maySend(a))
	list := workerList(worker)
	list[0].Draining = true
	e.SetWorkers(list)
	must.False(t, e.maySend(a))
}

func TestRouteWithoutWorkers(t *testing.T) {
	e := startEngine(t, testConfig())
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	worker := startFakeWorker(t, succeed)
	e.SetWorkers(workerList(worker))
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
}

func TestConfigurationMovesRoute(t *testing.T) {
	worker, moved := startFakeWorker(t, succeed), startFakeWorker(t, succeed)
	e := startEngine(t, testConfig(), worker)
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)

	config := testConfig()
	config.Version = 2
	config.Services = append(config.Services, catalog.Service{Name: "s-2", MaxConns: 10})
	config.Routes[0].Service = "s-2"
	list := workerList(worker, moved)
	list[1].Service = "s-2"
	e.SetWorkers(list)
	e.SetCatalog(config.Version, config)
	e.SetCatalog(1, testConfig()) // an older version is ignored
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 1, worker.requests.Load())
	must.Eq(t, 1, moved.requests.Load())

	e.SetCatalog(3, &catalog.Config{Version: 3})
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	must.MapEmpty(t, e.routes)
	must.MapEmpty(t, e.targets)
	must.Eq(t, 0, e.openConns)
}

// A job whose path gets a route of its own while it waits must not reach the service of the shorter prefix: ROUTE and CONFIG.
func TestWaitingJobIsWithdrawnWhenItsPathGetsAnotherRoute(t *testing.T) {
	const retryAfter = time.Hour
	worker := startFakeWorker(t, succeed)
	config := testConfig()
	config.Routes[0].Type = catalog.RouteTypeAsync
	e := startEngine(t, config, worker)
	e.doAndNotify(func(now time.Duration) { e.services[testService].pausedUntil = now + retryAfter })
	moved, kept := newJob(), newJob()
	kept.Path = "/other"
	movedOutcome, keptOutcome := submit(e, moved), submit(e, kept)

	next := testConfig()
	next.Version = 2
	next.Routes[0].Type = catalog.RouteTypeAsync
	next.Routes = append(next.Routes, catalog.Route{Name: "r-2", Type: catalog.RouteTypeAsync, Hostname: "h.example", PathPrefix: "/p", Service: testService})
	e.SetCatalog(next.Version, next)
	must.Eq(t, NotRun, await(t, movedOutcome).Kind)
	e.doAndNotify(func(now time.Duration) {
		e.services[testService].pausedUntil = now
		e.services[testService].releaseReady(now)
	})
	must.Eq(t, Succeeded, await(t, keptOutcome).Kind)
	must.Eq(t, 1, worker.requests.Load())
}

// Nothing is written for a job whose route changed while a connection was being opened for it.
func TestRouteChangeBeforeWrite(t *testing.T) {
	worker := startFakeWorker(t, succeed)
	config := testConfig()
	config.Routes[0].Type = catalog.RouteTypeAsync
	e := startEngine(t, config, worker)
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	r := e.routes[testRoute]
	d := &delivery{id: "d", job: newJob(), route: r, inProgress: true}
	r.deliveries[d.id] = d
	a := &attempt{target: e.targets["i-0"], delivery: d}
	must.True(t, e.maySend(a))
	next := testConfig()
	next.Version = 2
	next.Routes[0].Type = catalog.RouteTypeAsync
	next.Routes = append(next.Routes, catalog.Route{Name: "r-2", Type: catalog.RouteTypeAsync, Hostname: "h.example", PathPrefix: "/p", Service: testService})
	e.SetCatalog(next.Version, next)
	must.False(t, e.maySend(a))
}

func TestConnectionLimit(t *testing.T) {
	var concurrent, maxConcurrent atomic.Int64
	release := make(chan struct{})
	worker := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		if n := concurrent.Add(1); n > maxConcurrent.Load() {
			maxConcurrent.Store(n)
		}
		<-release
		concurrent.Add(-1)
		succeed(c, r)
	})
	config := testConfig()
	config.Services[0].MaxConns = 12 // 0.9 of which, divided by 2 processes, are 5
	config.Routes[0].TimeoutMs = 10000
	e := startEngine(t, config, worker)
	e.SetDispatchers(2)
	var outcomes []<-chan Outcome
	for range 30 {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	must.Eq(t, NotRun, await(t, outcomes[len(outcomes)-1]).Kind) // after maxQueueWait
	close(release)
	kinds := map[OutcomeKind]int{}
	for _, o := range outcomes[:len(outcomes)-1] {
		kinds[await(t, o).Kind]++
	}
	must.Eq(t, 5, maxConcurrent.Load())
	must.Eq(t, 5, worker.connections.Load())
	must.GreaterEq(t, 5, kinds[Succeeded])
	must.Eq(t, 29, kinds[Succeeded]+kinds[NotRun])
}

func TestCloseEndsAll(t *testing.T) {
	arrived := make(chan struct{}, 1)
	worker := startFakeWorker(t, func(net.Conn, *http.Request) { arrived <- struct{}{} })
	config := testConfig()
	config.Routes[0].TimeoutMs = 60000
	e := startEngine(t, config, worker)
	running := submit(e, newJob())
	<-arrived
	e.Close()
	must.Eq(t, Unknown, await(t, running).Kind)
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	must.Eq(t, 1, worker.requests.Load())
}

// Under random load and random responses, with changing worker lists and configurations, each job ends exactly once and all
// connections and slots are released.
func TestRandomLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	respond := func(c net.Conn, r *http.Request) {
		mu.Lock()
		pick := random.IntN(20)
		misdirected := random.IntN(100) == 0
		mu.Unlock()
		if misdirected {
			writeResponse(c, r, 421)
			return
		}
		switch pick {
		case 0:
			writeResponse(c, r, 500)
		case 1:
			writeResponse(c, r, 422)
		case 2, 3, 4:
			writeResponse(c, r, 503, "X-Not-Executed: 1")
		case 5:
			resetConn(c)
		case 6:
			writeTruncated(c, responseText(r.Header.Get(headerRequestID), 200, headerStamp+": s"))
		case 7:
			succeed(c, r)
			_ = c.Close()
		default:
			succeed(c, r)
		}
	}
	var workers []*fakeWorker
	for range 6 {
		workers = append(workers, startFakeWorker(t, respond))
	}
	e := startEngine(t, testConfig(), workers...)
	const jobs = 2000
	var callbackCounts [jobs]atomic.Int64
	var kinds [NotRun + 1]atomic.Int64
	var wait sync.WaitGroup
	slots := make(chan struct{}, 40)
	for i := range jobs {
		slots <- struct{}{}
		wait.Add(1)
		e.Submit(newJob(), func() bool { return i%50 != 0 }, func(o Outcome) {
			callbackCounts[i].Add(1)
			kinds[o.Kind].Add(1)
			<-slots
			wait.Done()
		})
		if i%100 == 99 {
			list := workerList(workers...)
			list[i/100%len(list)].Draining = true
			e.SetWorkers(list)
			config := testConfig()
			config.Version = uint64(i)
			config.Routes[0].TimeoutMs = 300 + float64(i)
			e.SetCatalog(config.Version, config)
			e.SetDispatchers(1 + i/100%3)
		}
	}
	wait.Wait()
	for i := range callbackCounts {
		must.Eq(t, 1, callbackCounts[i].Load(), must.Sprint(fmt.Sprintf("job %d", i)))
	}
	must.Greater(t, jobs/4, kinds[Succeeded].Load())
	e.Close()
	e.doAndNotify(func(time.Duration) {
		must.Eq(t, 0, e.openConns)
		must.MapEmpty(t, e.attempts)
		for _, s := range e.services {
			must.Eq(t, 0, s.inFlight)
			must.Eq(t, 0, s.queue.len())
		}
		must.Eq(t, 0, e.invariantViolations)
	})
}

// slowWorker responds after a pause, and measures how long each response took, since work on all cores stretches the pause.
type slowWorker struct {
	*fakeWorker
	pause    time.Duration
	occupied atomic.Int64 // nanoseconds, summed over all requests
}

func startSlowWorker(t *testing.T, pause time.Duration) *slowWorker {
	worker := &slowWorker{pause: pause}
	worker.fakeWorker = startFakeWorker(t, worker.respond)
	return worker
}

func (w *slowWorker) respond(c net.Conn, r *http.Request) {
	begin := time.Now()
	done := make(chan struct{})
	time.AfterFunc(w.pause, func() {
		succeed(c, r)
		close(done)
	})
	<-done
	w.occupied.Add(int64(time.Since(begin)))
}

// responseTime returns the mean measured response time in nanoseconds.
func (w *slowWorker) responseTime() float64 {
	return float64(w.occupied.Load()) / float64(w.requests.Load())
}

// Of two workers, the faster one has more requests in flight, in inverse proportion to the response times.
func TestSharesFollowInverseResponseTime(t *testing.T) {
	const fast, slow, inFlight, jobs = 40 * time.Millisecond, 160 * time.Millisecond, 10, 600
	first, second := startSlowWorker(t, fast), startSlowWorker(t, slow)
	e := startEngine(t, testConfig(), first.fakeWorker, second.fakeWorker)
	slots := make(chan struct{}, inFlight)
	for range jobs {
		slots <- struct{}{}
		e.Submit(newJob(), allow, func(Outcome) { <-slots })
	}
	for range inFlight {
		slots <- struct{}{} // all have ended
	}
	// The requests in flight, on average, are in proportion to the time for which requests occupied each worker.
	ratio := float64(first.occupied.Load()) / float64(second.occupied.Load())
	want := second.responseTime() / first.responseTime()
	must.Between(t, want/2, ratio, want*2)
}
