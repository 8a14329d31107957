package clientconn

import (
	"bufio"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

// readerPool holds the buffers for reading requests. A request's header must fit into one.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxHeaderBytes) }}

// answer is the response to a request.
type answer struct {
	status     int
	retryAfter string // Retry-After in seconds; empty for none
	body       []byte
	closes     bool // the connection is closed after it
}

// refusal returns an error response that closes the connection: after an invalid request the following bytes can't be
// trusted, and the connection slot is needed.
func refusal(status int, reason string) answer {
	return answer{status: status, body: []byte(reason + "\n"), closes: true}
}

// bytes encodes the response. HTTP/1.0 connections close unless the response says keep-alive.
func (a answer) bytes(http10, isHead bool) []byte {
	out := make([]byte, 0, 160+len(a.body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.status), 10)
	out = append(append(append(out, ' '), fasthttp.StatusMessage(a.status)...), "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(a.body)), 10)
	if a.retryAfter != "" {
		out = append(append(out, "\r\nRetry-After: "...), a.retryAfter...)
	}
	if a.closes {
		out = append(out, "\r\nConnection: close"...)
	} else if http10 {
		out = append(out, "\r\nConnection: keep-alive"...)
	}
	out = append(out, "\r\n\r\n"...)
	if isHead {
		return out
	}
	return append(out, a.body...)
}

// serve reads and answers a connection's requests until it ends.
func (s *Server) serve(c *conn) {
	defer c.Close()
	for s.serveNext(c) {
	}
	c.linger()
}

// serveNext reads and answers one request, and reports whether the connection stays open.
func (s *Server) serveNext(c *conn) bool {
	if c.WaitForData() != nil {
		// A time-out is not answered: the response could cross with a late request and be taken as the response to it. A
		// close can't be mistaken.
		return false
	}
	c.mu.Lock()
	resumed, later := c.phase == phaseReading, c.answeredBefore // again: the request was partly read by the previous process
	c.mu.Unlock()
	if !resumed {
		if !c.setPhase(phaseReading) {
			return false
		}
		if later {
			c.SetReadDeadline(time.Now().Add(readTimeout))
		}
	}
	req := fasthttp.AcquireRequest()
	err := s.read(c, req)
	c.mu.Lock()
	c.http10, c.isHead, c.closeAfter, c.continued = !req.Header.IsHTTP11(), req.Header.IsHead(), req.Header.ConnectionClose(), false
	c.mu.Unlock()
	if !c.setPhase(phaseServing) { // last chance to ignore the request: from here on it is processed
		fasthttp.ReleaseRequest(req)
		return false
	}
	var a answer
	var waits bool
	if err != nil {
		a = s.readErrorAnswer(err)
	} else {
		a, waits = s.handle(c, req)
	}
	fasthttp.ReleaseRequest(req)
	if waits {
		return s.waitForAnswer(c)
	}
	return s.write(c, a)
}

// read reads a whole request and keeps what follows it for the next one.
func (s *Server) read(c *conn, req *fasthttp.Request) error {
	br := readerPool.Get().(*bufio.Reader)
	br.Reset(c.Conn)
	defer readerPool.Put(br)
	if err := req.Header.Read(br); err != nil {
		return err
	}
	if req.MayContinue() && !c.continued {
		c.continued = true
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if err := req.ContinueReadBody(br, maxBodyBytes, false); err != nil {
		return err
	}
	rest, err := br.Peek(br.Buffered())
	c.Unread(rest)
	return err
}

// waitForAnswer waits for the reducer's answer and writes it. It reads ahead meanwhile, to notice that the caller
// leaves.
func (s *Server) waitForAnswer(c *conn) bool {
	c.mu.Lock()
	exchange := c.exchange
	c.mu.Unlock()
	if err := c.ReadAhead(); err != nil {
		if _, answered := s.close(exchange); !answered {
			s.post(core.CallerLeft{Exchange: exchange})
		}
		return false
	}
	a, _ := s.close(exchange)
	if a.Verdict == core.UnknownRequest {
		s.noteUnknownCallback()
		return false // no response, so that the worker repeats its callback, maybe to the other process
	}
	return s.write(c, toAnswer(a))
}

// write writes a response, and reports whether the connection stays open.
func (s *Server) write(c *conn, a answer) bool {
	c.mu.Lock()
	// Evaluated now and not when the request arrived, since a drain may have begun in between.
	a.closes = a.closes || c.closeAfter || s.closing.Load() || s.drainingCallers.Load() && c.peerKind != peerWorker
	c.closeAfter = a.closes
	old, head := c.http10, c.isHead
	c.mu.Unlock()
	c.setPhase(phaseAnswering)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.finishAnswer(c, a.bytes(old, head))
}

// finishAnswer writes the rest of a response and prepares the connection for its next request.
func (s *Server) finishAnswer(c *conn, rest []byte) bool {
	if _, err := c.Write(rest); err != nil {
		return false
	}
	c.mu.Lock()
	closes := c.closeAfter
	c.exchange, c.answeredBefore = 0, true
	c.mu.Unlock()
	if closes {
		return false
	}
	c.SetReadDeadline(time.Now().Add(idleTimeout))
	c.setPhase(phaseIdle)
	s.signalSlotFreed()
	return true
}
