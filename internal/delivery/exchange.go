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
	timeoutGrace  = 100 * time.Millisecond // after the worker's own deadline, for its answer to arrive
	conflictPause = 100 * time.Millisecond // while the first run of a message is under way
)

// attempt is one offer of a delivery to one worker.
type attempt struct {
	delivery *delivery
	target   *target
	number   int           // as the module counts the delivery's attempts
	timeout  time.Duration // of the run
	conn     *conn         // nil until one is open; set with the engine locked
}

// fault says how an attempt ended without an answer.
type fault int

const (
	noFault         fault = iota
	faultNotDialled       // no connection came up: nothing was written
	faultCalled           // called off before the first byte, as the worker is not to be sent to any more
	faultGuard            // called off before the first byte by the guard
	faultUnsent           // the write took nothing
	faultStale            // a kept connection ended without a byte of an answer
	faultTimedOut         // no whole answer in time
	faultBroken           // cut short, garbled, or another request's answer
)

// result is how an attempt ended.
type result struct {
	fault   fault
	answer  answer
	latency time.Duration // from the first byte written to the end of the answer
}

// run carries an attempt out and enters its end.
func (e *Engine) run(a *attempt) {
	res := e.exchange(a)
	e.locked(func(now time.Duration) { e.conclude(now, a, res) })
}

// exchange runs an attempt up to the end of its answer. Its connection stays open only if it can carry another request.
func (e *Engine) exchange(a *attempt) result {
	for {
		c, err := e.connect(a)
		if err != nil {
			return result{fault: faultNotDialled}
		}
		if !e.maySend(a) {
			return result{fault: faultCalled}
		}
		res := e.send(a, c)
		if res.fault != faultUnsent || !c.kept {
			return res
		}
		e.setConn(a, nil) // nothing was taken by a connection that had ended: the next one may serve
	}
}

// connect returns the connection that the attempt is written to: the idle one that was reserved if it is still open, the next
// idle one, or a new one.
func (e *Engine) connect(a *attempt) (*conn, error) {
	c := a.conn
	for c != nil && !c.fresh() {
		c.close()
		c = e.nextIdle(a)
	}
	if c != nil {
		return c, nil
	}
	c, err := dial(a.target.address)
	if err != nil {
		return nil, err
	}
	c.closeAt = e.now() + c.keepFor
	e.setConn(a, c)
	return c, nil
}

// nextIdle exchanges the attempt's connection, which has ended, for an idle one or for the right to open one.
func (e *Engine) nextIdle(a *attempt) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.conn = a.target.takeIdle(e.now(), a.delivery.job)
	if a.conn != nil { // it brings its own place
		a.target.forget()
	}
	return a.conn
}

func (e *Engine) setConn(a *attempt, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.conn = c
}

// maySend tells whether the worker may still be sent to, and the route still leads there.
func (e *Engine) maySend(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.target.ready && !a.delivery.route.dropped && !e.closed
}

// send writes the request, where the guard allows it, and reads the answer.
func (e *Engine) send(a *attempt, c *conn) result {
	job := a.delivery.job
	buffer := requestBuffers.Get().(*[]byte)
	defer releaseBuffer(buffer)
	*buffer = appendRequest((*buffer)[:0], job, a.timeout, a.target.id)
	if !a.delivery.guard() {
		return result{fault: faultGuard}
	}
	sentAt := e.now()
	if err := c.SetDeadline(time.Now().Add(a.timeout + timeoutGrace)); err != nil {
		c.close()
		return result{fault: faultUnsent}
	}
	written, err := c.Write(*buffer)
	if err != nil {
		c.close()
		if written == 0 {
			return result{fault: faultUnsent}
		}
		return result{fault: faultOf(c, err)}
	}
	said, err := readAnswer(c, job)
	if err != nil {
		c.close()
		return result{fault: faultOf(c, err)}
	}
	return result{answer: said, latency: e.now() - sentAt}
}

// faultOf reads the error of a write that was begun or of a read.
func faultOf(c *conn, err error) fault {
	var netError net.Error
	switch {
	case errors.As(err, &netError) && netError.Timeout():
		return faultTimedOut
	case c.kept && (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)):
		return faultStale
	default:
		return faultBroken
	}
}

// conclude enters the end of an attempt; the engine is locked.
func (e *Engine) conclude(now time.Duration, a *attempt, res result) {
	delete(e.attempts, a)
	a.delivery.sending = false
	a.target.release(e.remaining(now, a, res))
	switch res.fault {
	case noFault:
		e.answered(now, a, res)
	case faultNotDialled:
		e.unreachable(now, a)
	case faultCalled:
		e.calledOff(now, a)
	case faultUnsent:
		e.notSent(now, a, unsentCode(a.target), unplacedPause)
	case faultGuard:
		e.final(now, a, choice.Skipped, res, Outcome{Kind: NotRun, RetryAfter: unplacedPause})
	case faultStale:
		e.final(now, a, choice.StaleConnection, res, Outcome{Kind: Unknown})
	case faultTimedOut:
		e.final(now, a, choice.TimedOut, res, Outcome{Kind: Unknown})
	default:
		e.final(now, a, brokenCode(a.target), res, Outcome{Kind: Unknown})
	}
}

