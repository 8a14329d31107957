package clientconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// smallBuffers accepts connections with a small send buffer, so that large responses block.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// handover holds the server, and returns another one that imported its connections.
func (f *fixture) handover(gate *hold.Gate) *Server {
	f.t.Helper()
	if err := gate.Hold(testTimeout, nil); err != nil {
		f.t.Fatal(err)
	}
	var files hold.Files
	st, err := f.s.Export(&files)
	if err != nil {
		f.t.Fatal(err)
	}
	next := hold.NewGate()
	received := next.Receive()
	for _, fd := range files.FDs { // duplicates, as another process would receive them
		received.FDs = append(received.FDs, dupFD(f.t, fd))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(16, next, func(e core.Event) { f.events <- e }, log)
	if err := next.Hold(testTimeout, nil); err != nil {
		f.t.Fatal(err)
	}
	if err := s.Import(st, received); err != nil {
		f.t.Fatal(err)
	}
	next.Release()
	return s
}

func dupFD(t *testing.T, fd int) int {
	t.Helper()
	// The old server closes its own descriptors later.
	nfd, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	return nfd
}

// TestHandoverOfPartlyWrittenAnswer checks that a response that was written in part continues at the same byte in the
// new process, and that the connection then serves further requests.
func TestHandoverOfPartlyWrittenAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := hold.NewGate()
	f := &fixture{t: t, ln: ln, events: make(chan core.Event, 64)}
	f.s = NewServer(16, gate, func(e core.Event) { f.events <- e }, log)
	go f.s.Serve(smallBuffers{gate.Listen(ln.(*net.TCPListener))})
	c := f.dial()
	c.Conn.(*net.TCPConn).SetReadBuffer(4096)
	c.send(callRequest, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	var body strings.Builder
	for i := range 1 << 14 {
		fmt.Fprintf(&body, "%07d ", i)
	}
	f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte(body.String())})
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	next := f.handover(gate)
	if countIn(next, phaseAnswering) != 1 {
		t.Fatal("the response was not partly written")
	}
	if got := string(c.answer().Body()); got != body.String() {
		t.Fatalf("%d bytes read, want %d, or their content differs", len(got), body.Len())
	}
	c.send(callRequest, "ho")
	call := f.event().(core.CallArrived).Call
	if call.Exchange <= exchange || string(call.Message.Body) != "ho" {
		t.Fatalf("the next request is %+v; the last exchange was %d", call, exchange)
	}
	next.Answer(core.Answer{Exchange: call.Exchange, Verdict: core.Served, Body: []byte("ok")})
	if got := string(c.answer().Body()); got != "ok" {
		t.Fatalf("response body %q, want \"ok\"", got)
	}
}

// TestHandoverKeepsReadDeadline checks that the deadline of a partly read request is not extended by the handover.
func TestHandoverKeepsReadDeadline(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(readTimeout)
	for countIn(f.s, phaseReading) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the partial request was not read")
		}
	}
	next := f.handover(f.s.gate)
	if n := countIn(next, phaseReading); n != 1 {
		t.Fatalf("%d connections with a partly read request, want 1", n)
	}
	if resp := c.answer(); resp.StatusCode() != 408 {
		t.Errorf("response %s, want 408", resp)
	}
	if late := time.Since(deadline); late > readTimeout/2 {
		t.Errorf("answered %v after the deadline", late)
	}
}

// countIn returns the number of connections in a phase.
func countIn(s *Server, p phase) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.phase == p {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// TestImportRejectsInvalidState checks missing descriptors, unknown phases and exchange ids that were not assigned yet.
func TestImportRejectsInvalidState(t *testing.T) {
	for name, st := range map[string]State{
		"no descriptor":       {Conns: []ConnState{{File: 3}}},
		"negative descriptor": {Conns: []ConnState{{File: -1}}},
		"unknown phase":       {Conns: []ConnState{{Phase: 9}}},
		"unassigned exchange": {Conns: []ConnState{{Exchange: 5}}},
	} {
		gate := hold.NewGate()
		s := NewServer(16, gate, func(core.Event) {}, logrus.New())
		if err := s.Import(st, gate.Receive()); err == nil || errors.Is(err, os.ErrNotExist) {
			t.Errorf("%s: import returned %v", name, err)
		}
	}
}
