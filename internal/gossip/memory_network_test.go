package gossip

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// memoryNetwork is a network in memory: what 300 members cost there is theirs, and no kernel's.
type memoryNetwork struct {
	mu    sync.Mutex
	ports map[netip.AddrPort]*memoryPort
	next  uint16
	apart func(from, to netip.AddrPort) bool // nothing gets through between them; nil for nowhere
}

type datagram struct {
	text []byte
	from netip.AddrPort
}

// memoryPort is one member's place in it: where its datagrams and connections come.
type memoryPort struct {
	a     *memoryNetwork
	at    netip.AddrPort
	grams chan datagram
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{ports: map[netip.AddrPort]*memoryPort{}, next: 1000}
}

// acceptBacklog is how many connections wait to be accepted, as a kernel has it.
const acceptBacklog = 128

// sockets are a new member's.
func (a *memoryNetwork) sockets() *Sockets {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	p := &memoryPort{a: a, at: netip.AddrPortFrom(netip.MustParseAddr("127.1.0.1"), a.next), grams: make(chan datagram, 4*mostQueued), conns: make(chan net.Conn, acceptBacklog), done: make(chan struct{})}
	a.ports[p.at] = p
	return &Sockets{packet: p, stream: memoryListener{p}, addr: p.at, dial: p.dial}
}

func (a *memoryNetwork) port(from, to netip.AddrPort) (p *memoryPort, cut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ports[to], a.apart != nil && a.apart(from, to)
}

func (p *memoryPort) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if x, cut := p.a.port(p.at, to); x != nil && !cut {
		select {
		case x.grams <- datagram{append([]byte(nil), b...), p.at}:
		default: // a full queue, as a kernel's
		}
	}
	return len(b), nil
}

func (p *memoryPort) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case g := <-p.grams:
		return copy(b, g.text), g.from, nil
	case <-p.done:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// Close gives the place up: from then on connections there are refused.
func (p *memoryPort) Close() error {
	p.once.Do(func() {
		p.a.mu.Lock()
		delete(p.a.ports, p.at)
		p.a.mu.Unlock()
		close(p.done)
	})
	return nil
}

// memoryConn is an end of a connection that says where the other end is.
type memoryConn struct {
	net.Conn
	from netip.AddrPort
}

func (c memoryConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.from) }

func (p *memoryPort) dial(addr string, most time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	x, cut := p.a.port(p.at, to)
	switch {
	case cut:
		return nil, os.ErrDeadlineExceeded // at once: nobody waits for what is known
	case x == nil:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case x.conns <- memoryConn{far, p.at}:
		return memoryConn{near, to}, nil
	case <-x.done:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	case <-time.After(most):
		return nil, os.ErrDeadlineExceeded
	}
}

type memoryListener struct{ *memoryPort }

func (l memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l memoryListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// TestHalvesInMemoryMeetAgain: members on a network in memory come to one view, two halves that are parted hold each other for failed and count
// all, and they are one fleet again afterwards.
func TestHalvesInMemoryMeetAgain(t *testing.T) {
	const n = 12
	a := newMemoryNetwork()
	var all []*body
	half := map[netip.AddrPort]int{}
	for i := range n {
		cfg := config(fmt.Sprint("m", i))
		if i > 0 {
			cfg.Seeds = []string{all[0].at()}
		}
		b := memberAt(t, cfg, a.sockets())
		half[b.t.Addr()] = i % 2
		all = append(all, b)
	}
	one := func(reached int) func() bool {
		return func() bool {
			for i, b := range all {
				if p := b.Picture(); p.Reached != reached || p.Acting != n || p.Digest != all[i%2].Picture().Digest {
					return false
				}
			}
			return reached < n || all[0].Picture().Digest == all[1].Picture().Digest
		}
	}
	waitUntil(t, "one view", one(n))
	a.mu.Lock()
	a.apart = func(from, to netip.AddrPort) bool { return half[from] != half[to] }
	a.mu.Unlock()
	waitUntil(t, "each half holds the other for failed, and counts it", one(n/2))
	a.mu.Lock()
	a.apart = nil
	a.mu.Unlock()
	waitUntil(t, "one view again", one(n))
}
