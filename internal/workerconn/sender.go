// Package workerconn sends branches (attempts to run a request on a worker) to the workers: it opens connections, writes
// requests, reads whether the worker accepted them, and cancels branches. The stage at which an exchange failed decides
// whether the job may have run, so this package never sends a branch twice.
package workerconn

import (
	"context"
	"errors"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	headerID         = "X-Txn"
	headerRemaining  = "X-Remaining"
	headerToken      = "Idempotency-Key"
	headerTurnedAway = "X-Turned-Away"
	jobPath          = "/jobs/"

	idleShare              = 0.6             // share of the time after which a worker closes an idle connection
	cancelTimeout          = 2 * time.Second // for one attempt to cancel, including its response
	maxCancelAttempts      = 3               // attempts to deliver a cancellation, each on its own connection
	maxActiveCancellations = 64              // sent at the same time; the others wait
	maxCancellations       = 1024            // sent or waiting; beyond that the worker's own deadline has to end the job
	answerGrace            = time.Second     // after a branch's deadline, when the reducer has long given it up
	closeExpiredInterval   = 200 * time.Millisecond
)

// Options configures a Sender.
type Options struct {
	DialTimeout time.Duration
	IdleClose   time.Duration // time after which a worker closes an idle connection
	MaxConns    int           // to all workers together
	// CallerPresent reports whether the caller of an exchange still waits, as far as this machine knows; nil for always.
	CallerPresent func(core.ExchangeID) bool
}

// exchange is a branch that its worker has not answered yet. Its states, all guarded by Sender.mu, are waiting (for a
// connection), connected (conn is set) and written (the point of no return). It may be cancelled at any time; before
// written, no byte of it is sent then.
type exchange struct {
	addr      string
	cancel    context.CancelFunc // ends a dial
	conn      *conn              // nil until it is open
	written   bool               // the first byte may have been sent
	branch    core.SendBranch
	cancelled bool // given up or dropped; the goroutine that uses the connection releases it
}

// cancellation is a request to a worker to end a branch, not confirmed yet.
type cancellation struct {
	request core.GiveUpBranch
	conn    *conn // nil until it is open
}

// job identifies a request at one worker.
type job struct {
	addr string
	id   core.RequestID
}

// Sender sends branches and cancellations. Its methods, except Run, do not block.
type Sender struct {
	gate          *hold.Gate
	pool          *pool
	clock         func() float64 // seconds
	post          func(core.Event)
	log           logrus.FieldLogger
	cancelSlots   chan struct{} // limits active cancellations
	sent          atomic.Uint64 // branches written completely
	fence         fence
	callerPresent func(core.ExchangeID) bool // Options.CallerPresent

	mu            sync.Mutex
	exchanges     map[core.BranchID]*exchange
	cancellations map[job]*cancellation
}

// NewSender returns a sender that passes events to post and registers its connections with the gate. clock returns the
// dispatcher's time in seconds.
func NewSender(o Options, gate *hold.Gate, clock func() float64, post func(core.Event), log logrus.FieldLogger) *Sender {
	maxIdle := time.Duration(float64(o.IdleClose) * idleShare)
	if o.CallerPresent == nil {
		o.CallerPresent = func(core.ExchangeID) bool { return true }
	}
	return &Sender{callerPresent: o.CallerPresent, gate: gate, pool: newPool(gate, o.DialTimeout, maxIdle, o.MaxConns), clock: clock, post: post, log: log,
		cancelSlots: make(chan struct{}, maxActiveCancellations), exchanges: map[core.BranchID]*exchange{},
		cancellations: map[job]*cancellation{}}
}

// Run closes expired idle connections until the context ends. It blocks.
func (s *Sender) Run(ctx context.Context) {
	t := time.NewTicker(closeExpiredInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.gate.Wake()
			s.pool.closeExpired(now)
			s.gate.Rest()
		}
	}
}

// Send starts sending a branch. BranchTaken or BranchFailed is posted when its worker has answered or it has failed.
func (s *Sender) Send(b core.SendBranch) {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{addr: b.Addr, cancel: cancel, branch: b}
	s.mu.Lock()
	s.exchanges[b.Branch] = x
	s.mu.Unlock()
	s.gate.Go(func() {
		defer cancel()
		s.runAndReport(x, func() (core.Fault, bool) { return s.exchange(ctx, x) })
	})
}

// runAndReport runs an exchange, posts its outcome, and releases its connection.
func (s *Sender) runAndReport(x *exchange, exchange func() (core.Fault, bool)) {
	fault, failed := exchange()
	c := s.remove(x)
	if c != nil && c.bodyBuffered() { // the body is there already, so reading it does not block
		s.pool.put(c, !c.drainBody())
		c = nil
	}
	if failed {
		s.post(core.BranchFailed{Branch: x.branch.Branch, Fault: fault})
	} else {
		s.post(core.BranchTaken{Branch: x.branch.Branch})
	}
	if c != nil {
		s.pool.put(c, !c.drainBody())
	}
}

