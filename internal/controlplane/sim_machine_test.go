package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/ingest"
	"foldlb.example/foldlb/internal/settings"
	"foldlb.example/foldlb/internal/storenode"
)

// The simulation runs the real stores and dispatchers, with messages. The workers that stores call are simulated.

const (
	simStorePort   = 7000
	simDiskMb      = 64
	simMaxFds      = 1024
	simGraceS      = 6
	simMaxSyncTime = 20 * time.Millisecond
	messageLog     = "messages.log"
	simHost        = "h.example"
	simCallTime    = 950 * time.Millisecond
)

// simStore is the machine of a store. It outlives processes and disks.
type simStore struct {
	network *simNetwork
	name    string
	zone    string
	ip      string
	address string
	disks   int // number of data directories created so far

	// The following fields are guarded by the mutex of the network.
	process    *simStoreProcess // nil while none runs
	poweredOff bool             // powered off: connections are not refused but time out
	stalled    chan struct{}    // non-nil while the disk does not respond; closed at the end of the stall
}

// simStoreProcess is one run of a store.
type simStoreProcess struct {
	machine *simStore
	folder  string
	node    *storenode.Node
	dead    chan struct{} // closed when it ends

	mutex  sync.Mutex
	synced int64 // length of the log's synced part in bytes
}

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// addStores adds stores in separate zones without starting them.
func (n *simNetwork) addStores(count int) {
	for range count {
		n.addStore()
	}
}

// addStore adds a store in a zone of its own without starting it. Names are not reused.
func (n *simNetwork) addStore() *simStore {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	number := n.storesMade
	n.storesMade++
	store := &simStore{network: n, name: fmt.Sprintf("store-%d", number), zone: zoneName(number), ip: fmt.Sprintf("10.1.0.%d", number+1)}
	store.address = fmt.Sprintf("%s:%d", store.ip, simStorePort)
	n.stores = append(n.stores, store)
	return store
}

// remove powers a store's machine off permanently and discards its disk.
func (s *simStore) remove() {
	s.loseDisk()
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	s.network.stores = slices.DeleteFunc(s.network.stores, func(other *simStore) bool { return other == s })
}

func (s *simStore) folder() string {
	return filepath.Join(s.network.directory, fmt.Sprintf("%s-%d", s.name, s.disks))
}

func (s *simStore) newDisk() {
	s.disks++
	must.NoError(s.network.t, os.MkdirAll(s.folder(), 0o755))
}

func (s *simStore) running() *simStoreProcess {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	return s.process
}

// start starts the store if it is not running.
func (s *simStore) start() {
	n := s.network
	if s.running() != nil {
		return
	}
	if s.disks == 0 {
		s.newDisk()
	}
	process := &simStoreProcess{machine: s, folder: s.folder(), dead: make(chan struct{})}
	node, err := storenode.Open(storenode.Options{
		Settings: &settings.Settings{
			Node: s.name, Zone: s.zone, IP: s.ip, PortRange: []int{simStorePort, simStorePort + 1}, Seeds: n.seeds, DataDir: process.folder,
			Limits: settings.Limits{DiskMb: simDiskMb, MaxFds: simMaxFds}, HeartbeatMs: simHeartbeatMs,
			FaultTolerance: settings.FaultTolerance{Machines: n.tolerance},
			Bounds:         settings.Bounds{ConfigApplyMs: simApplyMs, GraceS: simGraceS},
		},
		Log: logr.Discard(), RoundTripper: &simMemberTransport{network: n, from: s.address, dead: process.dead},
		Engine: &simWorkers{process: process}, AroundSync: process.sync,
	})
	must.NoError(n.t, err)
	process.node = node
	n.mutex.Lock()
	s.process, s.poweredOff = process, false
	n.mutex.Unlock()
	node.Start()
	n.logEvent("%s starts, disk %d", s.name, s.disks)
}

// kill ends the process at once. With powerLoss its disk keeps only what was synced.
func (s *simStore) kill(powerLoss bool) {
	n := s.network
	n.mutex.Lock()
	process := s.process
	s.process, s.poweredOff = nil, powerLoss
	n.mutex.Unlock()
	if process == nil {
		return
	}
	close(process.dead)
	content, err := os.ReadFile(filepath.Join(process.folder, messageLog))
	must.NoError(n.t, err)
	if powerLoss {
		process.mutex.Lock()
		content = content[:min(process.synced, int64(len(content)))]
		process.mutex.Unlock()
	}
	s.newDisk() // discards writes of the process while it ends
	must.NoError(n.t, os.WriteFile(filepath.Join(s.folder(), messageLog), content, 0o644))
	go func() { _ = process.node.Close() }()
	n.logEvent("%s is killed, power lost %t, %d bytes", s.name, powerLoss, len(content))
}

