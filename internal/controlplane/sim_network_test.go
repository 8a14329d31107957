package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/settings"
)

// The simulation runs control processes as they are, on real records, in virtual time and over a network of its own.

var (
	errSimRefused = errors.New("simulation: connection refused")
	errSimReset   = errors.New("simulation: connection reset")
)

// simNetwork carries calls between control processes and from operators.
type simNetwork struct {
	t         *testing.T
	directory string
	seeds     []string
	tolerance int // machines that may be lost at one time
	started   time.Time
	ended     chan struct{} // closed at the end of the simulation

	mutex   sync.Mutex
	random  *rand.Rand
	servers []*simServer
	members []*simMember       // belong to the goroutine that plays the course
	cuts    map[[2]string]bool // links that carry nothing, by sender and receiver
	lossy   float64            // share of calls whose request or answer is lost
	rate    int                // bytes a second of each call; 0 for no bound
	carried map[string]int     // bytes of requests that came, by receiver
	large   map[string]int     // requests of a kilobyte or more that came, by receiver
	trace   []string
}

// simServer is what runs at one address. It outlives processes and disks.
type simServer struct {
	network *simNetwork
	address string
	zone    string
	seeds   []string // in its settings; nil for those of the network
	outside bool     // it runs without a disk, and so has no vote
	disks   int      // folders made so far

	// Guarded by the mutex of the network.
	process *simProcess // nil while none runs
	off     bool        // without power: nothing is refused, all is silent
	gone    bool        // for good
}

// simProcess is one life of a control process.
type simProcess struct {
	server *Server
	cancel context.CancelFunc
	dead   chan struct{} // closed when it is killed
}

func newSimNetwork(t *testing.T, seed uint64, directory string) *simNetwork {
	return &simNetwork{
		t: t, directory: directory, tolerance: 1, started: time.Now(), ended: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 3)), cuts: map[[2]string]bool{}, carried: map[string]int{}, large: map[string]int{},
	}
}

// note adds a line to the trace that a failure prints.
func (n *simNetwork) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(n.started).Seconds()) + fmt.Sprintf(format, values...)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.trace = append(n.trace, line)
}

// intN draws a number from [0, most).
func (n *simNetwork) intN(most int) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.IntN(most)
}

func (n *simNetwork) chance(probability float64) bool {
	return float64(n.intN(1<<20))/(1<<20) < probability
}

// between draws a time of at least least.
func (n *simNetwork) between(least, most time.Duration) time.Duration {
	return least + time.Duration(n.intN(int((most-least)/time.Microsecond)))*time.Microsecond
}

func (n *simNetwork) delay() time.Duration {
	if n.chance(0.02) {
		return n.between(20*time.Millisecond, 900*time.Millisecond)
	}
	return n.between(300*time.Microsecond, 4*time.Millisecond)
}

// add makes a server that does not run yet.
func (n *simNetwork) add() *simServer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := fmt.Sprintf("10.0.0.%d:8046", len(n.servers)+1)
	added := &simServer{network: n, address: address, zone: "zone-" + address}
	n.servers = append(n.servers, added)
	return added
}

func (n *simNetwork) list() []*simServer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]*simServer(nil), n.servers...)
}

func (n *simNetwork) at(address string) *simServer {
	for _, server := range n.list() {
		if server.address == address {
			return server
		}
	}
	return nil
}

