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

const patience = 10 * time.Second // for what must come; nothing is timed

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
	case <-time.After(patience):
		f.t.Fatal("no event")
		return nil
	}
}

// caller is a connection of a caller's.
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
	c.SetDeadline(time.Now().Add(patience))
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

const ask = "POST /api HTTP/1.1\r\nHost: h\r\nX-Txn: 9b1f\r\nX-Lane: c\r\nX-Remaining: 5\r\nContent-Length: 2"

func TestAnswers(t *testing.T) {
	f := serve(t, 16)
	c := f.dial() // one connection carries them all
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
		c.send(ask, "hi")
		got := f.event().(core.CallArrived).Call
		if got.ID != "9b1f" || string(got.Message.Body) != "hi" {
			t.Fatalf("taken as %+v", got)
		}
		tc.answer.Exchange = got.Exchange
		f.s.Answer(tc.answer)
		f.s.Answer(core.Answer{Exchange: got.Exchange, Verdict: core.Failed}) // a second one goes nowhere
		resp := c.answer()
		if resp.StatusCode() != tc.status || string(resp.Body()) != tc.body ||
			string(resp.Header.Peek("Retry-After")) != tc.retry {
			t.Errorf("%+v: answered %s", tc.answer, resp)
		}
	}
}

// TestCallerLeaves: an exchange that closes while its request waits must reach the reducer.
func TestCallerLeaves(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send(ask, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	c.Close()
	if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
		t.Errorf("event %+v, want that the caller left", e)
	}
}

// TestCallerLeavesBehindBytes: a caller that has sent more behind its request has gone all the same when it closes or resets its connection,
// and bytes beyond what is read ahead do not hide that.
func TestCallerLeavesBehindBytes(t *testing.T) {
	for _, more := range []int{0, 1, 300, 20 << 10, 200 << 10} {
		for _, reset := range []bool{false, true} {
			f := serve(t, 16)
			c := f.dial()
			c.send(ask, "hi")
			exchange := f.event().(core.CallArrived).Call.Exchange
			if !f.s.CallerPresent(exchange) {
				t.Fatalf("%d bytes: gone before it left", more)
			}
			if _, err := io.WriteString(c, strings.Repeat("x", more)); err != nil {
				t.Fatal(err)
			}
			if more > 100<<10 && !reset {
				continue // its end stands behind bytes that the kernel has no room for, and can't arrive
			}
			if reset {
				c.Conn.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
			if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
				t.Errorf("%d bytes, reset %v: event %+v, want that the caller left", more, reset, e)
			}
			if f.s.CallerPresent(exchange) {
				t.Errorf("%d bytes, reset %v: present after it left", more, reset)
			}
		}
	}
}

// TestPresentAsksTheKernel: a close counts from when the machine knows, not from when somebody has read it.
func TestPresentAsksTheKernel(t *testing.T) {
	f := serve(t, 16)
	for _, more := range []string{"", "POST"} {
		c := f.dial()
		c.send(ask, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		if err := f.s.gate.Hold(patience, nil); err != nil { // nobody reads
			t.Fatal(err)
		}
		io.WriteString(c, more)
		c.Close()
		for limit := time.Now().Add(patience); f.s.CallerPresent(exchange); runtime.Gosched() {
			if time.Now().After(limit) {
				t.Fatalf("behind %q: still present", more)
			}
		}
		if len(f.events) > 0 {
			t.Fatalf("event %+v while held", <-f.events)
		}
		f.s.gate.Release()
		f.event()
	}
}

// TestNextRequestReadAhead: what a caller sends behind a request that waits belongs to the next one.
func TestNextRequestReadAhead(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	for _, at := range []int{1, 30, len(ask) + 5} { // so much of the next request comes early
		c.send(ask, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		next := ask + "\r\n\r\nho"
		if _, err := io.WriteString(c, next[:at]); err != nil {
			t.Fatal(err)
		}
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte("one")})
		if resp := c.answer(); string(resp.Body()) != "one" {
			t.Fatalf("answered %s", resp)
		}
		if _, err := io.WriteString(c, next[at:]); err != nil {
			t.Fatal(err)
		}
		call := f.event().(core.CallArrived).Call
		if string(call.Message.Body) != "ho" {
			t.Fatalf("read as %+v", call)
		}
		f.s.Answer(core.Answer{Exchange: call.Exchange, Verdict: core.Served, Body: []byte("two")})
		if resp := c.answer(); string(resp.Body()) != "two" {
			t.Fatalf("answered %s", resp)
		}
	}
}

