package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// service is what the workers of a service share.
type service struct {
	name     string
	work     time.Duration
	capacity int
	rate     float64 // arrivals a second that are let in; 0 for no limit
	dedup    bool

	mutex  sync.Mutex
	done   map[string]string          // stamps by request id, for dedup
	busy   map[string]bool            // request ids that run, for dedup
	tokens float64                    // of the rate
	filled time.Time                  // when tokens was reckoned
	status func(id string, n int) int // the answer to the nth run of a request; nil for 200
	runs   map[string]int
}

// worker is a stand-in worker that does what the pages say.
type worker struct {
	id      string
	zone    string
	address string
	service *service
	record  *record
	slots   chan struct{}
	server  *http.Server
}

func startWorker(record *record, s *service, id, zone, address string) (*worker, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	if s.done == nil {
		s.done, s.busy, s.runs, s.filled = map[string]string{}, map[string]bool{}, map[string]int{}, time.Now()
	}
	w := &worker{id: id, zone: zone, address: address, service: s, record: record, slots: make(chan struct{}, s.capacity)}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) serve(out http.ResponseWriter, in *http.Request) {
	if in.Method == http.MethodGet && in.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", w.id)
		return
	}
	id := in.Header.Get("X-Request-Id")
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	if in.ProtoMajor != 1 || id == "" {
		w.notRun(out, id, http.StatusBadRequest)
		return
	}
	if expected := in.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		w.notRun(out, id, http.StatusMisdirectedRequest)
		return
	}
	w.record.add(event{Kind: "arrive", ID: id, Service: w.service.name, Worker: w.id})
	if !w.service.admit() {
		w.notRun(out, id, http.StatusTooManyRequests)
		return
	}
	select {
	case w.slots <- struct{}{}:
	default:
		w.notRun(out, id, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	stamp, conflict, number := w.service.begin(id)
	if conflict {
		w.notRun(out, id, http.StatusConflict)
		return
	}
	if stamp == "" {
		stamp = w.run(out, in, id, body, number)
		if stamp == "" {
			return
		}
	}
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Response-Stamp", stamp)
	out.WriteHeader(http.StatusOK)
	_, _ = out.Write([]byte("done"))
}

// run works on a message. It returns the stamp of a success; otherwise it has answered.
func (w *worker) run(out http.ResponseWriter, in *http.Request, id string, body []byte, number int) string {
	w.record.add(event{Kind: "start", ID: id, Service: w.service.name, Worker: w.id, Host: in.Host, Path: in.URL.RequestURI(),
		Key: in.Header.Get("X-Order-Key"), Body: string(body)})
	work, status := w.service.work, http.StatusOK
	if limit, err := strconv.ParseFloat(in.Header.Get("X-Deadline-Ms"), 64); err == nil && work > time.Duration(limit*1e6) {
		work, status = time.Duration(limit*1e6), http.StatusGatewayTimeout
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-in.Context().Done(): // dropped with its connection
		status = 0
	}
	if status == http.StatusOK && w.service.status != nil {
		status = w.service.status(id, number)
	}
	stamp := ""
	if status == http.StatusOK {
		stamp = fmt.Sprintf("%s.%s.%d", w.id, id, number)
	}
	w.service.end(id, stamp)
	w.record.add(event{Kind: "end", ID: id, Service: w.service.name, Worker: w.id, Status: status, Stamp: stamp})
	if status != 0 && stamp == "" {
		out.Header().Set("X-Request-Id", id)
		out.WriteHeader(status)
	}
	return stamp
}

func (w *worker) notRun(out http.ResponseWriter, id string, status int) {
	w.record.add(event{Kind: "notrun", ID: id, Service: w.service.name, Worker: w.id, Status: status})
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Not-Executed", "1")
	out.WriteHeader(status)
}

// admit takes one message in, within the rate.
func (s *service) admit() bool {
	if s.rate <= 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	s.tokens = min(s.rate, s.tokens+s.rate*now.Sub(s.filled).Seconds())
	s.filled = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// begin notes a run, or returns the stamp of an earlier success.
func (s *service) begin(id string) (stamp string, conflict bool, number int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dedup {
		if s.done[id] != "" {
			return s.done[id], false, 0
		}
		if s.busy[id] {
			return "", true, 0
		}
		s.busy[id] = true
	}
	s.runs[id]++
	return "", false, s.runs[id]
}

func (s *service) end(id, stamp string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.busy, id)
	if stamp != "" {
		s.done[id] = stamp
	}
}

// platform keeps the list of workers. Its addresses may change.
type platform struct {
	mutex   sync.Mutex
	workers []*worker
	leaving map[string]time.Time // when a worker was first shown as draining, by its id
}

// list answers a call for the list.
func (p *platform) list(out http.ResponseWriter, in *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	instances := []map[string]any{}
	for _, w := range p.workers {
		if zone := in.URL.Query().Get("zone"); zone != "" && zone != w.zone {
			continue
		}
		state := "ready"
		if !p.leaving[w.id].IsZero() {
			state = "draining"
		}
		instances = append(instances, map[string]any{"service": w.service.name, "address": w.address, "zone": w.zone, "version": "v1",
			"capacity": w.service.capacity, "state": state, "coldRemainingMs": 0, "id": w.id})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{"instances": instances, "nextToken": nil})
}

// serve answers at one address until the server is closed.
func (p *platform) serve(address string) (*http.Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	return server, nil
}

// add shows further workers, drain shows some as draining, and remove shows them no more.
func (p *platform) add(workers []*worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = append(p.workers, workers...)
}

func (p *platform) drain(workers []*worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, w := range workers {
		p.leaving[w.id] = time.Now()
	}
}

func (p *platform) remove(workers []*worker) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = slices.DeleteFunc(p.workers, func(one *worker) bool { return slices.Contains(workers, one) })
}