// start begins a life of the process; the first one of all founds the group.
func (s *simServer) start(bootstrap bool) {
	network := s.network
	if s.disks == 0 && !s.outside {
		s.newDisk()
	}
	wanted := s.settings()
	wanted.Bootstrap = bootstrap
	server, err := New(Options{Log: logr.Discard(), RoundTripper: &simTransport{from: s}, Settings: wanted})
	must.NoError(network.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	process := &simProcess{server: server, cancel: cancel, dead: make(chan struct{})}
	network.mutex.Lock()
	s.process, s.off = process, false
	network.mutex.Unlock()
	server.start(ctx)
	network.note("%s starts, disk %d", s.address, s.disks)
}

// settings are those that the process reads at its start, or after SIGHUP.
func (s *simServer) settings() *settings.Settings {
	seeds := s.seeds
	if seeds == nil {
		seeds = s.network.seeds
	}
	read := &settings.Settings{
		Node: s.address, Zone: s.zone, Listen: settings.Listen{Control: s.address}, Seeds: seeds,
		FaultTolerance: settings.FaultTolerance{Machines: s.network.tolerance},
	}
	if !s.outside {
		read.DataDir = s.folder()
	}
	return read
}

func (s *simServer) newDisk() {
	s.disks++
	must.NoError(s.network.t, os.MkdirAll(s.folder(), 0o755))
}

func (s *simServer) folder() string {
	return filepath.Join(s.network.directory, fmt.Sprintf("%s-%d", s.address, s.disks))
}

func (s *simServer) running() *simProcess {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	return s.process
}

// kill ends the process at once. Its disk holds what was synced.
func (s *simServer) kill(off bool) {
	s.network.mutex.Lock()
	process := s.process
	s.process, s.off = nil, off
	s.network.mutex.Unlock()
	if process == nil {
		return
	}
	s.network.note("%s is killed, power lost %t", s.address, off)
	close(process.dead)
	process.cancel()
	process.server.node.Close()
	process.server.working.Wait()
	if process.server.store != nil {
		process.server.store.Close()
	}
}

// simTransport is the way of one process to the others. It implements http.RoundTripper.
type simTransport struct {
	from *simServer
}

// RoundTrip implements http.RoundTripper.
func (t *simTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	caller := t.from.running()
	if caller == nil {
		return nil, errSimReset
	}
	return t.from.network.carry(t.from.address, caller.dead, request)
}

// carry takes a request there and its answer back. What is cut or lost on its way brings no answer until the caller gives up.
func (n *simNetwork) carry(from string, callerDead <-chan struct{}, request *http.Request) (*http.Response, error) {
	body := []byte{}
	if request.Body != nil {
		read, err := io.ReadAll(request.Body)
		if err != nil {
			return nil, err
		}
		body = read
		request.Body.Close()
	}
	time.Sleep(n.transferTime(len(body)))
	target, process, err := n.reach(from, callerDead, request)
	if err != nil {
		return nil, err
	}
	n.count(target.address, len(body))
	arrived := httptest.NewRequest(request.Method, request.URL.RequestURI(), bytes.NewReader(body))
	arrived.Header = request.Header.Clone()
	recorder := httptest.NewRecorder()
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		process.server.Handler().ServeHTTP(recorder, arrived)
	}()
	select {
	case <-handled:
	case <-process.dead:
		return nil, errSimReset
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if target.running() != process {
		return nil, errSimReset
	}
	if n.isLost(target.address, from) {
		return nil, n.silence(callerDead, request)
	}
	time.Sleep(n.delay())
	return recorder.Result(), nil
}

// silence waits until the caller of a request that brings no answer gives up.
func (n *simNetwork) silence(callerDead <-chan struct{}, request *http.Request) error {
	select {
	case <-request.Context().Done():
		return request.Context().Err()
	case <-callerDead:
		return errSimReset
	case <-n.ended:
		return errSimReset
	}
}

// reach takes a request to the process that it is for.
func (n *simNetwork) reach(from string, callerDead <-chan struct{}, request *http.Request) (*simServer, *simProcess, error) {
	time.Sleep(n.delay())
	target := n.at(request.URL.Host)
	if target == nil || n.isLost(from, target.address) || target.isSilent() {
		return nil, nil, n.silence(callerDead, request)
	}
	process := target.running()
	if process == nil {
		return nil, nil, errSimRefused
	}
	return target, process, request.Context().Err()
}

// transferTime is how long a body takes.
func (n *simNetwork) transferTime(length int) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.rate == 0 {
		return 0
	}
	return time.Duration(float64(length) / float64(n.rate) * float64(time.Second))
}

func (n *simNetwork) count(address string, length int) {
	const largeBytes = 1 << 10
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.carried[address] += length
	if length >= largeBytes {
		n.large[address]++
	}
}

// came returns how many bytes and how many large requests came to a server.
func (n *simNetwork) came(server *simServer) (carried, large int) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.carried[server.address], n.large[server.address]
}

func (s *simServer) isSilent() bool {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	return s.off || s.gone
}

// isLost reports whether a call or its answer does not come through.
func (n *simNetwork) isLost(from, to string) bool {
	n.mutex.Lock()
	lossy := n.lossy
	n.mutex.Unlock()
	return n.isCut(from, to) || lossy > 0 && n.chance(lossy)
}

func (n *simNetwork) isCut(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[[2]string{from, to}]
}

// cut stops what goes from one of some servers to one of others, and back where both is set.
func (n *simNetwork) cut(some, others []*simServer, both bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, one := range some {
		for _, other := range others {
			if one == other {
				continue
			}
			n.cuts[[2]string{one.address, other.address}] = true
			if both {
				n.cuts[[2]string{other.address, one.address}] = true
			}
		}
	}
}

// end ends the simulation, all processes and their goroutines.
func (n *simNetwork) end() {
	close(n.ended)
	n.stopMembers()
	for _, server := range n.list() {
		server.kill(false)
	}
	time.Sleep(time.Minute)
}

func (n *simNetwork) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cuts)
	n.lossy = 0
}

// leader returns a server that believes to lead, nil for none.
func (n *simNetwork) leader() *simServer {
	for _, server := range n.list() {
		if process := server.running(); process != nil && process.server.node.Status().Leader {
			return server
		}
	}
	return nil
}

// describe tells what each server believes of the group.
func (n *simNetwork) describe() []string {
	var lines []string
	for _, server := range n.list() {
		line := fmt.Sprintf("%s gone %t disk %d", server.address, server.gone, server.disks)
		if process := server.running(); process != nil {
			status := process.server.node.Status()
			status.State = nil // long
			line += fmt.Sprintf(" id %s status %+v", process.server.identity(), status)
		}
		lines = append(lines, line)
	}
	return lines
}
