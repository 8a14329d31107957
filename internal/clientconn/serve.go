package clientconn

import (
	"bufio"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
)

// readers are the buffers of requests that are being read; a header must fit into one.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, mostHeader) }}

// answer is what a connection says to a request.
type answer struct {
	status int
	pause  string // Retry-After, in seconds
	body   []byte
	last   bool // the connection ends with it
}

// refusal answers with an error and closes the connection: what follows on it is in doubt too, and its place is
// needed.
func refusal(status int, reason string) answer {
	return answer{status: status, body: []byte(reason + "\n"), last: true}
}

// bytes writes the answer down. old says that the caller speaks HTTP/1.0, where connections end unless kept.
func (a answer) bytes(old, head bool) []byte {
	out := make([]byte, 0, 160+len(a.body))
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(a.status), 10)
	out = append(append(append(out, ' '), fasthttp.StatusMessage(a.status)...), "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(a.body)), 10)
	if a.pause != "" {
		out = append(append(out, "\r\nRetry-After: "...), a.pause...)
	}
	if a.last {
		out = append(out, "\r\nConnection: close"...)
	} else if old {
		out = append(out, "\r\nConnection: keep-alive"...)
	}
	out = append(out, "\r\n\r\n"...)
	if head {
		return out
	}
	return append(out, a.body...)
}

// serve reads and answers a connection's requests until it ends.
func (s *Server) serve(c *conn) {
	defer c.Close()
	for s.next(c) {
	}
	c.linger()
}

// next reads one request and answers it, and tells whether the connection goes on.
func (s *Server) next(c *conn) bool {
	if c.WaitForData() != nil {
		// Danger: an answer to a request that did not come in time could cross that request and be taken for its
		// own. A close crosses without harm.
		return false
	}
	c.mu.Lock()
	again, later := c.phase == reading, c.later // again: taken up from another process with part of a request
	c.mu.Unlock()
	if !again {
		if !c.enter(reading) {
			return false
		}
		if later {
			c.SetReadDeadline(time.Now().Add(readWait))
		}
	}
	req := fasthttp.AcquireRequest()
	err := s.read(c, req)
	c.mu.Lock()
	c.old, c.head, c.ends, c.continued = !req.Header.IsHTTP11(), req.Header.IsHead(), req.Header.ConnectionClose(), false
	c.mu.Unlock()
	if !c.enter(serving) { // the last place where a request may still be left alone: from here on it is taken
		fasthttp.ReleaseRequest(req)
		return false
	}
	var a answer
	var waits bool
	if err != nil {
		a = s.unreadable(err)
	} else {
		a, waits = s.handle(c, req)
	}
	fasthttp.ReleaseRequest(req)
	if waits {
		return s.waitForAnswer(c)
	}
	return s.write(c, a)
}

// read reads a whole request and leaves what follows it ahead.
func (s *Server) read(c *conn, req *fasthttp.Request) error {
	br := readers.Get().(*bufio.Reader)
	br.Reset(c.Conn)
	defer readers.Put(br)
	if err := req.Header.Read(br); err != nil {
		return err
	}
	if req.MayContinue() && !c.continued {
		c.continued = true
		if _, err := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return err
		}
	}
	if err := req.ContinueReadBody(br, mostBody, false); err != nil {
		return err
	}
	rest, err := br.Peek(br.Buffered())
	c.Unread(rest)
	return err
}

// waitForAnswer waits for the reducer's answer, reading ahead: the caller may leave. It writes the answer.
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
		s.reportMissed()
		return false // danger: an answer would say that it need not come again
	}
	return s.write(c, answerOf(a))
}

// write writes an answer, and tells whether the connection goes on.
func (s *Server) write(c *conn, a answer) bool {
	c.mu.Lock()
	// As of now: the request may have waited since before.
	a.last = a.last || c.ends || s.closing.Load() || s.away.Load() && c.side != ofWorkers
	c.ends = a.last
	old, head := c.old, c.head
	c.mu.Unlock()
	c.enter(answering)
	c.SetWriteDeadline(time.Now().Add(writeWait))
	return s.finish(c, a.bytes(old, head))
}

// finish writes what is left of an answer and makes the connection wait for its next request.
func (s *Server) finish(c *conn, rest []byte) bool {
	if _, err := c.Write(rest); err != nil {
		return false
	}
	c.mu.Lock()
	ends := c.ends
	c.exchange, c.later = 0, true
	c.mu.Unlock()
	if ends {
		return false
	}
	c.SetReadDeadline(time.Now().Add(idleWait))
	c.enter(waiting)
	s.wake()
	return true
}
