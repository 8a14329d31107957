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

	mutex      sync.Mutex
	random     *rand.Rand
	servers    []*simServer
	members    []*simMember         // belong to the goroutine that plays the course
	stores     []*simStore          // none where members are enough
	storesMade int                  // also those that were taken away
	fronts     []*simFront          // likewise
	judge      *simJudge            // of their messages
	route      string               // that messages are sent on
	cuts       map[[2]string]bool   // links that carry nothing, by sender and receiver
	held       map[string]time.Time // addresses from and to which nothing moves until a moment
	lossy      float64              // share of calls whose request or answer is lost
	rate       int                  // bytes a second of each call; 0 for no bound
	calm       bool                 // nothing is late on its way
	links      *simLinks            // what all calls and streams of a machine share; nil for no bound
	carried    map[string]int       // bytes of requests that came, by receiver
	transfers  map[string][]string  // versions of the contents that came, by receiver; once for each time
	trace      []string
}

// simServer is what runs at one address. It outlives processes and disks.
type simServer struct {
	network *simNetwork
	address string
	zone    string
	seeds   []string // in its settings; nil for those of the network
	outside bool     // it runs without a disk, and so has no vote
	disks   int      // folders made so far
	version simVersion

	// Guarded by the mutex of the network.
	process *simProcess   // nil while none runs
	lives   []*simProcess // all that ever ran, in turn
	off     bool          // without power: nothing is refused, all is silent
	gone    bool          // for good
}

// simVersion is what versions of the program differ in. The zero value is the present one.
type simVersion struct {
	timing     failover.Timing
	storeLease time.Duration
}

// simProcess is one life of a control process.
type simProcess struct {
	server *Server
	cancel context.CancelFunc
	dead   chan struct{} // closed when it is killed
}

// simManyFds are the descriptors of a machine that serves a large fleet.
const simManyFds = 4100