// loseDisk powers the machine off and replaces its disk by an empty one.
func (s *simStore) loseDisk() {
	s.kill(true)
	s.newDisk()
	s.network.logEvent("%s loses its disk", s.name)
}

// stall makes the disk not respond until the returned function is called.
func (s *simStore) stall() (heal func()) {
	stalled := make(chan struct{})
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	s.stalled = stalled
	return func() {
		s.network.mutex.Lock()
		defer s.network.mutex.Unlock()
		s.stalled = nil
		close(stalled)
	}
}

// sync takes as long as a disk sync and records the length of the log that is then durable.
func (p *simStoreProcess) sync(commit func() error) error {
	n := p.machine.network
	time.Sleep(n.between(time.Millisecond, simMaxSyncTime))
	n.mutex.Lock()
	stalled := p.machine.stalled
	n.mutex.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-p.dead:
		}
	}
	if isClosed(p.dead) {
		return errSimReset
	}
	if err := commit(); err != nil {
		return err
	}
	info, err := os.Stat(filepath.Join(p.folder, messageLog))
	if err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.synced = info.Size()
	return nil
}

// simDispatcher is the machine of a dispatcher.
type simDispatcher struct {
	network *simNetwork
	name    string
	zone    string

	// The following fields are guarded by the mutex of the network.
	process *ingest.Process // nil while none runs
	cancel  context.CancelFunc
	dead    chan struct{} // closed when it ends
}

// addDispatchers adds dispatchers without starting them.
func (n *simNetwork) addDispatchers(count int) {
	for number := range count {
		n.dispatchers = append(n.dispatchers, &simDispatcher{network: n, name: fmt.Sprintf("front-%d", number), zone: zoneName(number)})
	}
}

func (f *simDispatcher) start() {
	n := f.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if f.process != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.dead = cancel, make(chan struct{})
	f.process = ingest.Start(ctx, ingest.Options{
		Settings: &settings.Settings{
			Node: f.name, Zone: f.zone, Seeds: n.seeds, HeartbeatMs: simHeartbeatMs,
			Limits: settings.Limits{MemoryMb: simDiskMb, MaxFds: simMaxFds}, Bounds: settings.Bounds{ConfigApplyMs: simApplyMs, GraceS: simGraceS},
		},
		Log: logr.Discard(), RoundTripper: &simMemberTransport{network: n, from: f.name, dead: f.dead},
	})
}

func (f *simDispatcher) kill() {
	f.network.mutex.Lock()
	process := f.process
	f.process = nil
	f.network.mutex.Unlock()
	if process == nil {
		return
	}
	close(f.dead)
	f.cancel()
	f.network.logEvent("%s is killed", f.name)
}

// simAnswer is the response that a client of a dispatcher receives; status is 0 if there was none.
type simAnswer struct {
	status int
	id     string // message ID
	body   []byte
}

// call sends a request to the dispatcher and waits at most simCallTime for the response.
func (f *simDispatcher) call(method, path string, headers map[string]string, body []byte) simAnswer {
	f.network.mutex.Lock()
	process, dead := f.process, f.dead
	f.network.mutex.Unlock()
	if process == nil {
		return simAnswer{status: http.StatusServiceUnavailable} // connection refused
	}
	answers := make(chan simAnswer, 1)
	go func() {
		var request fasthttp.Request
		request.Header.SetMethod(method)
		request.SetRequestURI(path)
		request.Header.SetHost(simHost)
		for name, value := range headers {
			request.Header.Set(name, value)
		}
		request.SetBody(body)
		var exchange fasthttp.RequestCtx
		exchange.Init(&request, nil, nil)
		process.Handle(&exchange)
		response := &exchange.Response
		answers <- simAnswer{status: response.StatusCode(), id: string(response.Header.Peek("X-Msg-Id")), body: bytes.Clone(response.Body())}
	}()
	select {
	case answer := <-answers:
		if isClosed(dead) {
			return simAnswer{}
		}
		return answer
	case <-dead:
	case <-time.After(simCallTime):
	}
	return simAnswer{}
}

// callUntilDefinite repeats a request up to simTries times until the response is neither missing nor 503.
func (f *simDispatcher) callUntilDefinite(method, path string) simAnswer {
	for range simTries {
		answer := f.call(method, path, nil, nil)
		if answer.status != 0 && answer.status != http.StatusServiceUnavailable {
			return answer
		}
	}
	return simAnswer{}
}
