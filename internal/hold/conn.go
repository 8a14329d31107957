package hold

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"foldlb.example/foldlb/internal/tcp"
)

// place is where a goroutine is parked in a connection.
type place uint8

const (
	nowhere place = iota
	inRead
	inWrite
)

// Conn is a connection that can be held. One goroutine at a time may read and write it; Interrupt, the deadlines
// and Close may be called by others.
//
// What has been read since the last Mark is kept, so that whoever takes the connection up reads it again.
type Conn struct {
	net.Conn
	gate *Gate

	mu          sync.Mutex
	cond        *sync.Cond
	parked      place
	waiting     bool // a reader rests in the kernel, and may take nothing before it is active again
	missed      bool // something came for it while the gate was held
	nudged      bool // the read deadline in force is only to wake it
	writing     bool // somebody is in the kernel's write, or about to be
	kicked      bool // the write deadline in force is the gate's
	interrupted bool
	ahead       []byte // to be read before anything from the kernel
	taken       []byte // read since the last Mark
	rest        []byte // not written yet, while parked in a Write
	begun       bool   // part of what that Write was given is written
	readUntil   time.Time
	writeUntil  time.Time

	// Of the reader's goroutine.
	raw   syscall.RawConn
	try   func(fd uintptr) bool // tryRead, bound once
	into  []byte
	got   int
	fault error
}

// Wrap puts a connection behind the gate.
func (g *Gate) Wrap(c net.Conn) *Conn {
	h := &Conn{Conn: c, gate: g}
	h.cond = sync.NewCond(&h.mu)
	h.try = h.tryRead
	if sc, ok := c.(syscall.Conn); ok {
		h.raw, _ = sc.SyscallConn()
	}
	g.add(h)
	return h
}

// Read reads what is ahead first.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 && len(p) > 0 {
		n := copy(p, c.ahead)
		if n == len(c.ahead) {
			c.ahead = c.ahead[:0]
		} else {
			c.ahead = c.ahead[n:]
		}
		c.keep(p[:n])
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	for {
		n, err := c.readKernel(p)
		if n > 0 {
			c.mu.Lock()
			c.keep(p[:n])
			c.mu.Unlock()
			return n, err
		}
		if !timedOut(err) || !c.park(inRead) {
			return n, err
		}
	}
}

// keep notes what was read, for whoever takes the connection up; c.mu is held.
func (c *Conn) keep(p []byte) {
	if !c.gate.forgets {
		c.taken = append(c.taken, p...)
	}
}

// readKernel reads what the kernel has, and rests while that is nothing. Danger: what arrives while the gate is held
// must stay in the kernel, for whoever takes the connection up; so the reader makes itself active, which a held gate
// does not allow, before it takes anything. Nobody need be woken for a hold: silent connections are many.
func (c *Conn) readKernel(p []byte) (int, error) {
	if c.gate.held.Load() {
		return 0, os.ErrDeadlineExceeded // the caller parks
	}
	c.into, c.got, c.fault = p, 0, nil
	err := c.raw.Read(c.try)
	c.into = nil
	c.mu.Lock()
	was := c.waiting
	c.waiting = false
	if err != nil && c.nudged {
		c.nudged = false
		c.setRead()
	}
	c.mu.Unlock()
	if was {
		c.gate.Wake()
	}
	if err == nil {
		err = c.fault
	}
	return c.got, err
}

// tryRead takes what there is, and tells whether the reader has something, or an end.
func (c *Conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		if !c.gate.tryWake() {
			c.missed = true
			return false
		}
		c.waiting = false
	}
	for {
		if len(c.into) == 0 {
			if tcp.PeerClosed(int(fd)) {
				c.fault = io.EOF
				return true
			}
			c.waiting = true // the kernel tells of whatever else comes, too
			c.gate.Rest()
			return false
		}
		n, err := syscall.Read(int(fd), c.into)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			c.waiting = true
			c.gate.Rest()
			return false
		case err != nil:
			c.fault = os.NewSyscallError("read", err)
		case n == 0:
			c.fault = io.EOF
		default:
			c.got = n
		}
		return true
	}
}

