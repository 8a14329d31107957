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

const patience = 10 * time.Second // for what must come; nothing is timed

// open makes a door with a node whose orders come out of the channel.
func open(t *testing.T) (*AdminServer, chan core.Event) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := Listen("127.0.0.1:0", log)
	if err != nil {
		t.Fatal(err)
	}
	go d.Run()
	t.Cleanup(func() { d.Close() })
	posted := make(chan core.Event)
	d.SetBackend(Backend{
		Ready: func() error { return nil },
		Stats: func() Stats {
			return NewStats(map[string]clientconn.Tally{"c": {Served: 3, Failed: 1}, "d": {}}, 7, 9, core.View{Known: 5, Excluded: 2})
		},
		Post: func(ev core.Event) { posted <- ev },
	})
	return d, posted
}

func dial(t *testing.T, d *AdminServer) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { c.Close() })
	return c
}

// say writes a text to the door and reads the answer, which must be the connection's last.
func say(t *testing.T, d *AdminServer, text string) (status int, body string) {
	t.Helper()
	c := dial(t, d)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return hear(t, c)
}

func hear(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	r := bufio.NewReader(c)
	var resp fasthttp.Response
	if err := resp.Read(r); err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answer: %v", err)
	}
	return resp.StatusCode(), string(resp.Body())
}

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + strings.TrimSpace(string(fasthttp.AppendUint(nil, len(body)))) + "\r\n\r\n" + body
}

