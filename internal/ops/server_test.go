package ops

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/clientconn"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/tcp"
)

const testTimeout = 10 * time.Second // fails a test that waits for an event that never happens; no test measures time

// newTestServer starts a server with a backend whose posted events are sent to the returned channel.
func newTestServer(t *testing.T) (*AdminServer, chan core.Event) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	srv, err := Listen("127.0.0.1:0", log)
	if err != nil {
		t.Fatal(err)
	}
	go srv.Run()
	t.Cleanup(func() { srv.Close() })
	posted := make(chan core.Event)
	srv.SetBackend(Backend{
		Ready: func() error { return nil },
		Stats: func() Stats {
			return NewStats(map[string]clientconn.Tally{"c": {Served: 3, Failed: 1}, "d": {}}, 7, 9, core.View{Known: 5, Excluded: 2})
		},
		Post: func(ev core.Event) { posted <- ev },
	})
	return srv, posted
}

func dial(t *testing.T, srv *AdminServer) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", srv.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends text on a new connection and returns the response, after which the server must close the connection.
func roundTrip(t *testing.T, srv *AdminServer, text string) (status int, body string) {
	t.Helper()
	c := dial(t, srv)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return readResponse(t, c)
}

func readResponse(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	r := bufio.NewReader(c)
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the response: %v", err)
	}
	return resp.StatusCode(), string(resp.Body())
}

func postRequest(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strings.TrimSpace(string(fasthttp.AppendUint(nil, len(body)))) + "\r\n\r\n" + body
}