// brokenCode tells the module of an answer that was cut short, garbled or another request's.
func brokenCode(t *target) choice.Code {
	if t.id == "" {
		return choice.StaleConnection
	}
	return choice.Reset
}

// unsentCode tells the module of a connection that ended before anything was written. A static endpoint is never barred: there
// is no other.
func unsentCode(t *target) choice.Code {
	if t.id == "" {
		return choice.Skipped
	}
	return choice.BrokenBeforeSend
}

// remaining returns the attempt's connection if it can carry another request.
func (e *Engine) remaining(now time.Duration, a *attempt, res result) *conn {
	c := a.conn
	if c == nil || res.fault == faultCalled || res.fault == faultGuard {
		return c
	}
	if res.fault != noFault {
		return nil // closed already
	}
	c.keepFor = res.answer.keepFor
	c.closeAt = now + c.keepFor
	if !c.carried(a.delivery.job.RequestID, res.answer.kind() == Succeeded) || !res.answer.reusable {
		c.close()
		return nil
	}
	if c.SetDeadline(time.Time{}) != nil {
		c.close()
		return nil
	}
	return c
}

// answered enters a whole answer.
func (e *Engine) answered(now time.Duration, a *attempt, res result) {
	said := res.answer
	l := a.target.lane
	l.reached()
	kind := said.kind()
	switch kind {
	case Succeeded:
		l.served()
		a.target.answered(false)
		a.delivery.route.answered++
		e.final(now, a, choice.Done, res, Outcome{Kind: kind, Stamp: said.stamp})
	case FailedAttempt:
		l.served()
		code := choice.StaleConnection // says nothing of the worker
		if a.target.answered(true) && a.target.id != "" {
			code = choice.Errored
		}
		e.final(now, a, code, res, Outcome{Kind: kind})
	case Rejected:
		l.served()
		e.final(now, a, choice.StaleConnection, res, Outcome{Kind: kind})
	case NotRun:
		e.turnedAway(now, a, res)
	default:
		e.final(now, a, choice.StaleConnection, res, Outcome{Kind: Unknown})
	}
}

// turnedAway enters an answer that says that the message did not run.
func (e *Engine) turnedAway(now time.Duration, a *attempt, res result) {
	l := a.target.lane
	switch status := res.answer.status; {
	case status == 409:
		e.final(now, a, choice.StaleConnection, res, Outcome{Kind: NotRun, RetryAfter: conflictPause})
	case status == 421 && a.target.id != "":
		a.target.ready, a.target.misdirected = false, true
		a.target.closeIdle(always)
		a.delivery.route.relistService(now)
		e.notSent(now, a, choice.Skipped, unplacedPause)
	case status == 429 && l.bucket != nil:
		e.final(now, a, choice.Busy, res, Outcome{Kind: NotRun, RetryAfter: l.overRate(now)})
	case l.bucket != nil || a.target.id == "": // a further offer would be a further arrival
		e.final(now, a, choice.Busy, res, Outcome{Kind: NotRun, RetryAfter: l.full(now)})
	default:
		e.notSent(now, a, choice.Busy, fullPauseFirst)
	}
}

// unreachable enters that no connection to the worker came up.
func (e *Engine) unreachable(now time.Duration, a *attempt) {
	if a.target.id != "" {
		e.notSent(now, a, choice.NoConnect, unplacedPause)
		return
	}
	pause := a.target.lane.down(now)
	e.final(now, a, choice.Skipped, result{}, Outcome{Kind: NotRun, RetryAfter: pause})
}

// notSent has the module look for another worker, as nothing has run; the pause is asked for where the route went meanwhile.
func (e *Engine) notSent(now time.Duration, a *attempt, code choice.Code, pause time.Duration) {
	r := a.delivery.route
	if r.dropped {
		e.finish(a.delivery, Outcome{Kind: NotRun, RetryAfter: pause})
		return
	}
	r.tell(now, a, code, dialTimeout, false)
}

// calledOff has the module place the delivery anew. Its worker was withdrawn before a byte was written, which says nothing of the
// fleet, and so must not use up the tries that the module allows after failures.
func (e *Engine) calledOff(now time.Duration, a *attempt) {
	d := a.delivery
	d.withdrawn++
	if d.route.dropped || d.withdrawn > tries {
		e.final(now, a, choice.Skipped, result{}, Outcome{Kind: NotRun, RetryAfter: unplacedPause})
		return
	}
	d.route.tell(now, a, choice.Skipped, 0, true)
	delete(d.route.deliveries, d.id)
	d.id, d.attempts = e.nextID(), 0
	d.route.place(now, d)
}

// final ends the delivery.
func (e *Engine) final(now time.Duration, a *attempt, code choice.Code, res result, outcome Outcome) {
	a.delivery.route.tell(now, a, code, res.latency, true)
	e.finish(a.delivery, outcome)
}
