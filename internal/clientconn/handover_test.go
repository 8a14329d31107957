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

// smallBuffers accepts connections that take little of an answer at once.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(4096)
	}
	return c, err
}

// handOver holds a server, and makes another one that takes its connections up.
func (f *fixture) handOver(gate *hold.Gate) *Server {
	f.t.Helper()
	if err := gate.Hold(patience, nil); err != nil {
		f.t.Fatal(err)
	}
	var files hold.Files
	st, err := f.s.Export(&files)
	if err != nil {
		f.t.Fatal(err)
	}
	next := hold.NewGate()
	received := next.Receive()
	for _, fd := range files.FDs { // the twins that another process would get
		received.FDs = append(received.FDs, dup(f.t, fd))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer(16, next, func(e core.Event) { f.events <- e }, log)
	if err := next.Hold(patience, nil); err != nil {
		f.t.Fatal(err)
	}
	if err := s.Import(st, received); err != nil {
		f.t.Fatal(err)
	}
	next.Release()
	return s
}

func dup(t *testing.T, fd int) int {
	t.Helper()
	// A file of its own: the old server keeps its descriptors until it has ended.
	nfd, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	return nfd
}

// TestHandOverHalfWritten: an answer that its caller has read in part goes on from the same byte elsewhere, and so
// does the connection.
func TestHandOverHalfWritten(t *testing.T) {
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
	c.send(ask, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	var body strings.Builder
	for i := range 1 << 14 {
		fmt.Fprintf(&body, "%07d ", i)
	}
	f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte(body.String())})
	if _, err := c.r.Peek(1); err != nil {
		t.Fatal(err)
	}
	next := f.handOver(gate)
	if countIn(next, answering) != 1 {
		t.Fatal("the answer was not half written")
	}
	if got := string(c.answer().Body()); got != body.String() {
		t.Fatalf("%d bytes were read, %d wanted, or others", len(got), body.Len())
	}
	c.send(ask, "ho")
	call := f.event().(core.CallArrived).Call
	if call.Exchange <= exchange || string(call.Message.Body) != "ho" {
		t.Fatalf("the next request is %+v; the last exchange was %d", call, exchange)
	}
	next.Answer(core.Answer{Exchange: call.Exchange, Verdict: core.Served, Body: []byte("ok")})
	if got := string(c.answer().Body()); got != "ok" {
		t.Fatalf("answered %q", got)
	}
}

// TestHandOverDeadlines: a request that is read in part has no more time in the new process than in the old.
func TestHandOverDeadlines(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	if _, err := io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(readWait)
	for countIn(f.s, reading) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the request's part was not read")
		}
	}
	next := f.handOver(f.s.gate)
	if n := countIn(next, reading); n != 1 {
		t.Fatalf("%d connections are half read", n)
	}
	if resp := c.answer(); resp.StatusCode() != 408 {
		t.Errorf("answered %s", resp)
	}
	if late := time.Since(deadline); late > readWait/2 {
		t.Errorf("%v after its time", late)
	}
}

// countIn counts the connections in a phase.
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

// TestImportRefusesWhatDoesNotFit: places without a descriptor, phases that are none.
func TestImportRefusesWhatDoesNotFit(t *testing.T) {
	for name, st := range map[string]State{
		"no descriptor":       {Conns: []ConnState{{File: 3}}},
		"ahead of none":       {Conns: []ConnState{{File: -1}}},
		"no phase":            {Conns: []ConnState{{Phase: 9}}},
		"an exchange to come": {Conns: []ConnState{{Exchange: 5}}},
	} {
		gate := hold.NewGate()
		s := NewServer(16, gate, func(core.Event) {}, logrus.New())
		if err := s.Import(st, gate.Receive()); err == nil || errors.Is(err, os.ErrNotExist) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
