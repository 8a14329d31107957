package delivery

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/choice"
)

const (
	responseGrace      = 100 * time.Millisecond // after the worker's own deadline, for the response to arrive
	conflictRetryDelay = 100 * time.Millisecond // while the first run of the message is in progress
)

// attempt is one assignment of a delivery to one worker.
type attempt struct {
	delivery *delivery
	target   *target
	number   int           // number of the attempt within the delivery, as in the decision module
	timeout  time.Duration // time limit of the run, sent to the worker in X-Deadline-Ms
	rated    bool          // the service's rate is limited, so the delivery must hold a token; set right before the write
	conn     *conn         // nil until one is open; written with the engine locked
}

// failure says how an attempt ended without a response.
type failure int

const (
	noFailure             failure = iota
	failureDial                   // no connection could be opened: nothing was written
	failureWithdrawn              // cancelled before the first byte, because the worker or the route was withdrawn
	failureGuard                  // cancelled before the first byte by the guard
	failureUnsent                 // the write sent no byte
	failureStaleConn              // a reused connection ended without a byte of a response
	failureTimeout                // no complete response in time
	failureBrokenResponse         // truncated, malformed or another request's response
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	failure  failure
	response response
	latency  time.Duration // from the first byte written to the end of the response
}

// runAttempt performs an attempt and processes its result.
func (e *Engine) runAttempt(a *attempt) {
	res := e.exchange(a)
	e.doAndNotify(func(now time.Duration) { e.handleResult(now, a, res) })
}

// exchange performs an attempt up to the end of its response. The connection remains open only if it can carry another request.
func (e *Engine) exchange(a *attempt) attemptResult {
	for {
		c, err := e.acquireConn(a)
		if err != nil {
			return attemptResult{failure: failureDial}
		}
		if !e.maySend(a) {
			return attemptResult{failure: failureWithdrawn}
		}
		res := e.roundTrip(a, c)
		if res.failure != failureUnsent || !c.reused {
			return res
		}
		e.setConn(a, nil) // the connection had ended before anything was sent: try the next one
	}
}

// acquireConn returns the connection to write the attempt to: the reserved idle one if it is still open, otherwise the next idle
// one, otherwise a new one.
func (e *Engine) acquireConn(a *attempt) (*conn, error) {
	c := a.conn
	for c != nil && !c.isUsable() {
		c.close()
		c = e.replaceConn(a)
	}
	if c != nil {
		return c, nil
	}
	c, err := dial(a.target.address)
	if err != nil {
		return nil, err
	}
	c.idleDeadline = e.now() + c.idleTimeout
	e.setConn(a, c)
	return c, nil
}

// replaceConn replaces the attempt's connection, which has ended, by an idle one. It returns nil if there is none; the attempt
// may then open a connection.
func (e *Engine) replaceConn(a *attempt) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.conn = a.target.popIdleConn(e.now(), a.delivery.job)
	if a.conn != nil { // the idle connection has a slot of its own
		a.target.releaseConnSlot()
	}
	return a.conn
}

// setConn sets the attempt's connection with the engine locked.
func (e *Engine) setConn(a *attempt, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.conn = c
}

// maySend reports whether the request may still be written: the worker is in use, and the route has not been removed.
func (e *Engine) maySend(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.rated = a.target.service.limit != nil
	return a.target.ready && !a.delivery.route.removed && !a.delivery.withdrawn && !e.closed
}

