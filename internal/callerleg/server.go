// Package callerleg serves callers and takes the next hops' call-backs, which arrive at the same address.
// It turns requests into events and answers into bytes; it decides nothing.
package callerleg

import (
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

const (
	pathCallBack = "/callback"
	pathHealth   = "/healthz"

	mostBody        = 64 << 10
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

// Server serves one listener.
type Server struct {
	post func(core.Event)
	log  logrus.FieldLogger
	http *fasthttp.Server

	freed chan struct{} // wakes the accepting that found no place

	draining atomic.Bool // new callers should go elsewhere
	closing  atomic.Bool // every answer closes its connection
	lastID   atomic.Uint64

	mu    sync.Mutex
	most  int // open connections
	conns map[*legConn]struct{}
	legs  map[core.LegID]chan core.Answer
	last  time.Time // when the last request came

	complained time.Time // when the last line on a refused request was logged
	unsaid     int       // refused since then
}

// NewServer makes a server that holds at most so many connections.
func NewServer(mostConns int, post func(core.Event), log logrus.FieldLogger) *Server {
	s := &Server{post: post, log: log, most: mostConns, freed: make(chan struct{}, 1), conns: map[*legConn]struct{}{},
		legs: map[core.LegID]chan core.Answer{}}
	s.http = &fasthttp.Server{Handler: s.handle, ErrorHandler: s.unreadable, MaxRequestBodySize: mostBody,
		DisablePreParseMultipartForm: true, SecureErrorLogMessage: true, ReadTimeout: readWait,
		WriteTimeout: writeWait, IdleTimeout: idleWait, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, Logger: log, CloseOnShutdown: true}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		} else if err != nil {
			// Danger: out of descriptors, accepting fails at once, again and again.
			s.log.WithError(err).Warn("accept")
			time.Sleep(acceptPause)
			continue
		}
		c := &legConn{Conn: nc, release: s.release, freed: s.wake, since: time.Now()}
		for !s.admit(c) {
			// Danger: closing it here could lose a request that the kernel has taken. What comes later waits
			// in the kernel's backlog meanwhile, call-backs too: it must not wait on a silent connection.
			select {
			case <-s.freed:
			case <-time.After(placePause):
			}
		}
		go func() {
			if err := s.http.ServeConn(c); err != nil {
				s.log.WithError(err).Debug("connection ended")
			}
		}()
	}
}

// admit counts a connection. When all places are taken it closes another one: the oldest that is overdue with
// its first request, else the one that has been idle longest. Danger: by age alone usual callers' kept
// connections would go first when others connect by hundreds and say nothing; so they are spared for as long
// as a new one may still turn out to be one of those.
func (s *Server) admit(c *legConn) bool {
	s.mu.Lock()
	var out *legConn
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
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if out != nil {
		out.Close()
	}
	return true
}

// SetMost changes how many connections may be open.
func (s *Server) SetMost(conns int) {
	s.mu.Lock()
	s.most = conns
	s.mu.Unlock()
	s.wake()
}

func (s *Server) release(c *legConn) {
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
	return float64(len(s.legs)) >= callerPart*float64(s.most)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, _ := ctx.Conn().(*legConn)
	c.enter(serving)
	defer c.handled()
	defer func() {
		if s.closing.Load() { // as of now: the request may have waited since before
			ctx.SetConnectionClose()
		}
	}()
	if err := checkHead(&ctx.Request.Header); err != nil {
		s.reject(ctx, err)
		return
	}
	switch string(ctx.Path()) {
	case pathCallBack:
		s.callBack(ctx, c)
	case pathHealth:
		ctx.SetConnectionClose() // danger: hundreds may ask once and stay
		s.health(ctx)
	default:
		s.call(ctx, c)
	}
}

