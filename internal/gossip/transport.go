package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"foldlb.example/foldlb/internal/hold"
)

const (
	mostPacket  = 65536
	mostQueued  = 256 // datagrams that were read and not looked at yet
	mostStreams = 16  // connections that peers opened, at once; descriptors are needed elsewhere
	streamMost  = 10 * time.Second
	acceptPause = 10 * time.Millisecond
)

// Sockets are where a member listens: datagrams and connections at one address. They pass on in a hand-over.
type Sockets struct {
	packet packets
	stream net.Listener
	addr   netip.AddrPort
	dial   func(addr string, most time.Duration) (net.Conn, error)
}

// packets is what datagrams go through: a UDP socket, or a network in memory.
type packets interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// socketsOf are those of the machine.
func socketsOf(pc *net.UDPConn, ln *net.TCPListener) *Sockets {
	s := &Sockets{packet: pc, stream: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	s.dial = func(addr string, most time.Duration) (net.Conn, error) {
		d := net.Dialer{Timeout: most}
		if own := s.addr.Addr(); !own.IsUnspecified() { // so that a peer's address set knows it
			d.LocalAddr = &net.TCPAddr{IP: own.AsSlice()}
		}
		return d.Dial("tcp", addr)
	}
	return s
}

// Listen opens the sockets at an address.
func Listen(at netip.AddrPort) (*Sockets, error) {
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	bound := ln.Addr().(*net.TCPAddr).AddrPort()
	pc, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at.Addr(), bound.Port())))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return socketsOf(pc, ln), nil
}

// Addr is where they listen.
func (s *Sockets) Addr() netip.AddrPort { return s.addr }

// Close closes them.
func (s *Sockets) Close() error { return errors.Join(s.packet.Close(), s.stream.Close()) }

type udpFile struct{ c *net.UDPConn }

func (f udpFile) FD(g func(fd int)) error { return hold.FD(f.c, g) }

type tcpFile struct{ ln *net.TCPListener }

func (f tcpFile) FD(g func(fd int)) error { return hold.FD(f.ln, g) }

// Counts are what a transport has counted since its start.
type Counts struct {
	Sent, SentBytes   uint64 // datagrams
	Taken, TakenBytes uint64
	Opened            uint64 // connections to peers
	Strangers         uint64 // datagrams and connections from addresses that are not allowed
	Full              uint64 // datagrams and connections dropped since a queue was full
	Unreadable        uint64 // messages of no version that is known
	Dropped           uint64 // questions for a configuration beyond what is answered, and answers that nobody asked for
}

// transport is memberlist's way to its peers, over sockets that may have come from another process.
type transport struct {
	*Sockets
	advertise netip.AddrPort
	allowed   func(netip.Addr) bool
	refused   func(process uint64) // a peer's machine says that nobody listens there
	doubted   func(process uint64) // a peer is asked over a connection, since it did not answer a datagram

	packets chan *memberlist.Packet
	streams chan net.Conn
	places  chan struct{}
	done    chan struct{}
	once    sync.Once

	begun   time.Time
	heardAt atomic.Int64 // nanoseconds from begun to the last datagram that a peer may have sent

	sent, sentBytes, taken, takenBytes, opened, strangers, full atomic.Uint64
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

func newTransport(s *Sockets, advertise netip.AddrPort, allowed func(netip.Addr) bool) *transport {
	return &transport{Sockets: s, advertise: advertise, allowed: allowed, packets: make(chan *memberlist.Packet, mostQueued),
		streams: make(chan net.Conn), places: make(chan struct{}, mostStreams), done: make(chan struct{}), begun: time.Now()}
}

func (t *transport) heard() { t.heardAt.Store(int64(time.Since(t.begun))) }

// silence is for how long no peer has said a word. Danger: it is not reckoned by the machine's clock of day. One that is set forward by an
// hour would say that nobody was heard for an hour, and one that is set back that somebody was.
func (t *transport) silence() time.Duration {
	return time.Since(t.begun) - time.Duration(t.heardAt.Load())
}

func (t *transport) run() {
	t.heard()
	go t.read()
	go t.accept()
}

func (t *transport) read() {
	buf := make([]byte, mostPacket)
	for {
		n, from, err := t.packet.ReadFromUDPAddrPort(buf)
		if err != nil {
			if t.ended() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // danger: a peer that is gone makes the next read fail, and says nothing of this socket
		}
		if !t.allowed(from.Addr().Unmap()) {
			t.strangers.Add(1)
			continue
		}
		t.taken.Add(1)
		t.heard()
		t.takenBytes.Add(uint64(n))
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
			t.full.Add(1) // like a datagram that was lost on its way
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.stream.Accept()
		if err != nil {
			if t.ended() || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause) // danger: out of descriptors, accepting fails at once, again and again
			continue
		}
		from, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		if !t.allowed(from.Addr().Unmap()) {
			t.strangers.Add(1)
			c.Close()
			continue
		}
		select {
		case t.places <- struct{}{}:
		default:
			t.full.Add(1)
			c.Close()
			continue
		}
		c.SetDeadline(time.Now().Add(streamMost)) // danger: one that trickles would keep its place for ever
		select {
		case t.streams <- &placed{Conn: c, free: sync.OnceFunc(func() { <-t.places })}:
		case <-t.done:
			c.Close()
			return
		}
	}
}

// placed is a peer's connection, which has a place as long as it is open.
type placed struct {
	net.Conn
	free func()
}

func (p *placed) Close() error {
	p.free()
	return p.Conn.Close()
}

// SetDeadline keeps the time that a connection has at the most.
func (p *placed) SetDeadline(at time.Time) error {
	if most := time.Now().Add(streamMost); at.IsZero() || at.After(most) {
		at = most
	}
	return p.Conn.SetDeadline(at)
}

func (t *transport) ended() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// FinalAdvertiseAddr is memberlist's question where peers find this member.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return time.Time{}, err
	}
	if _, err = t.packet.WriteToUDPAddrPort(b, to); err == nil {
		t.sent.Add(1)
		t.sentBytes.Add(uint64(len(b)))
	}
	return time.Now(), err
}

// WriteToAddress sends a datagram to a member.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout opens a connection to a peer, from the address at which this member listens.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	t.opened.Add(1)
	return t.dial(addr, timeout)
}

// DialAddressTimeout opens a connection to a member, and takes what its machine says for evidence.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	process, named := processOf(a.Name)
	if named && t.doubted != nil {
		t.doubted(process)
	}
	c, err := t.DialTimeout(a.Addr, timeout)
	if named && errors.Is(err, syscall.ECONNREFUSED) && t.refused != nil {
		t.refused(process)
	}
	return c, err
}

// PacketCh is where datagrams come from.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh is where connections come from.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown closes the sockets.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.done)
		err = t.Close()
	})
	return err
}