// roundTrip writes the request, if the guard permits it, and reads the response.
func (e *Engine) roundTrip(a *attempt, c *conn) attemptResult {
	job := a.delivery.job
	buffer := requestBufferPool.Get().(*[]byte)
	defer releaseBuffer(buffer)
	*buffer = appendRequest((*buffer)[:0], job, a.timeout, a.target.id)
	if !a.delivery.guard() || a.rated && !e.mayWrite(a.target.service.name, a.delivery.token) {
		return attemptResult{failure: failureGuard}
	}
	sentAt := e.now()
	if err := c.SetDeadline(time.Now().Add(a.timeout + responseGrace)); err != nil {
		c.close()
		return attemptResult{failure: failureUnsent}
	}
	written, err := c.Write(*buffer)
	if err != nil {
		c.close()
		if written == 0 {
			return attemptResult{failure: failureUnsent}
		}
		return attemptResult{failure: classifyError(c, err)}
	}
	resp, err := readResponse(c, job)
	if err != nil {
		c.close()
		return attemptResult{failure: classifyError(c, err)}
	}
	return attemptResult{response: resp, latency: e.now() - sentAt}
}

// classifyError returns the failure for an error of a read, or of a write that sent at least one byte.
func classifyError(c *conn, err error) failure {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return failureTimeout
	case c.reused && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
		return failureStaleConn
	default:
		return failureBrokenResponse
	}
}

// handleResult processes the result of an attempt. Callers hold the engine's lock.
func (e *Engine) handleResult(now time.Duration, a *attempt, res attemptResult) {
	delete(e.attempts, a)
	a.delivery.inProgress = false
	a.target.releaseConn(e.reusableConn(now, a, res))
	switch res.failure {
	case noFailure:
		e.answered(now, a, res)
	case failureDial:
		e.handleDialFailure(now, a)
	case failureWithdrawn:
		e.handleWithdrawal(now, a)
	case failureUnsent:
		e.reassign(now, a, unsentCode(a.target), unplacedRetryDelay)
	case failureGuard:
		e.reportAndFinish(now, a, choice.Skipped, res, Outcome{Kind: NotRun, RetryAfter: unplacedRetryDelay})
	case failureStaleConn:
		e.reportAndFinish(now, a, choice.StaleConnection, res, Outcome{Kind: Unknown})
	case failureTimeout:
		e.reportAndFinish(now, a, choice.TimedOut, res, Outcome{Kind: Unknown})
	default:
		e.reportAndFinish(now, a, brokenResponseCode(a.target), res, Outcome{Kind: Unknown})
	}
}

// brokenResponseCode returns the code that reports a broken response to the decision module. A static endpoint is not penalized:
// there is no alternative to it.
func brokenResponseCode(t *target) choice.Code {
	if t.id == "" {
		return choice.StaleConnection
	}
	return choice.Reset
}

// unsentCode returns the code that reports a connection that ended before anything was written. A static endpoint is not
// penalized: there is no alternative to it.
func unsentCode(t *target) choice.Code {
	if t.id == "" {
		return choice.Skipped
	}
	return choice.BrokenBeforeSend
}

// reusableConn returns the attempt's connection if it can carry another request, and otherwise closes it and returns nil.
func (e *Engine) reusableConn(now time.Duration, a *attempt, res attemptResult) *conn {
	c := a.conn
	if c == nil || res.failure == failureWithdrawn || res.failure == failureGuard {
		return c
	}
	if res.failure != noFailure {
		return nil // already closed
	}
	c.idleTimeout = res.response.idleTimeout
	c.idleDeadline = now + c.idleTimeout
	if !c.recordExchange(a.delivery.job.RequestID, res.response.outcomeKind() == Succeeded) || !res.response.reusable {
		c.close()
		return nil
	}
	if c.SetDeadline(time.Time{}) != nil {
		c.close()
		return nil
	}
	return c
}