// exchange sends a branch and reads the worker's response. It returns true and the fault if the job was not accepted.
func (s *Sender) exchange(ctx context.Context, x *exchange) (core.Fault, bool) {
	b := x.branch
	c, err := s.pool.get(ctx, b.Addr, b.Once)
	if err != nil {
		s.log.WithError(err).WithField("worker", b.Worker).Debug("no connection to the worker")
		// Running out of connections here, or a cancelled dial, is not the worker's fault.
		if errors.Is(err, errConnLimit) || ctx.Err() != nil {
			return core.NotSent, true
		}
		return core.NoConnect, true
	}
	if !s.attach(x, c) {
		s.pool.put(c, false)
		return core.NotSent, true
	}
	// A worker may send a callback and never respond: the deadline bounds how long the exchange occupies its connection.
	remaining := time.Duration((b.Until - s.clock()) * float64(time.Second))
	err = c.SetDeadline(time.Now().Add(remaining + answerGrace))
	if err == nil {
		err = s.write(c, x)
	}
	switch {
	case errors.Is(err, errWriteNotAllowed), err != nil && !s.writeStarted(x): // a connection closed by this side is not the worker's fault
		s.detach(x)
		s.pool.put(c, s.isCancelled(x))
		return core.NotSent, true
	case err != nil:
		return s.writeFailed(x, err), true
	}
	s.sent.Add(1)
	return s.readAnswer(x)
}

// writeFailed ends an exchange whose request was not written completely.
func (s *Sender) writeFailed(x *exchange, err error) core.Fault {
	c := s.detach(x)
	s.pool.discard(c)
	s.log.WithError(err).WithField("worker", x.branch.Worker).Debug("request not written completely")
	if c.reused() {
		s.pool.recordReuse(c, true)
		return core.NotSent
	}
	return core.BrokenBeforeSend
}

// readAnswer reads the worker's response to a written request. The exchange keeps the connection, so that the body can
// be read later.
func (s *Sender) readAnswer(x *exchange) (core.Fault, bool) {
	written, c := time.Now(), x.conn
	a, err := c.read()
	if err != nil {
		s.detach(x)
		s.pool.discard(c)
		s.log.WithError(err).WithFields(logrus.Fields{"worker": x.branch.Worker, "idle": c.idleTime, "after": time.Since(written)}).Debug("no response from the worker")
		if c.reused() && connectionEnded(err) && !s.isCancelled(x) {
			s.pool.recordReuse(c, true)
			return core.StaleConnection, true
		}
		return core.BrokenAfterSend, true
	}
	s.pool.recordReuse(c, false)
	return faultOf(a)
}

// connectionEnded reports whether a read failed because the connection had ended, rather than for want of a response in time or of a valid
// one.
func connectionEnded(err error) bool {
	var invalid *responsecheck.InvalidResponseError
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &invalid)
}

// remove deletes an exchange and returns its connection, or nil if it has none.
func (s *Sender) remove(x *exchange) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x.branch.Branch)
	c := x.conn
	x.conn = nil
	return c
}

// faultOf interprets a worker's response. Unless the response proves the contrary, the job may have run.
func faultOf(a answer) (core.Fault, bool) {
	switch {
	case a.status == fasthttp.StatusAccepted:
		return 0, false
	case a.turnedAway && (a.status == fasthttp.StatusServiceUnavailable || a.status == fasthttp.StatusGatewayTimeout):
		return core.WorkerBusy, true
	case a.status == fasthttp.StatusBadRequest || a.status == fasthttp.StatusNotFound:
		return core.RequestUnusable, true
	default:
		return core.Errored, true
	}
}

// connected assigns a connection to an exchange. It returns false if the exchange was cancelled during the dial.
func (s *Sender) attach(x *exchange, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.cancelled {
		return false
	}
	x.conn = c
	return true
}

// disconnect detaches the connection from an exchange, so that only the caller can close it.
func (s *Sender) detach(x *exchange) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c
}

// writeStarted reports whether an exchange is past its point of no return.
func (s *Sender) writeStarted(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.written
}

// isCancelled reports whether an exchange was given up or dropped, so that this side closed its connection.
func (s *Sender) isCancelled(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.cancelled
}

// Sent returns the number of branches that this process wrote completely.
func (s *Sender) Sent() uint64 { return s.sent.Load() }

// Connections returns the number of connections opened to workers since the start, and of those refused or timed out.
func (s *Sender) Connections() (opened, refused uint64) {
	return s.pool.dialled.Load(), s.pool.refused.Load()
}

