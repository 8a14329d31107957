package lab

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/responsecheck"
)

// drainRule is how long after a drain was told a dispatcher may still send; sockets get 50 ms more.
const drainRule = 750*time.Millisecond + 50*time.Millisecond

const (
	callTries = 10
	callWait  = 2 * time.Second
	callPause = 50 * time.Millisecond
)

// Worker is a stand-in for a quote worker: it takes jobs, runs as many at once as it has slots, first come first
// served, and reports each by call-backs.
type Worker struct {
	ID, Addr, Zone, Kind string
	Slots                int
	Pace                 float64 // of its cores: 2 takes half the time of 1

	ledger  *Ledger
	work    func(class string, id string) (time.Duration, int) // a job's time at pace 1, and its result's bytes
	classOf func(id string) string
	excuse  func(addr string, since time.Time) bool // tells that nobody there had to hear a call-back; nil for never
	caller  *fasthttp.Client
	lns     []net.Listener

	mu      sync.Mutex
	jobs    map[string]*job
	queue   []*job
	running int
	drained map[string]time.Time // when each dispatcher was told that it drains; "" for all; none while active
	back    time.Time            // when they were told last that it is active
	heard   map[string]int       // sends since then, by the dispatcher that they came from
	cold    *coldness            // from a start of its own on, until it is warm; nil for one that always was
}

// job is one attempt that a worker holds.
type job struct {
	id       string
	back     string // where call-backs go
	gone     bool   // given up
	begun    bool
	finished chan struct{}
}

func (w *Worker) start(back func() string) error {
	w.jobs = map[string]*job{}
	w.caller = &fasthttp.Client{Dial: dialChecked, MaxConnsPerHost: 64, MaxIdleConnDuration: 3 * time.Second, ReadTimeout: callWait, WriteTimeout: callWait,
		NoDefaultUserAgentHeader: true, RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }}
	var err error
	w.Addr, err = w.listen(back)
	return err
}

// dialChecked connects to a dispatcher. A response that is not valid is an error.
func dialChecked(addr string) (net.Conn, error) {
	connection, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return responsecheck.NewConn(connection), nil
}

// listen takes jobs at one more address, and calls back where those that come there say.
func (w *Worker) listen(back func() string) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.lns = append(w.lns, ln)
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { w.handle(c, back()) }, NoDefaultDate: true,
		NoDefaultServerHeader: true, IdleTimeout: 5 * time.Second}
	go server.Serve(ln)
	return ln.Addr().String(), nil
}

func (w *Worker) handle(c *fasthttp.RequestCtx, back string) {
	id := string(c.Request.Header.Peek("X-Txn"))
	if c.IsDelete() {
		w.giveUp(strings.TrimPrefix(string(c.Path()), "/jobs/"))
		c.SetStatusCode(fasthttp.StatusOK)
		return
	}
	if id == "" {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	w.mu.Lock()
	_, held := w.jobs[id]
	late := w.toldOut(back)
	w.ledger.sent(id, back, w.ID, late, held)
	if w.heard == nil {
		w.heard = map[string]int{}
	}
	w.heard[back]++
	if w.cold != nil && !w.cold.bears(time.Now(), w.length(id)) {
		w.mu.Unlock()
		c.Response.SetConnectionClose()
		c.HijackSetNoResponse(true)
		c.Hijack(func(net.Conn) {}) // it has fallen over: nothing more is heard of it
		return
	}
	if late || held || w.running >= w.Slots && len(w.queue) >= 4*w.Slots {
		w.mu.Unlock()
		c.Response.Header.Set("X-Turned-Away", "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	j := &job{id: id, back: back, finished: make(chan struct{})}
	w.jobs[id] = j
	w.queue = append(w.queue, j)
	w.next()
	w.mu.Unlock()
	c.SetStatusCode(fasthttp.StatusAccepted)
}

func (w *Worker) giveUp(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		j.gone = true
		delete(w.jobs, id)
		if j.begun {
			close(j.finished)
		}
	}
}

// next starts jobs on free slots; w.mu is held.
func (w *Worker) next() {
	for w.running < w.Slots && len(w.queue) > 0 {
		j := w.queue[0]
		w.queue = w.queue[1:]
		if j.gone {
			continue
		}
		j.begun = true
		w.running++
		w.ledger.ran(j.id)
		go w.run(j)
	}
}

func (w *Worker) run(j *job) {
	_, size := w.work(w.classOf(j.id), j.id)
	takes := w.length(j.id)
	w.mu.Lock()
	if w.cold != nil {
		takes = time.Duration(float64(takes) / w.cold.warmth(time.Now()))
	}
	w.mu.Unlock()
	started := make(chan struct{})
	go func() {
		w.call(j, fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, j.id, w.ID))
		close(started)
	}()
	t := time.NewTimer(takes)
	select {
	case <-t.C:
	case <-j.finished:
		t.Stop()
	}
	w.mu.Lock()
	w.running--
	gone := j.gone
	if !gone {
		delete(w.jobs, j.id)
	}
	w.next()
	w.mu.Unlock()
	if gone {
		return
	}
	result := j.id + " by " + w.ID
	if size > len(result) {
		result += strings.Repeat(".", size-len(result))
	}
	w.ledger.made(j.id, result)
	<-started
	w.call(j, fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":%q}`, j.id, w.ID, result))
}

// call posts a call-back until it is acknowledged, at most ten times.
func (w *Worker) call(j *job, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	tries, heard, begun := 0, false, time.Now()
	for !heard && tries < callTries {
		if tries++; tries > 1 {
			time.Sleep(callPause)
		}
		req.Reset()
		req.SetRequestURI("http://" + j.back + "/callback")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(body)
		err := w.caller.DoTimeout(req, resp, callWait)
		heard = err == nil && (resp.StatusCode() == 200 || resp.StatusCode() == 204)
	}
	w.ledger.called(tries, heard || w.excuse != nil && w.excuse(j.back, begun))
}

// length is a job's time here, warm.
func (w *Worker) length(id string) time.Duration {
	takes, _ := w.work(w.classOf(id), id)
	return time.Duration(float64(takes) / w.Pace)
}

// tellDrain notes that a dispatcher was told, now, that the worker drains, or is active again; "" for all dispatchers.
func (w *Worker) tellDrain(dispatcher string, drains bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if drains {
		if w.drained == nil {
			w.drained = map[string]time.Time{}
		}
		w.drained[dispatcher] = time.Now()
		return
	}
	delete(w.drained, dispatcher)
	w.back, w.heard = time.Now(), nil
}

// toldOut tells whether a dispatcher has been told of a drain for longer than it may still send. w.mu is held.
func (w *Worker) toldOut(dispatcher string) bool {
	for _, d := range []string{dispatcher, ""} {
		if at, told := w.drained[d]; told && time.Since(at) > drainRule {
			return true
		}
	}
	return false
}

// since tells what each dispatcher has sent since the worker was last told to be active, and when that was.
func (w *Worker) since() (sends map[string]int, back time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.heard), w.back
}

func (w *Worker) stop() {
	for _, ln := range w.lns {
		ln.Close()
	}
	w.caller.CloseIdleConnections()
}
