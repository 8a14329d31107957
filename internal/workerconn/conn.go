package workerconn

import (
	"bufio"
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/hold"
)

const mostAnswer = 64 << 10 // bytes of a worker's answer

// conn is a connection to a worker. It carries one exchange at a time.
type conn struct {
	*hold.Conn
	addr  string
	r     *bufio.Reader      // while it reads; nil otherwise
	resp  *fasthttp.Response // whose head has been read; nil for none
	since time.Time          // when it became idle
	age   time.Duration      // for how long it was idle before it was taken; 0 for a new one
}

// kept tells whether the connection has carried an exchange before this one.
func (c *conn) kept() bool { return c.age > 0 }

func newConn(c *hold.Conn, addr string) *conn {
	return &conn{Conn: c, addr: addr}
}

// readers are the buffers of answers that are being read: kept connections are many, and silent.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// requests are buffers that whole requests are written into. Danger: a request that went out in parts could not be
// finished by another process, which gets what is left of one Write.
var requests = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends a whole request, where may allows it in the last moment; nil for always. An error means that its last byte was not written.
func (c *conn) write(req *fasthttp.Request, may func() (wrote func(), err error)) error {
	buf := requests.Get().(*bytes.Buffer)
	defer requests.Put(buf)
	buf.Reset()
	w := bufio.NewWriter(buf)
	if err := req.Write(w); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	if may == nil {
		return c.send(buf.Bytes(), nil)
	}
	wrote := nothing
	defer func() { wrote() }()
	return c.send(buf.Bytes(), func() (err error) {
		var after func()
		if after, err = may(); err == nil {
			wrote = after
		}
		return err
	})
}

// send writes what is left of a request, where may allows it.
func (c *conn) send(rest []byte, may func() error) error {
	if _, err := c.WriteIf(rest, may); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	return nil
}

// answer is the head of what a worker says on an exchange.
type answer struct {
	status     int
	turnedAway bool
}

const (
	restWait  = time.Second // for what follows an answer's head
	mostHeads = 8           // of answers that only announce another one
)

// read reads the head of the answer. Danger: its body may never end, and the job's fate must not wait for that: see rest.
func (c *conn) read() (answer, error) {
	if c.r == nil {
		c.r = readers.Get().(*bufio.Reader)
		c.r.Reset(c.Conn)
	}
	c.resp = fasthttp.AcquireResponse()
	for range mostHeads {
		if err := c.resp.Header.Read(c.r); err != nil {
			return answer{}, fmt.Errorf("read from %s: %w", c.addr, err)
		}
		if code := c.resp.StatusCode(); code >= fasthttp.StatusOK || code == fasthttp.StatusSwitchingProtocols {
			return answer{status: code, turnedAway: string(c.resp.Header.Peek(headerTurnedAway)) == "1"}, nil
		}
	}
	return answer{}, fmt.Errorf("read from %s: over %d answers that announce another", c.addr, mostHeads)
}

// whole tells whether all of the last answer has been read from the kernel.
func (c *conn) whole() bool {
	n := c.resp.Header.ContentLength()
	return n >= 0 && n <= c.r.Buffered()
}

// rest reads what follows the head of the last answer, and tells whether the connection can carry a next exchange.
func (c *conn) rest() bool {
	if c.resp == nil || c.resp.ConnectionClose() || c.SetDeadline(time.Now().Add(restWait)) != nil {
		return false
	}
	if err := c.resp.ReadBody(c.r, mostAnswer); err != nil {
		return false
	}
	fasthttp.ReleaseResponse(c.resp)
	c.resp = nil
	if c.r.Buffered() > 0 { // danger: a second answer would be taken for the next request's
		return false
	}
	c.MarkConsumed(0)
	readers.Put(c.r)
	c.r = nil
	return true
}

// fresh reports whether an idle connection is still open and silent. A request written to one that the
// worker has closed would end as a reset, after which most classes must not be tried again.
func (c *conn) fresh() bool {
	return c.r == nil && c.OpenWithoutData()
}
