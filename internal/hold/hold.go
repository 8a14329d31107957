// Package hold pauses all connections of a process at one moment, whatever part of a read or write each has completed,
// so that their state can be exported and resumed by another process, or the connections released as if they had
// never been paused. It handles descriptors and bytes, and knows no protocol.
//
// Every goroutine that may read, write or pass on data counts as active at its Gate. Hold interrupts blocked writes
// and accepts, and returns once no goroutine is active: each is then parked inside a Write or an Accept, waits in the
// kernel for readable data, which it must not consume while the gate is held, or has called Rest.
package hold

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrBusy is returned by Hold if a goroutine was still active at the time limit.
var ErrBusy = errors.New("hold: goroutines still active at the time limit")

// ErrHeld is returned by Hold if the gate is already held.
var ErrHeld = errors.New("hold: gate is already held")

var pastDeadline = time.Unix(1, 0) // a deadline that interrupts any blocked operation

// Gate pauses and releases connections. Its zero value is not usable; create one with NewGate.
type Gate struct {
	held             atomic.Bool // written under mu
	handoverDisabled bool        // set before anything is added to the gate

	mu       sync.Mutex
	released *sync.Cond // signalled when the gate is released
	active   int
	idle     chan struct{} // closed when active reaches 0 while held; nil otherwise
	deferred []func()      // started on goroutines of their own when the gate is released
	members  map[member]struct{}
}

// member is a connection or a listener behind the gate.
type member interface {
	interrupt() // interrupts its blocking operation in the kernel
	release()   // lets it continue after a hold
}

// NewGate returns an open gate.
func NewGate() *Gate {
	g := &Gate{members: map[member]struct{}{}}
	g.released = sync.NewCond(&g.mu)
	return g
}

// DisableHandover declares that nothing behind the gate will ever be handed over, so that connections need not retain
// the bytes read of an incomplete request for another process to read again. It must be called before anything is added
// to the gate. Without it, large requests that arrive slowly occupy memory twice, which a small machine can't provide.
func (g *Gate) DisableHandover() { g.handoverDisabled = true }

// Go runs f on a goroutine of its own that counts as active, as soon as the gate is open.
func (g *Gate) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Load() {
		g.deferred = append(g.deferred, f)
		return
	}
	g.startActive(f)
}

// startActive runs f on a goroutine that counts as active. Callers hold g.mu.
func (g *Gate) startActive(f func()) {
	g.active++
	go func() {
		defer g.Rest()
		f()
	}()
}

// Wake makes the calling goroutine active. It blocks while the gate is held.
func (g *Gate) Wake() {
	g.mu.Lock()
	for g.held.Load() {
		g.released.Wait()
	}
	g.active++
	g.mu.Unlock()
}

// tryWake makes the calling goroutine active and returns true, unless the gate is held.
func (g *Gate) tryWake() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Load() {
		return false
	}
	g.active++
	return true
}

// Rest ends the calling goroutine's activity, also while it waits for an event that nothing behind the gate can cause.
func (g *Gate) Rest() {
	g.mu.Lock()
	g.active--
	if g.active == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
	g.mu.Unlock()
}

// addActive counts a goroutine as active that the caller wakes. The caller is active itself or acts for the gate.
func (g *Gate) addActive() {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
}

