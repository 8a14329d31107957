package workerconn

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// scripted is a worker whose every word the test says.
type scripted struct {
	t     *testing.T
	ln    net.Listener
	conns chan net.Conn
}

func script(t *testing.T) *scripted {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{t: t, ln: ln, conns: make(chan net.Conn, 16)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	}()
	t.Cleanup(func() { ln.Close() })
	return s
}

func (s *scripted) addr() string { return s.ln.Addr().String() }

// reads takes a connection and reads until it holds a word.
func (s *scripted) reads(word string) net.Conn {
	s.t.Helper()
	select {
	case c := <-s.conns:
		s.readsOn(c, word)
		return c
	case <-time.After(10 * time.Second):
		s.t.Fatalf("no connection brings %q", word)
		return nil
	}
}

func (s *scripted) readsOn(c net.Conn, word string) {
	s.t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	var all strings.Builder
	b := make([]byte, 4096)
	for !strings.Contains(all.String(), word) {
		n, err := c.Read(b)
		if err != nil {
			s.t.Fatalf("%q came, then %v; %q was waited for", all.String(), err, word)
		}
		all.Write(b[:n])
	}
}

func says(c net.Conn, text string) { io.WriteString(c, text) }

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

type sides struct {
	gate   *hold.Gate
	sender *Sender
	events chan core.Event
}

func side() sides {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := sides{gate: hold.NewGate(), events: make(chan core.Event, 16)}
	s.sender = NewSender(Options{DialTimeout: time.Second, IdleClose: 5 * time.Second, MaxConns: 8}, s.gate, func() float64 { return 0 },
		func(e core.Event) { s.events <- e }, log)
	return s
}

func (s sides) event(t *testing.T) core.Event {
	t.Helper()
	select {
	case e := <-s.events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil
	}
}

// handOver holds a side and makes another one that takes everything up.
func (s sides) handOver(t *testing.T) (sides, State) {
	t.Helper()
	if err := s.gate.Hold(10*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	var files hold.Files
	st, err := s.sender.Export(&files)
	if err != nil {
		t.Fatal(err)
	}
	next := side()
	received := next.gate.Receive()
	for _, fd := range files.FDs {
		twin, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		received.FDs = append(received.FDs, twin)
	}
	if err := next.gate.Hold(10*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	if err := next.sender.Import(st, received); err != nil {
		t.Fatal(err)
	}
	next.gate.Release()
	return next, st
}

func jobAs(id core.BranchID, addr string) core.SendBranch {
	return core.SendBranch{Branch: id, Request: "r", Worker: "a", Addr: addr, Until: 60, Message: core.Message{Verb: "POST", Target: "/api", Body: []byte("job")}}
}

// TestHandOverBeforeThe202: a job that was written, and whose answer has come in part, is not sent again, and taken.
func TestHandOverBeforeThe202(t *testing.T) {
	worker, old := script(t), side()
	old.sender.Send(jobAs(1, worker.addr()))
	c := worker.reads("job")
	says(c, accepted[:20])
	next, st := old.handOver(t)
	if len(st.Sent) != 1 || len(st.Unsent) != 0 {
		t.Fatalf("handed over as %+v", st)
	}
	says(c, accepted[20:])
	if e := next.event(t); e != (core.BranchTaken{Branch: 1}) {
		t.Fatalf("%+v", e)
	}
	next.sender.Send(jobAs(2, worker.addr())) // on the same connection, which is kept now
	worker.readsOn(c, "job")
	says(c, accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("%+v", e)
	}
	if len(worker.conns) != 0 || len(old.events) != 0 {
		t.Errorf("%d further connections, %d events in the old process", len(worker.conns), len(old.events))
	}
}

// TestHandOverOfAGivingUp: a DELETE that is under way is confirmed to the new process, which tells so.
func TestHandOverOfAGivingUp(t *testing.T) {
	worker, old := script(t), side()
	old.sender.GiveUp(core.GiveUpBranch{Branch: 1, Request: "r", Worker: "a", Addr: worker.addr()})
	c := worker.reads("DELETE /jobs/r")
	next, st := old.handOver(t)
	if len(st.GivingUp) != 1 || st.GivingUp[0].Link == nil {
		t.Fatalf("handed over as %+v", st)
	}
	if len(next.events) > 0 {
		t.Fatalf("%+v before the answer", <-next.events)
	}
	says(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if e := next.event(t); e != (core.BranchReleased{Branch: 1, Request: "r", Told: true}) {
		t.Fatalf("%+v", e)
	}
	next.sender.Send(jobAs(2, worker.addr()))
	worker.readsOn(c, "job") // on the connection that has become free
	says(c, accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("%+v", e)
	}
}

// TestHandOverWhileDialling: a branch of which nothing was written is sent by the new process; the old one's dial
// comes to nothing that the worker could take for a job.
func TestHandOverWhileDialling(t *testing.T) {
	worker, old := script(t), side()
	dialling := make(chan struct{})
	old.sender.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialling)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	old.sender.Send(jobAs(2, worker.addr()))
	<-dialling
	next, st := old.handOver(t)
	if len(st.Unsent) != 1 || string(st.Unsent[0].Message.Body) != "job" {
		t.Fatalf("handed over as %+v", st)
	}
	says(worker.reads("job"), accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("%+v", e)
	}
}

// TestHandOverThatFallsBack: where nobody takes it up, the old process goes on, also with what came meanwhile.
func TestHandOverThatFallsBack(t *testing.T) {
	worker, old := script(t), side()
	old.sender.Send(jobAs(1, worker.addr()))
	c := worker.reads("job")
	if err := old.gate.Hold(10*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	says(c, accepted)
	if err := old.gate.Hold(time.Second, nil); err != hold.ErrHeld {
		t.Errorf("held twice: %v", err)
	}
	old.gate.Release()
	if e := old.event(t); e != (core.BranchTaken{Branch: 1}) {
		t.Fatalf("%+v", e)
	}
}
