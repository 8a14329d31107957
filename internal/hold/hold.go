// Package hold lets all of a process's connections be held still at one moment, however far each has come with
// reading or writing, so that they can be written down and taken up by another process, or let go on as if nothing
// had been. It knows descriptors and bytes, no protocol.
//
// Every goroutine that may read, write or pass something on counts as active at its Gate. Hold interrupts what
// waits to write or accept, and returns when nothing is active: each goroutine is then parked inside a Write or an
// Accept, waits in the kernel for something to read, which it may not take while the gate is held, or has said that
// it rests.
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

// ErrBusy says that something was still active when the time for a Hold was over.
var ErrBusy = errors.New("hold: not all came to rest in time")

// ErrHeld says that a gate is held already.
var ErrHeld = errors.New("hold: is held already")

var past = time.Unix(1, 0) // a deadline that wakes whoever waits

// Gate holds connections, and lets them go. Its zero value is not ready for use: see NewGate.
type Gate struct {
	held    atomic.Bool // written under mu
	forgets bool        // set before anything is behind the gate

	mu      sync.Mutex
	let     *sync.Cond // told when the gate is let go
	active  int
	quiet   chan struct{} // closed when active comes to 0 while held; nil otherwise
	later   []func()      // to be run on goroutines of their own when the gate is let go
	members map[member]struct{}
}

// member is a connection or a listener.
type member interface {
	kick()  // wake it where it waits in the kernel
	letGo() // let it go on
}

// NewGate makes a gate that is open.
func NewGate() *Gate {
	g := &Gate{members: map[member]struct{}{}}
	g.let = sync.NewCond(&g.mu)
	return g
}

// Forget says that nothing behind the gate will ever be handed over, so that connections need not keep what was read
// of a request in case another process must read it again. It is called before anything is behind the gate. Danger:
// without it large requests that come slowly would be held twice, which a small machine's memory can't bear.
func (g *Gate) DisableHandover() { g.forgets = true }

// Go runs f on a goroutine of its own that counts as active, once the gate is open.
func (g *Gate) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Load() {
		g.later = append(g.later, f)
		return
	}
	g.run(f)
}

// run runs f on a goroutine that counts as active; g.mu is held.
func (g *Gate) run(f func()) {
	g.active++
	go func() {
		defer g.Rest()
		f()
	}()
}

// Wake makes the caller active. It waits while the gate is held.
func (g *Gate) Wake() {
	g.mu.Lock()
	for g.held.Load() {
		g.let.Wait()
	}
	g.active++
	g.mu.Unlock()
}

// tryWake makes the caller active, unless the gate is held.
func (g *Gate) tryWake() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Load() {
		return false
	}
	g.active++
	return true
}

// Rest ends the caller's activity, or says that it waits for what no held part can bring about.
func (g *Gate) Rest() {
	g.mu.Lock()
	g.active--
	if g.active == 0 && g.quiet != nil {
		close(g.quiet)
		g.quiet = nil
	}
	g.mu.Unlock()
}

// stir counts somebody as active who was woken by the caller, who is active itself or stands in for that.
func (g *Gate) stir() {
	g.mu.Lock()
	g.active++
	g.mu.Unlock()
}

// Hold holds everything, and returns when nothing is active. After most it lets go again and returns ErrBusy.
// Meanwhile it calls busy every now and then, where that is set: what holds up an activity may be the caller's
// to clear.
func (g *Gate) Hold(most time.Duration, busy func()) error {
	g.mu.Lock()
	if g.held.Load() {
		g.mu.Unlock()
		return ErrHeld
	}
	g.held.Store(true)
	quiet := make(chan struct{})
	if g.active == 0 {
		close(quiet)
	} else {
		g.quiet = quiet
	}
	all := g.list()
	g.mu.Unlock()
	// Danger: members take their own locks, and call back here under them.
	for _, m := range all {
		m.kick()
	}
	limit, poll := time.NewTimer(most), time.NewTicker(500*time.Microsecond)
	defer limit.Stop()
	defer poll.Stop()
	for {
		select {
		case <-quiet:
			return nil
		case <-poll.C:
			if busy != nil {
				busy()
			}
		case <-limit.C:
			g.mu.Lock()
			n := g.active
			g.mu.Unlock()
			g.Release()
			return fmt.Errorf("%w: %d active after %v", ErrBusy, n, most)
		}
	}
}

// Release lets everything go on.
func (g *Gate) Release() {
	g.mu.Lock()
	g.held.Store(false)
	g.quiet = nil
	for _, f := range g.later {
		g.run(f)
	}
	g.later = nil
	all := g.list()
	g.let.Broadcast()
	g.mu.Unlock()
	for _, m := range all {
		m.letGo()
	}
}

func (g *Gate) list() []member {
	all := make([]member, 0, len(g.members))
	for m := range g.members {
		all = append(all, m)
	}
	return all
}

func (g *Gate) add(m member) {
	g.mu.Lock()
	g.members[m] = struct{}{}
	g.mu.Unlock()
	if g.held.Load() { // either Hold has listed it, or this sees that it holds
		m.kick()
	}
}

func (g *Gate) drop(m member) {
	g.mu.Lock()
	delete(g.members, m)
	g.mu.Unlock()
}

// timedOut tells whether an error is a deadline's.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Listener accepts connections that can be held. What arrives while it is held waits in the kernel's backlog.
type Listener struct {
	*net.TCPListener
	gate *Gate
	raw  syscall.RawConn // nil where the descriptor can't be had

	mu     sync.Mutex
	cond   *sync.Cond
	parked bool
}

// Listen puts a listener behind a gate.
func (g *Gate) Listen(ln *net.TCPListener) *Listener {
	l := &Listener{TCPListener: ln, gate: g}
	l.cond = sync.NewCond(&l.mu)
	if raw, err := ln.SyscallConn(); err == nil {
		l.raw = raw
	}
	g.add(l)
	return l
}

// keepNonBlocking sets the descriptor to non-blocking again. Danger: where the socket came from another process, that may set it to blocking
// at any time, for both, as some runtimes do when they pass it on once more. An accept would then wait in the kernel, where no deadline
// wakes it, and no hold would ever come to rest.
func (l *Listener) keepNonBlocking() {
	if l.raw != nil {
		_ = l.raw.Control(func(fd uintptr) { _ = unix.SetNonblock(int(fd), true) }) // a closed one is told of by the accept
	}
}

// Accept waits for a connection. It must be called by one goroutine, which is active.
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

func (l *Listener) kick() { l.SetDeadline(past) }

func (l *Listener) letGo() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetDeadline(time.Time{})
	if l.parked {
		l.parked = false
		l.gate.stir()
		l.cond.Broadcast()
	}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.gate.drop(l)
	return l.TCPListener.Close()
}

// Conns lists the connections behind the gate.
func (g *Gate) Conns() []*Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]*Conn, 0, len(g.members))
	for m := range g.members {
		if c, ok := m.(*Conn); ok {
			all = append(all, c)
		}
	}
	return all
}