// write writes a branch's request, if authorizeWrite permits it right before the first byte.
func (s *Sender) write(c *conn, x *exchange) error {
	b := x.branch
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h := &req.Header
	h.SetMethod(b.Message.Verb)
	h.SetRequestURI(b.Message.Target) // not parsed, so that it is forwarded unchanged
	h.SetHost(b.Addr)
	h.Set(headerID, string(b.Request))
	h.Set(headerRemaining, strconv.FormatFloat(max(0, b.Until-s.clock()), 'f', 6, 64))
	if b.Message.Token != "" {
		h.Set(headerToken, b.Message.Token)
	}
	req.SetBodyRaw(b.Message.Body)
	return c.write(req, func() (func(), error) { return s.authorizeWrite(x) })
}

// GiveUp cancels a branch. Before the worker's response it closes the connection, and if a byte may have been written it
// also sends a DELETE: a response may already be under way, and then the worker learns nothing from the close.
// BranchReleased is posted when the DELETE has ended.
func (s *Sender) GiveUp(g core.GiveUpBranch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.exchanges[g.Branch]; x != nil {
		s.cancelExchange(x)
		if !x.written {
			return
		}
	}
	s.startCancellation(g)
}

// startCancellation sends a DELETE for a job and posts BranchReleased at its end, or at once if one for the same job is
// under way or maxCancellations is reached. The caller holds s.mu.
func (s *Sender) startCancellation(g core.GiveUpBranch) {
	key := job{g.Addr, g.Request}
	if s.cancellations[key] != nil || len(s.cancellations) >= maxCancellations {
		s.gate.Go(func() { s.post(core.BranchReleased{Branch: g.Branch, Request: g.Request}) })
		return
	}
	x := &cancellation{request: g}
	s.cancellations[key] = x
	s.gate.Go(func() {
		s.gate.Rest()
		s.cancelSlots <- struct{}{}
		s.gate.Wake()
		s.runCancellation(x, s.delete(x))
	})
}

// runCancellation retries a cancellation whose first attempt failed, and posts its end. It occupies a cancellation slot.
func (s *Sender) runCancellation(x *cancellation, err error) {
	for i := 1; err != nil && i < maxCancelAttempts; i++ {
		err = s.delete(x) // without it, the worker keeps running a job that another worker may be given
	}
	if err != nil {
		s.log.WithError(err).WithField("worker", x.request.Worker).Debug("cancellation not delivered")
	}
	<-s.cancelSlots
	s.mu.Lock()
	delete(s.cancellations, job{x.request.Addr, x.request.Request})
	s.mu.Unlock()
	s.post(core.BranchReleased{Branch: x.request.Branch, Request: x.request.Request, Told: err == nil})
}

// cancelExchange cancels an exchange. The caller holds s.mu.
func (s *Sender) cancelExchange(x *exchange) {
	x.cancelled = true
	x.cancel()
	if x.conn != nil {
		x.conn.Close()
	}
}

// delete makes one attempt to cancel a job at its worker by a DELETE. It returns nil if the worker has responded.
func (s *Sender) delete(x *cancellation) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	c, err := s.pool.get(ctx, x.request.Addr, false)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		s.pool.discard(c)
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.Header.SetRequestURI(jobPath + string(x.request.Request))
	req.Header.SetHost(x.request.Addr)
	s.setCancellationConn(x, c)
	if err := c.write(req, nil); err != nil {
		s.setCancellationConn(x, nil)
		s.pool.discard(c)
		return err
	}
	return s.readDeleteAnswer(x, c)
}

// readDeleteAnswer reads the worker's response to a DELETE.
func (s *Sender) readDeleteAnswer(x *cancellation, c *conn) error {
	_, err := c.read()
	s.setCancellationConn(x, nil)
	s.pool.recordReuse(c, err != nil && connectionEnded(err))
	s.pool.put(c, err != nil || !c.drainBody())
	return err
}

// setCancellationConn records the connection that a cancellation uses.
func (s *Sender) setCancellationConn(x *cancellation, c *conn) {
	s.mu.Lock()
	x.conn = c
	s.mu.Unlock()
}

// SetMaxConns changes the limit of connections to all workers.
func (s *Sender) SetMaxConns(conns int) { s.pool.setMaxConns(conns) }

// CloseOldestIdle closes up to n idle connections, those idle for longest first, and returns how many it closed.
func (s *Sender) CloseOldestIdle(n int) int { return s.pool.closeOldestIdle(n) }

// CloseIdle closes the idle connections to an address.
func (s *Sender) CloseIdle(addr string) { s.pool.closeIdle(addr) }

// CancelUnsent cancels the branches to an address of which no byte was written, and closes the idle connections to it.
// It is called when a worker takes no new jobs: a dial must not complete after that.
func (s *Sender) CancelUnsent(addr string) {
	s.mu.Lock()
	for _, x := range s.exchanges {
		if x.addr == addr && !x.written {
			s.cancelExchange(x)
		}
	}
	s.mu.Unlock()
	s.pool.closeIdle(addr)
}
