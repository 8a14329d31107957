package delivery

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
)

// staticConfig leads two routes of different priority to one endpoint.
func staticConfig(address string, ratePerS float64) *catalog.Config {
	return &catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: testRoute, TimeoutMs: 300, Priority: 2, Service: testService},
			{Name: "urgent", TimeoutMs: 300, Priority: 0, Service: testService},
		},
		Services: []catalog.Service{{Name: testService, MaxConns: 24, RatePerS: ratePerS, StaticEndpoint: &address}},
	}
}

func TestEndpointIsNotNamed(t *testing.T) {
	named := make(chan bool, 1)
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		_, ok := r.Header[headerExpectInstance]
		named <- ok
		succeed(c, r)
	})
	e := startEngine(t, staticConfig(endpoint.address(), 0))
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	must.False(t, <-named)
}

// Failures of messages never bar the only endpoint.
func TestEndpointStaysInUse(t *testing.T) {
	var number atomic.Int64
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		calls := number.Add(1)
		switch {
		case calls <= 20:
			writeResponse(c, r, 500)
		case calls <= 25:
			resetConn(c)
		default:
			succeed(c, r)
		}
	})
	e := startEngine(t, staticConfig(endpoint.address(), 0))
	for range 20 {
		must.Eq(t, FailedAttempt, await(t, submit(e, newJob())).Kind)
	}
	for range 5 {
		must.Eq(t, Unknown, await(t, submit(e, newJob())).Kind)
	}
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
}

func TestRateIsKeptInOrderOfPriority(t *testing.T) {
	const rate, each = 100.0, 40
	var mu sync.Mutex
	var arrivals []time.Duration
	var urgent []bool
	start := time.Now()
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Since(start))
		urgent = append(urgent, r.Header.Get(headerOrderKey) == "urgent")
		mu.Unlock()
		succeed(c, r)
	})
	e := startEngine(t, staticConfig(endpoint.address(), rate))
	e.SetDispatchers(7) // the rate is not divided
	var outcomes []<-chan Outcome
	for range each {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	for range each {
		job := newJob()
		job.Route, job.OrderKey = "urgent", "urgent"
		outcomes = append(outcomes, submit(e, job))
	}
	for _, o := range outcomes {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
	mu.Lock()
	defer mu.Unlock()
	const overrun, slack = 1.1, 5.0 // as the ceiling is judged
	assertCeiling(t, arrivals, rate*overrun, slack)
	early := 0
	for _, ok := range urgent[:each] {
		if ok {
			early++
		}
	}
	must.GreaterEq(t, each-4, early) // some of the others had passed before they came
}

func TestOverRatePause(t *testing.T) {
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 429, "X-Not-Executed: 1") })
	e := startEngine(t, staticConfig(endpoint.address(), 1000))
	begin := time.Now()
	for range 3 {
		must.Eq(t, Outcome{Kind: NotRun, RetryAfter: rateLimitBackoff}, await(t, submit(e, newJob())))
	}
	must.GreaterEq(t, 2*rateLimitBackoff, time.Since(begin))
	must.Eq(t, 3, endpoint.requests.Load())
}

// While the endpoint is down it is probed by one job at a time, less and less often, and used fully again from its first answer.
func TestEndpointDownAndBack(t *testing.T) {
	endpoint := startFakeWorker(t, succeed)
	address := endpoint.address()
	endpoint.close()
	e := startEngine(t, staticConfig(address, 0))
	must.Eq(t, Outcome{Kind: NotRun, RetryAfter: downBackoffInitial}, await(t, submit(e, newJob())))
	must.Eq(t, Outcome{Kind: NotRun, RetryAfter: 2 * downBackoffInitial}, await(t, submit(e, newJob())))
	var waiting []<-chan Outcome
	for range 30 {
		waiting = append(waiting, submit(e, newJob()))
	}
	listener, err := net.Listen("tcp4", address)
	must.NoError(t, err)
	back := &fakeWorker{listener: listener, behave: succeed}
	go back.serve()
	t.Cleanup(back.close)
	for _, o := range waiting {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
}

func TestQueueIsBounded(t *testing.T) {
	endpoint := startFakeWorker(t, succeed)
	e := startEngine(t, staticConfig(endpoint.address(), 1)) // the first may pass after a second
	var outcomes []<-chan Outcome
	for range maxQueueLength {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	job := newJob()
	job.Route = "urgent" // takes the place of the last of the others
	urgent := submit(e, job)
	must.Eq(t, NotRun, await(t, outcomes[maxQueueLength-1]).Kind)
	must.Eq(t, Succeeded, await(t, urgent).Kind)
	notRun := 0
	for _, o := range outcomes[:maxQueueLength-1] {
		if await(t, o).Kind == NotRun { // they waited for too long
			notRun++
		}
	}
	must.GreaterEq(t, maxQueueLength-3, notRun)
}
