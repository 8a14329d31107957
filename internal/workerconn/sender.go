// Package workerconn carries branches to the workers: it opens connections, writes requests, reads what the
// worker says of taking them, and gives branches up. How far an exchange came when it broke decides
// whether the job may have run, so nothing is ever sent a second time from here.
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
)

const (
	headerID         = "X-Txn"
	headerRemaining  = "X-Remaining"
	headerToken      = "Idempotency-Key"
	headerTurnedAway = "X-Turned-Away"
	jobPath          = "/jobs/"

	idlePart    = 0.6             // of the time after which a worker closes an idle connection
	giveUpWait  = 2 * time.Second // for the answer to a giving up
	mostTells   = 3               // tries of a giving up, on a connection each
	mostGiveUps = 64              // at once; more wait their turn
	mostWaiting = 1024            // with those that wait; beyond that the worker's own deadline must do
	answerGrace = time.Second     // after a branch's end, when the reducer has long given it up
	retireEvery = 200 * time.Millisecond
)

// Options is what a deployment sets.
type Options struct {
	DialTimeout time.Duration
	IdleClose   time.Duration // after which a worker closes an idle connection
	MaxConns    int           // over all workers
	// Present tells whether an exchange's caller still waits, as far as this machine knows; nil for always.
	CallerPresent func(core.ExchangeID) bool
}

// exchange is a branch whose worker has not answered yet. Its states, all under Sender.mu: waiting (for a place or a dial),
// connected (conn is set), written (past its point of no return); over may come at any time, and ends the first two without a byte.
type exchange struct {
	addr    string
	cancel  context.CancelFunc // ends a dial
	conn    *conn              // once it is open
	written bool               // the first byte may be on the wire
	branch  core.SendBranch
	over    bool // given up or dropped: its connection is closed by whoever holds it
}

// giving is a giving up that its worker has not confirmed yet.
type giving struct {
	what core.GiveUpBranch
	conn *conn // once it is open
}

// job names a request at one worker.
type job struct {
	addr string
	id   core.RequestID
}

// Sender sends branches. Its methods do not block.
type Sender struct {
	gate  *hold.Gate
	pool  *pool
	clock func() float64
	post  func(core.Event)
	log   logrus.FieldLogger
	slots chan struct{} // for giving up
	sent  atomic.Uint64 // branches written whole
	fence fence
	asks  func(core.ExchangeID) bool // Options.Present

	mu        sync.Mutex
	exchanges map[core.BranchID]*exchange
	givingUp  map[job]*giving
}

// NewSender makes a sender that reports through post, with all its connections behind the gate.
func NewSender(o Options, gate *hold.Gate, clock func() float64, post func(core.Event), log logrus.FieldLogger) *Sender {
	idleFor := time.Duration(float64(o.IdleClose) * idlePart)
	if o.CallerPresent == nil {
		o.CallerPresent = func(core.ExchangeID) bool { return true }
	}
	return &Sender{asks: o.CallerPresent, gate: gate, pool: newPool(gate, o.DialTimeout, idleFor, o.MaxConns), clock: clock, post: post, log: log,
		slots: make(chan struct{}, mostGiveUps), exchanges: map[core.BranchID]*exchange{},
		givingUp: map[job]*giving{}}
}

// Run retires idle connections until the context ends.
func (s *Sender) Run(ctx context.Context) {
	t := time.NewTicker(retireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.gate.Wake()
			s.pool.retire(now)
			s.gate.Rest()
		}
	}
}

// Send starts a branch.
func (s *Sender) Send(b core.SendBranch) {
	ctx, cancel := context.WithCancel(context.Background())
	x := &exchange{addr: b.Addr, cancel: cancel, branch: b}
	s.mu.Lock()
	s.exchanges[b.Branch] = x
	s.mu.Unlock()
	s.gate.Go(func() {
		defer cancel()
		s.report(x, func() (core.Fault, bool) { return s.exchange(ctx, x) })
	})
}

// report runs an exchange, posts how it ended, and lets go of its connection.
func (s *Sender) report(x *exchange, exchange func() (core.Fault, bool)) {
	fault, failed := exchange()
	c := s.forget(x)
	if c != nil && c.whole() { // nothing to wait for
		s.pool.giveBack(c, !c.rest())
		c = nil
	}
	if failed {
		s.post(core.BranchFailed{Branch: x.branch.Branch, Fault: fault})
	} else {
		s.post(core.BranchTaken{Branch: x.branch.Branch})
	}
	if c != nil {
		s.pool.giveBack(c, !c.rest())
	}
}

