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

const ratedRate = 200.0

// testOwnership is the ownership of the rates of several engines in one process: one of them owns all rates.
type testOwnership struct {
	deployment *ratedDeployment
	index      int
}

// Epoch implements RateOwnership.
func (o testOwnership) Epoch(string) uint64 {
	if owner := o.deployment.owner.Load(); int(owner.index) == o.index {
		return owner.epoch
	}
	return 0
}

// RequestPermits implements RateOwnership.
func (o testOwnership) RequestPermits(service string, count int, done func(int, time.Duration)) {
	requester := o.deployment.engines[o.index]
	sent := requester.now()
	go o.deployment.engines[o.deployment.owner.Load().index].GrantPermits(service, count, func(granted int, waited time.Duration) {
		o.deployment.granted.Add(int64(granted))
		done(granted, sent+waited+PermitValidity)
	})
}

type rateOwner struct {
	index int
	epoch uint64
}

// ratedDeployment is several engines that deliver to one endpoint with a limited rate.
type ratedDeployment struct {
	engines []*Engine
	owner   atomic.Pointer[rateOwner]
	granted atomic.Int64
	config  *catalog.Config

	mutex    sync.Mutex
	arrivals []time.Duration
}

func newRatedDeployment(t *testing.T, count int) *ratedDeployment {
	d := &ratedDeployment{config: testConfig()}
	d.owner.Store(&rateOwner{index: 0, epoch: 1})
	start := time.Now()
	worker := startFakeWorker(t, func(conn net.Conn, request *http.Request) {
		d.mutex.Lock()
		d.arrivals = append(d.arrivals, time.Since(start))
		d.mutex.Unlock()
		succeed(conn, request)
	})
	address := worker.address()
	d.config.Services[0].StaticEndpoint, d.config.Services[0].RatePerS = &address, ratedRate
	for i := range count {
		e := New(Options{Zone: "a", Rates: testOwnership{deployment: d, index: i}})
		d.engines = append(d.engines, e)
		t.Cleanup(e.Close)
	}
	d.apply()
	return d
}

// apply puts the configuration in force at all engines.
func (d *ratedDeployment) apply() {
	for _, e := range d.engines {
		e.SetDispatchers(len(d.engines))
		config := *d.config
		e.SetCatalog(config.Version, &config)
	}
}

// run submits jobs at each engine and repeats those that did not run, until all have.
func (d *ratedDeployment) run(t *testing.T, jobsPerEngine int) {
	var jobs sync.WaitGroup
	for _, e := range d.engines {
		for range jobsPerEngine {
			jobs.Go(func() {
				job := newJob()
				for outcome := await(t, submit(e, job)); outcome.Kind != Succeeded; outcome = await(t, submit(e, job)) {
					time.Sleep(outcome.RetryAfter)
				}
			})
		}
	}
	jobs.Wait()
}

// assertCeiling checks every interval: the rate, two bursts (of an owner and its predecessor), and what permits may be late by.
func (d *ratedDeployment) assertCeiling(t *testing.T, rate float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	assertRate(t, d.arrivals, rate, 2*bucketBurst+rate*PermitValidity.Seconds())
}

// Messages of a service with a rate that wait at several processes, as after a change that led them there, together stay under the rate, and
// every process gets its part (review/bin/rig ceiling, CEILING).
func TestRateHoldsOverAllProcesses(t *testing.T) {
	d := newRatedDeployment(t, 4)
	d.run(t, 50)
	d.assertCeiling(t, ratedRate)
	must.GreaterEq(t, 150, d.granted.Load())
	must.Eq(t, 200, len(d.arrivals))
}

// The rate holds while its ownership moves between processes.
func TestRateHoldsWhileItsOwnerChanges(t *testing.T) {
	d := newRatedDeployment(t, 3)
	stop := make(chan struct{})
	var moving sync.WaitGroup
	moving.Go(func() {
		for epoch := uint64(2); ; epoch++ {
			select {
			case <-stop:
				return
			case <-time.After(120 * time.Millisecond):
				d.owner.Store(&rateOwner{index: int(epoch) % 3, epoch: epoch})
			}
		}
	})
	d.run(t, 60)
	close(stop)
	moving.Wait()
	d.assertCeiling(t, ratedRate)
}

