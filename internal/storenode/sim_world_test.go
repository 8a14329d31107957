package storenode

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Names of the endpoints that are not stores.
const (
	controlName = "control"
	workersName = "workers"
	clientName  = "client"
)

var (
	errRefused = errors.New("simulation: connection refused")
	errReset   = errors.New("simulation: connection reset")
)

// world is a simulated deployment: stores that run the real code, and fakes for everything else. The seed determines the load, the faults,
// the latencies and the workers' answers; the order of goroutines that run at the same moment is up to the scheduler.
type world struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand // used by the driver goroutine only
	scale     scale
	directory string
	started   time.Time
	control   *controlPlane
	checker   *checker
	ctx       context.Context
	cancel    context.CancelFunc
	requests  sync.WaitGroup // of clients; done once answered or timed out

	mutex       sync.Mutex
	machines    []*machine
	cuts        map[[2]string]int // by sender and receiver: number of faults that cut the link
	lossRate    float64           // fraction of calls whose request or response is lost
	slowMachine string            // machine whose links have a high latency
	trace       []string
}

// scale is the size of a simulation.
type scale struct {
	stores     int
	tolerance  int
	partitions int
	traffic    time.Duration
	diskMb     int
}

// machine is a host of a store. It outlives processes and disks.
type machine struct {
	world     *world
	name      string
	zone      string
	address   string
	settings  *settings.Settings
	diskCount int           // directories created so far
	process   *process      // nil while none is running; guarded by world.mutex
	stalled   chan struct{} // nil unless the disk is stalled; closed when it recovers; guarded by world.mutex
	removed   bool          // removed for good
	powerLost bool          // powered off: connections are not refused, but get no answer
}

// process is one run of a store on a machine.
type process struct {
	world   *world
	machine *machine
	node    *Node
	cluster *fakeCluster
	killed  chan struct{} // closed when the process is killed

	mutex       sync.Mutex
	thawed      chan struct{} // nil unless the process is frozen; closed when it is thawed
	syncedBytes int64         // length of the log that a sync has covered
}

func newWorld(t *testing.T, seed uint64, directory string, size scale) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), scale: size, directory: directory,
		started: time.Now(), cuts: map[[2]string]int{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.checker = newChecker(w)
	w.control = newControlPlane(w)
	zones := []string{"a", "b", "c"}
	for i := range size.stores {
		m := &machine{world: w, name: fmt.Sprintf("store%d", i), zone: zones[i%len(zones)],
			address: fmt.Sprintf("10.0.0.%d:7000", i+1)}
		m.settings = &settings.Settings{Node: m.name, Zone: m.zone, IP: fmt.Sprintf("10.0.0.%d", i+1),
			PortRange:      []int{7000, 7010},
			Limits:         settings.Limits{DiskMb: size.diskMb, MaxFds: 1024},
			FaultTolerance: settings.FaultTolerance{Machines: size.tolerance},
			Bounds:         settings.Bounds{GraceS: 6, StatusS: 120}}
		w.machines = append(w.machines, m)
		m.newDisk()
	}
	for _, m := range w.machines {
		m.start()
	}
	return w
}

// tracef adds a line to the trace, which is printed on failure.
func (w *world) tracef(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, values...)
	w.mutex.Lock()
	w.trace = append(w.trace, line)
	w.mutex.Unlock()
}

// drawRandom returns a number in [0, 1) that depends only on the seed, the values and the simulated time.
func (w *world) drawRandom(values ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.seed, time.Since(w.started), values)
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 29
	return float64(x>>11) / (1 << 53)
}

func (w *world) isCut(from, to string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.cuts[[2]string{from, to}] > 0
}

// cutLink drops all messages from one endpoint to the other. It returns the function that restores the link.
func (w *world) cutLink(from, to string) func() {
	key := [2]string{from, to}
	w.mutex.Lock()
	w.cuts[key]++
	w.mutex.Unlock()
	return func() {
		w.mutex.Lock()
		w.cuts[key]--
		w.mutex.Unlock()
	}
}

