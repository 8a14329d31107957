package clientconn

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

const testTimeout = 10 * time.Second // limit for events that must happen; no duration is measured

type fixture struct {
	t      *testing.T
	s      *Server
	ln     net.Listener
	events chan core.Event
}

func serve(t *testing.T, most int) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fixture{t: t, ln: ln, events: make(chan core.Event, 64)}
	gate := hold.NewGate()
	f.s = NewServer(most, gate, func(e core.Event) { f.events <- e }, log)
	go f.s.Serve(gate.Listen(ln.(*net.TCPListener)))
	t.Cleanup(func() { ln.Close() })
	return f
}

func (f *fixture) event() core.Event {
	f.t.Helper()
	select {
	case e := <-f.events:
		return e
	case <-time.After(testTimeout):
		f.t.Fatal("no event")
		return nil
	}
}

// caller is a client connection to the server.
type caller struct {
	net.Conn
	r *bufio.Reader
	t *testing.T
}

func (f *fixture) dial() *caller {
	f.t.Helper()
	c, err := net.Dial("tcp", f.ln.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	f.t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c), f.t}
}

func (c *caller) send(head, body string) {
	c.t.Helper()
	if _, err := io.WriteString(c, head+"\r\n\r\n"+body); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) answer() *fasthttp.Response {
	c.t.Helper()
	var resp fasthttp.Response
	if err := resp.Read(c.r); err != nil {
		c.t.Fatal(err)
	}
	return &resp
}

const callRequest = "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: c\r\nX-Remaining: 5\r\nContent-Length: 2"

func TestAnswers(t *testing.T) {
	f := serve(t, 16)
	c := f.dial() // all requests use one connection
	for _, tc := range []struct {
		answer core.Answer
		status int
		body   string
		retry  string
	}{
		{core.Answer{Verdict: core.Served, Body: []byte("ok")}, 200, "ok", ""},
		{core.Answer{Verdict: core.Busy, Pause: 1.5}, 503, "\n", "1.500"},
		{core.Answer{Verdict: core.Busy}, 503, "\n", ""},
		{core.Answer{Verdict: core.Failed, Reason: "out of time"}, 502, "out of time\n", ""},
		{core.Answer{Verdict: core.Rejected, Reason: "unknown class"}, 400, "unknown class\n", ""},
	} {
		c.send(callRequest, "hi")
		got := f.event().(core.CallArrived).Call
		if got.ID != "9b1f" || string(got.Message.Body) != "hi" {
			t.Fatalf("parsed as %+v", got)
		}
		tc.answer.Exchange = got.Exchange
		f.s.Answer(tc.answer)
		f.s.Answer(core.Answer{Exchange: got.Exchange, Verdict: core.Failed}) // a second answer is ignored
		resp := c.answer()
		if resp.StatusCode() != tc.status || string(resp.Body()) != tc.body ||
			string(resp.Header.Peek("Retry-After")) != tc.retry {
			t.Errorf("%+v: response %s", tc.answer, resp)
		}
	}
}

// TestCallerLeaves checks that the reducer is notified when a caller closes its connection while its request waits.
func TestCallerLeaves(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(callRequest, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	c.Close()
	if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
		t.Errorf("event %+v, want CallerLeft", e)
	}
}

// TestCallerLeavesAfterExtraBytes checks that a close or reset is noticed although unread bytes precede it, also more
// than are read ahead.
func TestCallerLeavesAfterExtraBytes(t *testing.T) {
	for _, more := range []int{0, 1, 300, 20 << 10, 200 << 10} {
		for _, reset := range []bool{false, true} {
			f := serve(t, 16)
			c := f.dial()
			c.send(callRequest, "hi")
			exchange := f.event().(core.CallArrived).Call.Exchange
			if !f.s.CallerPresent(exchange) {
				t.Fatalf("%d bytes: not present before the caller left", more)
			}
			if _, err := io.WriteString(c, strings.Repeat("x", more)); err != nil {
				t.Fatal(err)
			}
			if more > 100<<10 && !reset {
				continue // the close can't arrive: the socket buffer before it is full
			}
			if reset {
				c.Conn.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
				t.Errorf("%d bytes, reset %v: event %+v, want CallerLeft", more, reset, e)
			}
			if f.s.CallerPresent(exchange) {
				t.Errorf("%d bytes, reset %v: present after the caller left", more, reset)
			}
		}
	}
}

