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

	mostBody    = 64 << 10
	readWait    = 10 * time.Second // for a request, and for the first one on a connection
	writeWait   = 5 * time.Second
	idleWait    = 75 * time.Second
	acceptPause = 5 * time.Millisecond // after a failed accept
	callerPart  = 0.8                  // of the connections for waiting callers; call-backs need the rest
	busyRetry   = "1"                  // seconds, told to callers that find no place
	healthWait  = 2 * time.Second
)

// Server serves one listener.
type Server struct {
	post func(core.Event)
	log  logrus.FieldLogger
	http *fasthttp.Server

	freed chan struct{} // wakes the accepting that found no place

	draining atomic.Bool
	lastID   atomic.Uint64

	mu    sync.Mutex
	most  int // open connections
	conns map[*legConn]struct{}
	legs  map[core.LegID]chan core.Answer
	last  time.Time // when the last connection or request came
}

// NewServer makes a server that holds at most so many connections.
func NewServer(mostConns int, post func(core.Event), log logrus.FieldLogger) *Server {
	s := &Server{post: post, log: log, most: mostConns, freed: make(chan struct{}, 1), conns: map[*legConn]struct{}{},
		legs: map[core.LegID]chan core.Answer{}}
	s.http = &fasthttp.Server{Handler: s.handle, ErrorHandler: unreadable, MaxRequestBodySize: mostBody, ReadTimeout: readWait,
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
		c := &legConn{Conn: nc, release: s.release, freed: s.wake, idle: true, since: time.Now()}
		for !s.admit(c) {
			// Danger: closing it here could lose a request that the kernel has taken. What comes later waits
			// in the kernel's backlog meanwhile.
			<-s.freed
		}
		go func() {
			if err := s.http.ServeConn(c); err != nil {
				s.log.WithError(err).Debug("connection ended")
			}
		}()
	}
}

// admit counts a connection. When all places are taken it closes the one that has been idle longest.
func (s *Server) admit(c *legConn) bool {
	s.mu.Lock()
	var oldest *legConn
	if len(s.conns) >= s.most {
		var from time.Time
		for x := range s.conns {
			if since, idle := x.idleSince(); idle && (oldest == nil || since.Before(from)) {
				oldest, from = x, since
			}
		}
		if oldest == nil {
			s.mu.Unlock()
			return false
		}
	}
	s.conns[c] = struct{}{}
	s.last = time.Now()
	s.mu.Unlock()
	if oldest != nil {
		oldest.Close()
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
	c.setIdle(false)
	defer c.handled()
	defer func() {
		if s.draining.Load() { // as of now: the request may have waited since before
			ctx.SetConnectionClose()
		}
	}()
	switch string(ctx.Path()) {
	case pathCallBack:
		s.callBack(ctx)
	case pathHealth:
		s.health(ctx)
	default:
		s.call(ctx, c)
	}
}

func (s *Server) callBack(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "call-backs are posted")
		return
	}
	report, err := parseCallBack(ctx.PostBody())
	if err != nil {
		s.log.WithError(err).Warn("call-back refused")
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
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
		s.log.WithError(err).Warn("request refused")
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if s.crowded() {
		// The last places are kept for call-backs: without them no job that runs would ever be answered.
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, busyRetry)
		ctx.SetConnectionClose()
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

// refuse answers with an error. fasthttp's own ctx.Error would drop the headers set before.
func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
}

// unreadable answers what could not be read as a request.
func unreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
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
	if a.Verdict == core.Busy && a.Pause > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(a.Pause, 'f', 3, 64))
	}
}
