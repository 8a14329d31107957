package clientconn

import (
	"sync"
	"time"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// phase is the state of a connection in its request cycle.
type phase uint8

const (
	phaseIdle      phase = iota // waiting for the first byte of a request
	phaseReading                // part of a request has arrived
	phaseServing                // the request is being processed
	phaseAnswering              // the response is being written
)

// peerKind is who opened the connection, judged by its last well-formed request.
type peerKind uint8

const (
	peerUnknown peerKind = iota
	peerCaller           // sends jobs
	peerWorker           // sends callbacks
)

// Grace periods of new connections, after which they may be evicted in favour of another connection.
const (
	silentGrace  = 25 * time.Millisecond  // no byte received yet: callers send their request right after connecting
	partialGrace = 100 * time.Millisecond // part of the first request received
)

// conn is a connection that a caller or a worker opened.
type conn struct {
	*hold.Conn
	release func(*conn)

	mu             sync.Mutex
	phase          phase
	validated      bool // a well-formed request has been received on it
	peerKind       peerKind
	answeredBefore bool            // a response was written: the next request is not the first one
	since          time.Time       // time of accept; once validated, the start of the phase
	exchange       core.ExchangeID // set while a request waits for the reducer's answer
	http10         bool            // the current request is HTTP/1.0
	isHead         bool            // the current request is a HEAD
	closeAfter     bool            // the connection is closed after the response
	continued      bool            // 100 Continue was written for the request being read
	inputClosed    bool            // input is no longer processed: the last response was written, or the connection was claimed
	closed         bool
}

// setPhase enters a phase. It returns false if the connection was claimed.
func (c *conn) setPhase(p phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputClosed {
		return false
	}
	if c.validated && c.phase != p {
		c.since = time.Now()
	}
	c.phase = p
	return true
}

// claim reserves the connection for closing, so that its reader processes no further input. It succeeds only if no byte
// of a next request has arrived, or if the first request is incomplete. Requests that arrive after the claim must not be
// processed: the client sees the connection close and retries elsewhere.
func (c *conn) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputClosed || c.closed || !(c.phase == phaseIdle && c.OpenWithoutData() || c.phase == phaseReading && !c.validated) {
		return false
	}
	c.inputClosed = true
	return true
}

// Limits of the lingering close. Closing a socket with unread input makes the kernel reset the connection, which can
// discard the response just written. So the write side is shut down first, and input is read until the peer closes,
// within these bounds.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
)

// linger shuts down the write side and discards input until the peer closes or a limit is reached.
func (c *conn) linger() {
	c.mu.Lock()
	claimed, closed := c.inputClosed, c.closed
	c.inputClosed = true
	c.mu.Unlock()
	if closed {
		return
	}
	if !claimed {
		c.shutdownWrite()
	}
	var b [512]byte
	for n := 0; n < maxLingerBytes; {
		count, err := c.Read(b[:])
		if err != nil {
			return
		}
		n += count
		c.MarkConsumed(0)
	}
}

// shutdownWrite shuts down the write side and sets the deadline for reading until the peer's close.
func (c *conn) shutdownWrite() {
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// isClosing reports whether the connection only waits for the peer's close.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inputClosed
}

// markValid records that a well-formed request was received, and from which kind of peer.
func (c *conn) markValid(from peerKind) {
	c.mu.Lock()
	c.validated, c.peerKind = true, from
	c.mu.Unlock()
}

// setExchange records the exchange whose answer the connection waits for.
func (c *conn) setExchange(exchange core.ExchangeID) {
	c.mu.Lock()
	c.exchange = exchange
	c.mu.Unlock()
}

func (c *conn) Close() error {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	err := c.Conn.Close()
	c.release(c)
	return err
}

// evictionRank orders connections by how soon they are evicted when the server is full.
type evictionRank int

const (
	notEvictable  evictionRank = iota // a request is being read or processed
	idleKeepAlive                     // keep-alive connection that waits for its next request
	inGracePeriod                     // new, and within the grace period for its first request
	evictFirst                        // new, and its grace period is over; or only waiting for the peer's close
)

// evictionRank returns the rank and the time since when it applies. A connection on which unread bytes have arrived must
// not be evicted: its request would be lost.
func (c *conn) evictionRank(now time.Time) (evictionRank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age := now.Sub(c.since)
	switch {
	case c.inputClosed && !c.closed:
		return evictFirst, c.since
	case c.closed || c.phase >= phaseServing || c.validated && c.phase == phaseReading:
		return notEvictable, c.since
	case c.phase == phaseIdle && !c.OpenWithoutData():
		return notEvictable, c.since
	case c.validated:
		return idleKeepAlive, c.since
	case c.phase == phaseIdle && age < silentGrace || c.phase == phaseReading && age < partialGrace:
		return inGracePeriod, c.since
	default:
		return evictFirst, c.since
	}
}

// idleTime returns for how long the connection has waited for the first byte of a request, and 0 if it is not idle or
// its peer is of another kind. peerUnknown matches all kinds.
func (c *conn) idleTime(now time.Time, of peerKind) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if of != peerUnknown && c.peerKind != of || c.closed || c.inputClosed || c.phase != phaseIdle || !c.OpenWithoutData() {
		return 0
	}
	return now.Sub(c.since)
}

// isSilent reports whether the connection is new and no byte has been received on it.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.validated && c.phase == phaseIdle && c.OpenWithoutData()
}