// TestCallerPresentChecksSocket checks that a close counts as soon as the kernel knows it, before anything has read it.
func TestCallerPresentChecksSocket(t *testing.T) {
	f := serve(t, 16)
	for _, more := range []string{"", "POST"} {
		c := f.dial()
		c.send(callRequest, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		if err := f.s.gate.Hold(testTimeout, nil); err != nil { // stops all readers
			t.Fatal(err)
		}
		io.WriteString(c, more)
		c.Close()
		for limit := time.Now().Add(testTimeout); f.s.CallerPresent(exchange); runtime.Gosched() {
			if time.Now().After(limit) {
				t.Fatalf("after %q: still present", more)
			}
		}
		if len(f.events) > 0 {
			t.Fatalf("event %+v while the gate was held", <-f.events)
		}
		f.s.gate.Release()
		f.event()
	}
}

// TestNextRequestReadAhead checks that bytes sent while a request waits are read as part of the next request.
func TestNextRequestReadAhead(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	for _, at := range []int{1, 30, len(callRequest) + 5} { // bytes of the next request that arrive early
		c.send(callRequest, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		next := callRequest + "\r\n\r\nho"
		if _, err := io.WriteString(c, next[:at]); err != nil {
			t.Fatal(err)
		}
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte("one")})
		if resp := c.answer(); string(resp.Body()) != "one" {
			t.Fatalf("response %s", resp)
		}
		if _, err := io.WriteString(c, next[at:]); err != nil {
			t.Fatal(err)
		}
		call := f.event().(core.CallArrived).Call
		if string(call.Message.Body) != "ho" {
			t.Fatalf("parsed as %+v", call)
		}
		f.s.Answer(core.Answer{Exchange: call.Exchange, Verdict: core.Served, Body: []byte("two")})
		if resp := c.answer(); string(resp.Body()) != "two" {
			t.Fatalf("response %s", resp)
		}
	}
}

func TestMalformed(t *testing.T) {
	f := serve(t, 16)
	smuggled := "0\r\n\r\n" + callRequest + "\r\n\r\nhi"
	for _, tc := range []struct {
		head, body string
		status     int
	}{
		{strings.Replace(callRequest, "Length: 2", "Length: 5\r\nTransfer-Encoding: chunked", 1), smuggled, 400},
		{strings.Replace(callRequest, "Length: 2", "Length: 2\r\nContent-Length: 2", 1), "hi", 400},
		{strings.Replace(callRequest, "Length: 2", "Length: -2", 1), "hi", 400},
		{strings.Replace(callRequest, "Length: 2", "Length: +2", 1), "hi", 400},
		{strings.Replace(callRequest, "Length: 2", "Length: 60000000", 1), "hi", 413},
		{strings.Replace(callRequest, "Content-Length: 2", "Transfer-Encoding: chunked", 1), "2\r\nhi\r\nzz\r\n", 400},
		{strings.Replace(callRequest, "Content-Length: 2", "Transfer-Encoding: chunked", 1), "2\nhi\n0\n\n", 400},
		{strings.Replace(callRequest, "Content-Length: 2", "Transfer-Encoding: gzip", 1), "hi", 400},
		{strings.Replace(callRequest, "X-Txn: 9b1f\r\n", "X-Txn: 9b1f\n", 1), "hi", 400},
		{strings.Replace(callRequest, "X-Txn: 9b1f", "X-Txn: 9b1f\r\nx-txn: 9b20", 1), "hi", 400},
		{strings.Replace(callRequest, "X-Txn: 9b1f", "X-Txn: 9b1f\r\n folded", 1), "hi", 400},
		{strings.Replace(callRequest, "X-Remaining: 5", "X-Remaining: 0x5p0", 1), "hi", 400},
		{strings.Replace(callRequest, " /api", " http://h/api", 1), "hi", 400},
		{strings.Replace(callRequest, "HTTP/1.1", "HTTP/2.1", 1), "hi", 400},
		{strings.Replace(callRequest, "X-Lane: c", "X-Lane: c\r\nIdempotency-Key: a b", 1), "hi", 400},
		{"POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 0", "", 400},
		{"GET /api HTTP/1.1\r\nHost: h", "", 405},
		{"GET /callback HTTP/1.1\r\nHost: h", "", 405},
		{"POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 2", "{}", 400},
		{"POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 65537", "", 413},
		{"POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 65537", "", 413},
		{"what is this", "", 400},
		{"POST /api HTTP/1.1\r\nHost: h\r\nX-Big: " + strings.Repeat("x", 9000), "", 431},
	} {
		c := f.dial()
		c.send(tc.head, tc.body)
		if resp := c.answer(); resp.StatusCode() != tc.status || !resp.ConnectionClose() {
			t.Errorf("%.200q: status %d, want %d and Connection: close", tc.head, resp.StatusCode(), tc.status)
		}
	}
	if len(f.events) > 0 {
		t.Errorf("event %+v", <-f.events)
	}
}