// TestRequests checks the response, and the posted event, for each kind of valid and invalid request.
func TestRequests(t *testing.T) {
	srv, posted := newTestServer(t)
	for _, tc := range []struct {
		name, text string
		order      core.Event // the event that must be posted; nil for none
		fault      core.OrderFault
		status     int
		contains   string
	}{
		{"readiness", "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 200, "ready"},
		{"a query is ignored", "GET /ops/readiness?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 200, "ready"},
		{"down", postRequest("/ops/quote-workers/down", "s-1"), core.BanOrdered{Order: 1, Worker: "s-1"}, "", 200, "done"},
		{"up, with white space", postRequest("/ops/quote-workers/up", " s-1\r\n"), core.BanOrdered{Order: 2, Worker: "s-1", Lift: true}, "", 200, "done"},
		{"unknown id", postRequest("/ops/quote-workers/down", "s-9"), core.BanOrdered{Order: 3, Worker: "s-9"}, core.UnknownWorker, 404, "no quote worker"},
		{"too many workers down", postRequest("/ops/quote-workers/down", "s-9"), core.BanOrdered{Order: 4, Worker: "s-9"}, core.TooManyBans, 409, "too many"},
		{"drain", postRequest("/ops/drain/start", ""), core.DrainOrdered{Order: 5}, "", 200, "done"},
		{"end of drain, without a length", "POST /ops/drain/stop HTTP/1.1\r\nHost: h\r\n\r\n", core.DrainOrdered{Order: 6, End: true}, "", 200, "done"},
		{"chunked body", "POST /ops/quote-workers/up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-1\r\n0\r\n\r\n",
			core.BanOrdered{Order: 7, Worker: "s-1", Lift: true}, "", 200, "done"},
		{"unknown path", "GET /ops HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 404, "/ops"},
		{"wrong method", "GET /ops/drain/start HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 405, "POST"},
		{"POST instead of GET", postRequest("/ops/stats", ""), nil, "", 405, "GET"},
		{"no id", postRequest("/ops/quote-workers/down", " \n"), nil, "", 400, "id"},
		{"id with a space", postRequest("/ops/quote-workers/down", "s 1"), nil, "", 400, "s 1"},
		{"id that is not UTF-8", postRequest("/ops/quote-workers/down", "\xff\xfe"), nil, "", 400, "not a quote worker's id"},
		{"long id", postRequest("/ops/quote-workers/down", strings.Repeat("x", maxWorkerIDBytes+1)), nil, "", 413, "256"},
		{"large body", postRequest("/ops/quote-workers/down", strings.Repeat("x", maxBodyBytes+1)), nil, "", 413, "512"},
		{"large head", "GET /ops/stats HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", nil, "", 431, "4096"},
		{"not HTTP", "hello\r\n\r\n", nil, "", 400, "not a call"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.order != nil {
				go func() {
					select {
					case ev := <-posted:
						if ev != tc.order {
							t.Errorf("posted %+v, want %+v", ev, tc.order)
						}
						srv.Ordered(core.Ordered{Order: 1 << 40}) // an order of another request
						srv.Ordered(core.Ordered{Order: srv.lastOrder, Fault: tc.fault})
					case <-time.After(testTimeout):
						t.Error("nothing was posted")
					}
				}()
			}
			status, body := roundTrip(t, srv, tc.text)
			if status != tc.status || !strings.Contains(body, tc.contains) || strings.Count(body, "\n") != 1 {
				t.Errorf("got response %d %q", status, body)
			}
		})
	}
}

// TestStats checks the documented format of the statistics, in which every class is present from the start.
func TestStats(t *testing.T) {
	srv, _ := newTestServer(t)
	status, body := roundTrip(t, srv, "GET /ops/stats HTTP/1.1\r\nHost: h\r\n\r\n")
	var got any
	if err := json.Unmarshal([]byte(body), &got); err != nil || status != 200 {
		t.Fatalf("%d, %v", status, err)
	}
	want := `{"requests":{"c":{"served":3,"refused":0,"failed":1},"d":{"served":0,"refused":0,"failed":0}},` +
		`"in_flight":7,"attempts":9,"quote_workers_known":5,"quote_workers_excluded":2}` + "\n"
	if body != want {
		t.Errorf("%s", body)
	}
}

// TestNotReady checks that requests get status 503 while there is no backend or the backend isn't ready.
func TestNotReady(t *testing.T) {
	srv, _ := newTestServer(t)
	srv.backend.Store(nil)
	for _, request := range []string{"GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ops/stats HTTP/1.1\r\nHost: h\r\n\r\n", postRequest("/ops/drain/start", "")} {
		if status, body := roundTrip(t, srv, request); status != 503 {
			t.Errorf("%q: %d %q", request, status, body)
		}
	}
	srv.SetBackend(Backend{Ready: func() error { return errors.New("ending") }})
	if status, body := roundTrip(t, srv, "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n"); status != 503 || body != "ending\n" {
		t.Errorf("%d %q", status, body)
	}
}

// TestDetach checks that requests in progress get no response after Detach.
func TestDetach(t *testing.T) {
	srv, _ := newTestServer(t) // nothing receives the orders
	c := dial(t, srv)
	io.WriteString(c, postRequest("/ops/drain/start", ""))
	partial := dial(t, srv)
	io.WriteString(partial, "GET /ops/stats HT")
	for { // until both are accepted
		srv.mu.Lock()
		accepted := len(srv.conns)
		srv.mu.Unlock()
		if accepted == 2 {
			break
		}
	}
	srv.Detach()
	io.WriteString(partial, "TP/1.1\r\nHost: h\r\n\r\n")
	for _, x := range []net.Conn{c, partial} {
		if n, err := x.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("got a response after Detach")
		}
	}
	if x, err := net.Dial("tcp", srv.Addr()); err == nil {
		x.Close()
		t.Error("the listener is still open")
	}
}

// TestIdleConnectionsAreEvicted checks that clients that send nothing or half a request don't keep out others, and that an
// order that the dispatcher doesn't execute blocks no other request.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	srv, _ := newTestServer(t) // nothing receives the orders
	pending := dial(t, srv)
	io.WriteString(pending, postRequest("/ops/drain/start", ""))
	idle := make([]net.Conn, 3*maxConns)
	for i := range idle {
		idle[i] = dial(t, srv)
		if i%2 == 0 {
			io.WriteString(idle[i], "GET /ops/stats HT")
		}
	}
	for range 3 * maxConns {
		if status, _ := roundTrip(t, srv, "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Fatal(status)
		}
	}
	srv.mu.Lock()
	held := len(srv.conns)
	srv.mu.Unlock()
	if held > maxConns {
		t.Errorf("%d open connections, at most %d are allowed", held, maxConns)
	}
	if status, body := readResponse(t, pending); status != 503 || !strings.Contains(body, "not in force yet") {
		t.Errorf("%d %q", status, body)
	}
	var b [1]byte
	if _, err := idle[0].Read(b[:]); err == nil { // closed for other connections, or after requestTimeout
		t.Error("an idle connection got a response")
	}
}

// TestUnreadRequestIsNotEvicted checks that a connection whose request was received but not read yet isn't considered idle, however old it is.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	srv, err := Listen("127.0.0.1:0", log)
	must.NoError(t, err)
	t.Cleanup(func() { srv.Close() })
	accept := func(text string) *clientConn {
		client := dial(t, srv)
		connection, err := srv.ln.AcceptTCP()
		must.NoError(t, err)
		c, err := srv.newConn(connection)
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(client, text)
		must.NoError(t, err)
		return c
	}
	first := accept(postRequest("/ops/drain/start", ""))
	for tcp.OpenWithoutData(first.TCPConn) {
		runtime.Gosched()
	}
	srv.admit(first)
	var idle []*clientConn
	for range maxConns - 1 {
		c := accept("")
		srv.admit(c)
		go c.Read(make([]byte, 1))
		idle = append(idle, c)
	}
	for range idle {
		srv.admit(accept(""))
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	must.MapContainsKey(t, srv.conns, first)
	for _, c := range idle {
		must.MapNotContainsKey(t, srv.conns, c)
	}
}