func newSimNetwork(t *testing.T, seed uint64, directory string) *simNetwork {
	return &simNetwork{
		t: t, directory: directory, tolerance: 1, started: time.Now(), ended: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 3)), cuts: map[[2]string]bool{}, carried: map[string]int{}, transfers: map[string][]string{},
		held: map[string]time.Time{},
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
	if !n.calm && n.chance(0.02) {
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
	server, err := New(Options{
		Log: logr.Discard(), RoundTripper: &simTransport{from: s}, Platform: simPlatform{}, Settings: wanted, Timing: s.version.timing,
		StoreLease: s.version.storeLease,
	})
	must.NoError(network.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	process := &simProcess{server: server, cancel: cancel, dead: make(chan struct{})}
	network.mutex.Lock()
	s.process, s.off = process, false
	s.lives = append(s.lives, process)
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
		Node: s.address, Zone: s.zone, Listen: settings.Listen{Control: s.address}, Seeds: seeds, Cloud: settings.Cloud{Address: "platform"},
		FaultTolerance: settings.FaultTolerance{Machines: s.network.tolerance},
	}
	if s.network.links != nil {
		read.Limits = settings.Limits{LinkMbps: s.network.links.rate / bytesPerMegabit, MaxFds: simManyFds}
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

// newestTable returns the newest table that any control process has committed, in this life or one before: a leader may be killed
// once a store acts by the table, and before any other process has learnt that it is committed.
func (n *simNetwork) newestTable() *rpc.ControlState {
	n.mutex.Lock()
	var lives []*simProcess
	for _, server := range n.servers {
		lives = append(lives, server.lives...)
	}
	n.mutex.Unlock()
	newest := &rpc.ControlState{}
	for _, process := range lives {
		if state := process.server.state.committed(); state.MapVersion > newest.MapVersion {
			newest = state
		}
	}
	return newest
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
	n.links.send(from, request.URL.Path, len(body))
	target, err := n.reach(from, callerDead, request)
	if err != nil {
		return nil, err
	}
	n.count(request, body)
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
		return nil, n.silence(callerDead, request)
	}
	n.links.send(request.URL.Host, request.URL.Path, recorder.Body.Len())
	time.Sleep(n.delay())
	if err := n.awaitRelease(request.Context(), from, request.URL.Host); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// holdUp has nothing leave or reach some addresses for a time; it goes on its way afterwards.
func (n *simNetwork) holdUp(length time.Duration, addresses ...string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, address := range addresses {
		n.held[address] = time.Now().Add(length)
	}
}

// awaitRelease returns once neither of two addresses is held up, or with the error of a context that ends before.
func (n *simNetwork) awaitRelease(ctx context.Context, from, to string) error {
	for {
		n.mutex.Lock()
		wait := max(time.Until(n.held[from]), time.Until(n.held[to]))
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

// simService is one life of a process that serves.
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

// reach takes a request to the process that it is for.
func (n *simNetwork) reach(from string, callerDead <-chan struct{}, request *http.Request) (*simService, error) {
	time.Sleep(n.delay())
	if err := n.awaitRelease(request.Context(), from, request.URL.Host); err != nil {
		return nil, err
	}
	service, isSilent := n.serviceAt(request.URL.Host)
	if isSilent || n.isLost(from, request.URL.Host) {
		return nil, n.silence(callerDead, request)
	}
	if service == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errSimRefused}
	}
	return service, request.Context().Err()
}

// serviceAt returns what serves at an address, nil where nothing runs. It is silent where no machine is there, or none with power.
func (n *simNetwork) serviceAt(address string) (service *simService, isSilent bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, server := range n.servers {
		switch {
		case server.address != address:
		case server.process == nil:
			return nil, server.off || server.gone
		default:
			return &simService{handler: server.process.server.Handler(), dead: server.process.dead}, server.off || server.gone
		}
	}
	for _, store := range n.stores {
		switch {
		case store.address != address:
		case store.process == nil:
			return nil, store.off
		default:
			return &simService{handler: store.process.node.Handler(), dead: store.process.dead}, false
		}
	}
	return nil, true
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

// count notes a request that came.
func (n *simNetwork) count(request *http.Request, body []byte) {
	replicate := &rpc.ReplicateRequest{}
	hasContents := strings.HasSuffix(request.URL.Path, replicatePath) && proto.Unmarshal(body, replicate) == nil && replicate.State != nil
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := request.URL.Host
	n.carried[address] += len(body)
	if hasContents {
		n.transfers[address] = append(n.transfers[address], fmt.Sprint(replicate.StateEpoch, ".", replicate.StateSeq))
	}
}

// came returns how many bytes came to a server, and the versions of the contents among them.
func (n *simNetwork) came(server *simServer) (carried int, transfers []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.carried[server.address], slices.Clone(n.transfers[server.address])
}

// isLost reports whether a call or its answer does not come through.
func (n *simNetwork) isLost(from, to string) bool {
	n.mutex.Lock()
	lossy := n.lossy
	n.mutex.Unlock()
	return n.isCut(from, to) || lossy > 0 && n.chance(lossy)
}

// isLossy reports whether calls are lost.
func (n *simNetwork) isLossy() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lossy > 0
}

func (n *simNetwork) isCut(from, to string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[[2]string{from, to}]
}

// cut stops what goes from one of some servers to one of others, and back where both is set.
func (n *simNetwork) cut(some, others []*simServer, both bool) {
	from, to := addressesOf(some), addressesOf(others)
	n.cutLinks(from, to)
	if both {
		n.cutLinks(to, from)
	}
}

// cutLinks stops what goes from one of some addresses to one of others.
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

// addresses lists the servers that are there, as the settings of a newcomer do.
func (n *simNetwork) addresses() []string {
	var addresses []string
	for _, server := range n.list() {
		if !server.gone {
			addresses = append(addresses, server.address)
		}
	}
	return addresses
}

// isMadeUpFor reports whether there is a leader, all voters are processes that are there, and no change of them is under way:
// until its last version is committed, a majority of the former voters is needed too.
func (n *simNetwork) isMadeUpFor() bool {
	leader := n.leader()
	if leader == nil {
		return false
	}
	status := leader.running().server.node.Status()
	for _, member := range status.Members {
		if n.at(member.Address).gone {
			return false
		}
	}
	return !status.MembershipChanging && len(status.Members) == simVoters
}

// allAddresses lists where control processes, stores and dispatchers are.
func (n *simNetwork) allAddresses() []string {
	addresses := n.addresses()
	for _, store := range n.stores {
		addresses = append(addresses, store.address)
	}
	for _, front := range n.fronts {
		addresses = append(addresses, front.name)
	}
	return addresses
}

// stopAll takes the power of all machines at one moment.
func (n *simNetwork) stopAll() {
	n.note("all machines lose power")
	n.stopMembers(true)
	for _, server := range n.list() {
		server.kill(true)
	}
}

// end ends the simulation, all processes and their goroutines.
func (n *simNetwork) end() {
	close(n.ended)
	n.stopMembers(false)
	for _, server := range n.list() {
		server.kill(false)
	}
	time.Sleep(time.Minute)
}

// endAndTell ends the network, and prints what happened on it where the test has failed.
func (n *simNetwork) endAndTell() {
	n.end()
	if n.t.Failed() {
		n.t.Log(strings.Join(n.trace, "\n"))
	}
}

func (n *simNetwork) heal() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	clear(n.cuts)
	n.lossy = 0
}

// startServers starts the control processes that do not run.
func (n *simNetwork) startServers() {
	for _, server := range n.list() {
		if server.running() == nil && !server.gone {
			server.start(false)
		}
	}
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
