package storenode

import (
	"fmt"
	"time"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/rpc"
)

// Limits of the simulated routes.
const (
	simRetries        = 3
	simRetention      = 300 * time.Second
	simShortRetention = 3 * time.Second
	simTimeout        = 1200 * time.Millisecond // of one attempt
)

// fakeEngine simulates the delivery engine of one process and the workers that it calls.
type fakeEngine struct {
	process *process
	table   *catalog.Table // set and read by the event loop of the node
}

// SetCatalog implements Engine.
func (e *fakeEngine) SetCatalog(_ uint64, config *catalog.Config) { e.table = catalog.NewTable(config) }

// SetWorkers implements Engine.
func (e *fakeEngine) SetWorkers([]*rpc.Worker) {}

// SetDispatchers implements Engine.
func (e *fakeEngine) SetDispatchers(int) {}

// GrantPermits implements Engine.
func (e *fakeEngine) GrantPermits(_ string, count int, done func(int, time.Duration)) { done(count, 0) }

// Close implements Engine.
func (e *fakeEngine) Close() {}

// Submit implements Engine.
func (e *fakeEngine) Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome)) {
	e.process.world.checker.checkRoute(job, e.table)
	go func() {
		outcome := e.attempt(job, guard)
		if !e.process.awaitThaw() {
			return
		}
		if outcome.Kind == delivery.Succeeded {
			e.process.world.checker.recordSuccessSeen(job.Name)
		}
		done(outcome)
	}()
}

// checkRoute checks that a job goes to the route that its host and path match.
func (c *checker) checkRoute(job *delivery.Job, table *catalog.Table) {
	route, _, ok := table.MatchMessage(job.Host, job.Path)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !ok || route.Name != job.Route {
		c.violate("ROUTE", c.messages[job.Name], "sent to route %s, but its path is %s", job.Route, job.Path)
	}
}

// attempt sends a job to a worker and returns the outcome.
func (e *fakeEngine) attempt(job *delivery.Job, guard func() bool) delivery.Outcome {
	p := e.process
	w, name := p.world, p.machine.name
	time.Sleep(w.latency(name, workersName, job.Name))
	if !p.awaitThaw() || !guard() {
		return delivery.Outcome{Kind: delivery.NotRun}
	}
	if w.isCut(name, workersName) {
		time.Sleep(simTimeout)
		return delivery.Outcome{}
	}
	w.checker.checkOwner(job, p)
	outcome := w.checker.runWorker(job, name)
	if p.awaitThaw() && w.isCut(workersName, name) {
		time.Sleep(simTimeout)
		return delivery.Outcome{}
	}
	return outcome
}

// runWorker simulates a worker that receives a job. It returns the outcome as the sender sees it.
func (c *checker) runWorker(job *delivery.Job, sender string) delivery.Outcome {
	w := c.world
	x := w.drawRandom(job.Name, "outcome")
	switch {
	case x < 0.04:
		return delivery.Outcome{Kind: delivery.NotRun, RetryAfter: 20 * time.Millisecond}
	case x < 0.06:
		time.Sleep(simTimeout / 2)
		return delivery.Outcome{}
	}
	attempt := c.recordRun(job, sender)
	time.Sleep(5*time.Millisecond + time.Duration(w.drawRandom(job.Name, "run")*float64(60*time.Millisecond)))
	kind := c.workerOutcome(job.Name, attempt)
	stamp := ""
	if kind == delivery.Succeeded {
		stamp = fmt.Sprintf("%s.%d", job.Name, attempt)
	}
	c.recordAnswer(job.Name, kind, stamp)
	if w.drawRandom(job.Name, "lost") < 0.03 {
		time.Sleep(simTimeout)
		return delivery.Outcome{}
	}
	return delivery.Outcome{Kind: kind, Stamp: stamp}
}

// workerOutcome returns the answer of a worker to an attempt of a message.
func (c *checker) workerOutcome(name string, attempt int) delivery.OutcomeKind {
	c.mutex.Lock()
	outcomeDraw := c.messages[name].outcomeDraw
	c.mutex.Unlock()
	switch {
	case outcomeDraw < 0.03:
		return delivery.Rejected
	case outcomeDraw < 0.06:
		return delivery.FailedAttempt
	case outcomeDraw < 0.12 && attempt == 1:
		return delivery.FailedAttempt
	default:
		return delivery.Succeeded
	}
}
