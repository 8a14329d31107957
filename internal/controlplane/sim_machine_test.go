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

// Stores and dispatchers of the simulation are the product's own, with messages. The workers that stores call are a stand-in.

const (
	simStorePort  = 7000
	simDiskMb     = 64
	simMaxFds     = 1024
	simGraceS     = 6
	simSyncMost   = 20 * time.Millisecond
	messageLog    = "messages.log"
	simHost       = "h.example"
	simAnswerTime = 950 * time.Millisecond
)

// simStore is the machine of a store. It outlives processes and disks.
type simStore struct {
	network *simNetwork
	name    string
	zone    string
	ip      string
	address string
	disks   int // folders made so far

	// Guarded by the mutex of the network.
	process *simStoreProcess // nil while none runs
	off     bool             // without power: nothing is refused, all is silent
	stalled chan struct{}    // the disk answers nothing until it is closed; nil while it does
}

// simStoreProcess is one life of a store.
type simStoreProcess struct {
	machine *simStore
	folder  string
	node    *storenode.Node
	dead    chan struct{} // closed when it ends

	mutex  sync.Mutex
	synced int64 // bytes of the log that a sync has covered
}

func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

// addStores makes stores that do not run yet, in zones of their own.
func (n *simNetwork) addStores(count int) {
	for range count {
		n.addStore()
	}
}

// addStore makes a store that does not run yet, in a zone of its own. No other store has ever had its name.
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

// takeAway takes the power of a store's machine for good, and its disk with it.
func (s *simStore) takeAway() {
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

// start begins a life of the store, if none runs.
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
	s.process, s.off = process, false
	n.mutex.Unlock()
	node.Start()
	n.note("%s starts, disk %d", s.name, s.disks)
}

// kill ends the process at once. Without power its disk keeps what was synced and no more.
func (s *simStore) kill(off bool) {
	n := s.network
	n.mutex.Lock()
	process := s.process
	s.process, s.off = nil, off
	n.mutex.Unlock()
	if process == nil {
		return
	}
	close(process.dead)
	content, err := os.ReadFile(filepath.Join(process.folder, messageLog))
	must.NoError(n.t, err)
	if off {
		process.mutex.Lock()
		content = content[:min(process.synced, int64(len(content)))]
		process.mutex.Unlock()
	}
	s.newDisk() // what the process still does as it ends is not seen
	must.NoError(n.t, os.WriteFile(filepath.Join(s.folder(), messageLog), content, 0o644))
	go func() { _ = process.node.Close() }()
	n.note("%s is killed, power lost %t, %d bytes", s.name, off, len(content))
}

// loseDisk takes the power and the disk.
func (s *simStore) loseDisk() {
	s.kill(true)
	s.newDisk()
	s.network.note("%s loses its disk", s.name)
}

// stall has the disk answer nothing until the function returned is called.
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

// sync takes the time of a disk, and notes what the log's file holds for good after it.
func (p *simStoreProcess) sync(commit func() error) error {
	n := p.machine.network
	time.Sleep(n.between(time.Millisecond, simSyncMost))
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

// simFront is the machine of a dispatcher.
type simFront struct {
	network *simNetwork
	name    string
	zone    string

	// Guarded by the mutex of the network.
	process *ingest.Process // nil while none runs
	cancel  context.CancelFunc
	dead    chan struct{} // closed when it ends
}

// addFronts makes dispatchers that do not run yet.
func (n *simNetwork) addFronts(count int) {
	for number := range count {
		n.fronts = append(n.fronts, &simFront{network: n, name: fmt.Sprintf("front-%d", number), zone: zoneName(number)})
	}
}

func (f *simFront) start() {
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

func (f *simFront) kill() {
	f.network.mutex.Lock()
	process := f.process
	f.process = nil
	f.network.mutex.Unlock()
	if process == nil {
		return
	}
	close(f.dead)
	f.cancel()
	f.network.note("%s is killed", f.name)
}

// simAnswer is what a client of a dispatcher learns; status is 0 where no answer came.
type simAnswer struct {
	status int
	id     string // of the message
	body   []byte
}

// ask sends a request to the dispatcher, and waits for its answer no longer than a client does.
func (f *simFront) ask(method, path string, headers map[string]string, body []byte) simAnswer {
	f.network.mutex.Lock()
	process, dead := f.process, f.dead
	f.network.mutex.Unlock()
	if process == nil {
		return simAnswer{status: http.StatusServiceUnavailable} // the connection is refused
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
	case <-time.After(simAnswerTime):
	}
	return simAnswer{}
}

// askAgain asks until there is an answer other than that the client may come back, a few times.
func (f *simFront) askAgain(method, path string) simAnswer {
	for range simTries {
		answer := f.ask(method, path, nil, nil)
		if answer.status != 0 && answer.status != http.StatusServiceUnavailable {
			return answer
		}
	}
	return simAnswer{}
}
