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

// parkState is the operation in which a goroutine is parked on a connection.
type parkState uint8

const (
	notParked parkState = iota
	parkedInRead
	parkedInWrite
)

// Conn is a connection that can be held. One goroutine at a time may read and write it; Interrupt, the deadlines
// and Close may be called by others.
//
// Bytes read since the last MarkConsumed are retained, so that the process that resumes the connection reads them again.
type Conn struct {
	net.Conn
	gate *Gate

	mu               sync.Mutex
	cond             *sync.Cond
	parked           parkState
	readerWaiting    bool // a reader waits for readiness, and must become active again before it consumes anything
	missedReadiness  bool // the kernel reported readiness to the reader while the gate was held
	readWakeup       bool // the read deadline in force only wakes the reader
	writing          bool // a goroutine is in the kernel's write, or about to enter it
	writeInterrupted bool // the write deadline in force was set by the gate
	interrupted      bool
	readBuffer       []byte // returned by Read before anything from the kernel
	unconsumed       []byte // read since the last MarkConsumed
	unwritten        []byte // the unwritten rest of a Write that is parked
	writeStarted     bool   // the kernel has taken part of that Write's bytes
	readDeadline     time.Time
	writeDeadline    time.Time

	// Used by the reader's goroutine only.
	rawConn     syscall.RawConn
	tryReadFunc func(fd uintptr) bool // tryRead, bound once to avoid an allocation per read
	readInto    []byte
	readCount   int
	readErr     error
}

// Wrap puts a connection behind the gate.
func (g *Gate) Wrap(c net.Conn) *Conn {
	h := &Conn{Conn: c, gate: g}
	h.cond = sync.NewCond(&h.mu)
	h.tryReadFunc = h.tryRead
	if sc, ok := c.(syscall.Conn); ok {
		h.rawConn, _ = sc.SyscallConn()
	}
	g.add(h)
	return h
}

// Read returns buffered bytes first, and then reads from the kernel.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.readBuffer) > 0 && len(p) > 0 {
		n := copy(p, c.readBuffer)
		if n == len(c.readBuffer) {
			c.readBuffer = c.readBuffer[:0]
		} else {
			c.readBuffer = c.readBuffer[n:]
		}
		c.recordRead(p[:n])
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	for {
		n, err := c.readKernel(p)
		if n > 0 {
			c.mu.Lock()
			c.recordRead(p[:n])
			c.mu.Unlock()
			return n, err
		}
		if !timedOut(err) || !c.parkIfHeld(parkedInRead) {
			return n, err
		}
	}
}

// recordRead retains bytes that were read, for the process that resumes the connection. Callers hold c.mu.
func (c *Conn) recordRead(p []byte) {
	if !c.gate.handoverDisabled {
		c.unconsumed = append(c.unconsumed, p...)
	}
}

// readKernel reads what the kernel has, and waits while that is nothing. Bytes that arrive while the gate is held must
// stay in the kernel for the process that resumes the connection; so the reader becomes active before it consumes any,
// which a held gate does not permit. A hold need not wake waiting readers: there are many silent connections.
func (c *Conn) readKernel(p []byte) (int, error) {
	if c.gate.held.Load() {
		return 0, os.ErrDeadlineExceeded // the caller parks
	}
	c.readInto, c.readCount, c.readErr = p, 0, nil
	err := c.rawConn.Read(c.tryReadFunc)
	c.readInto = nil
	c.mu.Lock()
	wasWaiting := c.readerWaiting
	c.readerWaiting = false
	if err != nil && c.readWakeup {
		c.readWakeup = false
		c.applyReadDeadline()
	}
	c.mu.Unlock()
	if wasWaiting {
		c.gate.Wake()
	}
	if err == nil {
		err = c.readErr
	}
	return c.readCount, err
}

// tryRead reads what is available, and returns true once the reader has bytes, an end of file or an error.
func (c *Conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readerWaiting {
		if !c.gate.tryWake() {
			c.missedReadiness = true
			return false
		}
		c.readerWaiting = false
	}
	for {
		if len(c.readInto) == 0 {
			if tcp.PeerClosed(int(fd)) {
				c.readErr = io.EOF
				return true
			}
			c.readerWaiting = true // the kernel reports further arrivals, too
			c.gate.Rest()
			return false
		}
		n, err := syscall.Read(int(fd), c.readInto)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			c.readerWaiting = true
			c.gate.Rest()
			return false
		case err != nil:
			c.readErr = os.NewSyscallError("read", err)
		case n == 0:
			c.readErr = io.EOF
		default:
			c.readCount = n
		}
		return true
	}
}

// writeKernel writes to the kernel so that a hold can interrupt it. If the gate is held it writes nothing.
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

