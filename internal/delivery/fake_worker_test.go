package delivery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	testRoute   = "r-1"
	testService = "s-1"
	testStamp   = "stamp.1"
	testTimeout = 10 * time.Second // upper bound for events that must happen; tests that pass do not wait for it
)

// fakeWorker is a worker that reads requests and passes them to respond, which writes to the connection.
type fakeWorker struct {
	listener    net.Listener
	respond     func(conn net.Conn, request *http.Request)
	connections atomic.Int64
	requests    atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// startFakeWorker starts a worker that is closed at the end of the test.
func startFakeWorker(t testing.TB, respond func(net.Conn, *http.Request)) *fakeWorker {
	t.Helper()
	listener, err := loopback.Listen()
	must.NoError(t, err)
	s := &fakeWorker{listener: listener, respond: respond}
	go s.serve()
	t.Cleanup(s.close)
	return s
}

func (s *fakeWorker) address() string { return s.listener.Addr().String() }

func (s *fakeWorker) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.handle(conn)
	}
}

func (s *fakeWorker) handle(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			_ = conn.Close()
			return
		}
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		s.requests.Add(1)
		s.respond(conn, request)
	}
}

func (s *fakeWorker) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

// writeResponse writes a response with the request's id.
func writeResponse(conn net.Conn, request *http.Request, status int, fields ...string) {
	writeResponseFor(conn, request.Header.Get(headerRequestID), status, fields...)
}

// writeResponseFor writes a response to the request with this id.
func writeResponseFor(conn net.Conn, id string, status int, fields ...string) {
	_, _ = io.WriteString(conn, responseText(id, status, fields...))
}

func responseText(id string, status int, fields ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Length: 4\r\n", status, id)
	for _, field := range fields {
		head += field + "\r\n"
	}
	return head + "\r\nbody"
}

func succeed(conn net.Conn, request *http.Request) {
	writeResponse(conn, request, 200, headerStamp+": "+testStamp)
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func testConfig() *catalog.Config {
	return &catalog.Config{
		Version:  1,
		Routes:   []catalog.Route{{Name: testRoute, Hostname: "h.example", PathPrefix: "/", TimeoutMs: 300, Service: testService}},
		Services: []catalog.Service{{Name: testService, MaxConns: 100}},
	}
}

func workerList(workers ...*fakeWorker) []*rpc.Worker {
	list := make([]*rpc.Worker, 0, len(workers))
	for i, w := range workers {
		list = append(list, &rpc.Worker{Id: fmt.Sprintf("i-%d", i), Service: testService, Address: w.address(), Zone: "a", Capacity: 4})
	}
	return list
}

func startEngine(t testing.TB, config *catalog.Config, workers ...*fakeWorker) *Engine {
	t.Helper()
	e := New(Options{Zone: "a"})
	e.SetCatalog(config.Version, config)
	e.SetWorkers(workerList(workers...))
	t.Cleanup(e.Close)
	return e
}

var jobNumber atomic.Int64

func newJob() *Job {
	id := fmt.Sprintf("request-%d", jobNumber.Add(1))
	return &Job{Name: id, Route: testRoute, Method: "POST", Path: "/p?q=1", Host: "h.example", RequestID: id,
		OrderKey: "key", ContentType: "text/plain", Body: []byte("hello")}
}

func allow() bool { return true }

// submit submits a job and returns the channel that receives its outcome.
func submit(e *Engine, job *Job) <-chan Outcome {
	outcomes := make(chan Outcome, 2) // a second outcome would be a bug, and must not block
	e.Submit(job, allow, func(o Outcome) { outcomes <- o })
	return outcomes
}

func await(t testing.TB, outcomes <-chan Outcome) Outcome {
	t.Helper()
	select {
	case o := <-outcomes:
		return o
	case <-time.After(testTimeout):
		must.Unreachable(t, must.Sprint("no outcome before the timeout"))
		return Outcome{}
	}
}