// writeKernel is for writing what readKernel is for reading.
func (c *Conn) writeKernel(p []byte) (int, error) {
	c.mu.Lock()
	if c.gate.held.Load() {
		c.mu.Unlock()
		return 0, os.ErrDeadlineExceeded
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
	return n, err
}

// park waits while the gate is held, and tells whether it was.
func (c *Conn) park(at place) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gate.held.Load() {
		// Let go between the deadline's passing and now; or it was the caller's own deadline. Danger: a
		// deadline that the gate had set, and has taken back, must not reach the caller as its own.
		return !c.ended(at)
	}
	c.waitAt(at)
	return true
}

// ended tells whether the caller's own deadline has passed; c.mu is held.
func (c *Conn) ended(at place) bool {
	until := c.readUntil
	if at == inWrite {
		until = c.writeUntil
	}
	return !until.IsZero() && !time.Now().Before(until)
}

// waitAt parks until letGo or Interrupt; c.mu is held.
func (c *Conn) waitAt(at place) {
	c.parked = at
	c.gate.Rest()
	for c.parked != nowhere {
		c.cond.Wait()
	}
}

// wake ends a park; c.mu is held. Whoever was parked counts as active from here on.
func (c *Conn) wake() {
	c.parked = nowhere
	c.gate.stir()
	c.cond.Broadcast()
}

// Write writes all of p. An error may leave part of it written, and means that the kernel has not taken all of it.
func (c *Conn) Write(p []byte) (int, error) { return c.WriteIf(p, nil) }

// WriteIf writes all of p, where may allows it; nil for always. It is asked in the last moment before the first byte, anew where the gate was
// held in between, and its error is returned as it is.
func (c *Conn) WriteIf(p []byte, may func() error) (int, error) {
	done := 0
	for {
		if done == 0 && may != nil {
			if err := may(); err != nil {
				return 0, err
			}
		}
		n, err := c.writeKernel(p[done:])
		done += n
		if done == len(p) {
			return done, nil
		}
		c.mu.Lock()
		c.rest, c.begun = p[done:], done > 0
		c.mu.Unlock()
		on := timedOut(err) && c.park(inWrite)
		c.mu.Lock()
		c.rest = nil
		c.mu.Unlock()
		if !on {
			return done, err
		}
	}
}

// Untouched tells whether a Write is parked of which the kernel has not taken a byte. The gate must be held.
func (c *Conn) WriteNotStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rest != nil && !c.begun
}

// firstBytes is how much First reads at once: a usual request whole, without much memory for silent connections.
const firstBytes = 512

// First waits until something is ahead: the beginning of what the other side says next.
func (c *Conn) WaitForData() error {
	c.mu.Lock()
	some, buf := len(c.ahead) > 0, c.ahead
	c.mu.Unlock()
	if some {
		return nil
	}
	if cap(buf) < firstBytes {
		buf = make([]byte, firstBytes)
	}
	for {
		n, err := c.readKernel(buf[:firstBytes])
		if n > 0 {
			c.mu.Lock()
			c.ahead = buf[:n]
			c.mu.Unlock()
			return nil
		}
		if !timedOut(err) || !c.park(inRead) {
			return err
		}
	}
}

// mostAhead bounds the bytes that a ReadAhead takes; what comes beyond that stays in the kernel, whose buffer bounds it.
const mostAhead = 16 << 10

// readAheadBytes is how much a ReadAhead reads at once. Connections that wait are many, and nearly all say nothing.
const readAheadBytes = 64

// ReadAhead reads ahead until Interrupt is called (nil), or the connection ends (its error). Bytes that come meanwhile
// stay ahead for the next Read, mostAhead of them at the most. A read deadline ends it as a Read. Danger: the end stands behind all
// bytes that came before it, so a wait that stopped at the first byte would never see the other side leave.
func (c *Conn) ReadAhead() error {
	var b [readAheadBytes]byte
	for {
		c.mu.Lock()
		if c.interrupted {
			c.interrupted = false
			c.setRead()
			c.mu.Unlock()
			return nil
		}
		room := min(readAheadBytes, mostAhead-len(c.ahead))
		c.mu.Unlock()
		n, err := c.readKernel(b[:max(0, room)]) // without room it waits for the end alone
		c.mu.Lock()
		c.ahead = append(c.ahead, b[:n]...)
		interrupted := c.interrupted
		c.mu.Unlock()
		if n == 0 && !interrupted && (!timedOut(err) || !c.park(inRead)) {
			return err
		}
	}
}