// TestSilentConnectionsDoNotDelayDrain checks that new connections without any input don't keep a drain from ending
// early.
func TestSilentConnectionsDoNotDelayDrain(t *testing.T) {
	f := serve(t, 16)
	done := make(chan struct{})
	go func() {
		f.s.Drain(testTimeout, func() {}, func() { t.Error("the drain gave up waiting requests") })
		close(done)
	}()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for limit := time.After(testTimeout / 2); ; {
		select {
		case <-done:
			return
		case <-limit:
			t.Fatal("the drain did not end")
		case <-ticker.C:
			f.dial()
		}
	}
}

// TestSlowRequestTimesOut checks that the deadline for the first request is not extended by single bytes, and that it
// does not apply to a connection whose caller waits for its answer.
func TestSlowRequestTimesOut(t *testing.T) {
	f := serve(t, 16)
	waits := f.dial()
	waits.send(callRequest, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	silent, trickle := f.dial(), f.dial()
	ticker := time.NewTicker(readTimeout / 20)
	defer ticker.Stop()
	go func() {
		for range ticker.C {
			if _, err := trickle.Write([]byte("P")); err != nil {
				return
			}
		}
	}()
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("the silent client got %v, want a close without a response", err)
	}
	if status := trickle.answer().StatusCode(); status != 408 {
		t.Errorf("status %d", status)
	}
	waits.Close() // long after its read deadline; must be noticed nevertheless
	if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
		t.Errorf("event %+v, want CallerLeft", e)
	}
}

// TestSilentConnectionsAreEvictedFirst fills the server with silent connections. They must be evicted before the idle
// connection of a regular caller, and connections with an unread request must not be evicted at all.
func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	f := serve(t, 4)
	regular := f.dial()
	serveOne := func(c *caller) {
		t.Helper()
		c.send(callRequest, "hi")
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange})
		if status := c.answer().StatusCode(); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	serveOne(regular)
	for range 20 {
		f.dial() // sends nothing
	}
	serveOne(f.dial())
	serveOne(regular)
	for range 3 {
		c := f.dial()
		c.send("GET /healthz HTTP/1.1\r\nHost: h", "")
		f.s.Answer(core.Answer{Exchange: f.event().(core.HealthAsked).Exchange})
		if !c.answer().ConnectionClose() {
			t.Error("a health check left its connection open")
		}
	}
	serveOne(regular)
}

func TestCallbackAndHealth(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 40", `{"id":"r","from":"s","state":"started"} `)
	if e, ok := f.event().(core.JobReported); !ok || e.Request != "r" || e.From != "s" {
		t.Errorf("event %+v", e)
	}
	if status := c.answer().StatusCode(); status != 200 {
		t.Errorf("callback status %d", status)
	}
	c.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	f.s.Answer(core.Answer{Exchange: f.event().(core.HealthAsked).Exchange})
	if status := c.answer().StatusCode(); status != 200 {
		t.Errorf("health check status %d", status)
	}
}

// TestCallersAtLimit checks that with all caller slots in use, further callers get a 503 with Retry-After, idle
// connections are evicted, and a callback is still accepted.
func TestCallersAtLimit(t *testing.T) {
	f := serve(t, 5)
	for range 4 {
		f.dial().send(callRequest, "hi")
		f.event()
	}
	rejected := f.dial()
	rejected.send(callRequest, "hi")
	if resp := rejected.answer(); resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 || !resp.ConnectionClose() {
		t.Errorf("response %s", resp)
	}
	idle := f.dial()
	idle.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 2", "{}")
	idle.answer()
	last := f.dial()
	last.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 39", `{"id":"r","from":"s","state":"started"}`)
	if status := last.answer().StatusCode(); status != 200 {
		t.Errorf("callback status %d", status)
	}
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want io.EOF", err)
	}
}

// TestDrain checks that accepted requests are answered, connections stay open for a while and serve new requests, the
// health check fails, and requests still waiting at the limit are given up and answered.
func TestDrain(t *testing.T) {
	f := serve(t, 16)
	waiting := f.dial()
	waiting.send(callRequest, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	done := make(chan struct{})
	go func() {
		f.s.Drain(2*time.Second, func() {}, func() { f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Busy}) })
		close(done)
	}()
	for !f.s.draining.Load() {
		runtime.Gosched()
	}
	health := f.dial()
	health.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	if status := health.answer().StatusCode(); status != 503 {
		t.Errorf("health check status %d", status)
	}
	late := f.dial()
	for range 2 { // both on one connection
		late.send(callRequest, "hi")
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("late")})
		if resp := late.answer(); resp.StatusCode() != 200 {
			t.Errorf("response %s", resp)
		}
	}
	if _, err := late.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want io.EOF", err)
	}
	select {
	case <-done:
		t.Fatal("the drain ended with a caller waiting")
	default:
	}
	if resp := waiting.answer(); resp.StatusCode() != 503 || !resp.ConnectionClose() {
		t.Errorf("response %s", resp)
	}
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end")
	}
}
