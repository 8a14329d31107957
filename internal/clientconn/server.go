// Package clientconn serves the connections that clients open and takes the workers' call-backs, which arrive at the same address.
// It turns requests into events and answers into bytes; it decides nothing.
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
	pathCallBack = "/callback"
	pathHealth   = "/healthz"

	mostBody        = 64 << 10
	mostHeader      = 4 << 10
	readWait        = 2 * time.Second // for a whole request; for the first one from the connection's start on
	writeWait       = 5 * time.Second
	idleWait        = 75 * time.Second
	acceptPause     = 5 * time.Millisecond  // after a failed accept
	callerPart      = 0.8                   // of the connections for waiting callers; call-backs need the rest
	busyRetry       = "1"                   // seconds, told to callers that find no place
	placePause      = 10 * time.Millisecond // between looks for a place, where none is told to be free
	complaintsEvery = time.Second           // between lines on requests that are refused
	healthWait      = 2 * time.Second
)

// exchange is a request that waits for the reducer's answer.
type exchange struct {
	conn     *conn
	class    string // of the job; empty for none
	answer   core.Answer
	answered bool
}

// Server serves one listener.
type Server struct {
	post func(core.Event)
	log  logrus.FieldLogger
	gate *hold.Gate

	freed chan struct{} // wakes the accepting that found no place

	draining atomic.Bool // new callers should go elsewhere
	closing  atomic.Bool // every answer closes its connection
	away     atomic.Bool // every answer to a caller closes its connection
	tallies  map[string]*tally
	shares   atomic.Int64 // Unix nanoseconds until which another process may serve the same listener
	lastID   atomic.Uint64

	yieldUntil atomic.Int64 // Unix nanoseconds until which connections are left to another process on the same listener first

	mu        sync.Mutex
	most      int // open connections
	conns     map[*conn]struct{}
	pending   *conn // accepted, and waits for a place
	exchanges map[core.ExchangeID]*exchange
	last      time.Time     // when the last request came
	awayEnd   chan struct{} // closed at the end of a drain by hand; nil where there is none

	complained time.Time // when the last line on a refused request was logged
	unsaid     int       // refused since then
}