// answered processes a complete response.
func (e *Engine) answered(now time.Duration, a *attempt, res attemptResult) {
	resp := res.response
	s := a.target.service
	s.markReachable()
	kind := resp.outcomeKind()
	switch kind {
	case Succeeded:
		s.recordServed()
		a.target.answered(false)
		a.delivery.route.answered++
		e.reportAndFinish(now, a, choice.Done, res, Outcome{Kind: kind, Stamp: resp.stamp})
	case FailedAttempt:
		s.recordServed()
		code := choice.StaleConnection // does not penalize the worker
		if a.target.answered(true) && a.target.id != "" {
			code = choice.Errored
		}
		e.reportAndFinish(now, a, code, res, Outcome{Kind: kind})
	case Rejected:
		s.recordServed()
		e.reportAndFinish(now, a, choice.StaleConnection, res, Outcome{Kind: kind})
	case NotRun:
		e.handleNotRun(now, a, res)
	default:
		e.reportAndFinish(now, a, choice.StaleConnection, res, Outcome{Kind: Unknown})
	}
}

// handleNotRun processes a response that says that the message did not run.
func (e *Engine) handleNotRun(now time.Duration, a *attempt, res attemptResult) {
	s := a.target.service
	switch status := res.response.status; {
	case status == 409:
		e.reportAndFinish(now, a, choice.StaleConnection, res, Outcome{Kind: NotRun, RetryAfter: conflictRetryDelay})
	case status == 421 && a.target.id != "":
		a.target.ready, a.target.misdirected = false, true
		a.target.closeIdleConns(anyConn)
		a.delivery.route.sendServiceWorkerLists(now)
		e.reassign(now, a, choice.Skipped, unplacedRetryDelay)
	case status == 429 && s.limit != nil:
		e.reportAndFinish(now, a, choice.Busy, res, Outcome{Kind: NotRun, RetryAfter: s.backOffRateLimited(now)})
	case s.limit != nil || a.target.id == "": // offering it to another worker would count towards the rate again
		e.reportAndFinish(now, a, choice.Busy, res, Outcome{Kind: NotRun, RetryAfter: s.backOffBusy(now)})
	default:
		e.reassign(now, a, choice.Busy, busyBackoffInitial)
	}
}

// handleDialFailure processes a failure to connect to the worker.
func (e *Engine) handleDialFailure(now time.Duration, a *attempt) {
	if a.target.id != "" {
		e.reassign(now, a, choice.NoConnect, unplacedRetryDelay)
		return
	}
	retryDelay := a.target.service.backOffDown(now)
	e.reportAndFinish(now, a, choice.Skipped, attemptResult{}, Outcome{Kind: NotRun, RetryAfter: retryDelay})
}

// reassign has the decision module choose another worker, as the message has not run. If the route was removed meanwhile, the
// delivery ends as NotRun with the given retry delay.
func (e *Engine) reassign(now time.Duration, a *attempt, code choice.Code, retryDelay time.Duration) {
	r := a.delivery.route
	if r.removed {
		e.finish(a.delivery, Outcome{Kind: NotRun, RetryAfter: retryDelay})
		return
	}
	r.reportOutcome(now, a, code, dialTimeout, false)
}

// handleWithdrawal requests a worker for the delivery again under a new id. Its worker was withdrawn before a byte was written,
// which says nothing about the other workers, and so must not count towards the attempts that the module allows after failures.
func (e *Engine) handleWithdrawal(now time.Duration, a *attempt) {
	d := a.delivery
	d.withdrawals++
	if d.route.removed || d.withdrawn || d.withdrawals > maxAttempts {
		e.reportAndFinish(now, a, choice.Skipped, attemptResult{}, Outcome{Kind: NotRun, RetryAfter: unplacedRetryDelay})
		return
	}
	d.route.reportOutcome(now, a, choice.Skipped, 0, true)
	delete(d.route.deliveries, d.id)
	d.id, d.attempts = e.nextDeliveryID(), 0
	d.route.requestWorker(now, d)
}

// reportAndFinish reports the final attempt to the decision module and ends the delivery.
func (e *Engine) reportAndFinish(now time.Duration, a *attempt, code choice.Code, res attemptResult, outcome Outcome) {
	a.delivery.route.reportOutcome(now, a, code, res.latency, true)
	e.finish(a.delivery, outcome)
}
