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

// Names of the ends of links that are no store.
const (
	controlName = "control"
	workersName = "workers"
	clientName  = "client"
)

var (
	errRefused = errors.New("simulation: connection refused")
	errReset   = errors.New("simulation: connection reset")
)

// world is one simulated deployment: stores that run the real code, and stand-ins for all else. The seed decides the
// load, the faults, the latencies and the workers' answers; the order of goroutines at one moment stays the scheduler's.
type world struct {
	t         *testing.T
	seed      uint64
	random    *rand.Rand // of the driver goroutine
	scale     scale
	directory string
	started   time.Time
	control   *controlPlane
	ledger    *ledger
	ctx       context.Context
	cancel    context.CancelFunc
	requests  sync.WaitGroup // of clients, until each has its answer or its time is over

	mutex    sync.Mutex
	machines []*machine
	cuts     map[[2]string]int // links that carry nothing, by sender and receiver
	lossy    float64           // share of calls of which the request or the answer is lost
	slow     string            // machine whose links are slow
	trace    []string
}

// scale is the size of a simulation.
type scale struct {
	stores     int
	tolerance  int
	partitions int
	traffic    time.Duration
	diskMb     int
}

// machine is one machine of a store. It outlives processes and disks.
type machine struct {
	world    *world
	name     string
	zone     string
	address  string
	settings *settings.Settings
	disks    int           // directories made so far
	process  *process      // nil while none runs; guarded by world.mutex
	stalled  chan struct{} // the disk answers nothing until it is closed; nil while it does; guarded by world.mutex
	gone     bool          // taken away for good
	off      bool          // without power: nothing is refused, all is silent
}

// process is one life of a store.
type process struct {
	world   *world
	machine *machine
	node    *Node
	cluster *fakeCluster
	dead    chan struct{} // closed when it is killed

	mutex  sync.Mutex
	thawed chan struct{} // nil while it is not frozen
	synced int64         // bytes of the log that a sync has covered
}

func newWorld(t *testing.T, seed uint64, directory string, size scale) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), scale: size, directory: directory,
		started: time.Now(), cuts: map[[2]string]int{}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.ledger = newLedger(w)
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

// note adds a line to the trace that a failure prints.
func (w *world) note(format string, values ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, values...)
	w.mutex.Lock()
	w.trace = append(w.trace, line)
	w.mutex.Unlock()
}

