package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/config"
)

// One test with real sockets for each of the platform's rules: a whole dispatcher, with workers and a
// discovery service that the test plays.

const patience = 10 * time.Second // for what must come; nothing is timed

// worker is one that a test plays.
type worker struct {
	id, addr string
	got      chan string // what reached it, "METHOD path"
	play     play
}

// play answers a job at a worker.
type play func(w *world, h *worker, c *fasthttp.RequestCtx)

func done(w *world, h *worker, c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek("X-Txn"))
	c.SetStatusCode(fasthttp.StatusAccepted)
	go w.callBack(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":%q}`, id, h.id, "quote of "+h.id))
}

func take(_ *world, _ *worker, c *fasthttp.RequestCtx) { c.SetStatusCode(fasthttp.StatusAccepted) }

func breaks(_ *world, _ *worker, c *fasthttp.RequestCtx) { c.Conn().Close() }

func turnAway(_ *world, _ *worker, c *fasthttp.RequestCtx) {
	c.Response.Header.Set("X-Turned-Away", "1")
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// world is a dispatcher and all it talks to.
type world struct {
	t       *testing.T
	addr    string
	workers []*worker
	watches chan *fasthttp.RequestCtx // discovery's calls; each waits for a word on lists
	asked   chan string               // what the first of them ask for
	lists   chan string
	stop    context.CancelFunc
	over    chan error
}

// start runs a dispatcher that knows workers a, b ... with the plays given.
func start(t *testing.T, entry string, plays ...play) *world {
	t.Helper()
	return startOn(t, configFile, entry, plays...)
}

// startOn runs one with another configuration.
func startOn(t *testing.T, file func(listen, discovery string, known ...string) string, entry string, plays ...play) *world {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, addr: ln.Addr().String(), watches: make(chan *fasthttp.RequestCtx, 8), asked: make(chan string, 8),
		lists: make(chan string, 8), over: make(chan error, 1)}
	var entries []string
	for i, p := range plays {
		h := &worker{id: string(rune('a' + i)), got: make(chan string, 256), play: p}
		h.addr = listen(t, func(c *fasthttp.RequestCtx) {
			h.got <- string(c.Method()) + " " + string(c.Path())
			if c.IsPost() {
				h.play(w, h, c)
			}
		})
		w.workers = append(w.workers, h)
		entries = append(entries, w.entry(h, entry))
	}
	discovery := listen(t, func(c *fasthttp.RequestCtx) {
		select {
		case w.asked <- string(c.RequestURI()):
		default:
		}
		w.discover(c)
	})
	cfg, err := config.Parse([]byte(file(w.addr, discovery, entries...)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() { w.over <- setup{cfg: cfg, log: quiet()}.begin(ctx, ln, nil, nil) }()
	t.Cleanup(func() { stop(); close(w.lists) })
	return w
}

// discover answers a call to discovery: with the next word on lists, which is waited for as long as the call asks. Calls that do not wait for
// long and find none are not told to the test: a watch begins with one.
func (w *world) discover(c *fasthttp.RequestCtx) {
	list, wait := "", c.QueryArgs().GetUintOrZero("timeout_ms")
	if short := wait > 0 && wait < 1000; short {
		select {
		case list = <-w.lists:
			w.watches <- c
		case <-time.After(time.Duration(wait) * time.Millisecond):
			list = fmt.Sprintf(`{"version":%s,"full":false,"servers":[]}`, c.QueryArgs().Peek("since"))
		}
	} else {
		w.watches <- c
		list = <-w.lists
	}
	if list == "" {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	} else {
		c.SetBodyString(list)
	}
}

// configFile is a configuration's text.
func configFile(listen, discovery string, known ...string) string {
	return `{"listen":"` + listen + `","discovery":"` + discovery + `","limits":{"sockets":256},
 "known":{"version":1,"full":true,"servers":[` + strings.Join(known, ",") + `]},
 "settings":{"balancers":1,"registry_mode":"on_request","zone":"a","zones":["a"],
 "allowed":{"cancel":true,"max_attempts":6,"second_copies":true,"retry_after":true,"max_retry_after_s":2},
 "contract":{"ask_within_s":0.1,"cold_share":0.13,"overload_factor":3,"tip_after_s":2,"warm_within_s":24},
 "classes":[{"name":"once","effect":"at_most_once","aim_s":1,"deadline_s":5,"worth":1},
 {"name":"safe","effect":"idempotent","aim_s":1,"deadline_s":5,"worth":1}]}}`
}

func (w *world) entry(h *worker, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"k","weight":1,%s}`, h.id, h.addr, state)
}

func listen(t *testing.T, handle fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&fasthttp.Server{Handler: handle, Logger: quiet()}).Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (w *world) post(path, body string, headers ...string) (*fasthttp.Response, error) {
	req, resp := fasthttp.AcquireRequest(), &fasthttp.Response{}
	req.SetRequestURI("http://" + w.addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	return resp, fasthttp.DoTimeout(req, resp, patience)
}

func (w *world) callBack(body string) {
	if resp, err := w.post("/callback", body); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		w.t.Errorf("call-back %s: %v %v", body, resp, err)
	}
}

// call sends a request and returns its answer's status and body.
func (w *world) call(id, class, remaining string) (int, string) {
	w.t.Helper()
	resp, err := w.post("/api", "body", "X-Txn", id, "X-Lane", class, "X-Remaining", remaining)
	if err != nil {
		w.t.Errorf("call %s: %v", id, err)
		return 0, ""
	}
	return resp.StatusCode(), string(resp.Body())
}

// jobs takes what has reached the workers and counts the jobs in it. It may be called once.
func (w *world) jobs() (n int) {
	for _, h := range w.workers {
		for range len(h.got) {
			if strings.HasPrefix(<-h.got, "POST ") {
				n++
			}
		}
	}
	return n
}

const active = `"state":"active"`

func TestServed(t *testing.T) {
	w := start(t, active, done)
	for i := range 3 {
		if status, body := w.call(fmt.Sprint("r", i), "once", "5"); status != 200 || body != "quote of a" {
			t.Errorf("answered %d %q", status, body)
		}
	}
	// Late, repeated and unknown call-backs are taken and change nothing.
	w.callBack(`{"id":"r0","from":"a","state":"done","result":"again"}`)
	w.callBack(`{"id":"none","from":"z","state":"lost"}`)
	if status, _ := w.call("r9", "none", "5"); status != 400 {
		t.Errorf("an unknown class is answered %d", status)
	}
}

// TestNoRequestDropped: a worker that takes a job and keeps silent costs no answer, and is told.
func TestNoRequestDropped(t *testing.T) {
	w := start(t, active, take)
	if status, _ := w.call("r", "once", "0.1"); status != 502 {
		t.Errorf("answered %d", status)
	}
	for _, want := range []string{"POST /api", "DELETE /jobs/r"} {
		select {
		case got := <-w.workers[0].got:
			if got != want {
				t.Errorf("the worker got %q, want %q", got, want)
			}
		case <-time.After(patience):
			t.Fatalf("the worker did not get %q", want)
		}
	}
}

// TestNoDuplicateEffects: what may have run is not sent again; what never ran may be.
func TestNoDuplicateEffects(t *testing.T) {
	for _, tc := range []struct {
		name, class string
		plays       []play
		status      int
		jobs        int // that reach the workers; 0 for any
	}{
		{"broken connection", "once", []play{breaks, breaks}, 502, 1},
		{"one turns away", "once", []play{turnAway, done}, 200, 0},
		{"both turn away", "once", []play{turnAway, turnAway}, 503, 0},
		{"may be repeated", "safe", []play{breaks, done}, 200, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := start(t, active, tc.plays...)
			status, _ := w.call("r", tc.class, "5")
			if jobs := w.jobs(); status != tc.status || tc.jobs > 0 && jobs != tc.jobs {
				t.Errorf("answered %d after %d jobs, want %d after %d", status, jobs, tc.status, tc.jobs)
			}
		})
	}
}

// TestDrainKept: nothing new goes to a worker once discovery has said that it leaves; the watch is
// renewed on its own connection, and asked again after a failure.
func TestDrainKept(t *testing.T) {
	w := start(t, active, done, done)
	next := func() *fasthttp.RequestCtx {
		select {
		case c := <-w.watches:
			return c
		case <-time.After(patience):
			t.Fatal("discovery is not asked")
			return nil
		}
	}
	if got := string(next().QueryArgs().Peek("since")); got != "1" {
		t.Errorf("first watch since %q, want the known version", got)
	}
	w.lists <- "" // discovery fails: the next call must come all the same
	first := next()
	from := first.RemoteAddr().String()
	w.lists <- `{"version":2,"servers":[` + w.entry(w.workers[0], `"state":"leaving"`) + `]}`
	second := next()
	if got := string(second.QueryArgs().Peek("since")); got != "2" || second.RemoteAddr().String() != from {
		t.Errorf("renewed since %q from %s, want 2 from %s", got, second.RemoteAddr(), from)
	}
	w.lists <- `{"version":3,"servers":[]}`
	next() // the call after the next is written when the drain has been handed on
	for i := range 20 {
		if status, body := w.call(fmt.Sprint("r", i), "safe", "5"); status != 200 || body != "quote of b" {
			t.Errorf("answered %d %q", status, body)
		}
	}
	if n := len(w.workers[0].got); n != 0 {
		t.Errorf("%d jobs reached the worker that drains", n)
	}
}

// TestColdWorkerIsSpared: a burst right after a worker's start must not fall on it.
func TestColdWorkerIsSpared(t *testing.T) {
	const burst = 40
	w := start(t, active, done, done)
	w.lists <- fmt.Sprintf(`{"version":2,"servers":[%s]}`,
		w.entry(w.workers[0], fmt.Sprintf(`"state":"active","started_ms":%d`, time.Now().UnixMilli())))
	w.lists <- `{"version":3,"servers":[]}`
	for range 3 {
		<-w.watches
	}
	statuses := make(chan int, burst)
	for i := range burst {
		go func() {
			status, _ := w.call(fmt.Sprint("r", i), "safe", "5")
			statuses <- status
		}()
	}
	for range burst {
		if status := <-statuses; status != 200 {
			t.Errorf("answered %d", status)
		}
	}
	if n := len(w.workers[0].got); n > burst/4 {
		t.Errorf("%d of %d jobs fell on the cold worker", n, burst)
	}
}

// TestReload: on SIGHUP a running dispatcher reads its file again and moves to the discovery named there; a
// faulty file changes nothing.
func TestReload(t *testing.T) {
	asked := make(chan string, 8)
	discovery := func(name string) string {
		return listen(t, func(c *fasthttp.RequestCtx) {
			asked <- name + " " + string(c.QueryArgs().Peek("since"))
			c.SetBodyString(`{"version":7,"full":true,"servers":[]}`)
			if name == "first" || c.QueryArgs().Has("since") {
				<-t.Context().Done() // a watch that has nothing to tell
			}
		})
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	const anyPort = "127.0.0.1:0"
	want := func(call string) {
		t.Helper()
		select {
		case got := <-asked:
			if got != call {
				t.Fatalf("discovery is asked %q, want %q", got, call)
			}
		case <-time.After(patience):
			t.Fatalf("discovery is not asked %q", call)
		}
	}
	first := discovery("first")
	write(configFile(anyPort, first))
	t.Setenv("NODE_CONFIG", path)
	t.Setenv("NODE_DISCOVERY", first)
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- serve(ctx, options{level: "panic"}) }()
	want("first 1")
	write(`{"listen":"nowhere"}`)
	syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
	for _, name := range []string{"second", "third"} {
		write(configFile(anyPort, discovery(name)))
		syscall.Kill(syscall.Getpid(), syscall.SIGHUP)
		want(name + " ")
		want(name + " 7")
	}
	stop()
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// TestPlannedRestart: on the signal what was taken is still answered, and the program then ends.
func TestPlannedRestart(t *testing.T) {
	w := start(t, active, take)
	answer := make(chan int)
	go func() {
		status, _ := w.call("r", "once", "30")
		answer <- status
	}()
	<-w.workers[0].got
	w.stop()
	w.callBack(`{"id":"r","from":"a","state":"done","result":"late"}`)
	if status := <-answer; status != 200 {
		t.Errorf("answered %d", status)
	}
	select {
	case err := <-w.over:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("the program goes on")
	}
}
