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
	maxConns = 16 // few, because file descriptors are needed for traffic
	// Clients time out after 1 s. A request that is incomplete by then gets no response; an order that isn't in force
	// after orderTimeout gets its response before the client times out.
	requestTimeout = time.Second
	orderTimeout   = 850 * time.Millisecond
	lingerTimeout  = 200 * time.Millisecond // for a client to read a response sent before the end of its request
	maxLingerBytes = 64 << 10
	acceptPause    = 5 * time.Millisecond // pause after a failed accept
)

// Backend is the dispatcher that the server manages.
type Backend struct {
	Ready func() error     // returns an error with the reason if this process does not serve
	Stats func() Stats     // reads published state; must not block
	Post  func(core.Event) // posts an order, with priority over traffic
}

// AdminServer serves the admin HTTP interface. Use Listen or New to create one.
type AdminServer struct {
	ln      *net.TCPListener
	log     logrus.FieldLogger
	backend atomic.Pointer[Backend] // nil until SetBackend is called

	running, detached atomic.Bool

	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	changed   sync.Cond // uses mu; a connection now waits for input, its request was read, or it was removed
	orders    map[core.OrderID]chan core.OrderFault
	lastOrder core.OrderID
}

// clientConn is a connection of a client. Each carries a single request.
type clientConn struct {
	*net.TCPConn
	raw        syscall.RawConn
	server     *AdminServer
	acceptedAt time.Time

	// Guarded by server.mu.
	requestRead   bool // reading the request has ended, completely or with an error
	awaitingInput bool // all received data was read, and the request is incomplete
}

func (s *AdminServer) newConn(connection *net.TCPConn) (*clientConn, error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: connection, raw: raw, server: s, acceptedAt: time.Now()}, nil
}

// Read implements io.Reader. It reads from the kernel while it holds the server's lock, so that for any other holder of the lock the bytes
// are either still unread in the kernel or already returned.
func (c *clientConn) Read(b []byte) (n int, err error) {
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.server.mu.Lock()
		defer c.server.mu.Unlock()
		for {
			n, err = syscall.Read(int(fd), b)
			if err != syscall.EINTR {
				break
			}
		}
		c.awaitingInput = err == syscall.EAGAIN
		if c.awaitingInput {
			c.server.changed.Broadcast()
		}
		return !c.awaitingInput
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

// Listen starts to listen at addr, host:port. Until SetBackend is called, all valid requests get status 503.
func Listen(addr string, log logrus.FieldLogger) (*AdminServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return New(ln.(*net.TCPListener), log), nil
}

// New returns a server for a listener.
func New(ln *net.TCPListener, log logrus.FieldLogger) *AdminServer {
	s := &AdminServer{ln: ln, log: log, conns: map[*clientConn]struct{}{}, orders: map[core.OrderID]chan core.OrderFault{}}
	s.changed.L = &s.mu
	return s
}

// Addr returns the address of the listener.
func (s *AdminServer) Addr() string { return s.ln.Addr().String() }

// FD calls f with the file descriptor of the listener.
func (s *AdminServer) FD(f func(fd int)) error { return hold.FD(s.ln, f) }

// SetBackend sets the dispatcher that executes the requests.
func (s *AdminServer) SetBackend(b Backend) { s.backend.Store(&b) }

// Detach closes the listener after another process has taken over. Requests in progress are closed without a response: what
// this process would report is outdated, and it no longer executes orders.
func (s *AdminServer) Detach() {
	s.detached.Store(true)
	s.ln.Close()
}

// Close closes the listener. Requests that were read still get a response.
func (s *AdminServer) Close() error { return s.ln.Close() }

// Run accepts connections until the listener is closed. Calls after the first return at once.
func (s *AdminServer) Run() {
	if s.running.Swap(true) {
		return
	}
	for {
		nc, err := s.ln.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			s.log.WithError(err).Warn("accept on the admin HTTP interface failed")
			time.Sleep(acceptPause) // without file descriptors, accept fails at once, so a loop without a pause would spin
			continue
		}
		c, err := s.newConn(nc)
		if err != nil {
			continue // the connection is closed already
		}
		s.admit(c)
		go func() {
			defer s.remove(c)
			s.serve(c)
		}()
	}
}

// admit registers a connection. If maxConns connections are open, it closes one of them first.
func (s *AdminServer) admit(c *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) >= maxConns {
		out, found := s.evictable()
		if !found {
			s.changed.Wait()
			continue
		}
		delete(s.conns, out)
		out.Close()
	}
	s.conns[c] = struct{}{}
}

