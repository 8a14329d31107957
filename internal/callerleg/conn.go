package callerleg

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/tcp"
)

// phase is where a connection stands with its current request.
type phase int

const (
	waiting phase = iota // for the first byte of a request
	reading              // part of a request has come
	serving              // the request is being answered
)

// When a connection may give its place to another one.
const (
	silentGrace = 25 * time.Millisecond  // for a new one that has said nothing: callers write at once
	partGrace   = 100 * time.Millisecond // for a new one with part of its first request
)

// legConn is a connection that a caller or a next hop opened. While its request waits for an answer it
// reads ahead: fasthttp does not say that a caller has closed its leg.
type legConn struct {
	net.Conn
	release func(*legConn)
	freed   func() // told when the connection begins to wait for a request

	mu       sync.Mutex
	phase    phase
	proven   bool      // a well-formed request has come on it
	since    time.Time // when it was opened; once proven, when its phase began
	closed   bool
	answered bool // the handler is done, but its answer may not have been written

	ahead   [1]byte
	hasByte bool
	err     error
	stopped chan struct{} // closed when reading ahead has ended
}

// Read serves the byte that was read ahead first.
func (c *legConn) Read(p []byte) (int, error) {
	if c.hasByte && len(p) > 0 {
		p[0], c.hasByte = c.ahead[0], false
		c.enter(reading) // it is the first byte of the next request
		return 1, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	c.beginRead()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.enter(reading)
	} else if errors.Is(err, os.ErrDeadlineExceeded) && c.silent() {
		// Danger: fasthttp answers a first request that does not come in time; the answer could cross that
		// request and be taken for its own. A close crosses without harm.
		err = io.EOF
	}
	return n, err
}

// silent tells whether nothing of a request has come.
func (c *legConn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == waiting
}

// beginRead makes the connection wait for its next request once its last answer is out: fasthttp reads on
// only after writing. Danger: one that counted as idle from the handler's end on could be closed with the
// answer unwritten.
func (c *legConn) beginRead() {
	c.mu.Lock()
	was := c.answered
	c.mu.Unlock()
	if was {
		c.enter(waiting)
		c.freed()
	}
}

// enter begins a phase.
func (c *legConn) enter(p phase) {
	c.mu.Lock()
	if c.proven && c.phase != p {
		c.since = time.Now()
	}
	c.phase, c.answered = p, false
	c.mu.Unlock()
}

// prove marks that a well-formed request has come.
func (c *legConn) prove() {
	c.mu.Lock()
	c.proven = true
	c.mu.Unlock()
}

// handled marks that the handler is done.
func (c *legConn) handled() {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
}

func (c *legConn) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.release(c)
	return err
}

// rank orders connections by how soon they give up their places.
type rank int

const (
	stays     rank = iota // it is at work
	keptIdle              // well-formed requests have come on it, and it waits for the next
	mayProve              // new; its first request may still be on its way
	yieldsNow             // new, and overdue with its first request
)

// rank tells how soon the connection gives up its place, and from when on it has held it. Danger: closing one
// on which a request has arrived unread costs that request.
func (c *legConn) rank(now time.Time) (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := now.Sub(c.since)
	switch {
	case c.closed || c.phase == serving || c.proven && c.phase == reading:
		return stays, c.since
	case c.phase == waiting && !tcp.Silent(c.Conn):
		return stays, c.since
	case c.proven:
		return keptIdle, c.since
	case c.phase == waiting && held < silentGrace || c.phase == reading && held < partGrace:
		return mayProve, c.since
	default:
		return yieldsNow, c.since
	}
}

// idleFor tells for how long the connection has been waiting for a request of which nothing has come.
func (c *legConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.phase != waiting || !tcp.Silent(c.Conn) {
		return 0
	}
	return now.Sub(c.since)
}

// saysNothing tells whether the connection is new and not a byte has come on it.
func (c *legConn) saysNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.proven && c.phase == waiting && tcp.Silent(c.Conn)
}

// watch calls left if the caller closes its leg before unwatch. Danger: the time limit for reading the
// request still runs; reaching it would end the watch with the caller still there.
func (c *legConn) watch(left func()) {
	c.Conn.SetReadDeadline(time.Time{})
	c.stopped = make(chan struct{})
	go func() {
		defer close(c.stopped)
		n, err := c.Conn.Read(c.ahead[:])
		c.hasByte = n > 0
		if ne, ok := err.(net.Error); err != nil && !(ok && ne.Timeout()) {
			c.err = err
			left()
		}
	}()
}

// unwatch ends reading ahead.
func (c *legConn) unwatch() {
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the reader; a closed connection wakes by itself
	<-c.stopped
	c.Conn.SetReadDeadline(time.Time{})
}