func TestMalformed(t *testing.T) {
	f := serve(t, 16)
	smuggled := "0\r\n\r\n" + ask + "\r\n\r\nhi"
	for _, tc := range []struct {
		head, body string
		status     int
	}{
		{strings.Replace(ask, "Length: 2", "Length: 5\r\nTransfer-Encoding: chunked", 1), smuggled, 400},
		{strings.Replace(ask, "Length: 2", "Length: 2\r\nContent-Length: 2", 1), "hi", 400},
		{strings.Replace(ask, "Length: 2", "Length: -2", 1), "hi", 400},
		{strings.Replace(ask, "Length: 2", "Length: +2", 1), "hi", 400},
		{strings.Replace(ask, "Length: 2", "Length: 60000000", 1), "hi", 413},
		{strings.Replace(ask, "Content-Length: 2", "Transfer-Encoding: chunked", 1), "2\r\nhi\r\nzz\r\n", 400},
		{strings.Replace(ask, "Content-Length: 2", "Transfer-Encoding: chunked", 1), "2\nhi\n0\n\n", 400},
		{strings.Replace(ask, "Content-Length: 2", "Transfer-Encoding: gzip", 1), "hi", 400},
		{strings.Replace(ask, "X-Txn: 9b1f\r\n", "X-Txn: 9b1f\n", 1), "hi", 400},
		{strings.Replace(ask, "X-Txn: 9b1f", "X-Txn: 9b1f\r\nx-txn: 9b20", 1), "hi", 400},
		{strings.Replace(ask, "X-Txn: 9b1f", "X-Txn: 9b1f\r\n folded", 1), "hi", 400},
		{strings.Replace(ask, "X-Remaining: 5", "X-Remaining: 0x5p0", 1), "hi", 400},
		{strings.Replace(ask, " /api", " http://h/api", 1), "hi", 400},
		{strings.Replace(ask, "HTTP/1.1", "HTTP/2.1", 1), "hi", 400},
		{strings.Replace(ask, "X-Lane: c", "X-Lane: c\r\nIdempotency-Key: a b", 1), "hi", 400},
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
			t.Errorf("%.200q: status %d, want %d and a close", tc.head, resp.StatusCode(), tc.status)
		}
	}
	if len(f.events) > 0 {
		t.Errorf("event %+v", <-f.events)
	}
}

// TestSilentConnectionsDoNotHoldADrain: they keep coming, and the drain ends long before it must.
func TestSilentConnectionsDoNotHoldADrain(t *testing.T) {
	f := serve(t, 16)
	over := make(chan struct{})
	go func() {
		f.s.Drain(patience, func() {}, func() { t.Error("given up") })
		close(over)
	}()
	pace := time.NewTicker(drainPoll)
	defer pace.Stop()
	for limit := time.After(patience / 2); ; {
		select {
		case <-over:
			return
		case <-limit:
			t.Fatal("the drain goes on")
		case <-pace.C:
			f.dial()
		}
	}
}

