package ops

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/tcp"
)

const (
	mostCallers = 16 // at once; descriptors are needed elsewhere
	// Callers wait for 1 s: who has not said everything by then hears no answer, and an order not in force by then is
	// answered while that can still be heard.
	readWait    = time.Second
	orderWait   = 850 * time.Millisecond
	lingerWait  = 200 * time.Millisecond // for a caller to read an answer that came before the end of its call
	lingerMost  = 64 << 10
	acceptPause = 5 * time.Millisecond // after a failed accept
)

// Node is the dispatcher behind the door.
type Backend struct {
	Ready func() error     // nil where this process serves; else why not
	Stats func() Stats     // of published state: it must never wait
	Post  func(core.Event) // takes an order, ahead of traffic
}

// Door serves operators. Its zero value is not ready for use: see New.
type AdminServer struct {
	ln   *net.TCPListener
	log  logrus.FieldLogger
	node atomic.Pointer[Backend] // nil until there is a dispatcher

	running, left atomic.Bool

	mu     sync.Mutex
	conns  map[*caller]struct{}
	moved  sync.Cond // on mu: a caller has begun to wait for the rest of its call, was heard or has left
	orders map[core.OrderID]chan core.OrderFault
	last   core.OrderID
}

// caller is a connection at the door.
type caller struct {
	*net.TCPConn
	raw   syscall.RawConn
	door  *AdminServer
	since time.Time

	// Guarded by door.mu.
	heard  bool // its call has been read whole
	awaits bool // all that came has been read, and the call is not whole
}

func (d *AdminServer) newCaller(connection *net.TCPConn) (*caller, error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &caller{TCPConn: connection, raw: raw, door: d, since: time.Now()}, nil
}

// Read implements io.Reader. Bytes leave the kernel under the lock of the door, so that whoever holds it finds them either there or read.
func (c *caller) Read(b []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.door.mu.Lock()
		defer c.door.mu.Unlock()
		for {
			n, err = syscall.Read(int(fd), b)
			if err != syscall.EINTR {
				break
			}
		}
		c.awaits = err == syscall.EAGAIN
		if c.awaits {
			c.door.moved.Broadcast()
		}
		return !c.awaits
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, err
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// Listen opens the door at an address. Until Open, readiness is denied and there are no figures.
func Listen(addr string, log logrus.FieldLogger) (*AdminServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(ln.(*net.TCPListener), log), nil
}

// New makes a door of a listener.
func New(ln *net.TCPListener, log logrus.FieldLogger) *AdminServer {
	d := &AdminServer{ln: ln, log: log, conns: map[*caller]struct{}{}, orders: map[core.OrderID]chan core.OrderFault{}}
	d.moved.L = &d.mu
	return d
}

// Addr is where the door listens.
func (d *AdminServer) Addr() string { return d.ln.Addr().String() }

// FD calls f with the listener's descriptor.
func (d *AdminServer) FD(f func(fd int)) error { return hold.FD(d.ln, f) }

// Open puts a dispatcher behind the door.
func (d *AdminServer) SetBackend(n Backend) { d.node.Store(&n) }

// Leave says that another process answers from now on: calls that still come here end without a word. Danger: what this
// one would say is no longer true, and its orders would never be in force.
func (d *AdminServer) Detach() {
	d.left.Store(true)
	d.ln.Close()
}

// Close closes the door. Calls that were read are answered.
func (d *AdminServer) Close() error { return d.ln.Close() }

// Run takes calls until the door is closed. A second call of it does nothing.
func (d *AdminServer) Run() {
	if d.running.Swap(true) {
		return
	}
	for {
		nc, err := d.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			d.log.WithError(err).Warn("operators' door")
			time.Sleep(acceptPause) // danger: out of descriptors, accepting fails at once, again and again
			continue
		}
		c, err := d.newCaller(nc)
		if err != nil {
			continue // closed already
		}
		d.admit(c)
		go func() {
			defer d.leave(c)
			d.serve(c)
		}()
	}
}

// admit counts a caller. Where all places are taken another one yields its place first.
func (d *AdminServer) admit(c *caller) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.conns) >= mostCallers {
		out, found := d.yielding()
		if !found {
			d.moved.Wait()
			continue
		}
		delete(d.conns, out)
		out.Close()
	}
	d.conns[c] = struct{}{}
}

