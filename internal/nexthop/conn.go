package nexthop

import (
	"bufio"
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/hold"
)

const mostAnswer = 64 << 10 // bytes of a next hop's answer

// conn is a connection to a next hop. It carries one exchange at a time.
type conn struct {
	*hold.Conn
	addr  string
	r     *bufio.Reader // while it reads, or holds bytes that nobody asked for; nil otherwise
	since time.Time     // when it became idle
	age   time.Duration // for how long it was idle before it was taken; 0 for a new one
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
		return c.send(buf.Bytes())
	}
	wrote, err := may()
	if err != nil {
		return err
	}
	defer wrote()
	return c.send(buf.Bytes())
}

// send writes what is left of a request.
func (c *conn) send(rest []byte) error {
	if _, err := c.Write(rest); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	return nil
}

// answer is what a next hop says on an exchange.
type answer struct {
	status     int
	turnedAway bool
	closes     bool // the connection carries nothing further
}

func (c *conn) read() (answer, error) {
	if c.r == nil {
		c.r = readers.Get().(*bufio.Reader)
		c.r.Reset(c.Conn)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, mostAnswer); err != nil {
		return answer{}, fmt.Errorf("read from %s: %w", c.addr, err)
	}
	c.Mark(c.r.Buffered())
	if c.r.Buffered() == 0 {
		readers.Put(c.r)
		c.r = nil
	}
	return answer{status: resp.StatusCode(), turnedAway: string(resp.Header.Peek(headerTurnedAway)) == "1",
		closes: resp.ConnectionClose()}, nil
}

// fresh reports whether an idle connection is still open and silent. A request written to one that the
// next hop has closed would end as a reset, after which most classes must not be tried again.
func (c *conn) fresh() bool {
	return c.r == nil && c.Silent()
}