// exchange runs a branch up to the worker's answer, and tells its fault if the job was not taken.
func (s *Sender) exchange(ctx context.Context, x *exchange) (core.Fault, bool) {
	b := x.branch
	c, err := s.pool.get(ctx, b.Addr, b.Once)
	if err != nil {
		s.log.WithError(err).WithField("worker", b.Worker).Debug("no connection")
		// Danger: a shortage of our own descriptors, or a dial that was called off, says nothing of the worker.
		if errors.Is(err, errBudget) || ctx.Err() != nil {
			return core.NotSent, true
		}
		return core.NoConnect, true
	}
	if !s.connected(x, c) {
		s.pool.giveBack(c, false)
		return core.NotSent, true
	}
	// Danger: a worker may call back and never answer; the exchange must not hold its connection for ever.
	left := time.Duration((b.Until - s.clock()) * float64(time.Second))
	err = c.SetDeadline(time.Now().Add(left + answerGrace))
	if err == nil {
		err = s.write(c, x)
	}
	switch {
	case errors.Is(err, errCalledOff), err != nil && !s.reached(x): // danger: a connection that was closed here says nothing of the worker
		s.disconnect(x)
		s.pool.giveBack(c, s.ended(x))
		return core.NotSent, true
	case err != nil:
		return s.unwritten(x, err), true
	}
	s.sent.Add(1)
	return s.hear(x)
}

// unwritten ends an exchange whose request was not written to its end.
func (s *Sender) unwritten(x *exchange, err error) core.Fault {
	c := s.disconnect(x)
	s.pool.discard(c)
	s.log.WithError(err).WithField("worker", x.branch.Worker).Debug("request not written")
	if c.kept() {
		s.pool.tried(c, true)
		return core.NotSent
	}
	return core.BrokenBeforeSend
}

// hear reads the worker's answer to a request that was written. It leaves the connection to the exchange, for what follows the head.
func (s *Sender) hear(x *exchange) (core.Fault, bool) {
	written, c := time.Now(), x.conn
	a, err := c.read()
	if err != nil {
		s.disconnect(x)
		s.pool.discard(c)
		s.log.WithError(err).WithFields(logrus.Fields{"worker": x.branch.Worker, "idle": c.age, "after": time.Since(written)}).Debug("no answer")
		if c.kept() && !errors.Is(err, os.ErrDeadlineExceeded) && !s.ended(x) {
			s.pool.tried(c, true)
			return core.StaleConnection, true
		}
		return core.BrokenAfterSend, true
	}
	s.pool.tried(c, false)
	return verdict(a)
}

// forget ends an exchange, and returns the connection that it leaves behind; nil for none.
func (s *Sender) forget(x *exchange) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, x.branch.Branch)
	c := x.conn
	x.conn = nil
	return c
}

// verdict reads a worker's answer. Anything not known to prove the contrary may have run.
func verdict(a answer) (core.Fault, bool) {
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

// connected gives an exchange its connection, unless it was ended while that was being opened.
func (s *Sender) connected(x *exchange, c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.over {
		return false
	}
	x.conn = c
	return true
}

// disconnect takes an exchange's connection from it: nobody may close it any more but the caller.
func (s *Sender) disconnect(x *exchange) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := x.conn
	x.conn = nil
	return c
}

// reached tells whether an exchange is past its point of no return.
func (s *Sender) reached(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.written
}

// ended tells whether an exchange was given up or dropped, so that its connection was closed from here.
func (s *Sender) ended(x *exchange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.over
}

// Sent counts the branches of which this process wrote the last byte.
func (s *Sender) Sent() uint64 { return s.sent.Load() }

// Connections counts those opened to workers since the start, and those that were refused or never came up.
func (s *Sender) Connections() (opened, refused uint64) {
	return s.pool.dialled.Load(), s.pool.refused.Load()
}

