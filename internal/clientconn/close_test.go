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

// onlyConn returns the server's only connection.
func (f *fixture) onlyConn() *conn {
	f.t.Helper()
	for limit := time.Now().Add(testTimeout); ; runtime.Gosched() {
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

func (f *fixture) expectNoEvent() {
	f.t.Helper()
	if len(f.events) > 0 {
		f.t.Errorf("unexpected event %+v", <-f.events)
	}
}

// waitForNoConns waits until the server has no connection left.
func (f *fixture) waitForNoConns() {
	f.t.Helper()
	for limit := time.Now().Add(testTimeout); ; runtime.Gosched() {
		f.s.mu.Lock()
		n := len(f.s.conns)
		f.s.mu.Unlock()
		if n == 0 {
			return
		}
		if time.Now().After(limit) {
			f.t.Fatalf("%d connections are still open", n)
		}
	}
}

// bytesReceived returns the number of bytes received on a connection since it was opened, read or not.
func bytesReceived(t *testing.T, c *conn) uint64 {
	t.Helper()
	var info *unix.TCPInfo
	var err error
	if open := c.FD(func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) }); open != nil || err != nil {
		t.Fatal(open, err)
	}
	return info.Bytes_received
}

// TestRequestArrivingDuringClose guards against processing a request that arrives between the claim of an idle
// connection and its close. The client sees a regular close and can send the request elsewhere, so it would run twice.
func TestRequestArrivingDuringClose(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(callRequest, "hi")
	f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("ok")})
	c.answer()
	conn := f.onlyConn()
	for limit := time.Now().Add(testTimeout); !conn.claim(); runtime.Gosched() { // as soon as it is idle
		if time.Now().After(limit) {
			t.Fatal("idle connection not claimed")
		}
	}
	before := bytesReceived(t, conn)
	c.send(callRequest, "hi") // after the claim and before the write side is shut down
	for limit := time.Now().Add(testTimeout / 2); bytesReceived(t, conn) == before || !conn.OpenWithoutData(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("the request was not read")
		}
	}
	conn.shutdownWrite()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the client's read returned %v, want io.EOF", err)
	}
	c.Close()
	f.waitForNoConns()
	f.expectNoEvent()
}

// TestClaimOnlyIdleConnections checks that a connection is not claimed while its request is served, or with an unread
// request in the socket, also while the gate is held.
func TestClaimOnlyIdleConnections(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(callRequest, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	conn := f.onlyConn()
	if conn.claim() {
		t.Fatal("claimed while its request was served")
	}
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	c.answer()
	if err := f.s.gate.Hold(testTimeout, nil); err != nil { // stops all readers
		t.Fatal(err)
	}
	c.send(callRequest, "ho")
	for limit := time.Now().Add(testTimeout); conn.OpenWithoutData(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("no input arrived")
		}
	}
	if conn.claim() {
		t.Error("claimed with an unread request in the socket")
	}
	f.s.gate.Release()
	if body := string(f.event().(core.CallArrived).Call.Message.Body); body != "ho" {
		t.Errorf("request body %q, want \"ho\"", body)
	}
}

// TestAnswerSurvivesUnreadInput guards against losing the last response on a connection: closing with unread input would
// reset the connection and discard the response.
func TestAnswerSurvivesUnreadInput(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(callRequest+"\r\nConnection: close", "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	c.Write(bytes.Repeat([]byte("x"), 60<<10))
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	conn := f.onlyConn()
	for limit := time.Now().Add(testTimeout); !conn.isClosing(); runtime.Gosched() {
		if time.Now().After(limit) {
			t.Fatal("the connection does not linger")
		}
	}
	for range 2 { // later input is read, too
		if _, err := c.Write([]byte("more")); err != nil {
			t.Fatal(err)
		}
	}
	if body := string(c.answer().Body()); body != "ok" {
		t.Errorf("response body %q, want \"ok\"", body)
	}
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the next read returned %v, want io.EOF", err)
	}
	c.Close()
	f.waitForNoConns()
	f.expectNoEvent()
}

// TestLingeringIsBounded checks that a lingering connection is closed after lingerTimeout or maxLingerBytes, if the
// client neither closes nor stops sending.
func TestLingeringIsBounded(t *testing.T) {
	f := serve(t, 16)
	silent, loud := f.dial(), f.dial()
	for _, c := range []*caller{silent, loud} {
		c.send(callRequest+"\r\nConnection: close", "hi") // no deadline is set while a request is served
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange})
		c.answer()
	}
	var err error
	for part := bytes.Repeat([]byte("x"), 64<<10); err == nil; _, err = loud.Write(part) {
	}
	if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("the client that keeps sending got %v, want a reset", err)
	}
	f.waitForNoConns()
}

// TestLingeringConnectionIsEvicted checks that a connection that only waits for the peer's close is evicted for a new
// one.
func TestLingeringConnectionIsEvicted(t *testing.T) {
	f := serve(t, 1)
	lingering := f.dial()
	lingering.send("GET /api HTTP/1.1\r\nHost: h", "")
	lingering.answer() // the client keeps it open
	next := f.dial()
	next.send(callRequest, "hi")
	if _, ok := f.event().(core.CallArrived); !ok {
		t.Error("the request was not processed")
	}
}

// TestShortDrain checks that in a drain shorter than drainKeepOpen idle connections are closed in order, not reset by
// the exit of the process.
func TestShortDrain(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(callRequest, "hi")
	f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("ok")})
	c.answer()
	done := make(chan struct{})
	go func() {
		f.s.Drain(drainKeepOpen/2, func() {}, func() {})
		close(done)
	}()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("an idle connection ended with %v, want io.EOF", err)
	}
	c.Close()
	<-done
	f.waitForNoConns()
}

// TestConnectionAcceptedAtListenerClose checks that a connection accepted just before the listener closes is still
// served.
func TestConnectionAcceptedAtListenerClose(t *testing.T) {
	f := serve(t, 16)
	var last *caller
	refused, done := make(chan struct{}), make(chan struct{})
	go func() {
		f.s.Drain(testTimeout, func() {
			last = f.dial()
			last.send(callRequest, "hi")
			f.onlyConn() // the listener has accepted it
			f.ln.Close()
			close(refused)
		}, func() { t.Error("the drain gave up waiting requests") })
		close(done)
	}()
	<-refused
	exchange := f.event().(core.CallArrived).Call.Exchange
	select {
	case <-done:
		t.Fatal("the drain ended with a request in progress")
	default:
	}
	f.s.Answer(core.Answer{Exchange: exchange, Body: []byte("ok")})
	if resp := last.answer(); string(resp.Body()) != "ok" || !resp.ConnectionClose() {
		t.Errorf("response %s", resp)
	}
	last.Close()
	<-done
}
