package controlplane

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/platformapi"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	simMinRunTime     = 5 * time.Millisecond
	simMaxRunTime     = 60 * time.Millisecond
	simAttemptTimeout = 600 * time.Millisecond // for one attempt, as configured for the route
	simKeys           = 6
	simMaxDelay       = 4 * time.Second // longest delay that a client requests
	simCapacity       = 200
	simQueryWorkers   = 8 // concurrent goroutines that query the state of messages
	// simStatusRetention is how long after its end the state of a message must be available: the retention of the routes.
	simStatusRetention = 90 * time.Second
)

// simMessage is a message as its client and the workers see it.
type simMessage struct {
	name       string
	id         string // message ID, if it was accepted
	key        string // order key; empty for none
	body       []byte
	sentAt     time.Time
	acceptedAt time.Time // zero if it was not accepted
	refused    bool      // the client received a response that the message never runs
	starts     int
	endedAt    time.Time // first success at a worker
	stamps     map[string]bool
}

// simChecker records what clients and workers observe, and checks the guarantees.
type simChecker struct {
	network *simNetwork

	acceptances       chan struct{} // signals the latest acceptance
	queriesPerMessage int           // dispatchers that are asked for the state of each message; 0 for all

	mutex          sync.Mutex
	messages       map[string]*simMessage
	byKey          map[string][]*simMessage // accepted messages
	requests       sync.WaitGroup
	faultFreeSince time.Time // messages sent later must run once; zero while faults are injected
	violations     []string
}

func newSimChecker(network *simNetwork) *simChecker {
	return &simChecker{network: network, acceptances: make(chan struct{}, 1), messages: map[string]*simMessage{}, byKey: map[string][]*simMessage{}}
}

// violate records a violation. Callers hold the lock.
func (j *simChecker) violate(rule string, m *simMessage, format string, values ...any) {
	line := fmt.Sprintf("%8.3f %s %s (key %q, sent %.3f): ", time.Since(j.network.started).Seconds(), rule, m.name, m.key, m.sentAt.Sub(j.network.started).Seconds())
	j.violations = append(j.violations, line+fmt.Sprintf(format, values...))
}

// send sends a message from a client to a dispatcher and records the response.
func (j *simChecker) send(number int) {
	n := j.network
	m := &simMessage{name: fmt.Sprintf("m%d", number), sentAt: time.Now(), stamps: map[string]bool{}}
	m.body = bytes.Repeat([]byte(m.name), 1+n.intN(100))
	if n.chance(0.4) {
		m.key = fmt.Sprintf("k%d", n.intN(simKeys))
	}
	j.mutex.Lock()
	j.messages[m.name] = m
	j.mutex.Unlock()
	n.mutex.Lock()
	dispatcher, path := n.dispatchers[number%len(n.dispatchers)], "/"+n.route+"/x"
	n.mutex.Unlock()
	headers := map[string]string{"X-Request-Id": m.name, "X-Order-Key": m.key}
	if m.key == "" && n.chance(0.5) {
		headers["X-Delay-Ms"] = strconv.FormatInt(n.between(0, simMaxDelay).Milliseconds(), 10)
	}
	j.requests.Go(func() {
		answer := dispatcher.call(http.MethodPost, path, headers, m.body)
		j.mutex.Lock()
		defer j.mutex.Unlock()
		switch answer.status {
		case http.StatusAccepted:
			m.id, m.acceptedAt = answer.id, time.Now()
			select {
			case j.acceptances <- struct{}{}:
			default:
			}
			if m.key != "" {
				j.byKey[m.key] = append(j.byKey[m.key], m)
			}
		case http.StatusServiceUnavailable:
			m.refused = true
			if m.starts > 0 {
				j.violate("REFUSED", m, "it ran before the refusal")
			}
		case 0, http.StatusGatewayTimeout:
		default:
			j.violate("REJECTED", m, "status %d", answer.status)
		}
	})
}

// start records that a worker starts to run a message, and returns the stamp of the run.
func (j *simChecker) start(job *delivery.Job, store string) (stamp string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	m := j.messages[job.RequestID]
	m.starts++
	if !bytes.Equal(job.Body, m.body) || job.OrderKey != m.key {
		j.violate("MIXED", m, "the job has %d bytes and key %q", len(job.Body), job.OrderKey)
	}
	if m.refused {
		j.violate("REFUSED", m, "it runs at the order of %s", store)
	}
	if m.starts > 1 && !j.faultFreeSince.IsZero() && m.sentAt.After(j.faultFreeSince) {
		j.violate("TWICE", m, "it runs again at the order of %s", store)
	}
	for _, other := range j.byKey[m.key] {
		if other != m && other.acceptedAt.Before(m.sentAt) && other.endedAt.IsZero() {
			j.violate("ORDER", m, "%s runs it while %s, accepted before it was sent, has not ended", store, other.name)
		}
	}
	stamp = fmt.Sprintf("%s.%d", m.name, m.starts)
	m.stamps[stamp] = true
	return stamp
}

// checkOwner checks that the latest committed map assigns the partition of a message to the store that sends it.
func (j *simChecker) checkOwner(job *delivery.Job, store string) {
	table := j.network.latestState()
	prefix, _, _ := strings.Cut(job.Name, "-")
	partition, err := strconv.ParseUint(prefix, 16, 32)
	if err != nil || int(partition) >= len(table.Partitions) {
		return
	}
	if owner := table.Partitions[partition]; owner.Node != store {
		j.mutex.Lock()
		defer j.mutex.Unlock()
		j.violate("LEASE", j.messages[job.RequestID], "%s sends it, but %s owns its partition by table %d", store, owner.Node, table.MapVersion)
	}
}

