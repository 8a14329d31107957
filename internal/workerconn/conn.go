package workerconn

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/responsecheck"
)

const maxAnswerBytes = 64 << 10 // limit for the body of a worker's response

// conn is a connection to a worker. It carries one exchange at a time.
type conn struct {
	*hold.Conn
	addr      string
	r         *responsecheck.Reader // while a response is read; nil otherwise
	resp      *fasthttp.Response    // response whose header has been read; nil for none
	idleSince time.Time             // when it became idle
	idleTime  time.Duration         // how long it was idle before its current use; 0 for a new connection
}

// reused reports whether the connection carried an exchange before the current one.
func (c *conn) reused() bool { return c.idleTime > 0 }

func newConn(c *hold.Conn, addr string) *conn {
	return &conn{Conn: c, addr: addr}
}

// readerPool holds the buffers for reading responses: idle connections are many and need none.
var readerPool = sync.Pool{New: func() any { return responsecheck.NewReader(nil, http.MethodGet) }}

// requestBuffers holds buffers in which whole requests are encoded. A request must go out in one Write: after a handover
// the other process gets only the unwritten rest of one Write, and couldn't finish a request written in parts.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends a whole request if authorize, called right before the first byte, returns no error; nil allows it always.
// If write returns an error, the last byte was not written.
func (c *conn) write(req *fasthttp.Request, authorize func() (wrote func(), err error)) error {
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buf)
	buf.Reset()
	w := bufio.NewWriter(buf)
	if err := req.Write(w); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	if authorize == nil {
		return c.send(buf.Bytes(), nil)
	}
	wrote := noop
	defer func() { wrote() }()
	return c.send(buf.Bytes(), func() (err error) {
		var after func()
		if after, err = authorize(); err == nil {
			wrote = after
		}
		return err
	})
}

// send writes the rest of a request if authorize returns no error; nil allows it always.
func (c *conn) send(rest []byte, authorize func() error) error {
	if _, err := c.WriteIf(rest, authorize); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	return nil
}

// answer is what a branch needs of the header of a worker's response.
type answer struct {
	status     int
	turnedAway bool // X-Turned-Away: the worker did not run the job
}

const (
	bodyTimeout     = time.Second // for the body, after the header
	maxInterimHeads = 8           // limit of interim (1xx) responses before the final one
)

// read reads the header of the final response. It doesn't wait for the body, which may never end: the outcome of the job
// must not depend on it. See drainBody. It returns a responsecheck.InvalidResponseError for bytes that are not a response.
func (c *conn) read() (answer, error) {
	if c.r == nil {
		c.r = readerPool.Get().(*responsecheck.Reader)
		c.r.ResetTo(c.Conn, http.MethodGet)
	}
	c.resp = fasthttp.AcquireResponse()
	for range maxInterimHeads {
		if err := c.r.Cause(c.resp.Header.Read(c.r.Reader)); err != nil {
			return answer{}, fmt.Errorf("read from %s: %w", c.addr, err)
		}
		if code := c.resp.StatusCode(); code >= fasthttp.StatusOK || code == fasthttp.StatusSwitchingProtocols {
			return answer{status: code, turnedAway: string(c.resp.Header.Peek(headerTurnedAway)) == "1"}, nil
		}
	}
	return answer{}, fmt.Errorf("read from %s: more than %d interim responses", c.addr, maxInterimHeads)
}

// bodyBuffered reports whether the whole body of the last response has been read from the socket.
func (c *conn) bodyBuffered() bool {
	n := c.resp.Header.ContentLength()
	return n >= 0 && n <= c.r.Buffered()
}

// drainBody reads the body of the last response, and reports whether the connection can be reused.
func (c *conn) drainBody() bool {
	if c.resp == nil || c.resp.ConnectionClose() || c.SetDeadline(time.Now().Add(bodyTimeout)) != nil {
		return false
	}
	if err := c.resp.ReadBody(c.r.Reader, maxAnswerBytes); err != nil {
		return false
	}
	fasthttp.ReleaseResponse(c.resp)
	c.resp = nil
	if c.r.Pending() > 0 { // a second response would be taken for that to the next request
		return false
	}
	c.MarkConsumed(0)
	readerPool.Put(c.r)
	c.r = nil
	return true
}

// usable reports whether an idle connection is still open and has no input. A request written to one that the worker has
// closed would fail with a reset, after which most classes must not be retried.
func (c *conn) usable() bool {
	return c.r == nil && c.OpenWithoutData()
}