// Hold pauses everything behind the gate, and returns nil once nothing is active. After maxWait it releases the gate and
// returns an error that wraps ErrBusy. Until then it calls whileBusy, if not nil, every 500 µs: an active goroutine may
// be blocked on work that the caller has to do.
func (g *Gate) Hold(maxWait time.Duration, whileBusy func()) error {
	g.mu.Lock()
	if g.held.Load() {
		g.mu.Unlock()
		return ErrHeld
	}
	g.held.Store(true)
	idle := make(chan struct{})
	if g.active == 0 {
		close(idle)
	} else {
		g.idle = idle
	}
	members := g.listMembers()
	g.mu.Unlock()
	// Without g.mu: members take their own locks, and call the gate while they hold them.
	for _, m := range members {
		m.interrupt()
	}
	limit, poll := time.NewTimer(maxWait), time.NewTicker(500*time.Microsecond)
	defer limit.Stop()
	defer poll.Stop()
	for {
		select {
		case <-idle:
			return nil
		case <-poll.C:
			if whileBusy != nil {
				whileBusy()
			}
		case <-limit.C:
			g.mu.Lock()
			n := g.active
			g.mu.Unlock()
			g.Release()
			return fmt.Errorf("%w: %d active after %v", ErrBusy, n, maxWait)
		}
	}
}

// Release lets everything behind the gate continue.
func (g *Gate) Release() {
	g.mu.Lock()
	g.held.Store(false)
	g.idle = nil
	for _, f := range g.deferred {
		g.startActive(f)
	}
	g.deferred = nil
	members := g.listMembers()
	g.released.Broadcast()
	g.mu.Unlock()
	for _, m := range members {
		m.release()
	}
}

func (g *Gate) listMembers() []member {
	members := make([]member, 0, len(g.members))
	for m := range g.members {
		members = append(members, m)
	}
	return members
}

func (g *Gate) add(m member) {
	g.mu.Lock()
	g.members[m] = struct{}{}
	g.mu.Unlock()
	if g.held.Load() { // either Hold has listed the member, or the hold is visible here
		m.interrupt()
	}
}

func (g *Gate) remove(m member) {
	g.mu.Lock()
	delete(g.members, m)
	g.mu.Unlock()
}

// timedOut reports whether an error is an expired deadline.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Listener accepts connections that can be held. Connections that arrive while it is held wait in the kernel's backlog.
type Listener struct {
	*net.TCPListener
	gate    *Gate
	rawConn syscall.RawConn // nil if the descriptor is not accessible

	mu     sync.Mutex
	cond   *sync.Cond
	parked bool
}

// Listen puts a listener behind the gate.
func (g *Gate) Listen(ln *net.TCPListener) *Listener {
	l := &Listener{TCPListener: ln, gate: g}
	l.cond = sync.NewCond(&l.mu)
	if raw, err := ln.SyscallConn(); err == nil {
		l.rawConn = raw
	}
	g.add(l)
	return l
}

// keepNonBlocking sets the descriptor to non-blocking again. A process that shares the socket may set it to blocking for both at any time, as
// some runtimes do when they pass a socket on. An accept would then block in the kernel, where no deadline interrupts it, and Hold would
// never succeed.
func (l *Listener) keepNonBlocking() {
	if l.rawConn != nil {
		_ = l.rawConn.Control(func(fd uintptr) { _ = unix.SetNonblock(int(fd), true) }) // on a closed descriptor the accept returns the error
	}
}

// Accept waits for a connection. It must be called by one goroutine, which must be active.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.keepNonBlocking()
		c, err := l.TCPListener.Accept()
		if err == nil || !timedOut(err) {
			return c, err
		}
		l.mu.Lock()
		if l.gate.held.Load() {
			l.parked = true
			l.gate.Rest()
			for l.parked {
				l.cond.Wait()
			}
		}
		l.mu.Unlock()
	}
}

func (l *Listener) interrupt() { l.SetDeadline(pastDeadline) }

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetDeadline(time.Time{})
	if l.parked {
		l.parked = false
		l.gate.addActive()
		l.cond.Broadcast()
	}
}

// Close closes the listener and removes it from the gate.
func (l *Listener) Close() error {
	l.gate.remove(l)
	return l.TCPListener.Close()
}

// Conns returns the connections behind the gate, in no particular order.
func (g *Gate) Conns() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	conns := make([]*Conn, 0, len(g.members))
	for m := range g.members {
		if c, ok := m.(*Conn); ok {
			conns = append(conns, c)
		}
	}
	return conns
}
