// Package clientconn serves the connections that callers and workers open to one address: callers send jobs, workers
// send callbacks on jobs.
// It translates requests into events and answers into HTTP responses; all decisions are made by the reducer (package
// core).
package clientconn

import (
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

const (
	pathCallback = "/callback"
	pathHealth   = "/healthz"

	maxBodyBytes       = 64 << 10
	maxHeaderBytes     = 4 << 10
	readTimeout        = 2 * time.Second // to read a whole request; the first one from the accept on
	writeTimeout       = 5 * time.Second
	idleTimeout        = 75 * time.Second
	acceptRetryDelay   = 5 * time.Millisecond  // after a failed accept
	callerShare        = 0.8                   // share of the connections that waiting callers may occupy; the rest is reserved for callbacks
	busyRetryAfterS    = "1"                   // Retry-After in seconds, sent to callers rejected at that limit
	slotPollInterval   = 10 * time.Millisecond // between checks for a free slot if none is signalled
	refusalLogInterval = time.Second           // between log lines on refused requests
	healthTimeout      = 2 * time.Second
)

// exchange is a request that waits for the reducer's answer.
type exchange struct {
	conn     *conn
	class    string // of the job; empty for callbacks and health checks
	answer   core.Answer
	answered bool
}

// Server serves the connections of one listener. Its methods are safe for concurrent use, except where they say
// otherwise.
type Server struct {
	post func(core.Event)
	log  logrus.FieldLogger
	gate *hold.Gate

	slotFreed chan struct{} // signals that a connection slot may be free

	draining        atomic.Bool // health checks are answered with 503
	closing         atomic.Bool // every response closes its connection
	drainingCallers atomic.Bool // every response to a caller closes its connection
	tallies         map[string]*tally
	sharedUntil     atomic.Int64 // Unix nanoseconds until which another process may accept on the same listener
	lastID          atomic.Uint64

	yieldUntil atomic.Int64 // Unix nanoseconds until which another process on the same listener gets connections first

	mu             sync.Mutex
	maxConns       int // limit of open connections
	conns          map[*conn]struct{}
	pending        *conn // accepted, waiting for a slot
	exchanges      map[core.ExchangeID]*exchange
	lastRequestAt  time.Time     // when the last request was received
	callerDrainEnd chan struct{} // closed when an operator's drain ends; nil without one

	lastRefusalLogAt time.Time // when a refused request was last logged
	unloggedRefusals int       // refused since then
}

// NewServer returns a server that holds at most limit connections, all registered with the gate. Events are passed to
// post.
func NewServer(limit int, gate *hold.Gate, post func(core.Event), log logrus.FieldLogger) *Server {
	return &Server{post: post, log: log, gate: gate, maxConns: limit, slotFreed: make(chan struct{}, 1),
		conns: map[*conn]struct{}{}, exchanges: map[core.ExchangeID]*exchange{}}
}

// Serve accepts connections until the listener is closed, and returns nil then.
func (s *Server) Serve(ln net.Listener) error {
	s.gate.Wake()
	defer s.gate.Rest()
	for {
		if s.shouldYield() {
			s.yieldAccept(ln)
		}
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		} else if err != nil {
			// Without free file descriptors Accept fails immediately: the delay avoids a busy loop.
			s.log.WithError(err).Warn("accepting a connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: s.gate.Wrap(nc), release: s.release, since: time.Now()}
		c.SetReadDeadline(c.since.Add(readTimeout))
		s.waitForSlot(c)
		s.gate.Go(func() { s.serve(c) })
	}
}

// waitForSlot blocks until the connection is admitted.
func (s *Server) waitForSlot(c *conn) {
	for !s.admit(c) {
		s.setPending(c)
		s.gate.Rest()
		// The connection is not closed here, because the kernel may already have received its request. Later
		// connections, those with callbacks included, wait in the listen backlog, so a slot must not stay blocked by
		// silent connections.
		select {
		case <-s.slotFreed:
		case <-time.After(slotPollInterval):
		}
		s.gate.Wake()
		s.setPending(nil)
	}
}

func (s *Server) setPending(c *conn) {
	s.mu.Lock()
	s.pending = c
	s.mu.Unlock()
}

// admit registers a connection. If the server is full it evicts another one: the oldest whose grace period for the first
// request is over, otherwise the one that has been idle longest. It returns false if none can be evicted. By age alone,
// hundreds of silent new connections would evict the keep-alive connections of regular callers; so no idle connection is
// evicted while a new one is within its grace period.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	var victim *conn
	if len(s.conns) >= s.maxConns {
		var oldest time.Time
		highest, now := notEvictable, time.Now()
		for x := range s.conns {
			if r, since := x.evictionRank(now); r > highest || r == highest && r > notEvictable && since.Before(oldest) {
				victim, oldest, highest = x, since, r
			}
		}
		if highest == notEvictable || highest == inGracePeriod {
			s.mu.Unlock()
			return false
		}
	}
	if victim != nil && !victim.isClosing() && !victim.claim() {
		s.mu.Unlock()
		return false // input has arrived on it since
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if victim != nil {
		victim.Close()
	}
	return true
}

// SetMaxConns changes the limit of open connections.
func (s *Server) SetMaxConns(conns int) {
	s.mu.Lock()
	s.maxConns = conns
	s.mu.Unlock()
	s.signalSlotFreed()
}

// release removes a closed connection, which frees its slot.
func (s *Server) release(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.signalSlotFreed()
}

// signalSlotFreed makes waitForSlot check again.
func (s *Server) signalSlotFreed() {
	select {
	case s.slotFreed <- struct{}{}:
	default:
	}
}

// callersAtLimit reports whether waiting callers occupy their share of the connections.
func (s *Server) callersAtLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.exchanges)) >= callerShare*float64(s.maxConns)
}

