package hold

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// Files lists the descriptors of held connections in the order in which they are passed on. They stay their
// connections' own, and are good for as long as those are held.
type Files struct {
	FDs       []int
	SentAhead map[*Conn]int // those whose descriptors were passed on ahead, while they were at work
}

// Add lists the descriptor of a connection or listener and returns its place: below 0 for one that was passed on
// ahead.
func (f *Files) Add(x interface{ FD(func(fd int)) error }) (int, error) {
	if c, ok := x.(interface{ held() *Conn }); ok {
		if n, ahead := f.SentAhead[c.held()]; ahead {
			return -1 - n, nil
		}
	}
	if err := x.FD(func(fd int) { f.FDs = append(f.FDs, fd) }); err != nil {
		return 0, err
	}
	return len(f.FDs) - 1, nil
}

// Received are descriptors that were passed on to this process. Each is taken once.
type Received struct {
	FDs []int // -1 where taken

	gate  *Gate
	ahead []*Conn // that came ahead; nil where taken
}

// Receive makes a place for what comes: connections get behind the gate.
func (g *Gate) Receive() *Received { return &Received{gate: g} }

// held makes a connection known to Files, also inside those that embed it.
func (c *Conn) held() *Conn { return c }

// take returns a descriptor as a file; whoever uses it closes it.
func (r *Received) take(place int) (*os.File, error) {
	if place < 0 || place >= len(r.FDs) || r.FDs[place] < 0 {
		return nil, fmt.Errorf("hold: no descriptor at place %d of %d", place, len(r.FDs))
	}
	f := os.NewFile(uintptr(r.FDs[place]), "passed on")
	r.FDs[place] = -1
	return f, nil
}

// Conn takes the connection at a place, and puts it where the state says that it stood. What was left to be written
// is the caller's to write first.
func (r *Received) Conn(place int, st ConnState) (*Conn, error) {
	if n := -1 - place; place < 0 && n < len(r.ahead) && r.ahead[n] != nil {
		c := r.ahead[n]
		r.ahead[n] = nil
		c.adopt(st)
		return c, nil
	}
	c, err := r.wrap(place)
	if err != nil {
		return nil, err
	}
	c.adopt(st)
	return c, nil
}

// wrap makes a connection of a descriptor.
func (r *Received) wrap(place int) (*Conn, error) {
	f, err := r.take(place)
	if err != nil {
		return nil, err
	}
	defer f.Close() // the connection has a descriptor of its own
	nc, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return r.gate.Wrap(nc), nil
}

// Early makes connections of descriptors that came ahead, in their order: it is what takes longest.
func (r *Received) ReceiveAhead(fds []int) error {
	early := Received{FDs: fds, gate: r.gate}
	for i := range fds {
		c, err := early.wrap(i)
		if err != nil {
			early.Close()
			return err
		}
		r.ahead = append(r.ahead, c)
	}
	return nil
}

// Listener takes the listener at a place.
func (r *Received) Listener(place int) (net.Listener, error) {
	f, err := r.take(place)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// Packets takes the socket for datagrams at a place.
func (r *Received) PacketConn(place int) (net.PacketConn, error) {
	f, err := r.take(place)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FilePacketConn(f)
}

// Close closes what nobody has taken: what came ahead and has ended since, above all.
func (r *Received) Close() {
	for i, c := range r.ahead {
		if c != nil {
			c.Close()
			r.ahead[i] = nil
		}
	}
	for i, fd := range r.FDs {
		if fd >= 0 {
			syscall.Close(fd)
			r.FDs[i] = -1
		}
	}
}