// A service that gets a rate while jobs wait for it is sent nothing without a token.
func TestServiceThatGetsARateIsLimitedAtOnce(t *testing.T) {
	d := newRatedDeployment(t, 3)
	d.config.Services[0].RatePerS, d.config.Version = 0, 2
	d.apply()
	for _, e := range d.engines {
		e.doAndNotify(func(now time.Duration) { e.services[testService].pausedUntil = now + time.Hour })
	}
	var waiting []<-chan Outcome
	for _, e := range d.engines {
		for range 30 {
			waiting = append(waiting, submit(e, newJob()))
		}
	}
	d.config.Services[0].RatePerS, d.config.Version = ratedRate, 3
	d.apply()
	for _, e := range d.engines {
		e.doAndNotify(func(now time.Duration) {
			e.services[testService].pausedUntil = now
			e.services[testService].releaseReady(now)
		})
	}
	for _, outcome := range waiting {
		await(t, outcome)
	}
	d.assertCeiling(t, ratedRate)
}

// A permit that is used too late, or a token of an earlier ownership, permits nothing.
func TestOutdatedTokensPermitNothing(t *testing.T) {
	d := newRatedDeployment(t, 2)
	owner := d.engines[0]
	must.True(t, owner.mayWrite(testService, rateToken{epoch: 1}))
	must.True(t, owner.mayWrite(testService, rateToken{until: owner.now() + time.Hour}))
	must.False(t, owner.mayWrite(testService, rateToken{until: owner.now()}))
	must.False(t, owner.mayWrite(testService, rateToken{}))
	d.owner.Store(&rateOwner{index: 0, epoch: 2})
	must.False(t, owner.mayWrite(testService, rateToken{epoch: 1}))
}

// The ownership of a rate may end between the release of a delivery and its first byte: then nothing is written.
func TestNothingIsWrittenAfterTheRateWasLost(t *testing.T) {
	d := newRatedDeployment(t, 1)
	e := d.engines[0]
	endpoint := e.services[testService].endpoint
	connection, err := dial(endpoint.address)
	must.NoError(t, err)
	defer connection.close()
	released := &attempt{target: endpoint, rated: true, delivery: &delivery{job: newJob(), guard: allow, token: rateToken{epoch: 1}}}
	d.owner.Store(&rateOwner{index: 0, epoch: 2})
	must.Eq(t, failureGuard, e.roundTrip(released, connection).failure)
	must.SliceEmpty(t, d.arrivals)
}

// The bucket of a new ownership begins empty: its predecessor may just have spent a burst.
func TestBucketBeginsEmptyWithEachOwnership(t *testing.T) {
	d := newRatedDeployment(t, 1)
	d.engines[0].doAndNotify(func(now time.Duration) {
		limit := d.engines[0].services[testService].limit
		later := now + time.Hour
		_, ok, _ := limit.take(later)
		must.True(t, ok)
		d.owner.Store(&rateOwner{index: 0, epoch: 2})
		_, ok, wait := limit.take(later)
		must.False(t, ok)
		token, ok, _ := limit.take(later + wait)
		must.True(t, ok)
		must.EqOp(t, 2, token.epoch)
	})
}

// An owner with a long queue of its own must not keep the permits from other processes.
func TestOwnerWithABacklogStillGrantsPermits(t *testing.T) {
	const ownJobs, guestJobs = 150, 10
	d := newRatedDeployment(t, 2)
	var own []<-chan Outcome
	for range ownJobs {
		own = append(own, submit(d.engines[0], newJob()))
	}
	for range guestJobs {
		for outcome := await(t, submit(d.engines[1], newJob())); outcome.Kind != Succeeded; outcome = await(t, submit(d.engines[1], newJob())) {
			time.Sleep(outcome.RetryAfter)
		}
	}
	waiting := 0
	for _, outcome := range own {
		select {
		case o := <-outcome:
			must.Eq(t, Succeeded, o.Kind)
		default:
			waiting++
		}
	}
	must.Positive(t, waiting, must.Sprint("the other process was served only after the owner's queue"))
}

// Once its partition is given up, a waiting delivery ends at once: it held back the release of the partition until its time in the queue was
// over, and took permits from the new owner that it could not use.
func TestDeliveryThatMayNotBeSentTakesNoPartOfTheRate(t *testing.T) {
	d := newRatedDeployment(t, 2)
	var waiting []<-chan Outcome
	for range 20 {
		outcomes := make(chan Outcome, 1)
		d.engines[1].Submit(newJob(), func() bool { return false }, func(o Outcome) { outcomes <- o })
		waiting = append(waiting, outcomes)
	}
	began := time.Now()
	for _, outcome := range waiting {
		must.Eq(t, NotRun, await(t, outcome).Kind)
	}
	must.Less(t, maxQueueWait/4, time.Since(began))
	must.EqOp(t, 0, d.granted.Load())
}
