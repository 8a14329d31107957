package nexthop

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/tcp"
)

const mostAnswer = 64 << 10 // bytes of a next hop's answer

// conn is a connection to a next hop. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr  string
	r     *bufio.Reader
	w     *bufio.Writer
	since time.Time     // when it became idle
	age   time.Duration // for how long it was idle before it was taken; 0 for a new one
}

// kept tells whether the connection has carried an exchange before this one.
func (c *conn) kept() bool { return c.age > 0 }

func newConn(c net.Conn, addr string) *conn {
	return &conn{Conn: c, addr: addr, r: bufio.NewReader(c), w: bufio.NewWriter(c)}
}

// write sends a whole request. An error means that its last byte was not written.
func (c *conn) write(req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return fmt.Errorf("write to %s: %w", c.addr, err)
	}
	if err := c.w.Flush(); err != nil {
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
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, mostAnswer); err != nil {
		return answer{}, fmt.Errorf("read from %s: %w", c.addr, err)
	}
	return answer{status: resp.StatusCode(), turnedAway: string(resp.Header.Peek(headerTurnedAway)) == "1",
		closes: resp.ConnectionClose()}, nil
}

// fresh reports whether an idle connection is still open and silent. A request written to one that the
// next hop has closed would end as a reset, after which most classes must not be tried again.
func (c *conn) fresh() bool {
	return c.r.Buffered() == 0 && tcp.Silent(c.Conn)
}
