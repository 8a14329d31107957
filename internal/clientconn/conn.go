package clientconn

import (
	"sync"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// phase is where a connection stands with its current request.
type phase uint8

const (
	waiting   phase = iota // for the first byte of a request
	reading                // part of a request has come
	serving                // the request is being answered
	answering              // the answer is being written
)

// side is whose connection it is, as its last well-formed request tells.
type side uint8

const (
	unknown   side = iota
	ofCallers      // it brings jobs
	ofWorkers      // it brings call-backs
)

// When a connection may give its place to another one.
const (
	silentGrace = 25 * time.Millisecond  // for a new one that has said nothing: callers write at once
	partGrace   = 100 * time.Millisecond // for a new one with part of its first request
)

// conn is a connection that a caller or a worker opened.
type conn struct {
	*hold.Conn
	release func(*conn)

	mu        sync.Mutex
	phase     phase
	proven    bool // a well-formed request has come on it
	side      side
	later     bool            // an answer has been written: what comes next is not its first request
	since     time.Time       // when it was opened; once proven, when its phase began
	exchange  core.ExchangeID // while a request waits for the reducer's answer
	old       bool            // the request being served is of HTTP/1.0
	head      bool            // it is a HEAD
	ends      bool            // its answer is the last
	continued bool            // a 100 Continue was written for the request being read
	shut      bool            // nothing that comes from now on is taken: its answers are over, or it was claimed
	closed    bool
}

// enter begins a phase, unless the connection was claimed.
func (c *conn) enter(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return false
	}
	if c.proven && c.phase != p {
		c.since = time.Now()
	}
	c.phase = p
	return true
}

// claim takes a connection from its reader, for its end: only while it waits for a request of which nothing has come, or for the rest of a
// first one. Danger: what its reader gets a moment later must not be taken; its client sees the end, and sends it again elsewhere.
func (c *conn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut || c.closed || !(c.phase == waiting && c.OpenWithoutData() || c.phase == reading && !c.proven) {
		return false
	}
	c.shut = true
	return true
}

// How a connection ends whose other side may still be writing. Danger: a close over bytes that nobody has read resets the connection, and what
// was written last goes with it; so this side says that it is over, and reads on to the other's end, within bounds.
const (
	lingerWait = 500 * time.Millisecond
	lingerMost = 256 << 10 // bytes
)

// linger ends what this side says on the connection, and reads what still comes until the other side ends too.
func (c *conn) linger() {
	c.mu.Lock()
	claimed, closed := c.shut, c.closed
	c.shut = true
	c.mu.Unlock()
	if closed {
		return
	}
	if !claimed {
		c.end()
	}
	var b [512]byte
	for n := 0; n < lingerMost; {
		m, err := c.Read(b[:])
		if err != nil {
			return
		}
		n += m
		c.MarkConsumed(0)
	}
}

// end says that nothing more will be said on the connection, and bounds how long what comes is read.
func (c *conn) end() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerWait))
}

// lingers tells whether the connection only waits for the other side's end.
func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// prove marks that a well-formed request has come, and from whom.
func (c *conn) prove(from side) {
	c.mu.Lock()
	c.proven, c.side = true, from
	c.mu.Unlock()
}

// serves marks which request of the reducer's the connection waits with.
func (c *conn) serves(exchange core.ExchangeID) {
	c.mu.Lock()
	c.exchange = exchange
	c.mu.Unlock()
}

func (c *conn) Close() error {
	c.mu.Lock()
	was := c.closed
	c.closed = true
	c.mu.Unlock()
	if was {
		return nil
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
	yieldsNow             // new, and overdue with its first request; or over, but for the other side's end
)

// rank tells how soon the connection gives up its place, and from when on it has held it. Danger: closing one
// on which a request has arrived unread costs that request.
func (c *conn) rank(now time.Time) (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := now.Sub(c.since)
	switch {
	case c.shut && !c.closed:
		return yieldsNow, c.since
	case c.closed || c.phase >= serving || c.proven && c.phase == reading:
		return stays, c.since
	case c.phase == waiting && !c.OpenWithoutData():
		return stays, c.since
	case c.proven:
		return keptIdle, c.since
	case c.phase == waiting && held < silentGrace || c.phase == reading && held < partGrace:
		return mayProve, c.since
	default:
		return yieldsNow, c.since
	}
}

// idleFor tells for how long the connection, if it is of that side, has been waiting for a request of which nothing has
// come. unknown stands for all sides.
func (c *conn) idleFor(now time.Time, of side) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if of != unknown && c.side != of || c.closed || c.shut || c.phase != waiting || !c.OpenWithoutData() {
		return 0
	}
	return now.Sub(c.since)
}

// saysNothing tells whether the connection is new and not a byte has come on it.
func (c *conn) saysNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.proven && c.phase == waiting && c.OpenWithoutData()
}