func (j *simChecker) end(name string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if m := j.messages[name]; m.endedAt.IsZero() {
		m.endedAt = time.Now()
	}
}

// acceptedSince counts the messages sent since a time, and how many of them were accepted.
func (j *simChecker) acceptedSince(moment time.Time) (accepted, sent int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for _, m := range j.messages {
		if m.sentAt.Before(moment) {
			continue
		}
		sent++
		if !m.acceptedAt.IsZero() {
			accepted++
		}
	}
	return accepted, sent
}

// accepted returns the accepted messages.
func (j *simChecker) accepted() []*simMessage {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	var accepted []*simMessage
	for _, m := range j.messages {
		if !m.acceptedAt.IsZero() {
			accepted = append(accepted, m)
		}
	}
	return accepted
}

func (j *simChecker) unfinished() int {
	count := 0
	for _, m := range j.accepted() {
		j.mutex.Lock()
		if m.endedAt.IsZero() {
			count++
		}
		j.mutex.Unlock()
	}
	return count
}

// checkStates asks the dispatchers for every accepted message: all must have completed, and each dispatcher must report it.
func (j *simChecker) checkStates() {
	accepted := j.accepted()
	share := len(accepted)/simQueryWorkers + 1
	var workers sync.WaitGroup
	for each := range slices.Chunk(accepted, share) {
		workers.Go(func() {
			for _, m := range each {
				if m.endedAt.IsZero() || time.Since(m.endedAt) < simStatusRetention {
					j.checkState(m)
				}
			}
		})
	}
	workers.Wait()
}

func (j *simChecker) checkState(m *simMessage) {
	dispatchers := j.network.dispatchers
	if j.queriesPerMessage > 0 {
		first := j.network.intN(len(dispatchers) - j.queriesPerMessage + 1)
		dispatchers = dispatchers[first : first+j.queriesPerMessage]
	}
	for _, dispatcher := range dispatchers {
		answer := dispatcher.callUntilDefinite(http.MethodGet, "/api/message/"+m.id)
		j.mutex.Lock()
		switch {
		case answer.status == http.StatusNotFound:
			j.violate("LOST", m, "%s knows no %s, %d runs", dispatcher.name, m.id, m.starts)
		case answer.status != http.StatusOK:
			j.violate("UNSURE", m, "%s answers %d for %s", dispatcher.name, answer.status, m.id)
		case !strings.Contains(string(answer.body), `"completed"`):
			j.violate("STRANDED", m, "%s says %s of %s, %d runs", dispatcher.name, answer.body, m.id, m.starts)
		case !j.hasStamp(m, string(answer.body)):
			j.violate("MIXED", m, "%s says %s", dispatcher.name, answer.body)
		}
		j.mutex.Unlock()
	}
}

func (j *simChecker) hasStamp(m *simMessage, state string) bool {
	for stamp := range m.stamps {
		if strings.Contains(state, `"`+stamp+`"`) {
			return true
		}
	}
	return false
}

// simPlatform is a platform API that lists one worker. It implements http.RoundTripper.
type simPlatform struct{}

// RoundTrip implements http.RoundTripper.
func (simPlatform) RoundTrip(request *http.Request) (*http.Response, error) {
	page := platformapi.Page{Instances: []platformapi.Instance{{ID: "worker", Service: "s", Address: "worker:80", Capacity: simCapacity, State: platformapi.StateReady}}}
	recorder := httptest.NewRecorder()
	err := json.NewEncoder(recorder).Encode(page)
	response := recorder.Result()
	response.Request = request
	return response, err
}

// simWorkers simulates the delivery engine of a store and the workers that it calls. It implements storenode.Engine.
type simWorkers struct {
	process *simStoreProcess
}

// SetCatalog implements storenode.Engine.
func (w *simWorkers) SetCatalog(uint64, *catalog.Config) {}

// SetWorkers implements storenode.Engine.
func (w *simWorkers) SetWorkers([]*rpc.Worker) {}

// SetDispatchers implements storenode.Engine.
func (w *simWorkers) SetDispatchers(int) {}

// GrantPermits implements storenode.Engine.
func (w *simWorkers) GrantPermits(_ string, _ int, done func(int, time.Duration)) { done(0, 0) }

// Close implements storenode.Engine.
func (w *simWorkers) Close() {}

// Submit implements storenode.Engine.
func (w *simWorkers) Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome)) {
	go func() {
		outcome := w.attempt(job, guard)
		if !isClosed(w.process.dead) {
			done(outcome)
		}
	}()
}

// attempt runs the job at a simulated worker. While calls are being lost, some responses of workers are lost too.
func (w *simWorkers) attempt(job *delivery.Job, guard func() bool) delivery.Outcome {
	n := w.process.machine.network
	time.Sleep(n.delay())
	if isClosed(w.process.dead) || !guard() {
		return delivery.Outcome{Kind: delivery.NotRun}
	}
	n.checker.checkOwner(job, w.process.machine.name)
	stamp := n.checker.start(job, w.process.machine.name)
	time.Sleep(n.between(simMinRunTime, simMaxRunTime))
	n.checker.end(job.RequestID)
	if n.isLossy() && n.chance(0.05) {
		time.Sleep(simAttemptTimeout)
		return delivery.Outcome{}
	}
	return delivery.Outcome{Kind: delivery.Succeeded, Stamp: stamp}
}
