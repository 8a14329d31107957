package clientconn

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
)

// only returns the server's one connection.
func (f *fixture) only() *conn {
	f.t.Helper()
	for limit := time.Now().Add(patience); ; runtime.Gosched() {
		f.s.mu.Lock()
		for c := range f.s.conns {
			f.s.mu.Unlock()
			return c
		}
		f.s.mu.Unlock()
		if time.Now().After(limit) {
			f.t.Fatal("no connection")
		}
	}
}

func (f *fixture) nothingTaken() {
	f.t.Helper()
	if len(f.events) > 0 {
		f.t.Errorf("taken: %+v", <-f.events)
	}
}

// untilNone waits until the server has no connection left.
func (f *fixture) untilNone() {
	f.t.Helper()
	for limit := time.Now().Add(patience); ; runtime.Gosched() {
		f.s.mu.Lock()
		n := len(f.s.conns)
		f.s.mu.Unlock()
		if n == 0 {
			return
		}
		if time.Now().After(limit) {
			f.t.Fatalf("%d connections are kept", n)
		}
	}
}

// received tells how many bytes have come on a connection since it was opened, whether or not they were read.
func received(t *testing.T, c *conn) uint64 {
	t.Helper()
	var info *unix.TCPInfo
	var err error
	if open := c.FD(func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) }); open != nil || err != nil {
		t.Fatal(open, err)
	}
	return info.Bytes_received
}

// TestRequestInTheMomentOfTheClose: a resting connection is chosen for its end, and its client's next request comes just then. It is not taken, by
// no part of the server, and its client sees an orderly end, upon which it sends it again elsewhere.
func TestRequestInTheMomentOfTheClose(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(ask, "hi")
	f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("ok")})
	c.answer()
	conn := f.only()
	for limit := time.Now().Add(patience); !conn.claim(); runtime.Gosched() { // once it rests
		if time.Now().After(limit) {
			t.Fatal("a resting connection is not claimed")
		}
	}
	before := received(t, conn)
	c.send(ask, "hi") // its reader gets this, after the claim and before the end is said
	for limit := time.Now().Add(patience / 2); received(t, conn) == before || !conn.OpenWithoutData(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("the reader does not get the request")
		}
	}
	conn.end()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the client sees %v, want the end", err)
	}
	c.Close()
	f.untilNone()
	f.nothingTaken()
}

// TestClaimedOnlyWhileItRests: a connection on which something has come, whoever holds it by then, is not closed under its request.
func TestClaimedOnlyWhileItRests(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(ask, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	conn := f.only()
	if conn.claim() {
		t.Fatal("claimed while its request is served")
	}
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	c.answer()
	if err := f.s.gate.Hold(patience, nil); err != nil { // nobody reads
		t.Fatal(err)
	}
	c.send(ask, "ho")
	for limit := time.Now().Add(patience); conn.OpenWithoutData(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("nothing comes")
		}
	}
	if conn.claim() {
		t.Error("claimed with a request in the kernel")
	}
	f.s.gate.Release()
	if body := string(f.event().(core.CallArrived).Call.Message.Body); body != "ho" {
		t.Errorf("taken: %q", body)
	}
}

// TestAnswerSurvivesWhatNobodyReads: more has come behind a request whose answer is the last. A close over those bytes would reset the
// connection, and the answer would go with it.
func TestAnswerSurvivesWhatNobodyReads(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(ask+"\r\nConnection: close", "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	c.Write(bytes.Repeat([]byte("x"), 60<<10))
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	conn := f.only()
	for limit := time.Now().Add(patience); !conn.lingers(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("the connection goes on")
		}
	}
	for range 2 { // what comes now is read as well
		if _, err := c.Write([]byte("more")); err != nil {
			t.Fatal(err)
		}
	}
	if body := string(c.answer().Body()); body != "ok" {
		t.Errorf("answered %q", body)
	}
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("then %v, want the end", err)
	}
	c.Close()
	f.untilNone()
	f.nothingTaken()
}

// TestLingeringIsBounded: one that neither ends nor stops sending is closed all the same, by time or by bytes.
func TestLingeringIsBounded(t *testing.T) {
	f := serve(t, 16)
	silent, loud := f.dial(), f.dial()
	for _, c := range []*caller{silent, loud} {
		c.send(ask+"\r\nConnection: close", "hi") // no time limit is in force on it while it is served
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange})
		c.answer()
	}
	var err error
	for part := bytes.Repeat([]byte("x"), 64<<10); err == nil; _, err = loud.Write(part) {
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("who sends on for ever sees %v", err)
	}
	f.untilNone()
}

// TestLingeringGivesItsPlace: what is over, but for the other side's end, holds no place that somebody needs.
func TestLingeringGivesItsPlace(t *testing.T) {
	f := serve(t, 1)
	over := f.dial()
	over.send("GET /api HTTP/1.1\r\nHost: h", "")
	over.answer() // and stays
	next := f.dial()
	next.send(ask, "hi")
	if _, ok := f.event().(core.CallArrived); !ok {
		t.Error("not taken")
	}
}

// TestShortDrain: where the longest deadline is shorter than callers' connections stay open otherwise, they are ended in time all the same,
// not cut off by the end of the process.
func TestShortDrain(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(ask, "hi")
	f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("ok")})
	c.answer()
	over := make(chan struct{})
	go func() {
		f.s.Drain(drainServe/2, func() {}, func() {})
		close(over)
	}()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a resting connection ends with %v", err)
	}
	c.Close()
	<-over
	f.untilNone()
}

// TestAcceptedAtTheVeryEnd: what the listener has accepted by the moment of its close is served before the end.
func TestAcceptedAtTheVeryEnd(t *testing.T) {
	f := serve(t, 16)
	var last *caller
	refused, over := make(chan struct{}), make(chan struct{})
	go func() {
		f.s.Drain(patience, func() {
			last = f.dial()
			last.send(ask, "hi")
			f.only() // the listener has handed it on
			f.ln.Close()
			close(refused)
		}, func() { t.Error("given up") })
		close(over)
	}()
	<-refused
	exchange := f.event().(core.CallArrived).Call.Exchange
	select {
	case <-over:
		t.Fatal("over with a request taken")
	default:
	}
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	if resp := last.answer(); string(resp.Body()) != "ok" || !resp.ConnectionClose() {
		t.Errorf("answered %s", resp)
	}
	last.Close()
	<-over
}