func (s *Server) callBack(ctx *fasthttp.RequestCtx, c *legConn) {
	if !ctx.IsPost() {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "call-backs are posted")
		return
	}
	report, err := parseCallBack(ctx.PostBody())
	if err != nil {
		s.reject(ctx, err)
		return
	}
	c.prove()
	s.post(report)
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// health asks the reducer itself, so that a 200 shows that it runs.
func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "draining")
		return
	}
	leg, answered := s.open()
	defer s.close(leg)
	s.post(core.HealthAsked{Leg: leg})
	t := time.NewTimer(healthWait)
	defer t.Stop()
	select {
	case a := <-answered:
		s.write(ctx, a)
	case <-t.C:
		refuse(ctx, fasthttp.StatusServiceUnavailable, "not ready")
	}
}

// call takes a caller's request and waits for its one final answer.
func (s *Server) call(ctx *fasthttp.RequestCtx, c *legConn) {
	if !ctx.IsPost() {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "jobs are posted")
		return
	}
	call, err := parseCall(&ctx.Request)
	if err != nil {
		s.reject(ctx, err)
		return
	}
	c.prove()
	if s.crowded() {
		// The last places are kept for call-backs: without them no job that runs would ever be answered.
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, busyRetry)
		refuse(ctx, fasthttp.StatusServiceUnavailable, "no place left")
		return
	}
	leg, answered := s.open()
	defer s.close(leg)
	call.Leg = leg
	s.post(core.CallArrived{Call: call})
	left := make(chan struct{})
	c.watch(func() { close(left) })
	select {
	case a := <-answered:
		c.unwatch()
		s.write(ctx, a)
	case <-left:
		c.unwatch()
		s.post(core.CallerLeft{Leg: leg})
		ctx.SetConnectionClose()
	}
}

func (s *Server) open() (core.LegID, chan core.Answer) {
	leg, answered := core.LegID(s.lastID.Add(1)), make(chan core.Answer, 1)
	s.mu.Lock()
	s.legs[leg] = answered
	s.last = time.Now()
	s.mu.Unlock()
	return leg, answered
}

func (s *Server) close(leg core.LegID) {
	s.mu.Lock()
	delete(s.legs, leg)
	s.mu.Unlock()
}

// Answer hands a final answer to its caller leg. It does not block.
func (s *Server) Answer(a core.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered := s.legs[a.Leg]; answered != nil {
		answered <- a // room for the one answer that a leg gets
		delete(s.legs, a.Leg)
	}
}

// refuse answers with an error and closes the connection: what follows on it is in doubt too, and its place
// is needed. fasthttp's own ctx.Error would drop the headers set before.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
}

// reject answers a request that is at fault itself.
func (s *Server) reject(ctx *fasthttp.RequestCtx, err error) {
	s.complain(err)
	refuse(ctx, fasthttp.StatusBadRequest, err.Error())
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
func (s *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	s.complain(err)
	var small *fasthttp.ErrSmallBuffer
	var late net.Error
	switch {
	case errors.As(err, &late) && late.Timeout():
		refuse(ctx, fasthttp.StatusRequestTimeout, "request took too long")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "body too large")
	case errors.As(err, &small):
		refuse(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "headers too large")
	default:
		refuse(ctx, fasthttp.StatusBadRequest, "not a request")
	}
}

var statuses = map[core.Verdict]int{core.Served: fasthttp.StatusOK, core.Busy: fasthttp.StatusServiceUnavailable,
	core.Failed: fasthttp.StatusBadGateway, core.Rejected: fasthttp.StatusBadRequest}

func (s *Server) write(ctx *fasthttp.RequestCtx, a core.Answer) {
	ctx.SetStatusCode(statuses[a.Verdict])
	if a.Verdict == core.Served {
		ctx.Response.SetBodyRaw(a.Body)
	} else {
		ctx.SetBodyString(a.Reason + "\n")
	}
	if a.Verdict == core.Rejected {
		ctx.SetConnectionClose()
	}
	if a.Verdict == core.Busy && a.Pause > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(a.Pause, 'f', 3, 64))
	}
}