// write writes a branch's request, with the last question before its first byte.
func (s *Sender) write(c *conn, x *exchange) error {
	b := x.branch
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	h := &req.Header
	h.SetMethod(b.Message.Verb)
	h.SetRequestURI(b.Message.Target) // unparsed, so that it passes on unchanged
	h.SetHost(b.Addr)
	h.Set(headerID, string(b.Request))
	h.Set(headerRemaining, strconv.FormatFloat(max(0, b.Until-s.clock()), 'f', 6, 64))
	if b.Message.Token != "" {
		h.Set(headerToken, b.Message.Token)
	}
	req.SetBodyRaw(b.Message.Body)
	return c.write(req, func() (func(), error) { return s.lastWord(x) })
}

// GiveUp ends a branch. Before the worker's answer that is said by closing the connection, afterwards by
// a DELETE. Danger: an answer may be on its way to a connection that is being closed, and that close then tells nothing; so what may
// have been written is told by a DELETE whatever came back.
func (s *Sender) GiveUp(g core.GiveUpBranch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.exchanges[g.Branch]; x != nil {
		s.abandon(x)
		if !x.written {
			return
		}
	}
	s.tell(g)
}

// tell sends a DELETE for a job and posts how that ended, at once where one is under way or too many wait; s.mu is held.
func (s *Sender) tell(g core.GiveUpBranch) {
	key := job{g.Addr, g.Request}
	if s.givingUp[key] != nil || len(s.givingUp) >= mostWaiting {
		s.gate.Go(func() { s.post(core.BranchReleased{Branch: g.Branch, Request: g.Request}) })
		return
	}
	x := &giving{what: g}
	s.givingUp[key] = x
	s.gate.Go(func() {
		s.gate.Rest()
		s.slots <- struct{}{}
		s.gate.Wake()
		s.giveUp(x, s.delete(x))
	})
}

// giveUp tries a giving up again where its first try failed, and ends it. It holds a slot.
func (s *Sender) giveUp(x *giving, err error) {
	for i := 1; err != nil && i < mostTells; i++ {
		err = s.delete(x) // danger: untold, the worker runs on what another one may be given
	}
	if err != nil {
		s.log.WithError(err).WithField("worker", x.what.Worker).Debug("giving up not delivered")
	}
	<-s.slots
	s.mu.Lock()
	delete(s.givingUp, job{x.what.Addr, x.what.Request})
	s.mu.Unlock()
	s.post(core.BranchReleased{Branch: x.what.Branch, Request: x.what.Request, Told: err == nil})
}

// abandon ends an exchange; s.mu is held.
func (s *Sender) abandon(x *exchange) {
	x.over = true
	x.cancel()
	if x.conn != nil {
		x.conn.Close()
	}
}

func (s *Sender) delete(x *giving) error {
	ctx, cancel := context.WithTimeout(context.Background(), giveUpWait)
	defer cancel()
	c, err := s.pool.get(ctx, x.what.Addr, false)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(giveUpWait)); err != nil {
		s.pool.discard(c)
		return err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.Header.SetRequestURI(jobPath + string(x.what.Request))
	req.Header.SetHost(x.what.Addr)
	s.holds(x, c)
	if err := c.write(req, nil); err != nil {
		s.holds(x, nil)
		s.pool.discard(c)
		return err
	}
	return s.confirmed(x, c)
}

// confirmed reads the worker's answer to a giving up.
func (s *Sender) confirmed(x *giving, c *conn) error {
	_, err := c.read()
	s.holds(x, nil)
	s.pool.tried(c, err != nil)
	s.pool.giveBack(c, err != nil || !c.rest())
	return err
}

// holds notes the connection that a giving up uses now.
func (s *Sender) holds(x *giving, c *conn) {
	s.mu.Lock()
	x.conn = c
	s.mu.Unlock()
}

// SetMaxConns changes how many connections workers may hold.
func (s *Sender) SetMaxConns(conns int) { s.pool.setMost(conns) }

// Shed closes up to n idle connections, those idle for longest first, and tells how many.
func (s *Sender) CloseOldestIdle(n int) int { return s.pool.shed(n) }

// CloseIdle closes the idle connections to an address.
func (s *Sender) CloseIdle(addr string) { s.pool.closeIdle(addr) }

// Drop ends the branches that wait for a connection to an address: the worker takes nothing new, and a dial
// must not outlive the word of that.
func (s *Sender) CancelUnsent(addr string) {
	s.mu.Lock()
	for _, x := range s.exchanges {
		if x.addr == addr && !x.written {
			s.abandon(x)
		}
	}
	s.mu.Unlock()
	s.pool.closeIdle(addr)
}
