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

// scriptedWorker accepts connections; the test writes its responses.
type scriptedWorker struct {
	t     *testing.T
	ln    net.Listener
	conns chan net.Conn
}

func newScriptedWorker(t *testing.T) *scriptedWorker {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedWorker{t: t, ln: ln, conns: make(chan net.Conn, 16)}
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

func (s *scriptedWorker) addr() string { return s.ln.Addr().String() }

// acceptAndRead accepts a connection and reads until the text has been received.
func (s *scriptedWorker) acceptAndRead(text string) net.Conn {
	s.t.Helper()
	select {
	case c := <-s.conns:
		s.readUntil(c, text)
		return c
	case <-time.After(10 * time.Second):
		s.t.Fatalf("no connection within 10 s, waiting for %q", text)
		return nil
	}
}

func (s *scriptedWorker) readUntil(c net.Conn, text string) {
	s.t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	var all strings.Builder
	b := make([]byte, 4096)
	for !strings.Contains(all.String(), text) {
		n, err := c.Read(b)
		if err != nil {
			s.t.Fatalf("received %q, then %v, waiting for %q", all.String(), err, text)
		}
		all.Write(b[:n])
	}
}

func write(c net.Conn, text string) { io.WriteString(c, text) }

const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

type process struct {
	gate   *hold.Gate
	sender *Sender
	events chan core.Event
}

func newProcess() process {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := process{gate: hold.NewGate(), events: make(chan core.Event, 16)}
	s.sender = NewSender(Options{DialTimeout: time.Second, IdleClose: 5 * time.Second, MaxConns: 8}, s.gate, func() float64 { return 0 },
		func(e core.Event) { s.events <- e }, log)
	return s
}

func (s process) event(t *testing.T) core.Event {
	t.Helper()
	select {
	case e := <-s.events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil
	}
}

// handover holds a process's sender, and returns another process that imported its state.
func (s process) handover(t *testing.T) (process, State) {
	t.Helper()
	if err := s.gate.Hold(10*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	var files hold.Files
	st, err := s.sender.Export(&files)
	if err != nil {
		t.Fatal(err)
	}
	next := newProcess()
	received := next.gate.Receive()
	for _, fd := range files.FDs {
		duplicate, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		received.FDs = append(received.FDs, duplicate)
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

func jobBranch(id core.BranchID, addr string) core.SendBranch {
	return core.SendBranch{Branch: id, Request: "r", Worker: "a", Addr: addr, Until: 60, Message: core.Message{Verb: "POST", Target: "/api", Body: []byte("job")}}
}

// TestHandoverBefore202 checks that a job that was written, and whose response was received in part, is not sent again,
// and counts as accepted once the rest arrives.
func TestHandoverBefore202(t *testing.T) {
	worker, old := newScriptedWorker(t), newProcess()
	old.sender.Send(jobBranch(1, worker.addr()))
	c := worker.acceptAndRead("job")
	write(c, accepted[:20])
	next, st := old.handover(t)
	if len(st.Sent) != 1 || len(st.Unsent) != 0 {
		t.Fatalf("handed over state %+v", st)
	}
	write(c, accepted[20:])
	if e := next.event(t); e != (core.BranchTaken{Branch: 1}) {
		t.Fatalf("event %+v", e)
	}
	next.sender.Send(jobBranch(2, worker.addr())) // reuses the connection
	worker.readUntil(c, "job")
	write(c, accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("event %+v", e)
	}
	if len(worker.conns) != 0 || len(old.events) != 0 {
		t.Errorf("%d further connections, %d events in the old process", len(worker.conns), len(old.events))
	}
}

// TestHandoverOfCancellation checks that the response to a DELETE sent before the handover is received and reported by
// the new process.
func TestHandoverOfCancellation(t *testing.T) {
	worker, old := newScriptedWorker(t), newProcess()
	old.sender.GiveUp(core.GiveUpBranch{Branch: 1, Request: "r", Worker: "a", Addr: worker.addr()})
	c := worker.acceptAndRead("DELETE /jobs/r")
	next, st := old.handover(t)
	if len(st.GivingUp) != 1 || st.GivingUp[0].Link == nil {
		t.Fatalf("handed over state %+v", st)
	}
	if len(next.events) > 0 {
		t.Fatalf("event %+v before the response", <-next.events)
	}
	write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if e := next.event(t); e != (core.BranchReleased{Branch: 1, Request: "r", Told: true}) {
		t.Fatalf("event %+v", e)
	}
	next.sender.Send(jobBranch(2, worker.addr()))
	worker.readUntil(c, "job") // the connection of the DELETE is reused
	write(c, accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("event %+v", e)
	}
}

// TestHandoverWhileDialling checks that an unwritten branch is sent by the new process, and that the old process's dial
// does not lead to a second request.
func TestHandoverWhileDialling(t *testing.T) {
	worker, old := newScriptedWorker(t), newProcess()
	dialling := make(chan struct{})
	old.sender.pool.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialling)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	old.sender.Send(jobBranch(2, worker.addr()))
	<-dialling
	next, st := old.handover(t)
	if len(st.Unsent) != 1 || string(st.Unsent[0].Message.Body) != "job" {
		t.Fatalf("handed over state %+v", st)
	}
	write(worker.acceptAndRead("job"), accepted)
	if e := next.event(t); e != (core.BranchTaken{Branch: 2}) {
		t.Fatalf("event %+v", e)
	}
}

// TestHandoverFallback checks that after an aborted handover the old process continues, including with input received
// meanwhile.
func TestHandoverFallback(t *testing.T) {
	worker, old := newScriptedWorker(t), newProcess()
	old.sender.Send(jobBranch(1, worker.addr()))
	c := worker.acceptAndRead("job")
	if err := old.gate.Hold(10*time.Second, nil); err != nil {
		t.Fatal(err)
	}
	write(c, accepted)
	if err := old.gate.Hold(time.Second, nil); err != hold.ErrHeld {
		t.Errorf("second hold returned %v, want ErrHeld", err)
	}
	old.gate.Release()
	if e := old.event(t); e != (core.BranchTaken{Branch: 1}) {
		t.Fatalf("event %+v", e)
	}
}
