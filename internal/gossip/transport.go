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
	maxDatagramBytes   = 65536
	maxQueuedDatagrams = 256 // datagrams read but not yet processed
	maxStreams         = 16  // concurrent connections opened by peers; bounds the descriptors used
	streamTimeout      = 10 * time.Second
	acceptPause        = 10 * time.Millisecond
)

// Sockets are a member's UDP socket and TCP listener at one address. They are handed over to a successor.
type Sockets struct {
	packet packetConn
	stream net.Listener
	addr   netip.AddrPort
	dial   func(addr string, most time.Duration) (net.Conn, error)
}

// packetConn is a UDP socket or, in tests, a network in memory.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// newSockets wraps operating system sockets.
func newSockets(pc *net.UDPConn, ln *net.TCPListener) *Sockets {
	s := &Sockets{packet: pc, stream: ln, addr: ln.Addr().(*net.TCPAddr).AddrPort()}
	s.dial = func(addr string, most time.Duration) (net.Conn, error) {
		d := net.Dialer{Timeout: most}
		if own := s.addr.Addr(); !own.IsUnspecified() { // so that the peer's allowed addresses match
			d.LocalAddr = &net.TCPAddr{IP: own.AsSlice()}
		}
		return d.Dial("tcp", addr)
	}
	return s
}

// Listen opens the sockets at an address. With port 0 the system chooses one port for both.
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
	return newSockets(pc, ln), nil
}

// Addr returns the address of the sockets.
func (s *Sockets) Addr() netip.AddrPort { return s.addr }

// Close closes both sockets.
func (s *Sockets) Close() error { return errors.Join(s.packet.Close(), s.stream.Close()) }

type udpFile struct{ c *net.UDPConn }

func (f udpFile) FD(g func(fd int)) error { return hold.FD(f.c, g) }

type tcpFile struct{ ln *net.TCPListener }

func (f tcpFile) FD(g func(fd int)) error { return hold.FD(f.ln, g) }

// Counts are counters of a Node since its start.
type Counts struct {
	Sent, SentBytes   uint64 // datagrams
	Taken, TakenBytes uint64 // datagrams received from allowed addresses
	Opened            uint64 // connections to peers
	Strangers         uint64 // datagrams and connections from addresses that are not allowed
	Full              uint64 // datagrams and connections dropped because of a full queue or the connection limit
	Unreadable        uint64 // messages that can't be decoded
	Dropped           uint64 // configuration and hint requests beyond the rate limits, and configuration replies that weren't requested
}

// transport implements memberlist's transport over sockets that may be inherited from another process.
type transport struct {
	*Sockets
	advertise netip.AddrPort
	allowed   func(netip.Addr) bool
	refused   func(process uint64) // called when a peer's machine refuses a connection
	suspected func(process uint64) // called when a peer is probed over a connection, since it did not ack a datagram

	packets     chan *memberlist.Packet
	streams     chan net.Conn
	streamSlots chan struct{}
	done        chan struct{}
	once        sync.Once

	startedAt      time.Time
	lastReceivedAt atomic.Int64 // nanoseconds from startedAt to the last datagram from an allowed address

	sent, sentBytes, received, receivedBytes, opened, strangers, full atomic.Uint64
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

func newTransport(s *Sockets, advertise netip.AddrPort, allowed func(netip.Addr) bool) *transport {
	return &transport{Sockets: s, advertise: advertise, allowed: allowed, packets: make(chan *memberlist.Packet, maxQueuedDatagrams),
		streams: make(chan net.Conn), streamSlots: make(chan struct{}, maxStreams), done: make(chan struct{}), startedAt: time.Now()}
}

func (t *transport) noteReceived() { t.lastReceivedAt.Store(int64(time.Since(t.startedAt))) }

// silence returns the time since the last datagram from an allowed address. It uses the monotonic clock: if the wall clock
// were used, setting it forward would make all peers look silent, and setting it back would hide that they are.
func (t *transport) silence() time.Duration {
	return time.Since(t.startedAt) - time.Duration(t.lastReceivedAt.Load())
}

func (t *transport) run() {
	t.noteReceived()
	go t.read()
	go t.accept()
}

func (t *transport) read() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := t.packet.ReadFromUDPAddrPort(buf)
		if err != nil {
			if t.ended() || errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a peer that has ended can make the next read fail; the socket remains usable
		}
		if !t.allowed(from.Addr().Unmap()) {
			t.strangers.Add(1)
			continue
		}
		t.received.Add(1)
		t.noteReceived()
		t.receivedBytes.Add(uint64(n))
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: net.UDPAddrFromAddrPort(from), Timestamp: time.Now()}
		select {
		case t.packets <- p:
		default:
			t.full.Add(1) // equivalent to a datagram lost on the network
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
			time.Sleep(acceptPause) // without free descriptors Accept fails immediately and repeatedly
			continue
		}
		from, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		if !t.allowed(from.Addr().Unmap()) {
			t.strangers.Add(1)
			c.Close()
			continue
		}
		select {
		case t.streamSlots <- struct{}{}:
		default:
			t.full.Add(1)
			c.Close()
			continue
		}
		c.SetDeadline(time.Now().Add(streamTimeout)) // a peer that sends slowly must not occupy its slot for ever
		select {
		case t.streams <- &slotConn{Conn: c, release: sync.OnceFunc(func() { <-t.streamSlots })}:
		case <-t.done:
			c.Close()
			return
		}
	}
}

// slotConn is a connection from a peer, which occupies a slot of maxStreams until it is closed.
type slotConn struct {
	net.Conn
	release func()
}

func (p *slotConn) Close() error {
	p.release()
	return p.Conn.Close()
}

// SetDeadline sets a deadline of at most streamTimeout from now.
func (p *slotConn) SetDeadline(at time.Time) error {
	if most := time.Now().Add(streamTimeout); at.IsZero() || at.After(most) {
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

// FinalAdvertiseAddr returns the advertised address to memberlist.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// WriteTo sends a datagram to host:port and returns the time of sending.
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

// WriteToAddress is WriteTo for memberlist's node-aware interface.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, a.Addr)
}

// DialTimeout connects to a peer from this member's address.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	t.opened.Add(1)
	return t.dial(addr, timeout)
}

// DialAddressTimeout connects to a member. It reports the member as suspected, since memberlist connects after an unanswered probe, and as
// ended if its machine refuses the connection.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	process, named := processOf(a.Name)
	if named && t.suspected != nil {
		t.suspected(process)
	}
	c, err := t.DialTimeout(a.Addr, timeout)
	if named && errors.Is(err, syscall.ECONNREFUSED) && t.refused != nil {
		t.refused(process)
	}
	return c, err
}

// PacketCh returns the channel of received datagrams.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of accepted connections.
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
