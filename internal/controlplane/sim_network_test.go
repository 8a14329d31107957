package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// The simulation runs the real control processes on real record files, in virtual time and over a simulated network.

var (
	errSimRefused = errors.New("simulation: connection refused")
	errSimReset   = errors.New("simulation: connection reset")
)

// simNetwork carries calls between control processes, members and operators.
type simNetwork struct {
	t         *testing.T
	directory string
	seeds     []string
	tolerance int // machines that may fail at the same time
	started   time.Time
	ended     chan struct{} // closed at the end of the simulation

	mutex         sync.Mutex
	random        *rand.Rand
	servers       []*simServer
	members       []*simMember         // accessed only by the goroutine that runs the scenario
	stores        []*simStore          // empty if the test needs only members
	storesMade    int                  // number of stores ever added, including removed ones
	dispatchers   []*simDispatcher     // empty if the test needs only members
	checker       *simChecker          // checks the messages
	route         string               // on which messages are sent
	cuts          map[[2]string]bool   // links that carry nothing, by sender and receiver
	stalledUntil  map[string]time.Time // by address: end of the time in which nothing is sent or received
	lossRate      float64              // share of calls whose request or response is lost
	rate          int                  // bytes per second of each call; 0 for no limit
	noDelays      bool                 // no call is delayed by more than the usual latency
	links         *simLinks            // links shared by all calls and streams of a machine; nil for no limit
	receivedBytes map[string]int       // bytes of received requests, by receiver
	transfers     map[string][]string  // state versions received by Replicate, by receiver, including repeated ones
	trace         []string
}

// simServer is the machine at one address. It outlives processes and disks.
type simServer struct {
	network  *simNetwork
	address  string
	zone     string
	seeds    []string // in its settings; nil for those of the network
	diskless bool     // runs without a disk and so has no vote
	disks    int      // number of data directories created so far
	version  simVersion

	// The following fields are guarded by the mutex of the network.
	process    *simProcess   // nil while none runs
	processes  []*simProcess // all that ever ran, in order
	poweredOff bool          // powered off: connections are not refused but time out
	removed    bool          // permanently
}

// simVersion contains the differences between program versions. The zero value is the current one.
type simVersion struct {
	timing     failover.Timing
	storeLease time.Duration
}

// simProcess is one run of a control process.
type simProcess struct {
	server *Server
	cancel context.CancelFunc
	dead   chan struct{} // closed when it is killed
}

// simManyFds is the file descriptor limit of a machine that serves a large fleet.
const simManyFds = 4100

func newSimNetwork(t *testing.T, seed uint64, directory string) *simNetwork {
	return &simNetwork{
		t: t, directory: directory, tolerance: 1, started: time.Now(), ended: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 3)), cuts: map[[2]string]bool{}, receivedBytes: map[string]int{}, transfers: map[string][]string{},
		stalledUntil: map[string]time.Time{},
	}
}

// logEvent adds a line to the trace that is printed if the test fails.
func (n *simNetwork) logEvent(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(n.started).Seconds()) + fmt.Sprintf(format, values...)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.trace = append(n.trace, line)
}

// intN returns a random number in [0, most).
func (n *simNetwork) intN(bound int) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.random.IntN(bound)
}

func (n *simNetwork) chance(probability float64) bool {
	return float64(n.intN(1<<20))/(1<<20) < probability
}

// between returns a random duration in [least, most).
func (n *simNetwork) between(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(n.intN(int((maximum-minimum)/time.Microsecond)))*time.Microsecond
}

func (n *simNetwork) delay() time.Duration {
	if !n.noDelays && n.chance(0.02) {
		return n.between(20*time.Millisecond, 900*time.Millisecond)
	}
	return n.between(300*time.Microsecond, 4*time.Millisecond)
}

// addServer adds a server without starting it.
func (n *simNetwork) addServer() *simServer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := fmt.Sprintf("10.0.0.%d:8046", len(n.servers)+1)
	added := &simServer{network: n, address: address, zone: "zone-" + address}
	n.servers = append(n.servers, added)
	return added
}