// draw returns a number in [0, 1) that depends on the seed, the values and the moment alone.
func (w *world) draw(values ...any) float64 {
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

// cut stops what goes from one end to the other; it returns the function that heals the link.
func (w *world) cut(from, to string) func() {
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

// latency is that of one leg of a call.
func (w *world) latency(from, to, method string) time.Duration {
	x := w.draw(from, to, method)
	latency := 300*time.Microsecond + time.Duration(x*float64(2*time.Millisecond))
	if tail := w.draw(from, to, method, "tail"); tail < 0.03 {
		latency += time.Duration(tail / 0.03 * float64(60*time.Millisecond))
	}
	w.mutex.Lock()
	slow := w.slow == from || w.slow == to
	w.mutex.Unlock()
	if slow {
		latency += time.Duration(x * float64(400*time.Millisecond))
	}
	return latency
}

// losesCall reports whether a call is lost on this leg.
func (w *world) losesCall(from, to, leg string) bool {
	w.mutex.Lock()
	lossy := w.lossy
	w.mutex.Unlock()
	return lossy > 0 && w.draw(from, to, leg, "lost") < lossy
}

func (w *world) machineAt(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

// reach returns the process at the end of a link, an error where the connection is refused, or silence.
func (w *world) reach(from, address string) (p *process, err error, silent bool) {
	m := w.machineAt(address)
	if m == nil {
		return nil, errRefused, false
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if m.off || w.cuts[[2]string{from, m.name}] > 0 {
		return nil, nil, true
	}
	if m.process == nil {
		return nil, errRefused, w.cuts[[2]string{m.name, from}] > 0
	}
	return m.process, nil, false
}

// remote is one call to a store.
type remote[T any] struct {
	world   *world
	from    string
	caller  *process // nil for clients
	address string
	method  string
	serve   func(context.Context, *process) (T, error)
}

type answer[T any] struct {
	value T
	err   error
}

// call carries a call out, and returns at the latest when ctx ends.
func (r *remote[T]) call(ctx context.Context) (T, error) {
	var none T
	if r.caller != nil {
		if !r.caller.awaitThaw() {
			return none, errReset
		}
	}
	answers := make(chan answer[T], 1)
	go r.travel(ctx, answers)
	result := answer[T]{}
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

// travel sends the answer to a call, or nothing where the caller hears nothing.
func (r *remote[T]) travel(ctx context.Context, answers chan<- answer[T]) {
	w := r.world
	time.Sleep(w.latency(r.from, r.address, r.method))
	p, err, silent := w.reach(r.from, r.address)
	if silent || w.losesCall(r.from, r.address, "request") {
		return
	}
	if err != nil {
		answers <- answer[T]{err: err}
		return
	}
	if !p.awaitThaw() {
		answers <- answer[T]{err: errReset}
		return
	}
	value, err := r.serve(ctx, p)
	if !p.awaitThaw() {
		w.mutex.Lock()
		off := p.machine.off
		w.mutex.Unlock()
		if !off {
			answers <- answer[T]{err: errReset}
		}
		return
	}
	if w.isCut(p.machine.name, r.from) || w.losesCall(r.address, r.from, "answer") {
		return
	}
	time.Sleep(w.latency(r.address, r.from, r.method))
	answers <- answer[T]{value: value, err: err}
}

// newDisk makes an empty directory.
func (m *machine) newDisk() {
	m.disks++
	m.settings.DataDir = filepath.Join(m.world.directory, fmt.Sprintf("%s-%d", m.name, m.disks))
	if err := os.MkdirAll(m.settings.DataDir, 0o755); err != nil {
		panic(err)
	}
}

// start begins a life of the store.
func (m *machine) start() {
	w := m.world
	if m.gone {
		return
	}
	p := &process{world: w, machine: m, dead: make(chan struct{})}
	node, err := Open(Options{Settings: m.settings, Log: logr.Discard(), AroundSync: p.sync})
	if err != nil {
		panic(err)
	}
	p.node = node
	node.draw = func(n int) int { return int(w.draw(m.name, "draw", n) * float64(n)) }
	p.cluster = newFakeCluster(p)
	w.mutex.Lock()
	m.process, m.off = p, false
	w.mutex.Unlock()
	node.connect(p.cluster, &fakeEngine{process: p})
	p.cluster.run()
	w.note("%s starts, disk %s, incarnation %s", m.name, node.disk[:4], node.incarnation[:4])
}

// end describes how a process ends.
type end struct {
	off      bool // power is lost: what was not synced may be gone, and calls get no answer
	loseDisk bool
}

// stop ends the process as given. The driver goroutine alone calls it.
func (m *machine) stop(how end) {
	synctest.Wait()
	w := m.world
	w.mutex.Lock()
	p := m.process
	m.process, m.off = nil, how.off
	w.mutex.Unlock()
	if p == nil {
		return
	}
	content, err := os.ReadFile(filepath.Join(m.settings.DataDir, logName))
	if err != nil {
		panic(err)
	}
	m.newDisk()
	if how.off {
		content = p.tear(content, w.random)
	}
	if !how.loseDisk {
		if err := os.WriteFile(filepath.Join(m.settings.DataDir, logName), content, 0o644); err != nil {
			panic(err)
		}
	}
	p.thaw()
	close(p.dead)
	go func() { _ = p.node.Close() }()
	w.note("%s stops, power lost %t, disk lost %t, %d bytes", m.name, how.off, how.loseDisk, len(content))
}

// tear drops some of what was not synced before an answer was given, and may leave noise in its place.
func (p *process) tear(content []byte, random *rand.Rand) []byte {
	p.mutex.Lock()
	synced := p.synced
	p.mutex.Unlock()
	length := int64(len(content))
	if synced >= length || p.world.scale.diskMb < 8 { // a small log is rewritten: where it was synced is not known
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

// sync takes the time of a disk, and notes what the log's file holds for good after it. What is appended while it takes its time
// waits for the next one.
func (p *process) sync(commit func() error) error {
	w, m := p.world, p.machine
	time.Sleep(w.syncTime(m.name))
	w.mutex.Lock()
	stalled := m.stalled
	w.mutex.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-p.dead:
		}
	}
	if p.isDead() {
		return errReset // it lost power, or was killed, before the disk was written
	}
	err := commit()
	info, statErr := os.Stat(filepath.Join(m.settings.DataDir, logName))
	if err == nil && statErr == nil {
		p.mutex.Lock()
		p.synced = info.Size()
		p.mutex.Unlock()
	}
	return err
}

// syncTime is how long a sync takes.
func (w *world) syncTime(name string) time.Duration {
	x := w.draw(name, "sync")
	if x < 0.1 {
		return time.Duration(x / 0.1 * float64(40*time.Millisecond))
	}
	return time.Duration(x * float64(3*time.Millisecond))
}

// stall has the disk of a machine answer nothing until the function returned is called.
func (m *machine) stall() (heal func()) {
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

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// awaitThaw waits while the process is frozen. It reports false for a process that has ended.
func (p *process) awaitThaw() bool {
	for {
		p.mutex.Lock()
		thawed := p.thawed
		p.mutex.Unlock()
		if thawed == nil {
			return !p.isDead()
		}
		<-thawed
	}
}

// freeze has the process stand still: its calls, those that it serves, and its owner goroutine.
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