// handle processes a request. It returns the response, or true if the connection has to wait for the reducer's answer.
func (s *Server) handle(c *conn, req *fasthttp.Request) (a answer, waits bool) {
	if err := checkHead(&req.Header); err != nil {
		return s.reject(err), false
	}
	path, _, _ := strings.Cut(string(req.RequestURI()), "?")
	switch path {
	case pathCallback:
		return s.callback(c, req)
	case pathHealth:
		return s.health(c)
	default:
		return s.call(c, req)
	}
}

// ShareListener declares that for the given duration another process may receive requests and callbacks at the same
// address. Until then, a callback for a request unknown here is left unanswered, so that the worker repeats it.
// Acknowledged here, it would be lost for the other process.
func (s *Server) ShareListener(duration time.Duration) {
	s.sharedUntil.Store(time.Now().Add(duration).UnixNano())
}

// callback passes a worker's callback to the reducer. Its answer has to wait for the reducer only while another process may
// serve the same address.
func (s *Server) callback(c *conn, req *fasthttp.Request) (answer, bool) {
	if !req.Header.IsPost() {
		return refusal(fasthttp.StatusMethodNotAllowed, "call-backs are posted"), false
	}
	report, err := parseCallback(req.Body())
	if err != nil {
		return s.reject(err), false
	}
	c.markValid(peerWorker)
	shared := time.Now().UnixNano() < s.sharedUntil.Load()
	if shared {
		report.Exchange = s.open(c, "")
		c.SetReadDeadline(time.Time{})
	}
	s.post(report)
	return answer{status: fasthttp.StatusOK}, shared
}

// health asks the reducer, so that a 200 shows that the event loop runs. The response closes the connection,
// because hundreds of clients may check once and keep their connections.
func (s *Server) health(c *conn) (answer, bool) {
	if s.draining.Load() {
		return refusal(fasthttp.StatusServiceUnavailable, "draining"), false
	}
	c.mu.Lock()
	c.closeAfter = true
	c.mu.Unlock()
	id := s.open(c, "")
	s.post(core.HealthAsked{Exchange: id})
	c.SetReadDeadline(time.Now().Add(healthTimeout))
	err := c.ReadAhead()
	if a, answered := s.close(id); answered {
		return toAnswer(a), false
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal(fasthttp.StatusServiceUnavailable, "not ready"), false
	}
	return refusal(fasthttp.StatusServiceUnavailable, "left"), false
}

