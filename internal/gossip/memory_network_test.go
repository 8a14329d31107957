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

// memoryNetwork is a network in memory, so that measurements with 300 members don't include the kernel's network stack.
type memoryNetwork struct {
	mu          sync.Mutex
	ports       map[netip.AddrPort]*memoryPort
	next        uint16
	partitioned func(from, to netip.AddrPort) bool // reports pairs without a link; nil for none
}

type datagram struct {
	text []byte
	from netip.AddrPort
}

// memoryPort is a member's address with its incoming datagrams and connections.
type memoryPort struct {
	network *memoryNetwork
	at      netip.AddrPort
	grams   chan datagram
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{ports: map[netip.AddrPort]*memoryPort{}, next: 1000}
}

// acceptBacklog bounds the connections that wait for Accept, as in a kernel.
const acceptBacklog = 128

// sockets returns sockets at a new address.
func (network *memoryNetwork) sockets() *Sockets {
	network.mu.Lock()
	defer network.mu.Unlock()
	network.next++
	p := &memoryPort{network: network, at: netip.AddrPortFrom(netip.MustParseAddr("127.1.0.1"), network.next), grams: make(chan datagram, 4*maxQueuedDatagrams), conns: make(chan net.Conn, acceptBacklog), done: make(chan struct{})}
	network.ports[p.at] = p
	return &Sockets{packet: p, stream: memoryListener{p}, addr: p.at, dial: p.dial}
}

func (network *memoryNetwork) port(from, to netip.AddrPort) (p *memoryPort, cut bool) {
	network.mu.Lock()
	defer network.mu.Unlock()
	return network.ports[to], network.partitioned != nil && network.partitioned(from, to)
}

func (p *memoryPort) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if x, cut := p.network.port(p.at, to); x != nil && !cut {
		select {
		case x.grams <- datagram{append([]byte(nil), b...), p.at}:
		default: // dropped, as by a kernel with a full buffer
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

// Close releases the address; later connections to it are refused.
func (p *memoryPort) Close() error {
	p.once.Do(func() {
		p.network.mu.Lock()
		delete(p.network.ports, p.at)
		p.network.mu.Unlock()
		close(p.done)
	})
	return nil
}

// memoryConn is one end of a connection with the address of the other.
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
	x, cut := p.network.port(p.at, to)
	switch {
	case cut:
		return nil, os.ErrDeadlineExceeded // returned immediately instead of after the time-out
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

// TestHalvesInMemoryMeetAgain checks that the halves of a partitioned fleet judge each other as failed but still count as acting, and that the
// fleet converges after the partition.
func TestHalvesInMemoryMeetAgain(t *testing.T) {
	const n = 12
	a := newMemoryNetwork()
	var all []*testNode
	half := map[netip.AddrPort]int{}
	for i := range n {
		cfg := testConfig(fmt.Sprint("m", i))
		if i > 0 {
			cfg.Seeds = []string{all[0].at()}
		}
		b := startMemberOn(t, cfg, a.sockets())
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
	waitUntil(t, "all views are equal", one(n))
	a.mu.Lock()
	a.partitioned = func(from, to netip.AddrPort) bool { return half[from] != half[to] }
	a.mu.Unlock()
	waitUntil(t, "each half judges the other as failed and still counts it as acting", one(n/2))
	a.mu.Lock()
	a.partitioned = nil
	a.mu.Unlock()
	waitUntil(t, "all views are equal again", one(n))
}