// TestCalls: every call, and what is wrong with the bad ones.
func TestCalls(t *testing.T) {
	d, posted := open(t)
	for _, tc := range []struct {
		name, text string
		order      core.Event // that must be posted, with its number; nil for none
		fault      core.OrderFault
		status     int
		says       string
	}{
		{"readiness", "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 200, "ready"},
		{"a query is none of its business", "GET /ops/readiness?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 200, "ready"},
		{"down", post("/ops/quote-workers/down", "s-1"), core.BanOrdered{Order: 1, Worker: "s-1"}, "", 200, "done"},
		{"up, with white space", post("/ops/quote-workers/up", " s-1\r\n"), core.BanOrdered{Order: 2, Worker: "s-1", Lift: true}, "", 200, "done"},
		{"nobody has the id", post("/ops/quote-workers/down", "s-9"), core.BanOrdered{Order: 3, Worker: "s-9"}, core.UnknownWorker, 404, "no quote worker"},
		{"too many", post("/ops/quote-workers/down", "s-9"), core.BanOrdered{Order: 4, Worker: "s-9"}, core.TooManyBans, 409, "too many"},
		{"drain", post("/ops/drain/start", ""), core.DrainOrdered{Order: 5}, "", 200, "done"},
		{"drain's end, without a length", "POST /ops/drain/stop HTTP/1.1\r\nHost: h\r\n\r\n", core.DrainOrdered{Order: 6, End: true}, "", 200, "done"},
		{"in chunks", "POST /ops/quote-workers/up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ns-1\r\n0\r\n\r\n",
			core.BanOrdered{Order: 7, Worker: "s-1", Lift: true}, "", 200, "done"},
		{"unknown path", "GET /ops HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 404, "/ops"},
		{"wrong method", "GET /ops/drain/start HTTP/1.1\r\nHost: h\r\n\r\n", nil, "", 405, "POST"},
		{"posted where one asks", post("/ops/stats", ""), nil, "", 405, "GET"},
		{"no id", post("/ops/quote-workers/down", " \n"), nil, "", 400, "id"},
		{"an id of two words", post("/ops/quote-workers/down", "s 1"), nil, "", 400, "s 1"},
		{"an id that is no text", post("/ops/quote-workers/down", "\xff\xfe"), nil, "", 400, "not a quote worker's id"},
		{"a long id", post("/ops/quote-workers/down", strings.Repeat("x", mostID+1)), nil, "", 413, "256"},
		{"a large body", post("/ops/quote-workers/down", strings.Repeat("x", mostBody+1)), nil, "", 413, "512"},
		{"a large head", "GET /ops/stats HTTP/1.1\r\nX: " + strings.Repeat("x", mostHead) + "\r\n\r\n", nil, "", 431, "4096"},
		{"no HTTP", "hello\r\n\r\n", nil, "", 400, "not a call"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.order != nil {
				go func() {
					select {
					case ev := <-posted:
						if ev != tc.order {
							t.Errorf("posted %+v, not %+v", ev, tc.order)
						}
						d.Ordered(core.Ordered{Order: 1 << 40}) // somebody else's
						d.Ordered(core.Ordered{Order: d.last, Fault: tc.fault})
					case <-time.After(patience):
						t.Error("nothing was posted")
					}
				}()
			}
			status, body := say(t, d, tc.text)
			if status != tc.status || !strings.Contains(body, tc.says) || strings.Count(body, "\n") != 1 {
				t.Errorf("answered %d %q", status, body)
			}
		})
	}
}

// TestFigures: the form that the operators named, with every class from the start.
func TestFigures(t *testing.T) {
	d, _ := open(t)
	status, body := say(t, d, "GET /ops/stats HTTP/1.1\r\nHost: h\r\n\r\n")
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

// TestClosedDoor: before there is a dispatcher, calls are denied.
func TestClosedDoor(t *testing.T) {
	d, _ := open(t)
	d.node.Store(nil)
	for _, call := range []string{"GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n", "GET /ops/stats HTTP/1.1\r\nHost: h\r\n\r\n", post("/ops/drain/start", "")} {
		if status, body := say(t, d, call); status != 503 {
			t.Errorf("%q: %d %q", call, status, body)
		}
	}
	d.SetBackend(Backend{Ready: func() error { return errors.New("ending") }})
	if status, body := say(t, d, "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n"); status != 503 || body != "ending\n" {
		t.Errorf("%d %q", status, body)
	}
}

// TestLeave: once another process answers, a call that is under way here ends without a word.
func TestLeave(t *testing.T) {
	d, _ := open(t) // nobody takes orders
	c := dial(t, d)
	io.WriteString(c, post("/ops/drain/start", ""))
	half := dial(t, d)
	io.WriteString(half, "GET /ops/stats HT")
	for { // both have been taken
		d.mu.Lock()
		taken := len(d.conns)
		d.mu.Unlock()
		if taken == 2 {
			break
		}
	}
	d.Detach()
	io.WriteString(half, "TP/1.1\r\nHost: h\r\n\r\n")
	for _, x := range []net.Conn{c, half} {
		if n, err := x.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("answered after the word to leave")
		}
	}
	if x, err := net.Dial("tcp", d.Addr()); err == nil {
		x.Close()
		t.Error("the door is open")
	}
}

// TestSilentCallersYield: however many callers say nothing, or half a call, one that speaks is heard at once; and an
// order that the dispatcher does not take up holds nobody else.
func TestSilentCallersYield(t *testing.T) {
	d, _ := open(t) // nobody takes orders
	stuck := dial(t, d)
	io.WriteString(stuck, post("/ops/drain/start", ""))
	silent := make([]net.Conn, 3*mostCallers)
	for i := range silent {
		silent[i] = dial(t, d)
		if i%2 == 0 {
			io.WriteString(silent[i], "GET /ops/stats HT")
		}
	}
	for range 3 * mostCallers {
		if status, _ := say(t, d, "GET /ops/readiness HTTP/1.1\r\nHost: h\r\n\r\n"); status != 200 {
			t.Fatal(status)
		}
	}
	d.mu.Lock()
	held := len(d.conns)
	d.mu.Unlock()
	if held > mostCallers {
		t.Errorf("%d callers hold places, %d at most", held, mostCallers)
	}
	if status, body := hear(t, stuck); status != 503 || !strings.Contains(body, "not in force yet") {
		t.Errorf("%d %q", status, body)
	}
	var b [1]byte
	if _, err := silent[0].Read(b[:]); err == nil { // closed for the others, or because it said nothing in time
		t.Error("a silent caller was answered")
	}
}

// TestUnreadCallKeepsItsPlace: a call that has come in whole and is not read yet is not taken for silence, however old its connection is.
func TestUnreadCallKeepsItsPlace(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := Listen("127.0.0.1:0", log)
	must.NoError(t, err)
	t.Cleanup(func() { d.Close() })
	take := func(text string) *caller {
		client := dial(t, d)
		connection, err := d.ln.AcceptTCP()
		must.NoError(t, err)
		c, err := d.newCaller(connection)
		must.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(client, text)
		must.NoError(t, err)
		return c
	}
	first := take(post("/ops/drain/start", ""))
	for tcp.Silent(first.TCPConn) {
		runtime.Gosched()
	}
	d.admit(first)
	var silent []*caller
	for range mostCallers - 1 {
		c := take("")
		d.admit(c)
		go c.Read(make([]byte, 1))
		silent = append(silent, c)
	}
	for range silent {
		d.admit(take(""))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	must.MapContainsKey(t, d.conns, first)
	for _, c := range silent {
		must.MapNotContainsKey(t, d.conns, c)
	}
}