// NewServer makes a server that holds at most so many connections, all behind the gate.
func NewServer(mostConns int, gate *hold.Gate, post func(core.Event), log logrus.FieldLogger) *Server {
	return &Server{post: post, log: log, gate: gate, most: mostConns, freed: make(chan struct{}, 1),
		conns: map[*conn]struct{}{}, exchanges: map[core.ExchangeID]*exchange{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	s.gate.Wake()
	defer s.gate.Rest()
	for {
		if s.yields() {
			s.yield(ln)
		}
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		} else if err != nil {
			// Danger: out of descriptors, accepting fails at once, again and again.
			s.log.WithError(err).Warn("accept")
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{Conn: s.gate.Wrap(nc), release: s.release, since: time.Now()}
		c.SetReadDeadline(c.since.Add(readWait))
		s.place(c)
		s.gate.Go(func() { s.serve(c) })
	}
}

// place waits until a connection is admitted.
func (s *Server) place(c *conn) {
	for !s.admit(c) {
		s.setPending(c)
		s.gate.Rest()
		// Danger: closing it here could lose a request that the kernel has taken. What comes later waits
		// in the kernel's backlog meanwhile, call-backs too: it must not wait on a silent connection.
		select {
		case <-s.freed:
		case <-time.After(placePause):
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

// admit counts a connection. When all places are taken it closes another one: the oldest that is overdue with
// its first request, else the one that has been idle longest. Danger: by age alone usual callers' kept
// connections would go first when others connect by hundreds and say nothing; so they are spared for as long
// as a new one may still turn out to be one of those.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	var out *conn
	if len(s.conns) >= s.most {
		var from time.Time
		worst, now := stays, time.Now()
		for x := range s.conns {
			if r, since := x.rank(now); r > worst || r == worst && r > stays && since.Before(from) {
				out, from, worst = x, since, r
			}
		}
		if worst == stays || worst == mayProve {
			s.mu.Unlock()
			return false
		}
	}
	if out != nil && !out.lingers() && !out.claim() {
		s.mu.Unlock()
		return false // something has just come on it
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if out != nil {
		out.Close()
	}
	return true
}

// SetMost changes how many connections may be open.
func (s *Server) SetMaxConns(conns int) {
	s.mu.Lock()
	s.most = conns
	s.mu.Unlock()
	s.wake()
}

func (s *Server) release(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.wake()
}

// wake lets an accepting that found no place look again.
func (s *Server) wake() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// crowded tells whether as many callers wait as may.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(len(s.exchanges)) >= callerPart*float64(s.most)
}

// handle takes a request. It returns the answer, or says that the connection waits for the reducer's.
func (s *Server) handle(c *conn, req *fasthttp.Request) (a answer, waits bool) {
	if err := checkHead(&req.Header); err != nil {
		return s.reject(err), false
	}
	path, _, _ := strings.Cut(string(req.RequestURI()), "?")
	switch path {
	case pathCallBack:
		return s.callBack(c, req)
	case pathHealth:
		return s.health(c)
	default:
		return s.call(c, req)
	}
}

// Shares says that for so long another process may take callers and call-backs at the same address. A call-back that this
// one knows nothing of is left unanswered meanwhile, and comes again. Danger: acknowledged here it would be lost there.
func (s *Server) ShareListener(most time.Duration) { s.shares.Store(time.Now().Add(most).UnixNano()) }

func (s *Server) callBack(c *conn, req *fasthttp.Request) (answer, bool) {
	if !req.Header.IsPost() {
		return refusal(fasthttp.StatusMethodNotAllowed, "call-backs are posted"), false
	}
	report, err := parseCallBack(req.Body())
	if err != nil {
		return s.reject(err), false
	}
	c.prove(ofWorkers)
	shared := time.Now().UnixNano() < s.shares.Load()
	if shared {
		report.Exchange = s.open(c, "")
		c.SetReadDeadline(time.Time{})
	}
	s.post(report)
	return answer{status: fasthttp.StatusOK}, shared
}

// health asks the reducer itself, so that a 200 shows that it runs. Danger: hundreds may ask once and stay, so
// the answer closes the connection.
func (s *Server) health(c *conn) (answer, bool) {
	if s.draining.Load() {
		return refusal(fasthttp.StatusServiceUnavailable, "draining"), false
	}
	c.mu.Lock()
	c.ends = true
	c.mu.Unlock()
	id := s.open(c, "")
	s.post(core.HealthAsked{Exchange: id})
	c.SetReadDeadline(time.Now().Add(healthWait))
	err := c.ReadAhead()
	if a, answered := s.close(id); answered {
		return answerOf(a), false
	} else if errors.Is(err, os.ErrDeadlineExceeded) {
		return refusal(fasthttp.StatusServiceUnavailable, "not ready"), false
	}
	return refusal(fasthttp.StatusServiceUnavailable, "left"), false
}

// call takes a caller's request, which waits for its one final answer.
func (s *Server) call(c *conn, req *fasthttp.Request) (answer, bool) {
	if !req.Header.IsPost() {
		return refusal(fasthttp.StatusMethodNotAllowed, "jobs are posted"), false
	}
	call, err := parseCall(req)
	if err != nil {
		return s.reject(err), false
	}
	c.prove(ofCallers)
	if s.crowded() {
		// The last places are kept for call-backs: without them no job that runs would ever be answered.
		a := refusal(fasthttp.StatusServiceUnavailable, "no place left")
		a.pause = busyRetry
		s.count(call.Class, a.status)
		return a, false
	}
	call.Exchange = s.open(c, call.Class)
	// Danger: the time limit for reading the request still runs; reaching it would look as if the caller had left.
	c.SetReadDeadline(time.Time{})
	s.post(core.CallArrived{Call: call})
	return answer{}, true
}

func (s *Server) open(c *conn, class string) core.ExchangeID {
	id := core.ExchangeID(s.lastID.Add(1))
	c.serves(id)
	s.mu.Lock()
	s.exchanges[id] = &exchange{conn: c, class: class}
	s.last = time.Now()
	s.mu.Unlock()
	return id
}

// close ends an exchange, and tells its answer if it has got one. A job's end is counted here.
func (s *Server) close(id core.ExchangeID) (core.Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.exchanges[id]
	if l == nil {
		return core.Answer{}, false
	}
	delete(s.exchanges, id)
	if l.answered {
		s.count(l.class, statuses[l.answer.Verdict])
	}
	return l.answer, l.answered
}

// Present tells whether an exchange waits for its answer and its caller has not closed the connection, as far as the kernel knows. It reads nothing.
func (s *Server) CallerPresent(id core.ExchangeID) bool {
	s.mu.Lock()
	l := s.exchanges[id]
	waits := l != nil && !l.answered
	s.mu.Unlock()
	return waits && !l.conn.PeerClosed()
}

// Answer hands a final answer to its exchange. It does not block.
func (s *Server) Answer(a core.Answer) {
	s.mu.Lock()
	l := s.exchanges[a.Exchange]
	if l == nil || l.answered {
		s.mu.Unlock()
		return
	}
	l.answer, l.answered = a, true
	s.mu.Unlock()
	l.conn.Interrupt()
}

// reject answers a request that is at fault itself.
func (s *Server) reject(err error) answer {
	s.complain(err)
	return refusal(fasthttp.StatusBadRequest, err.Error())
}

// complain logs that a request was refused. Danger: a line for each would make a flood of bad requests dear.
func (s *Server) complain(err error) {
	s.mu.Lock()
	s.unsaid++
	n, now := s.unsaid, time.Now()
	due := now.Sub(s.complained) >= complaintsEvery
	if due {
		s.complained, s.unsaid = now, 0
	}
	s.mu.Unlock()
	if due {
		s.log.WithError(err).WithField("refused", n).Warn("requests refused; the error is the last one's")
	}
}

// unreadable answers what could not be read as a request.
func (s *Server) unreadable(err error) answer {
	s.complain(err)
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

// answerOf words the reducer's answer.
func answerOf(a core.Answer) answer {
	out := answer{status: statuses[a.Verdict], body: a.Body, last: a.Verdict == core.Rejected}
	if a.Verdict != core.Served {
		out.body = []byte(a.Reason + "\n")
	}
	if a.Verdict == core.Busy && a.Pause > 0 {
		out.pause = strconv.FormatFloat(a.Pause, 'f', 3, 64)
	}
	return out
}