// latency returns the latency of a request or a response.
func (w *world) latency(from, to, method string) time.Duration {
	x := w.drawRandom(from, to, method)
	latency := 300*time.Microsecond + time.Duration(x*float64(2*time.Millisecond))
	if tail := w.drawRandom(from, to, method, "tail"); tail < 0.03 {
		latency += time.Duration(tail / 0.03 * float64(60*time.Millisecond))
	}
	w.mutex.Lock()
	slow := w.slowMachine == from || w.slowMachine == to
	w.mutex.Unlock()
	if slow {
		latency += time.Duration(x * float64(400*time.Millisecond))
	}
	return latency
}

// losesCall reports whether a call is lost on this leg.
func (w *world) losesCall(from, to, leg string) bool {
	w.mutex.Lock()
	lossy := w.lossRate
	w.mutex.Unlock()
	return lossy > 0 && w.drawRandom(from, to, leg, "lost") < lossy
}

func (w *world) machineAt(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// resolve returns the process at an address. It returns an error if the connection is refused, and silent if no answer will come.
func (w *world) resolve(from, address string) (p *process, err error, silent bool) {
	m := w.machineAt(address)
	if m == nil {
		return nil, errRefused, false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if m.powerLost || w.cuts[[2]string{from, m.name}] > 0 {
		return nil, nil, true
	}
	if m.process == nil {
		return nil, errRefused, w.cuts[[2]string{m.name, from}] > 0
	}
	return m.process, nil, false
}

// remoteCall is one call to a store.
type remoteCall[T any] struct {
	world   *world
	from    string
	caller  *process // nil for clients
	address string
	method  string
	serve   func(context.Context, *process) (T, error)
}

type callResult[T any] struct {
	value T
	err   error
}

// call performs the call. It returns when ctx ends at the latest.
func (r *remoteCall[T]) call(ctx context.Context) (T, error) {
	var none T
	if r.caller != nil {
		if !r.caller.awaitThaw() {
			return none, errReset
		}
	}
	answers := make(chan callResult[T], 1)
	go r.deliver(ctx, answers)
	result := callResult[T]{}
	select {
	case result = <-answers:
	case <-ctx.Done():
		result.err = ctx.Err()
	case <-r.world.ctx.Done():
		result.err = errReset
	}
	if r.caller != nil && !r.caller.awaitThaw() {
		return none, errReset
	}
	return result.value, result.err
}

// deliver sends the response to a call, or nothing if the request or the response is lost.
func (r *remoteCall[T]) deliver(ctx context.Context, answers chan<- callResult[T]) {
	w := r.world
	time.Sleep(w.latency(r.from, r.address, r.method))
	p, err, silent := w.resolve(r.from, r.address)
	if silent || w.losesCall(r.from, r.address, "request") {
		return
	}
	if err != nil {
		answers <- callResult[T]{err: err}
		return
	}
	if !p.awaitThaw() {
		answers <- callResult[T]{err: errReset}
		return
	}
	value, err := r.serve(ctx, p)
	if !p.awaitThaw() {
		w.mutex.Lock()
		off := p.machine.powerLost
		w.mutex.Unlock()
		if !off {
			answers <- callResult[T]{err: errReset}
		}
		return
	}
	if w.isCut(p.machine.name, r.from) || w.losesCall(r.address, r.from, "answer") {
		return
	}
	time.Sleep(w.latency(r.address, r.from, r.method))
	answers <- callResult[T]{value: value, err: err}
}

// newDisk replaces the data directory by an empty one.
func (m *machine) newDisk() {
	m.diskCount++
	m.settings.DataDir = filepath.Join(m.world.directory, fmt.Sprintf("%s-%d", m.name, m.diskCount))
	if err := os.MkdirAll(m.settings.DataDir, 0o755); err != nil {
		panic(err)
	}
}

// start starts a new process of the store.
func (m *machine) start() {
	w := m.world
	if m.removed {
		return
	}
	p := &process{world: w, machine: m, killed: make(chan struct{})}
	node, err := Open(Options{Settings: m.settings, Log: logr.Discard(), AroundSync: p.sync})
	if err != nil {
		panic(err)
	}
	p.node = node
	node.drawRandom = func(n int) int { return int(w.drawRandom(m.name, "draw", n) * float64(n)) }
	p.cluster = newFakeCluster(p)
	w.mutex.Lock()
	m.process, m.powerLost = p, false
	w.mutex.Unlock()
	node.startWith(p.cluster, &fakeEngine{process: p})
	p.cluster.run()
	w.tracef("%s starts, disk %s, incarnation %s", m.name, node.disk[:4], node.incarnation[:4])
}

// shutdown describes how a process ends.
type shutdown struct {
	powerLost bool // unsynced data may be lost, and calls get no answer
	loseDisk  bool
}

// stop ends the process in the given way. Only the driver goroutine calls it.
func (m *machine) stop(how shutdown) {
	synctest.Wait()
	w := m.world
	w.mutex.Lock()
	p := m.process
	m.process, m.powerLost = nil, how.powerLost
	w.mutex.Unlock()
	if p == nil {
		return
	}
	content, err := os.ReadFile(filepath.Join(m.settings.DataDir, logFileName))
	if err != nil {
		panic(err)
	}
	m.newDisk()
	if how.powerLost {
		content = p.tearLog(content, w.random)
	}
	if !how.loseDisk {
		if err := os.WriteFile(filepath.Join(m.settings.DataDir, logFileName), content, 0o644); err != nil {
			panic(err)
		}
	}
	p.thaw()
	close(p.killed)
	go func() { _ = p.node.Close() }()
	w.tracef("%s stops, power lost %t, disk lost %t, %d bytes", m.name, how.powerLost, how.loseDisk, len(content))
}

// tearLog drops part of the data that was not synced, and may leave random bytes in its place.
func (p *process) tearLog(content []byte, random *rand.Rand) []byte {
	p.mutex.Lock()
	synced := p.syncedBytes
	p.mutex.Unlock()
	length := int64(len(content))
	if synced >= length || p.world.scale.diskMb < 8 { // a small log is rewritten, so the synced length is not known
		return content
	}
	kept := synced + random.Int64N(length-synced+1)
	torn := append([]byte(nil), content...)
	if random.IntN(2) == 0 {
		return torn[:kept]
	}
	for i := kept; i < length; i++ {
		torn[i] = byte(random.Uint32())
	}
	return torn
}

// sync simulates the time of a sync and records the length of the log that it has made durable. Data appended in the meantime waits for the
// next sync.
func (p *process) sync(commit func() error) error {
	w, m := p.world, p.machine
	time.Sleep(w.syncTime(m.name))
	w.mutex.Lock()
	stalled := m.stalled
	w.mutex.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-p.killed:
		}
	}
	if p.isKilled() {
		return errReset // lost power or was killed before the data was written
	}
	err := commit()
	info, statErr := os.Stat(filepath.Join(m.settings.DataDir, logFileName))
	if err == nil && statErr == nil {
		p.mutex.Lock()
		p.syncedBytes = info.Size()
		p.mutex.Unlock()
	}
	return err
}