// evictable returns the oldest connection whose request is incomplete and that has no unread data. If there is none, it returns the oldest
// connection whose request was read, but only if no other connection has data that is still to be read. Callers hold the lock. Without
// these rules, idle clients could keep out clients that send requests, or displace one whose request was received but not read yet.
func (s *AdminServer) evictable() (out *clientConn, found bool) {
	reading := false
	for c := range s.conns {
		idle := c.awaitingInput && tcp.OpenWithoutData(c.TCPConn)
		reading = reading || !c.requestRead && !idle
		if !c.requestRead && !idle {
			continue
		}
		if out == nil || out.requestRead && !c.requestRead || out.requestRead == c.requestRead && c.acceptedAt.Before(out.acceptedAt) {
			out = c
		}
	}
	return out, out != nil && !(out.requestRead && reading)
}

func (s *AdminServer) remove(c *clientConn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.changed.Broadcast()
	s.mu.Unlock()
}

// serve reads the single request of a connection and responds to it.
func (s *AdminServer) serve(c *clientConn) {
	c.SetDeadline(c.acceptedAt.Add(requestTimeout))
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	r := bufio.NewReaderSize(c, maxHeadBytes)
	err := req.ReadLimitBody(r, maxBodyBytes)
	s.mu.Lock()
	c.requestRead = true
	s.changed.Broadcast()
	s.mu.Unlock()
	var late net.Error
	var small *fasthttp.ErrSmallBuffer
	var a Response
	switch {
	case err == nil:
		a = s.response(string(req.Header.Method()), string(req.RequestURI()), req.Body())
	case errors.Is(err, io.EOF) || errors.As(err, &late) && late.Timeout():
		return // the client has closed the connection or timed out
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		a = textResponse(fasthttp.StatusRequestEntityTooLarge, "a body has %d bytes at most", maxBodyBytes)
	case errors.As(err, &small):
		a = textResponse(fasthttp.StatusRequestHeaderFieldsTooLarge, "a head has %d bytes at most", maxHeadBytes)
	default:
		a = textResponse(fasthttp.StatusBadRequest, "not a call")
	}
	if s.detached.Load() {
		return
	}
	c.SetDeadline(time.Now().Add(requestTimeout))
	if _, werr := c.Write(a.bytes()); werr != nil || err == nil && r.Buffered() == 0 {
		return
	}
	// Closing a socket with unread input resets the connection, and the client might lose the response.
	if c.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c, maxLingerBytes)
	}
}

func (s *AdminServer) response(method, target string, body []byte) Response {
	call, a, ok := parseRequest(method, target, body)
	if !ok {
		return a
	}
	b := s.backend.Load()
	if b == nil {
		return textResponse(fasthttp.StatusServiceUnavailable, "this process does not serve yet")
	}
	switch call.Kind {
	case KindReadiness:
		if err := b.Ready(); err != nil {
			return textResponse(fasthttp.StatusServiceUnavailable, "%v", err)
		}
		return textResponse(fasthttp.StatusOK, "ready")
	case KindStats:
		return b.Stats().response()
	}
	return s.executeOrder(b, call)
}

// executeOrder posts an order and waits until it is in force, or for orderTimeout.
func (s *AdminServer) executeOrder(b *Backend, call Request) Response {
	done := make(chan core.OrderFault, 1)
	s.mu.Lock()
	s.lastOrder++
	id := s.lastOrder
	s.orders[id] = done
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.orders, id)
		s.mu.Unlock()
	}()
	limit := time.NewTimer(orderTimeout)
	defer limit.Stop()
	go b.Post(orderEvent(call, id)) // blocks while an upgrade holds the dispatcher
	select {
	case fault := <-done:
		switch fault {
		case "":
			return textResponse(fasthttp.StatusOK, "done")
		case core.UnknownWorker:
			return textResponse(fasthttp.StatusNotFound, "%s", fault)
		}
		return textResponse(fasthttp.StatusConflict, "%s", fault)
	case <-limit.C:
		return textResponse(fasthttp.StatusServiceUnavailable, "not in force yet; it will be")
	}
}

func orderEvent(call Request, id core.OrderID) core.Event {
	switch call.Kind {
	case KindWorkerDown, KindWorkerUp:
		return core.BanOrdered{Order: id, Worker: call.Worker, Lift: call.Kind == KindWorkerUp}
	default:
		return core.DrainOrdered{Order: id, End: call.Kind == KindDrainStop}
	}
}

// Ordered passes the result of an order to the request that waits for it. It does not block.
func (s *AdminServer) Ordered(o core.Ordered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if done := s.orders[o.Order]; done != nil {
		done <- o.Fault
		delete(s.orders, o.Order)
	}
}