// TestSlowIsCutOff: a connection owes its first request within a time that no trickle of bytes extends, and one
// with a caller that waits for its answer does not.
func TestSlowIsCutOff(t *testing.T) {
	f := serve(t, 16)
	waits := f.dial()
	waits.send(ask, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	silent, trickle := f.dial(), f.dial()
	pace := time.NewTicker(readWait / 20)
	defer pace.Stop()
	go func() {
		for range pace.C {
			if _, err := trickle.Write([]byte("P")); err != nil {
				return
			}
		}
	}()
	if _, err := silent.r.ReadByte(); err != io.EOF {
		t.Errorf("who says nothing gets %v, want a close and no word that a request could cross", err)
	}
	if status := trickle.answer().StatusCode(); status != 408 {
		t.Errorf("answered %d", status)
	}
	waits.Close() // long after its request's time limit: that must be noticed all the same
	if e := f.event(); e != (core.CallerLeft{Exchange: exchange}) {
		t.Errorf("event %+v, want that the caller left", e)
	}
}

// TestFloodYieldsItsPlaces fills the table: what never brought a request goes first, a usual caller's kept
// connection stays, and what has arrived on a connection is not thrown away.
func TestFloodYieldsItsPlaces(t *testing.T) {
	f := serve(t, 4)
	usual := f.dial()
	serveOne := func(c *caller) {
		t.Helper()
		c.send(ask, "hi")
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange})
		if status := c.answer().StatusCode(); status != 200 {
			t.Fatalf("answered %d", status)
		}
	}
	serveOne(usual)
	for range 20 {
		f.dial() // and says nothing
	}
	serveOne(f.dial())
	serveOne(usual)
	for range 3 {
		c := f.dial()
		c.send("GET /healthz HTTP/1.1\r\nHost: h", "")
		f.s.Answer(core.Answer{Exchange: f.event().(core.HealthAsked).Exchange})
		if !c.answer().ConnectionClose() {
			t.Error("who asks for health may stay")
		}
	}
	serveOne(usual)
}

func TestCallBackAndHealth(t *testing.T) {
	f := serve(t, 16)
	c := f.dial()
	c.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 40", `{"id":"r","from":"s","state":"started"} `)
	if e, ok := f.event().(core.JobReported); !ok || e.Request != "r" || e.From != "s" {
		t.Errorf("event %+v", e)
	}
	if status := c.answer().StatusCode(); status != 200 {
		t.Errorf("call-back answered %d", status)
	}
	c.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	f.s.Answer(core.Answer{Exchange: f.event().(core.HealthAsked).Exchange})
	if status := c.answer().StatusCode(); status != 200 {
		t.Errorf("health answered %d", status)
	}
}

// TestCrowd fills all places: callers beyond their part get a busy answer, idle connections give way, and
// a call-back still gets in.
func TestCrowd(t *testing.T) {
	f := serve(t, 5)
	for range 4 {
		f.dial().send(ask, "hi")
		f.event()
	}
	over := f.dial()
	over.send(ask, "hi")
	if resp := over.answer(); resp.StatusCode() != 503 || len(resp.Header.Peek("Retry-After")) == 0 || !resp.ConnectionClose() {
		t.Errorf("answered %s", resp)
	}
	idle := f.dial()
	idle.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 2", "{}")
	idle.answer()
	last := f.dial()
	last.send("POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: 39", `{"id":"r","from":"s","state":"started"}`)
	if status := last.answer().StatusCode(); status != 200 {
		t.Errorf("call-back answered %d", status)
	}
	if _, err := idle.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want its close", err)
	}
}

// TestDrain: what is taken is answered, connections stay open for a while and serve what comes, health says to
// go elsewhere, and what still waits at the end is given up and answered.
func TestDrain(t *testing.T) {
	f := serve(t, 16)
	waiting := f.dial()
	waiting.send(ask, "hi")
	exchange := f.event().(core.CallArrived).Call.Exchange
	over := make(chan struct{})
	go func() {
		f.s.Drain(2*time.Second, func() {}, func() { f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Busy}) })
		close(over)
	}()
	for !f.s.draining.Load() {
		runtime.Gosched()
	}
	health := f.dial()
	health.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	if status := health.answer().StatusCode(); status != 503 {
		t.Errorf("health answered %d", status)
	}
	late := f.dial()
	for range 2 { // on one connection
		late.send(ask, "hi")
		f.s.Answer(core.Answer{Exchange: f.event().(core.CallArrived).Call.Exchange, Body: []byte("late")})
		if resp := late.answer(); resp.StatusCode() != 200 {
			t.Errorf("answered %s", resp)
		}
	}
	if _, err := late.r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ends with %v, want its close", err)
	}
	select {
	case <-over:
		t.Fatal("over with a caller waiting")
	default:
	}
	if resp := waiting.answer(); resp.StatusCode() != 503 || !resp.ConnectionClose() {
		t.Errorf("answered %s", resp)
	}
	select {
	case <-over:
	case <-time.After(patience):
		t.Fatal("not over")
	}
}