// parkIfHeld waits while the gate is held. It returns true if the operation is to be repeated.
func (c *Conn) parkIfHeld(at parkState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gate.held.Load() {
		// Released between the expiry of the deadline and now, or the caller's own deadline has passed. A deadline
		// that the gate had set and reset must not be reported to the caller as its own.
		return !c.deadlinePassed(at)
	}
	c.waitAt(at)
	return true
}

// deadlinePassed reports whether the caller's own deadline has passed. Callers hold c.mu.
func (c *Conn) deadlinePassed(at parkState) bool {
	deadline := c.readDeadline
	if at == parkedInWrite {
		deadline = c.writeDeadline
	}
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

// waitAt parks until release or Interrupt. Callers hold c.mu.
func (c *Conn) waitAt(at parkState) {
	c.parked = at
	c.gate.Rest()
	for c.parked != notParked {
		c.cond.Wait()
	}
}

// unpark ends a park. The parked goroutine counts as active from here on. Callers hold c.mu.
func (c *Conn) unpark() {
	c.parked = notParked
	c.gate.addActive()
	c.cond.Broadcast()
}

// Write writes all of p. If it returns an error, part of p may have been written, but not all of it.
func (c *Conn) Write(p []byte) (int, error) { return c.WriteIf(p, nil) }

// WriteIf writes all of p if allowed returns nil, or is nil. allowed is called immediately before the first byte is written, and again if
// the gate was held in between; its error is returned unchanged.
func (c *Conn) WriteIf(p []byte, allowed func() error) (int, error) {
	written := 0
	for {
		if written == 0 && allowed != nil {
			if err := allowed(); err != nil {
				return 0, err
			}
		}
		n, err := c.writeKernel(p[written:])
		written += n
		if written == len(p) {
			return written, nil
		}
		c.mu.Lock()
		c.unwritten, c.writeStarted = p[written:], written > 0
		c.mu.Unlock()
		resumed := timedOut(err) && c.parkIfHeld(parkedInWrite)
		c.mu.Lock()
		c.unwritten = nil
		c.mu.Unlock()
		if !resumed {
			return written, err
		}
	}
}

// WriteNotStarted reports whether a Write is parked of which the kernel has taken no byte. The gate must be held.
func (c *Conn) WriteNotStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unwritten != nil && !c.writeStarted
}

// initialReadBytes is the read size of WaitForData: enough for a usual request, with little memory for silent connections.
const initialReadBytes = 512

// WaitForData waits until the buffer holds bytes: the beginning of the peer's next message. It returns an error if the connection ends.
func (c *Conn) WaitForData() error {
	c.mu.Lock()
	buffered, buffer := len(c.readBuffer) > 0, c.readBuffer
	c.mu.Unlock()
	if buffered {
		return nil
	}
	if cap(buffer) < initialReadBytes {
		buffer = make([]byte, initialReadBytes)
	}
	for {
		n, err := c.readKernel(buffer[:initialReadBytes])
		if n > 0 {
			c.mu.Lock()
			c.readBuffer = buffer[:n]
			c.mu.Unlock()
			return nil
		}
		if !timedOut(err) || !c.parkIfHeld(parkedInRead) {
			return err
		}
	}
}

// maxReadAheadBytes bounds the bytes that ReadAhead buffers; further bytes stay in the kernel's receive buffer, which has its own bound.
const maxReadAheadBytes = 16 << 10

// readAheadChunkBytes is the read size of ReadAhead. It is small since many connections wait, and nearly all of them are silent.
const readAheadChunkBytes = 64

// ReadAhead reads into the buffer until Interrupt is called (it returns nil) or the connection ends (it returns the error). The bytes
// stay buffered for the next Read, at most maxReadAheadBytes. An expired read deadline ends it as it ends a Read. The end of the
// connection follows all bytes that came before it, so a wait that stopped at the first byte would never see the peer disconnect.
func (c *Conn) ReadAhead() error {
	var b [readAheadChunkBytes]byte
	for {
		c.mu.Lock()
		if c.interrupted {
			c.interrupted = false
			c.applyReadDeadline()
			c.mu.Unlock()
			return nil
		}
		room := min(readAheadChunkBytes, maxReadAheadBytes-len(c.readBuffer))
		c.mu.Unlock()
		n, err := c.readKernel(b[:max(0, room)]) // with no room left it waits for the end of the connection only
		c.mu.Lock()
		c.readBuffer = append(c.readBuffer, b[:n]...)
		interrupted := c.interrupted
		c.mu.Unlock()
		if n == 0 && !interrupted && (!timedOut(err) || !c.parkIfHeld(parkedInRead)) {
			return err
		}
	}
}

