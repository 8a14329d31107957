package localrun

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/platformapi"
)

const (
	anyPort = "127.0.0.1:0"

	statusSuccess = http.StatusOK
	statusFailed  = http.StatusInternalServerError
	statusNever   = http.StatusUnprocessableEntity

	workerCapacity = 4
	freeWorkers    = 3
	keyedWorkers   = 2
	freeWork       = 30 * time.Millisecond
	keyedWork      = 10 * time.Millisecond
	ratedWork      = 20 * time.Millisecond
)

// worker is a stand-in worker: it runs messages as their wishes say, and enters all that it sees in the ledger.
type worker struct {
	id      string
	service string
	zone    string
	address string
	work    time.Duration
	rated   bool
	ledger  *Ledger
	slots   chan struct{}
	stamps  atomic.Int64
	server  *http.Server
}

func startWorker(ledger *Ledger, id, service, zone string, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "start a stand-in worker")
	}
	w := &worker{
		id:      id,
		service: service,
		zone:    zone,
		address: listener.Addr().String(),
		work:    work,
		rated:   service == serviceRated,
		ledger:  ledger,
		slots:   make(chan struct{}, workerCapacity),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", w.health)
	mux.HandleFunc("/", w.serve)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) health(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("X-Instance-Id", w.id)
	writer.WriteHeader(http.StatusOK)
}

// serve runs one message, or says that it did not.
func (w *worker) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if w.rated {
		w.ledger.Arrive()
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBody))
	if err != nil {
		return
	}
	expected := request.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != w.id:
		notRun(writer, http.StatusMisdirectedRequest)
	case !w.enter():
		notRun(writer, http.StatusServiceUnavailable)
	default:
		defer w.leave()
		w.run(writer, request, id, body)
	}
}

func (w *worker) enter() bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (w *worker) leave() { <-w.slots }

// run works on a message, and drops it where its connection closes.
func (w *worker) run(writer http.ResponseWriter, request *http.Request, id string, body []byte) {
	message, run := w.ledger.Start(id, request.URL.Path, request.Header.Get("X-Order-Key"), body)
	if run == nil {
		notRun(writer, http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(w.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-request.Context().Done():
		w.ledger.End(run, 0, "")
		return
	}
	status, stamp := w.ledger.answerOf(message), ""
	if status == statusSuccess {
		stamp = fmt.Sprintf("%s.%d", w.id, w.stamps.Add(1))
		writer.Header().Set("X-Response-Stamp", stamp)
	}
	w.ledger.End(run, status, stamp)
	writer.WriteHeader(status)
}

func notRun(writer http.ResponseWriter, status int) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.WriteHeader(status)
}

// platform is the stand-in platform: its list of workers.
type platform struct {
	address string
	workers []*worker
	server  *http.Server
}

func startPlatform(workers []*worker) (*platform, error) {
	listener, err := net.Listen("tcp4", anyPort)
	if err != nil {
		return nil, errors.Wrap(err, "start the stand-in platform")
	}
	p := &platform{address: listener.Addr().String(), workers: workers}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

func (p *platform) list(writer http.ResponseWriter, _ *http.Request) {
	answer := platformapi.Page{Instances: []platformapi.Instance{}}
	for _, w := range p.workers {
		answer.Instances = append(answer.Instances, platformapi.Instance{
			ID: w.id, Service: w.service, Address: w.address, Zone: w.zone, Version: "v1", Capacity: workerCapacity,
			State: platformapi.StateReady,
		})
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

// outside is everything that is not the service: the platform, its workers and the endpoint with a rate.
type outside struct {
	platform *platform
	partner  *worker
	workers  []*worker
}

func startOutside(ledger *Ledger) (*outside, error) {
	o := &outside{}
	groups := []struct {
		service string
		count   int
		work    time.Duration
	}{{serviceFree, freeWorkers, freeWork}, {serviceKeyed, keyedWorkers, keyedWork}}
	for _, group := range groups {
		for i := range group.count {
			w, err := startWorker(ledger, fmt.Sprintf("%s-%d", group.service, i+1), group.service, zoneName(i), group.work)
			if err != nil {
				return nil, err
			}
			o.workers = append(o.workers, w)
		}
	}
	var err error
	if o.partner, err = startWorker(ledger, serviceRated, serviceRated, "", ratedWork); err != nil {
		return nil, err
	}
	o.platform, err = startPlatform(o.workers)
	return o, err
}

func (o *outside) close() {
	_ = o.platform.server.Close()
	_ = o.partner.server.Close()
	for _, w := range o.workers {
		_ = w.server.Close()
	}
}