func (n *simNetwork) allServers() []*simServer {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]*simServer(nil), n.servers...)
}

func (n *simNetwork) serverAt(address string) *simServer {
	for _, server := range n.allServers() {
		if server.address == address {
			return server
		}
	}
	return nil
}

// start starts a process; bootstrap makes it found the group.
func (s *simServer) start(bootstrap bool) {
	network := s.network
	if s.disks == 0 && !s.diskless {
		s.newDisk()
	}
	configured := s.settings()
	configured.Bootstrap = bootstrap
	server, err := New(Options{
		Log: logr.Discard(), RoundTripper: &simTransport{from: s}, Platform: simPlatform{}, Settings: configured, Timing: s.version.timing,
		StoreLease: s.version.storeLease,
	})
	must.NoError(network.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	process := &simProcess{server: server, cancel: cancel, dead: make(chan struct{})}
	network.mutex.Lock()
	s.process, s.poweredOff = process, false
	s.processes = append(s.processes, process)
	network.mutex.Unlock()
	server.start(ctx)
	network.logEvent("%s starts, disk %d", s.address, s.disks)
}

// settings returns the settings that the process reads at its start or after SIGHUP.
func (s *simServer) settings() *settings.Settings {
	seeds := s.seeds
	if seeds == nil {
		seeds = s.network.seeds
	}
	read := &settings.Settings{
		Node: s.address, Zone: s.zone, Listen: settings.Listen{Control: s.address}, Seeds: seeds, Cloud: settings.Cloud{Address: "platform"},
		FaultTolerance: settings.FaultTolerance{Machines: s.network.tolerance},
	}
	if s.network.links != nil {
		read.Limits = settings.Limits{LinkMbps: s.network.links.rate / bytesPerMegabit, MaxFds: simManyFds}
	}
	if !s.diskless {
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

// latestState returns the state with the highest map version that any control process has committed, including ended processes: a leader may
// be killed after a store has acted on a map and before any other process has learned that it is committed.
func (n *simNetwork) latestState() *rpc.ControlState {
	n.mutex.Lock()
	var processes []*simProcess
	for _, server := range n.servers {
		processes = append(processes, server.processes...)
	}
	n.mutex.Unlock()
	newest := &rpc.ControlState{}
	for _, process := range processes {
		if state := process.server.state.committed(); state.MapVersion > newest.MapVersion {
			newest = state
		}
	}
	return newest
}

// kill ends the process at once. Its disk keeps what was synced.
func (s *simServer) kill(powerLoss bool) {
	s.network.mutex.Lock()
	process := s.process
	s.process, s.poweredOff = nil, powerLoss
	s.network.mutex.Unlock()
	if process == nil {
		return
	}
	s.network.logEvent("%s is killed, power lost %t", s.address, powerLoss)
	close(process.dead)
	process.cancel()
	process.server.node.Close()
	process.server.background.Wait()
	if process.server.store != nil {
		process.server.store.Close()
	}
}

// simTransport carries the calls of one process to the others. It implements http.RoundTripper.
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

// carry delivers a request and returns its response. If either is cut off or lost, it blocks until the caller gives up.
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
	n.links.send(from, request.URL.Path, len(body))
	target, err := n.connect(from, callerDead, request)
	if err != nil {
		return nil, err
	}
	n.countRequest(request, body)
	arrived := httptest.NewRequest(request.Method, request.URL.RequestURI(), bytes.NewReader(body))
	arrived.Header = request.Header.Clone()
	recorder := httptest.NewRecorder()
	handled := make(chan struct{})
	go func() {
		defer close(handled)
		target.handler.ServeHTTP(recorder, arrived)
	}()
	select {
	case <-handled:
	case <-target.dead:
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if target.hasEnded() {
		return nil, errSimReset
	}
	if n.isLost(request.URL.Host, from) {
		return nil, n.awaitCallerTimeout(callerDead, request)
	}
	n.links.send(request.URL.Host, request.URL.Path, recorder.Body.Len())
	time.Sleep(n.delay())
	if err := n.awaitStallEnd(request.Context(), from, request.URL.Host); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// stallLinks stops all traffic to and from some addresses for a time. The traffic is delivered afterwards.
func (n *simNetwork) stallLinks(length time.Duration, addresses ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, address := range addresses {
		n.stalledUntil[address] = time.Now().Add(length)
	}
}

// awaitStallEnd returns once neither of two addresses is stalled, or with the error of the context if it ends before.
func (n *simNetwork) awaitStallEnd(ctx context.Context, from, to string) error {
	for {
		n.mutex.Lock()
		wait := max(time.Until(n.stalledUntil[from]), time.Until(n.stalledUntil[to]))
		n.mutex.Unlock()
		if wait <= 0 {
			return ctx.Err()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitCallerTimeout waits until the caller of a request without a response gives up.
func (n *simNetwork) awaitCallerTimeout(callerDead <-chan struct{}, request *http.Request) error {
	select {
	case <-request.Context().Done():
		return request.Context().Err()
	case <-callerDead:
		return errSimReset
	case <-n.ended:
		return errSimReset
	}
}

// simService is one run of a serving process.
type simService struct {
	handler http.Handler
	dead    <-chan struct{} // closed when it ends
}

func (s *simService) hasEnded() bool { return isClosed(s.dead) }

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// connect returns the service to which a request is addressed, after the latency of the network.
func (n *simNetwork) connect(from string, callerDead <-chan struct{}, request *http.Request) (*simService, error) {
	time.Sleep(n.delay())
	if err := n.awaitStallEnd(request.Context(), from, request.URL.Host); err != nil {
		return nil, err
	}
	service, isSilent := n.serviceAt(request.URL.Host)
	if isSilent || n.isLost(from, request.URL.Host) {
		return nil, n.awaitCallerTimeout(callerDead, request)
	}
	if service == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errSimRefused}
	}
	return service, request.Context().Err()
}

// serviceAt returns the service at an address, nil if none runs. isSilent reports that there is no powered-on machine to refuse connections.
func (n *simNetwork) serviceAt(address string) (service *simService, isSilent bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, server := range n.servers {
		switch {
		case server.address != address:
		case server.process == nil:
			return nil, server.poweredOff || server.removed
		default:
			return &simService{handler: server.process.server.Handler(), dead: server.process.dead}, server.poweredOff || server.removed
		}
	}
	for _, store := range n.stores {
		switch {
		case store.address != address:
		case store.process == nil:
			return nil, store.poweredOff
		default:
			return &simService{handler: store.process.node.Handler(), dead: store.process.dead}, false
		}
	}
	return nil, true
}

// transferTime returns the time that sending a body takes.
func (n *simNetwork) transferTime(length int) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.rate == 0 {
		return 0
	}
	return time.Duration(float64(length) / float64(n.rate) * float64(time.Second))
}

// countRequest records a received request.
func (n *simNetwork) countRequest(request *http.Request, body []byte) {
	replicate := &rpc.ReplicateRequest{}
	hasContents := strings.HasSuffix(request.URL.Path, replicatePath) && proto.Unmarshal(body, replicate) == nil && replicate.State != nil
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := request.URL.Host
	n.receivedBytes[address] += len(body)
	if hasContents {
		n.transfers[address] = append(n.transfers[address], fmt.Sprint(replicate.StateEpoch, ".", replicate.StateSeq))
	}
}

// received returns how many bytes a server has received, and the state versions among them.
func (n *simNetwork) received(server *simServer) (receivedBytes int, transfers []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.receivedBytes[server.address], slices.Clone(n.transfers[server.address])
}

// isLost reports whether a call or its response is lost.
func (n *simNetwork) isLost(from, to string) bool {
	n.mutex.Lock()
	lossRate := n.lossRate
	n.mutex.Unlock()
	return n.isCut(from, to) || lossRate > 0 && n.chance(lossRate)
}

// isLossy reports whether calls are being lost.
func (n *simNetwork) isLossy() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lossRate > 0
}

func (n *simNetwork) isCut(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[[2]string{from, to}]
}

// cut cuts the links from some servers to others, and the opposite ones if both is set.
func (n *simNetwork) cut(some, others []*simServer, both bool) {
	from, to := addressesOf(some), addressesOf(others)
	n.cutLinks(from, to)
	if both {
		n.cutLinks(to, from)
	}
}

// cutLinks cuts the links from some addresses to others.
func (n *simNetwork) cutLinks(some, others []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, from := range some {
		for _, to := range others {
			if from != to {
				n.cuts[[2]string{from, to}] = true
			}
		}
	}
}

func addressesOf(servers []*simServer) []string {
	addresses := make([]string, len(servers))
	for i, server := range servers {
		addresses[i] = server.address
	}
	return addresses
}

// addresses returns the addresses of the servers that were not removed.
func (n *simNetwork) addresses() []string {
	var addresses []string
	for _, server := range n.allServers() {
		if !server.removed {
			addresses = append(addresses, server.address)
		}
	}
	return addresses
}

// hasRecovered reports whether there is a leader, no voter was removed, and no change of the voters is in progress: until such a change is
// committed, a majority of the old voters is needed as well.
func (n *simNetwork) hasRecovered() bool {
	leader := n.leader()
	if leader == nil {
		return false
	}
	status := leader.running().server.node.Status()
	for _, member := range status.Members {
		if n.serverAt(member.Address).removed {
			return false
		}
	}
	return !status.MembershipChanging && len(status.Members) == simVoters
}

// allAddresses returns the addresses of the control processes, stores and dispatchers.
func (n *simNetwork) allAddresses() []string {
	addresses := n.addresses()
	for _, store := range n.stores {
		addresses = append(addresses, store.address)
	}
	for _, dispatcher := range n.dispatchers {
		addresses = append(addresses, dispatcher.name)
	}
	return addresses
}

// powerOffAll powers off all machines at the same time.
func (n *simNetwork) powerOffAll() {
	n.logEvent("all machines lose power")
	n.stopMembers(true)
	for _, server := range n.allServers() {
		server.kill(true)
	}
}

// end ends the simulation with all processes and their goroutines.
func (n *simNetwork) end() {
	close(n.ended)
	n.stopMembers(false)
	for _, server := range n.allServers() {
		server.kill(false)
	}
	time.Sleep(time.Minute)
}

// endAndLog ends the simulation and prints the trace if the test has failed.
func (n *simNetwork) endAndLog() {
	n.end()
	if n.t.Failed() {
		n.t.Log(strings.Join(n.trace, "\n"))
	}
}

func (n *simNetwork) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cuts)
	n.lossRate = 0
}

// startServers starts the control processes that are not running.
func (n *simNetwork) startServers() {
	for _, server := range n.allServers() {
		if server.running() == nil && !server.removed {
			server.start(false)
		}
	}
}

// leader returns a server that considers itself the leader, nil if there is none.
func (n *simNetwork) leader() *simServer {
	for _, server := range n.allServers() {
		if process := server.running(); process != nil && process.server.node.Status().Leader {
			return server
		}
	}
	return nil
}

// describe returns the status of the group as each server sees it.
func (n *simNetwork) describe() []string {
	var lines []string
	for _, server := range n.allServers() {
		line := fmt.Sprintf("%s removed %t disk %d", server.address, server.removed, server.disks)
		if process := server.running(); process != nil {
			status := process.server.node.Status()
			status.State = nil // too long to print
			line += fmt.Sprintf(" id %s status %+v", process.server.identity(), status)
		}
		lines = append(lines, line)
	}
	return lines
}