// yielding returns the caller that has gone longest without finishing its call. Where all calls have been read it is the oldest caller;
// where none can be told while calls that have come in are still being read, there is none. The lock is held.
// Danger: callers that say nothing must not keep out those that do, nor push out one whose call was not read yet.
func (d *AdminServer) yielding() (out *caller, found bool) {
	reading := false
	for c := range d.conns {
		silent := c.awaits && tcp.Silent(c.TCPConn)
		reading = reading || !c.heard && !silent
		if !c.heard && !silent {
			continue
		}
		if out == nil || out.heard && !c.heard || out.heard == c.heard && c.since.Before(out.since) {
			out = c
		}
	}
	return out, out != nil && !(out.heard && reading)
}

func (d *AdminServer) leave(c *caller) {
	c.Close()
	d.mu.Lock()
	delete(d.conns, c)
	d.moved.Broadcast()
	d.mu.Unlock()
}

// serve reads the one call of a connection and answers it.
func (d *AdminServer) serve(c *caller) {
	c.SetDeadline(c.since.Add(readWait))
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r := bufio.NewReaderSize(c, mostHead)
	err := req.ReadLimitBody(r, mostBody)
	d.mu.Lock()
	c.heard = true
	d.moved.Broadcast()
	d.mu.Unlock()
	var late net.Error
	var small *fasthttp.ErrSmallBuffer
	var a Answer
	switch {
	case err == nil:
		a = d.answer(string(req.Header.Method()), string(req.RequestURI()), req.Body())
	case errors.Is(err, io.EOF) || errors.As(err, &late) && late.Timeout():
		return // nobody listens any more
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		a = line(fasthttp.StatusRequestEntityTooLarge, "a body has %d bytes at most", mostBody)
	case errors.As(err, &small):
		a = line(fasthttp.StatusRequestHeaderFieldsTooLarge, "a head has %d bytes at most", mostHead)
	default:
		a = line(fasthttp.StatusBadRequest, "not a call")
	}
	if d.left.Load() {
		return
	}
	c.SetDeadline(time.Now().Add(readWait))
	if _, werr := c.Write(a.bytes()); werr != nil || err == nil && r.Buffered() == 0 {
		return
	}
	// Danger: a close with something unread would reset the connection, and the answer might never be read.
	if c.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerWait))
		io.CopyN(io.Discard, c, lingerMost)
	}
}

func (d *AdminServer) answer(method, target string, body []byte) Answer {
	call, a, ok := parse(method, target, body)
	if !ok {
		return a
	}
	n := d.node.Load()
	if n == nil {
		return line(fasthttp.StatusServiceUnavailable, "this process does not serve yet")
	}
	switch call.Kind {
	case KindReadiness:
		if err := n.Ready(); err != nil {
			return line(fasthttp.StatusServiceUnavailable, "%v", err)
		}
		return line(fasthttp.StatusOK, "ready")
	case KindStats:
		return n.Stats().answer()
	}
	return d.order(n, call)
}

// order passes an order on and waits until it is in force.
func (d *AdminServer) order(n *Backend, call Call) Answer {
	done := make(chan core.OrderFault, 1)
	d.mu.Lock()
	d.last++
	id := d.last
	d.orders[id] = done
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.orders, id)
		d.mu.Unlock()
	}()
	limit := time.NewTimer(orderWait)
	defer limit.Stop()
	go n.Post(event(call, id)) // it waits where the dispatcher is at rest
	select {
	case fault := <-done:
		switch fault {
		case "":
			return line(fasthttp.StatusOK, "done")
		case core.UnknownWorker:
			return line(fasthttp.StatusNotFound, "%s", fault)
		}
		return line(fasthttp.StatusConflict, "%s", fault)
	case <-limit.C:
		return line(fasthttp.StatusServiceUnavailable, "not in force yet; it will be")
	}
}

func event(call Call, id core.OrderID) core.Event {
	switch call.Kind {
	case KindWorkerDown, KindWorkerUp:
		return core.BanOrdered{Order: id, Worker: call.Worker, Lift: call.Kind == KindWorkerUp}
	default:
		return core.DrainOrdered{Order: id, End: call.Kind == KindDrainStop}
	}
}

// Ordered tells whoever waits for an order how it went. It does not block.
func (d *AdminServer) Ordered(o core.Ordered) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if done := d.orders[o.Order]; done != nil {
		done <- o.Fault
		delete(d.orders, o.Order)
	}
}
