package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Links stand between every two members of a fleet, and do to what they tell each other what a script says.
//
// A member listens at a loopback address of its own and says that it is found at another one: the ordinary `advertise` of its
// operator file, as behind an address translation. There the links listen. Whoever writes to it is known by its own address,
// from which a member sends everything, so each ordered pair of members has a link of its own; and what is passed on comes from the
// sender's advertised address, as it would without links. The processes are the program as built, and see nothing but a
// network.
type Links struct {
	mu    sync.Mutex
	rng   *rand.Rand
	ends  []*end
	bySrc map[netip.Addr]int
	pairs map[[2]int]Link
	conns map[*piped]struct{}
	sent  int
	lost  int
	done  bool
}

// Link is what happens between one member and another, in one direction.
type Link struct {
	Cut     bool
	Loss    float64 // part of datagrams
	Delay   time.Duration
	Jitter  time.Duration // more, drawn anew for each datagram: they overtake each other
	Twice   float64       // part of datagrams that come twice
	Trickle int           // bytes a second of a connection; 0 for as fast as it goes
}

// end is a member as the others find it.
type end struct {
	real, shown netip.AddrPort
	packet      *net.UDPConn
	stream      *net.TCPListener
	dead        bool // nothing listens there
}

// piped is a connection from one member to another.
type piped struct {
	from, to int
	a        net.Conn
}

const (
	dialLink = 2 * time.Second
	chunk    = 4096
)

// memberAddr are the addresses of the i-th member, where it listens and where it is found. Danger: two runs on one machine must not
// meet, so a run has a part of the loopback range that is drawn.
func memberAddr(run, i int) (listen, shown netip.Addr) {
	return netip.AddrFrom4([4]byte{127, byte(64 + run%64), byte(i >> 8), byte(i + 1)}), netip.AddrFrom4([4]byte{127, byte(128 + run%64), byte(i >> 8), byte(i + 1)})
}

// newLinks opens the links of so many members.
func newLinks(n int, seed uint64, run int) (*Links, error) {
	l := &Links{rng: rand.New(rand.NewPCG(seed, 7)), bySrc: map[netip.Addr]int{}, pairs: map[[2]int]Link{}, conns: map[*piped]struct{}{}}
	for i := range n {
		real, shown := memberAddr(run, i)
		e := &end{}
		var err error
		if e.stream, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(shown, 0))); err != nil {
			l.close()
			return nil, err
		}
		e.shown = e.stream.Addr().(*net.TCPAddr).AddrPort()
		if e.packet, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.shown)); err != nil {
			l.close()
			return nil, err
		}
		e.real = netip.AddrPortFrom(real, e.shown.Port())
		l.ends = append(l.ends, e)
		l.bySrc[real] = i
	}
	for i, e := range l.ends {
		go l.packets(i, e)
		go l.streams(i, e, e.stream)
	}
	return l, nil
}

// set changes links. It breaks connections that a cut goes through: silently, as a cut does.
func (l *Links) set(from, to int, link Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[[2]int{from, to}] = link
}

// clear makes all links whole.
func (l *Links) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.pairs)
}

func (l *Links) link(from, to int) Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pairs[[2]int{from, to}]
}

// meets tells whether two members reach each other directly.
func (l *Links) meets(i, j int) bool { return !l.link(i, j).Cut && !l.link(j, i).Cut }

// packets passes datagrams to a member on.
func (l *Links) packets(to int, e *end) {
	buf := make([]byte, 65536)
	for {
		n, src, err := e.packet.ReadFromUDPAddrPort(buf)
		if err != nil {
			l.mu.Lock()
			done := l.done
			l.mu.Unlock()
			if done {
				return
			}
			continue
		}
		l.mu.Lock()
		from, known := l.bySrc[src.Addr().Unmap()]
		link := l.pairs[[2]int{from, to}]
		l.sent++
		drop := !known || link.Cut || l.rng.Float64() < link.Loss
		if drop {
			l.lost++
		}
		copies := 1
		if l.rng.Float64() < link.Twice {
			copies = 2
		}
		wait := link.Delay + time.Duration(l.rng.Float64()*float64(link.Jitter))
		out := l.ends[from].packet
		l.mu.Unlock()
		if drop {
			continue
		}
		text := append([]byte(nil), buf[:n]...)
		pass := func() {
			for range copies {
				out.WriteToUDPAddrPort(text, e.real)
			}
		}
		if wait > 0 {
			time.AfterFunc(wait, pass)
		} else {
			pass()
		}
	}
}

// streams passes connections to a member on.
func (l *Links) streams(to int, e *end, ln *net.TCPListener) {
	for {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		src, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		l.mu.Lock()
		from, known := l.bySrc[src.Addr().Unmap()]
		l.mu.Unlock()
		if !known {
			c.Close()
			continue
		}
		go l.pipe(from, to, c, e)
	}
}

func (l *Links) pipe(from, to int, c *net.TCPConn, e *end) {
	p := &piped{from: from, to: to, a: c}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, p)
		l.mu.Unlock()
		c.Close()
	}()
	if !l.passes(from, to) || !l.passes(to, from) { // nothing comes up through a cut, and nobody says so
		io.Copy(io.Discard, c) // until the caller gives up
		return
	}
	d := net.Dialer{Timeout: dialLink, LocalAddr: &net.TCPAddr{IP: l.ends[from].shown.Addr().AsSlice()}}
	b, err := d.Dial("tcp", e.real.String())
	if err != nil {
		c.SetLinger(0)
		return
	}
	defer b.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.copy(b, c, from, to) }()
	go func() { defer wg.Done(); l.copy(c, b, to, from) }()
	wg.Wait()
}

func (l *Links) passes(from, to int) bool { return !l.link(from, to).Cut }

// copy passes bytes on in one direction, as the link is at each moment.
func (l *Links) copy(to, from net.Conn, i, j int) {
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		link := l.link(i, j)
		if link.Delay > 0 {
			time.Sleep(link.Delay)
		}
		if link.Cut {
			io.Copy(io.Discard, from)
			return
		}
		if link.Trickle > 0 {
			time.Sleep(time.Duration(float64(n) / float64(link.Trickle) * float64(time.Second)))
		}
		if n > 0 {
			if _, e := to.Write(buf[:n]); e != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				t.CloseWrite()
			}
			return
		}
	}
}

// runs tells the links whether a process listens at a member's address. Where none does, connections are refused, as its machine
// would; with a cut on the way to it nobody hears that.
func (l *Links) runs(i int, yes bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.ends[i]
	if yes == !e.dead {
		return nil
	}
	if !yes {
		for k, link := range l.pairs {
			if k[1] == i && link.Cut {
				return nil
			}
		}
		e.dead = true
		return e.stream.Close()
	}
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(e.shown))
	if err != nil {
		return fmt.Errorf("links: %w", err)
	}
	e.stream, e.dead = ln, false
	go l.streams(i, e, ln)
	return nil
}

func (l *Links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = true
	for _, e := range l.ends {
		if e.packet != nil {
			e.packet.Close()
		}
		if e.stream != nil {
			e.stream.Close()
		}
	}
	for p := range l.conns {
		p.a.Close()
	}
}
