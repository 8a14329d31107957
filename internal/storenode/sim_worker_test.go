package storenode

import (
	"fmt"
	"time"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/rpc"
)

// Bounds of the simulated routes.
const (
	simRetries        = 3
	simRetention      = 300 * time.Second
	simShortRetention = 3 * time.Second
	simTimeout        = 1200 * time.Millisecond // of one attempt
)

// fakeEngine plays the delivery engine of one process, and the workers that it calls.
type fakeEngine struct {
	process *process
}

// SetCatalog implements engine.
func (e *fakeEngine) SetCatalog(uint64, *catalog.Config) {}

// SetWorkers implements engine.
func (e *fakeEngine) SetWorkers([]*rpc.Worker) {}

// SetDispatchers implements engine.
func (e *fakeEngine) SetDispatchers(int) {}

// Close implements engine.
func (e *fakeEngine) Close() {}

// Submit implements engine.
func (e *fakeEngine) Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome)) {
	go func() {
		outcome := e.attempt(job, guard)
		if !e.process.awaitThaw() {
			return
		}
		if outcome.Kind == delivery.Succeeded {
			e.process.world.ledger.knowSuccess(job.Name)
		}
		done(outcome)
	}()
}

// attempt sends a job to a worker and waits for its answer.
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
	w.ledger.checkOwner(job, p)
	outcome := w.ledger.work(job, name)
	if p.awaitThaw() && w.isCut(workersName, name) {
		time.Sleep(simTimeout)
		return delivery.Outcome{}
	}
	return outcome
}

// work plays a worker that gets a job. It returns what the sender learns.
func (l *ledger) work(job *delivery.Job, sender string) delivery.Outcome {
	w := l.world
	x := w.draw(job.Name, "outcome")
	switch {
	case x < 0.04:
		return delivery.Outcome{Kind: delivery.NotRun, RetryAfter: 20 * time.Millisecond}
	case x < 0.06:
		time.Sleep(simTimeout / 2)
		return delivery.Outcome{}
	}
	attempt := l.start(job, sender)
	time.Sleep(5*time.Millisecond + time.Duration(w.draw(job.Name, "run")*float64(60*time.Millisecond)))
	kind := l.verdict(job.Name, attempt)
	stamp := ""
	if kind == delivery.Succeeded {
		stamp = fmt.Sprintf("%s.%d", job.Name, attempt)
	}
	l.answered(job.Name, kind, stamp)
	if w.draw(job.Name, "lost") < 0.03 {
		time.Sleep(simTimeout)
		return delivery.Outcome{}
	}
	return delivery.Outcome{Kind: kind, Stamp: stamp}
}

// verdict decides what a worker says to the attempt of a message.
func (l *ledger) verdict(name string, attempt int) delivery.OutcomeKind {
	l.mutex.Lock()
	nature := l.messages[name].nature
	l.mutex.Unlock()
	switch {
	case nature < 0.03:
		return delivery.Rejected
	case nature < 0.06:
		return delivery.FailedAttempt
	case nature < 0.12 && attempt == 1:
		return delivery.FailedAttempt
	default:
		return delivery.Succeeded
	}
}
