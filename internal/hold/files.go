package hold

import (
	"fmt"
	"net"
	"os"
	"syscall"
)

// Files collects the descriptors of held connections in the order in which they are sent. The connections keep
// owning them, and they are valid while the gate is held.
type Files struct {
	FDs       []int
	SentAhead map[*Conn]int // indexes of descriptors sent before the hold, while the connections were in use
}

// Add appends the descriptor of a connection or listener and returns its index. For a descriptor that was sent ahead
// at index n it returns -1-n.
func (f *Files) Add(x interface{ FD(func(fd int)) error }) (int, error) {
	if c, ok := x.(interface{ heldConn() *Conn }); ok {
		if n, ahead := f.SentAhead[c.heldConn()]; ahead {
			return -1 - n, nil
		}
	}
	if err := x.FD(func(fd int) { f.FDs = append(f.FDs, fd) }); err != nil {
		return 0, err
	}
	return len(f.FDs) - 1, nil
}

// Received are descriptors sent to this process. Each can be taken once.
type Received struct {
	FDs []int // -1 once taken

	gate          *Gate
	receivedAhead []*Conn // of descriptors received ahead of the rest; nil once taken
}

// Receive returns an empty Received whose connections are put behind the gate.
func (g *Gate) Receive() *Received { return &Received{gate: g} }

// heldConn identifies a connection to Files, also if another type embeds it.
func (c *Conn) heldConn() *Conn { return c }

// takeFile returns a descriptor as a file, which the caller must close.
func (r *Received) takeFile(index int) (*os.File, error) {
	if index < 0 || index >= len(r.FDs) || r.FDs[index] < 0 {
		return nil, fmt.Errorf("hold: no descriptor at index %d of %d", index, len(r.FDs))
	}
	f := os.NewFile(uintptr(r.FDs[index]), "received")
	r.FDs[index] = -1
	return f, nil
}

// Conn takes the connection at an index, negative for one received ahead, and restores its state. The caller must write
// st.Rest before anything else.
func (r *Received) Conn(index int, st ConnState) (*Conn, error) {
	if n := -1 - index; index < 0 && n < len(r.receivedAhead) && r.receivedAhead[n] != nil {
		c := r.receivedAhead[n]
		r.receivedAhead[n] = nil
		c.restore(st)
		return c, nil
	}
	c, err := r.wrapConn(index)
	if err != nil {
		return nil, err
	}
	c.restore(st)
	return c, nil
}

// wrapConn makes a connection behind the gate from a descriptor.
func (r *Received) wrapConn(index int) (*Conn, error) {
	f, err := r.takeFile(index)
	if err != nil {
		return nil, err
	}
	defer f.Close() // the connection has duplicated the descriptor
	nc, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	return r.gate.Wrap(nc), nil
}

// ReceiveAhead makes connections, in order, from descriptors received before the hold. This is the slowest part of a
// handover, so it runs while the old process still serves.
func (r *Received) ReceiveAhead(fds []int) error {
	ahead := Received{FDs: fds, gate: r.gate}
	for i := range fds {
		c, err := ahead.wrapConn(i)
		if err != nil {
			ahead.Close()
			return err
		}
		r.receivedAhead = append(r.receivedAhead, c)
	}
	return nil
}

// Listener takes the listener at an index.
func (r *Received) Listener(index int) (net.Listener, error) {
	f, err := r.takeFile(index)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

// PacketConn takes the datagram socket at an index.
func (r *Received) PacketConn(index int) (net.PacketConn, error) {
	f, err := r.takeFile(index)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FilePacketConn(f)
}

// Close closes whatever was not taken, above all connections received ahead that have ended since.
func (r *Received) Close() {
	for i, c := range r.receivedAhead {
		if c != nil {
			c.Close()
			r.receivedAhead[i] = nil
		}
	}
	for i, fd := range r.FDs {
		if fd >= 0 {
			syscall.Close(fd)
			r.FDs[i] = -1
		}
	}
}