// call passes a caller's job to the reducer, which gives exactly one final answer.
func (s *Server) call(c *conn, req *fasthttp.Request) (answer, bool) {
	if !req.Header.IsPost() {
		return refusal(fasthttp.StatusMethodNotAllowed, "jobs are posted"), false
	}
	call, err := parseCall(req)
	if err != nil {
		return s.reject(err), false
	}
	c.markValid(peerCaller)
	if s.callersAtLimit() {
		// The remaining connections are reserved for callbacks: without them no running job could be answered.
		a := refusal(fasthttp.StatusServiceUnavailable, "no place left")
		a.retryAfter = busyRetryAfterS
		s.countJob(call.Class, a.status)
		return a, false
	}
	call.Exchange = s.open(c, call.Class)
	// The deadline for reading the request must be cleared: if it expired, the caller would seem to have left.
	c.SetReadDeadline(time.Time{})
	s.post(core.CallArrived{Call: call})
	return answer{}, true
}

// open registers an exchange that waits for the reducer's answer. The class is empty if it is no job.
func (s *Server) open(c *conn, class string) core.ExchangeID {
	id := core.ExchangeID(s.lastID.Add(1))
	c.setExchange(id)
	s.mu.Lock()
	s.exchanges[id] = &exchange{conn: c, class: class}
	s.lastRequestAt = time.Now()
	s.mu.Unlock()
	return id
}

// close ends an exchange and returns its answer, if there is one. Jobs are counted here.
func (s *Server) close(id core.ExchangeID) (core.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.exchanges[id]
	if x == nil {
		return core.Answer{}, false
	}
	delete(s.exchanges, id)
	if x.answered {
		s.countJob(x.class, statuses[x.answer.Verdict])
	}
	return x.answer, x.answered
}

// CallerPresent reports whether an exchange waits for its answer and its caller has not closed the connection, by the
// state of the socket. It reads no data.
func (s *Server) CallerPresent(id core.ExchangeID) bool {
	s.mu.Lock()
	x := s.exchanges[id]
	waits := x != nil && !x.answered
	s.mu.Unlock()
	return waits && !x.conn.PeerClosed()
}

// Answer passes the final answer to its exchange. Later answers to the same exchange are ignored. It does not block.
func (s *Server) Answer(a core.Answer) {
	s.mu.Lock()
	x := s.exchanges[a.Exchange]
	if x == nil || x.answered {
		s.mu.Unlock()
		return
	}
	x.answer, x.answered = a, true
	s.mu.Unlock()
	x.conn.Interrupt()
}

// reject answers an invalid request with status 400.
func (s *Server) reject(err error) answer {
	s.logRefusal(err)
	return refusal(fasthttp.StatusBadRequest, err.Error())
}

// logRefusal logs refused requests, at most once per refusalLogInterval, so that a flood of bad requests does not flood
// the log.
func (s *Server) logRefusal(err error) {
	s.mu.Lock()
	s.unloggedRefusals++
	count, now := s.unloggedRefusals, time.Now()
	due := now.Sub(s.lastRefusalLogAt) >= refusalLogInterval
	if due {
		s.lastRefusalLogAt, s.unloggedRefusals = now, 0
	}
	s.mu.Unlock()
	if due {
		s.log.WithError(err).WithField("refused", count).Warn("requests refused; the error is that of the latest one")
	}
}

// readErrorAnswer returns the response to input that could not be read as a request.
func (s *Server) readErrorAnswer(err error) answer {
	s.logRefusal(err)
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		return refusal(fasthttp.StatusRequestTimeout, "request took too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal(fasthttp.StatusRequestEntityTooLarge, "body too large")
	case errors.As(err, &small):
		return refusal(fasthttp.StatusRequestHeaderFieldsTooLarge, "headers too large")
	default:
		return refusal(fasthttp.StatusBadRequest, "not a request")
	}
}

var statuses = map[core.Verdict]int{core.Served: fasthttp.StatusOK, core.Busy: fasthttp.StatusServiceUnavailable,
	core.Failed: fasthttp.StatusBadGateway, core.Rejected: fasthttp.StatusBadRequest}

// toAnswer converts the reducer's answer to a response.
func toAnswer(a core.Answer) answer {
	out := answer{status: statuses[a.Verdict], body: a.Body, closes: a.Verdict == core.Rejected}
	if a.Verdict != core.Served {
		out.body = []byte(a.Reason + "\n")
	}
	if a.Verdict == core.Busy && a.Pause > 0 {
		out.retryAfter = strconv.FormatFloat(a.Pause, 'f', 3, 64)
	}
	return out
}