// Interrupt ends a ReadAhead, the present one or the next.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if c.parked == inRead {
		c.wake()
		return
	}
	if c.waiting {
		// Danger: until the reader runs it counts as resting, and a hold in between would lose what it is woken for.
		c.waiting = false
		c.gate.stir()
	}
	c.Conn.SetReadDeadline(past)
}

// Mark says that what was read is done with, but for its last n bytes.
func (c *Conn) MarkConsumed(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && cap(c.taken) > 1024 {
		c.taken = nil // silent connections are many
		return
	}
	c.taken = append(c.taken[:0], c.taken[max(0, len(c.taken)-n):]...)
}

// Unread says that what was read is done with, but for rest, its end, which is to be read again.
func (c *Conn) Unread(rest []byte) {
	c.MarkConsumed(0)
	c.mu.Lock()
	c.ahead = slices.Concat(rest, c.ahead)
	c.mu.Unlock()
}

// Silent tells whether nothing has come on the connection that is not read yet.
func (c *Conn) OpenWithoutData() bool {
	c.mu.Lock()
	ahead := len(c.ahead) > 0
	c.mu.Unlock()
	return !ahead && tcp.OpenWithoutData(c.Conn)
}

// Ended tells whether the other side has closed its end or reset the connection, whatever it sent before and nobody has read.
func (c *Conn) PeerClosed() bool { return tcp.Closed(c.Conn) }

// SetDeadline sets both deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the time at which reading fails. It runs on while the gate is held, and is told afterwards.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = t
	return c.setRead()
}

// SetWriteDeadline sets the time at which writing fails.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = t
	if c.kicked {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// setRead puts the read deadline in force; c.mu is held. Danger: while an Interrupt has not been taken, it must stay
// in the past.
func (c *Conn) setRead() error {
	if c.interrupted {
		return c.Conn.SetReadDeadline(past)
	}
	return c.Conn.SetReadDeadline(c.readUntil)
}

func (c *Conn) kick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.kicked = true
		c.Conn.SetWriteDeadline(past)
	}
}

func (c *Conn) letGo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.kicked {
		c.kicked = false
		c.Conn.SetWriteDeadline(c.writeUntil)
	}
	if c.missed {
		// Danger: the kernel tells of what has come only once, and the reader was told while it could not take it.
		c.missed, c.nudged = false, true
		c.Conn.SetReadDeadline(past)
	}
	if c.parked == inRead || c.parked == inWrite {
		c.wake()
	}
}

// CloseWrite ends what this side says; the other side's may still be read.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.gate.drop(c)
	return c.Conn.Close()
}

// ConnState is a held connection as a value, but for its descriptor.
type ConnState struct {
	_       struct{} `cbor:",toarray"`
	Ahead   []byte   // to be read before anything from the kernel
	Rest    []byte   // to be written before anything else
	ReadIn  float64  // seconds to the read deadline; 0 for none
	WriteIn float64
}

// Export tells how far a connection has come. The gate must be held.
func (c *Conn) Export() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnState{Ahead: slices.Concat(c.taken, c.ahead), Rest: slices.Clone(c.rest), ReadIn: in(c.readUntil), WriteIn: in(c.writeUntil)}
}

// in tells the seconds to a deadline; one that has passed is due at once.
func in(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return max(1e-6, time.Until(t).Seconds())
}

// adopt puts a connection that nobody uses yet where another one stood.
func (c *Conn) adopt(st ConnState) {
	c.ahead = st.Ahead
	if st.ReadIn > 0 {
		c.SetReadDeadline(time.Now().Add(time.Duration(st.ReadIn * float64(time.Second))))
	}
	if st.WriteIn > 0 {
		c.SetWriteDeadline(time.Now().Add(time.Duration(st.WriteIn * float64(time.Second))))
	}
}

// FD calls f with the connection's descriptor, which stays the connection's own.
func (c *Conn) FD(f func(fd int)) error { return FD(c.Conn, f) }

// FD calls f with the listener's descriptor, which stays the listener's own.
func (l *Listener) FD(f func(fd int)) error { return FD(l.TCPListener, f) }

// FD calls f with the descriptor of a connection or listener, which stays its own and is good until f returns.
func FD(x any, f func(fd int)) error {
	sc, ok := x.(syscall.Conn)
	if !ok {
		return fmt.Errorf("hold: %T has no descriptor", x)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