// Interrupt ends a ReadAhead, the present one or the next.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	if c.parked == parkedInRead {
		c.unpark()
		return
	}
	if c.readerWaiting {
		// Until the reader runs it counts as inactive, and a hold in between would lose this interrupt.
		c.readerWaiting = false
		c.gate.addActive()
	}
	c.Conn.SetReadDeadline(pastDeadline)
}

// MarkConsumed declares the bytes read so far as processed, except for the last unconsumed ones.
func (c *Conn) MarkConsumed(unconsumed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unconsumed == 0 && cap(c.unconsumed) > 1024 {
		c.unconsumed = nil // frees memory: there are many silent connections
		return
	}
	c.unconsumed = append(c.unconsumed[:0], c.unconsumed[max(0, len(c.unconsumed)-unconsumed):]...)
}

// Unread declares the bytes read so far as processed, except for unread, their end, which the next Read returns again.
func (c *Conn) Unread(unread []byte) {
	c.MarkConsumed(0)
	c.mu.Lock()
	c.readBuffer = slices.Concat(unread, c.readBuffer)
	c.mu.Unlock()
}

// OpenWithoutData reports whether the connection is open and no received byte is unread, in the buffer or in the kernel.
func (c *Conn) OpenWithoutData() bool {
	c.mu.Lock()
	buffered := len(c.readBuffer) > 0
	c.mu.Unlock()
	return !buffered && tcp.OpenWithoutData(c.Conn)
}

// PeerClosed reports whether the peer has closed its end or reset the connection, even if unread bytes precede that. It is also true of
// a connection that this side has closed.
func (c *Conn) PeerClosed() bool { return tcp.Closed(c.Conn) }

// SetDeadline sets the read and the write deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the time at which reading fails. It keeps running while the gate is held; its expiry is reported after the release.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.applyReadDeadline()
}

// SetWriteDeadline sets the time at which writing fails. While a hold interrupts a Write it takes effect at the release.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	if c.writeInterrupted {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// applyReadDeadline puts the read deadline in force. While an Interrupt is pending, the deadline must stay in the
// past. Callers hold c.mu.
func (c *Conn) applyReadDeadline() error {
	if c.interrupted {
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

func (c *Conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing {
		c.writeInterrupted = true
		c.Conn.SetWriteDeadline(pastDeadline)
	}
}

func (c *Conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeInterrupted {
		c.writeInterrupted = false
		c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	if c.missedReadiness {
		// The kernel reports readiness only once, and it did so while the reader could not consume anything.
		c.missedReadiness, c.readWakeup = false, true
		c.Conn.SetReadDeadline(pastDeadline)
	}
	if c.parked == parkedInRead || c.parked == parkedInWrite {
		c.unpark()
	}
}

// CloseWrite shuts down the writing side; the peer's bytes can still be read.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from the gate.
func (c *Conn) Close() error {
	c.gate.remove(c)
	return c.Conn.Close()
}

// ConnState is the exported state of a held connection, without its descriptor. It is encoded as a CBOR array.
type ConnState struct {
	_       struct{} `cbor:",toarray"`
	Ahead   []byte   // to be read before anything from the kernel
	Rest    []byte   // to be written before anything else
	ReadIn  float64  // seconds to the read deadline; 0 for none
	WriteIn float64  // seconds to the write deadline; 0 for none
}

// Export returns the state of the connection. The gate must be held.
func (c *Conn) Export() ConnState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return ConnState{Ahead: slices.Concat(c.unconsumed, c.readBuffer), Rest: slices.Clone(c.unwritten), ReadIn: secondsUntil(c.readDeadline), WriteIn: secondsUntil(c.writeDeadline)}
}

// secondsUntil returns the seconds to a deadline: 0 for none, and 1 µs for one that has passed.
func secondsUntil(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return max(1e-6, time.Until(t).Seconds())
}

// restore applies an exported state to a connection that is not in use yet.
func (c *Conn) restore(st ConnState) {
	c.readBuffer = st.Ahead
	if st.ReadIn > 0 {
		c.SetReadDeadline(time.Now().Add(time.Duration(st.ReadIn * float64(time.Second))))
	}
	if st.WriteIn > 0 {
		c.SetWriteDeadline(time.Now().Add(time.Duration(st.WriteIn * float64(time.Second))))
	}
}

// FD calls f with the connection's descriptor, which stays owned by the connection.
func (c *Conn) FD(f func(fd int)) error { return FD(c.Conn, f) }

// FD calls f with the listener's descriptor, which stays owned by the listener.
func (l *Listener) FD(f func(fd int)) error { return FD(l.TCPListener, f) }

// FD calls f with the descriptor of a connection or listener. x keeps it, and f must not use it after it returns.
func FD(x any, f func(fd int)) error {
	sc, ok := x.(syscall.Conn)
	if !ok {
		return fmt.Errorf("hold: %T has no file descriptor", x)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
