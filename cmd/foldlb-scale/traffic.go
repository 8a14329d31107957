package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/responsecheck"
)

const (
	trafficWindow     = 6 * time.Second
	trafficBodyBytes  = 600
	trafficHost       = "scale.example"
	trafficPath       = "/traffic/"
	trafficService    = "traffic"
	trafficTimeout    = 2 * time.Second
	trafficConns      = 64 // idle connections to each dispatcher
	trafficDrain      = 3 * time.Second
	workerConns       = 400
	stampHeader       = "X-Response-Stamp"
	requestIDHeader   = "X-Request-Id"
	instanceIDHeader  = "X-Instance-Id"
	workerIncarnation = "i-scale"
)

// traffic is what real dispatchers and stores used under messages at one rate.
type traffic struct {
	PerS        int              `json:"messagesPerS"`
	Sent        int              `json:"sent"`
	Accepted    int              `json:"accepted"`
	Delivered   int64            `json:"delivered"`
	BodyBytes   int              `json:"bodyBytes"`
	Used        map[string]usage `json:"used"`
	Acceptance  *spread          `json:"acceptance"` // from the request to the 202
	Dispatchers int              `json:"dispatchers"`
	Stores      int              `json:"stores"`
}

// worker is a stand-in endpoint that runs every message at once.
type worker struct {
	listener net.Listener
	server   *http.Server
	runs     atomic.Int64
}

func startWorker() (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "serve the stand-in worker")
	}
	started := &worker{listener: listener}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: time.Second}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) close() { _ = w.server.Close() }

// ServeHTTP answers that a message was run.
func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body) // a caller that is gone sends again
	writer.Header().Set(instanceIDHeader, workerIncarnation)
	if request.Method == http.MethodPost {
		writer.Header().Set(requestIDHeader, request.Header.Get(requestIDHeader))
		writer.Header().Set(stampHeader, fmt.Sprint(w.runs.Add(1)))
	}
	writer.WriteHeader(http.StatusOK)
}

// measureTraffic sends messages to the real dispatchers at several rates, one after the other.
func measureTraffic(ctx context.Context, binaries string, wanted size, rates []int) ([]traffic, error) {
	endpoint, err := startWorker()
	if err != nil {
		return nil, err
	}
	defer endpoint.close()
	wanted.endpoint = endpoint.address()
	running, err := startSystem(ctx, binaries, wanted)
	if err != nil {
		return nil, err
	}
	defer running.close()
	if err := pause(ctx, trafficDrain); err != nil { // stores gather before they accept
		return nil, err
	}
	var all []traffic
	for _, rate := range rates {
		taken, err := running.measureRate(ctx, endpoint, rate)
		if err != nil {
			return all, err
		}
		all = append(all, taken)
	}
	return all, nil
}

// newTrafficTransport returns a transport that keeps the connections of all senders and checks responses.
func newTrafficTransport() *http.Transport {
	dialer := &net.Dialer{}
	return &http.Transport{DialContext: responsecheck.Dial(dialer.DialContext), MaxIdleConnsPerHost: trafficConns}
}

// measureRate sends so many messages a second for a while, whatever the answers.
func (s *system) measureRate(ctx context.Context, endpoint *worker, rate int) (traffic, error) {
	client := &http.Client{Timeout: trafficTimeout, Transport: newTrafficTransport()}
	defer client.CloseIdleConnections()
	measured := traffic{PerS: rate, BodyBytes: trafficBodyBytes, Dispatchers: len(s.others), Stores: len(s.stores)}
	runsBefore := endpoint.runs.Load()
	processes := s.processes(ctx)
	before := takeSnapshot(processes)
	var times latencies
	var sending sync.WaitGroup
	started := now()
	for now().since(started) < trafficWindow {
		due := rate * int(now().since(started)/time.Millisecond) / 1000
		for ; measured.Sent < due; measured.Sent++ {
			number := measured.Sent
			sending.Go(func() { times.add(s.send(ctx, client, rate, number)) })
		}
		if err := pause(ctx, 2*time.Millisecond); err != nil {
			return measured, err
		}
	}
	measured.Used = takeSnapshot(processes).usageSince(before, 0)
	sending.Wait()
	if err := pause(ctx, trafficDrain); err != nil {
		return measured, err
	}
	measured.Delivered = endpoint.runs.Load() - runsBefore
	measured.Accepted = len(times.milliseconds)
	measured.Acceptance = newSpread(1, measured.Sent-measured.Accepted, times.milliseconds)
	return measured, nil
}

// latencies collects the times of messages that were accepted.
type latencies struct {
	mutex        sync.Mutex
	milliseconds []float64
}

func (l *latencies) add(took time.Duration, accepted bool) {
	if !accepted {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.milliseconds = append(l.milliseconds, round(float64(took)/millisecond))
}

// send sends one message to a dispatcher, and reports whether it was accepted, and in which time.
func (s *system) send(ctx context.Context, client *http.Client, rate, number int) (time.Duration, bool) {
	address := s.fronts[number%len(s.fronts)]
	body := bytes.NewReader(make([]byte, trafficBodyBytes))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+trafficPath, body)
	if err != nil {
		return 0, false
	}
	request.Host = trafficHost
	request.Header.Set(requestIDHeader, fmt.Sprintf("scale-%d-%d", rate, number))
	started := now()
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return now().since(started), response.StatusCode == http.StatusAccepted
}

// usPerMessage is the processor time of a role for each message, all its processes together.
func (t traffic) usPerMessage(role string) float64 {
	used := t.Used[role]
	if t.Sent == 0 {
		return 0
	}
	return used.CPUMsTotal * 1000 / float64(t.Sent)
}
