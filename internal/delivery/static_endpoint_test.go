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

// staticConfig has two routes of different priority to one static endpoint.
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

func TestStaticEndpointGetsNoExpectInstance(t *testing.T) {
	gotHeader := make(chan bool, 1)
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) {
		_, ok := r.Header[headerExpectInstance]
		gotHeader <- ok
		succeed(c, r)
	})
	e := startEngine(t, staticConfig(endpoint.address(), 0))
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
	must.False(t, <-gotHeader)
}

// Failed messages and connections never exclude a static endpoint, because there is no alternative to it.
func TestStaticEndpointIsNeverExcluded(t *testing.T) {
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

func TestRateLimitInOrderOfPriority(t *testing.T) {
	const rate, jobsPerRoute = 100.0, 40
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
	e.SetDispatchers(7) // the rate is not divided by the number of processes
	var outcomes []<-chan Outcome
	for range jobsPerRoute {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	for range jobsPerRoute {
		job := newJob()
		job.Route, job.OrderKey = "urgent", "urgent"
		outcomes = append(outcomes, submit(e, job))
	}
	for _, o := range outcomes {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
	mu.Lock()
	defer mu.Unlock()
	const tolerance, burst = 1.1, 5.0 // as in the acceptance check of the rate limit
	assertRate(t, arrivals, rate*tolerance, burst)
	urgentFirst := 0
	for _, ok := range urgent[:jobsPerRoute] {
		if ok {
			urgentFirst++
		}
	}
	must.GreaterEq(t, jobsPerRoute-4, urgentFirst) // some of the others were sent before the urgent ones were submitted
}

func TestRateLimitBackoff(t *testing.T) {
	endpoint := startFakeWorker(t, func(c net.Conn, r *http.Request) { writeResponse(c, r, 429, "X-Not-Executed: 1") })
	e := startEngine(t, staticConfig(endpoint.address(), 1000))
	begin := time.Now()
	for range 3 {
		must.Eq(t, Outcome{Kind: NotRun, RetryAfter: rateLimitBackoff}, await(t, submit(e, newJob())))
	}
	must.GreaterEq(t, 2*rateLimitBackoff, time.Since(begin))
	must.Eq(t, 3, endpoint.requests.Load())
}

// While the endpoint is down it is probed by one job at a time, with a growing backoff. From its first response on it is used
// without restriction.
func TestStaticEndpointRecovers(t *testing.T) {
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
	restarted := &fakeWorker{listener: listener, respond: succeed}
	go restarted.serve()
	t.Cleanup(restarted.close)
	for _, o := range waiting {
		must.Eq(t, Succeeded, await(t, o).Kind)
	}
	must.Eq(t, Succeeded, await(t, submit(e, newJob())).Kind)
}

func TestQueueIsBounded(t *testing.T) {
	endpoint := startFakeWorker(t, succeed)
	e := startEngine(t, staticConfig(endpoint.address(), 1)) // the first job may pass after 1 s
	var outcomes []<-chan Outcome
	for range maxQueueLength {
		outcomes = append(outcomes, submit(e, newJob()))
	}
	must.Eq(t, NotRun, await(t, submit(e, newJob())).Kind)
	job := newJob()
	job.Route = "urgent" // displaces the last of the other jobs
	urgent := submit(e, job)
	must.Eq(t, NotRun, await(t, outcomes[maxQueueLength-1]).Kind)
	must.Eq(t, Succeeded, await(t, urgent).Kind)
	notRun := 0
	for _, o := range outcomes[:maxQueueLength-1] {
		if await(t, o).Kind == NotRun { // waited longer than maxQueueWait
			notRun++
		}
	}
	must.GreaterEq(t, maxQueueLength-3, notRun)
}