// syncTime returns the duration of a sync.
func (w *world) syncTime(name string) time.Duration {
	x := w.drawRandom(name, "sync")
	if x < 0.1 {
		return time.Duration(x / 0.1 * float64(40*time.Millisecond))
	}
	return time.Duration(x * float64(3*time.Millisecond))
}

// stallDisk makes the disk of a machine stop responding until the returned function is called.
func (m *machine) stallDisk() (heal func()) {
	stalled := make(chan struct{})
	m.world.mutex.Lock()
	defer m.world.mutex.Unlock()
	m.stalled = stalled
	return func() {
		m.world.mutex.Lock()
		defer m.world.mutex.Unlock()
		m.stalled = nil
		close(stalled)
	}
}

func (p *process) isKilled() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
}

// awaitThaw waits while the process is frozen. It returns false if the process has ended.
func (p *process) awaitThaw() bool {
	for {
		p.mutex.Lock()
		thawed := p.thawed
		p.mutex.Unlock()
		if thawed == nil {
			return !p.isKilled()
		}
		<-thawed
	}
}

// freeze suspends the process: the calls that it makes, those that it serves, and its event loop goroutine.
func (p *process) freeze() {
	thawed := make(chan struct{})
	p.mutex.Lock()
	p.thawed = thawed
	p.mutex.Unlock()
	go p.node.post(func() { <-thawed })
}

func (p *process) thaw() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.thawed != nil {
		close(p.thawed)
		p.thawed = nil
	}
}

// running returns the process of a machine, or nil.
func (m *machine) running() *process {
	m.world.mutex.Lock()
	defer m.world.mutex.Unlock()
	return m.process
}

// storeClient calls a store over the simulated network.
type storeClient struct {
	world   *world
	from    string
	caller  *process
	address string
}

var _ rpc.Store = (*storeClient)(nil)
