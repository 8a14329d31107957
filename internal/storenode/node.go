// Package storenode is the store role: it keeps messages durably, copies them to other stores, owns partitions, and runs their
// messages at workers.
package storenode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

const (
	logName       = "messages.log"
	commandBuffer = 1024
	housekeeping  = time.Second
	maxPartitions = 1 << 16
)

// coordinator is what a store needs of the control plane; cluster.Client implements it.
type coordinator interface {
	View() *cluster.View
	OnChange(func(*cluster.View))
	LeaseValid() bool
	Kick()
	Store(address string) rpc.Store
	Release(ctx context.Context, partitions []*rpc.PartitionEpoch) error
}

// engine makes attempts; delivery.Engine implements it.
type engine interface {
	SetCatalog(version uint64, config *catalog.Config)
	SetWorkers(workers []*rpc.Worker)
	SetDispatchers(count int)
	Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome))
	Close()
}

// Node is one store.
type Node struct {
	settings    *settings.Settings
	log         logr.Logger
	disk        string // identity of the disk
	incarnation string // identity of this start; a later one of the same disk sorts higher
	starts      uint64 // of the process with this disk
	address     string
	started     time.Time
	domains     domains

	file    *applog.Log
	cluster coordinator
	engine  engine

	draw       func(n int) int // a random number in [0, n)
	commands   chan func()     // run by the owner goroutine, which alone touches the fields below
	table      *message.Table
	view       *cluster.View
	needs      uint64 // configuration that a sender acted on: nothing older is used
	limits     map[string]int
	pumpDue    bool
	timer      *time.Timer
	timerAt    time.Duration
	releases   map[uint32]uint64 // epoch under which a release was asked for
	unverified []*message.Entry  // whose records are read next
	verifying  bool
	repairing  bool // a look for missing copies is due

	unwritten bool // the log had no room for a fate or a fence: it is to be rewritten

	peers   *peers
	owned   []atomic.Uint64 // epoch under which attempts of a partition may begin; 0 for none
	leaving atomic.Bool

	underCopied     atomic.Uint64
	readyPartitions atomic.Uint32
	refusedAt       atomic.Int64 // when a message was last refused for want of room, by now; 0 for never
	backlog         atomic.Uint64
	closed          chan struct{}
	diskFailed      chan struct{} // closed once the log refuses all writes
	failOnce        sync.Once
	stopping        sync.WaitGroup
}

// Run plays the store role until ctx ends, then hands its partitions over and returns.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	n, err := open(s, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return errors.Wrapf(err, "storenode: listen on %s; free the first port of portRange", n.address)
	}
	server := &http.Server{Handler: rpc.NewStoreServer(n), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	n.start()
	n.log.Info("store started", "node", s.Node, "disk", n.disk, "incarnation", n.incarnation, "messages", n.table.Len())
	select {
	case <-ctx.Done():
	case <-n.diskFailed:
		_ = server.Close()
		return errors.Wrap(applog.ErrFailed, "storenode: end, so that a new start replays the log")
	}
	n.handOver()
	_ = server.Close()
	return n.close()
}

// open reads the log and prepares a node that is not yet running.
func open(s *settings.Settings, log logr.Logger) (*Node, error) {
	if s.DataDir == "" {
		return nil, errors.New("storenode: dataDir is empty; a store needs a disk")
	}
	if len(s.PortRange) == 0 {
		return nil, errors.New("storenode: portRange is empty; name the first and the last port")
	}
	n := &Node{
		settings: s, log: log, started: time.Now(), draw: mathrand.IntN,
		address:  net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		domains:  domains{tolerance: s.FaultTolerance, regions: s.Zones},
		commands: make(chan func(), commandBuffer), table: message.NewTable(), limits: map[string]int{},
		releases: map[uint32]uint64{}, owned: make([]atomic.Uint64, maxPartitions), closed: make(chan struct{}),
		diskFailed: make(chan struct{}),
	}
	n.underCopied.Store(1) // not known before upkeep has counted
	if err := n.openLog(); err != nil {
		return nil, err
	}
	return n, nil
}

// noteDisk ends the process where the log has failed for good: what the disk holds since the last sync is unknown.
func (n *Node) noteDisk(err error) {
	if errors.Is(err, applog.ErrFailed) {
		n.failOnce.Do(func() { close(n.diskFailed) })
	}
}

// now is the time that tables and timers use: since the start of the process.
func (n *Node) now() time.Duration { return time.Since(n.started) }

func newIdentity() string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(random[:])
}

// openLog replays the log, and writes the disk's identity where it has none.
func (n *Node) openLog() error {
	options := applog.Options{MaxBytes: n.logBytes(), OnCorrupt: func(at applog.Position) {
		n.log.Info("a record of the log is corrupt; other stores hold copies", "offset", at.Offset)
	}}
	file, err := applog.Open(n.settings.DataDir, logName, options, n.replay)
	if err != nil {
		return errors.Wrap(err, "storenode: log")
	}
	n.file = file
	if n.disk == "" {
		n.disk = newIdentity()
		if _, err := file.Append(encodeText(recordIdentity, time.Now(), n.disk)); err != nil {
			return errors.Wrap(err, "storenode: identity")
		}
	}
	n.starts++
	n.incarnation = n.startNumber() + "-" + newIdentity()[:8]
	return errors.Wrap(n.recordStart(), "storenode: start")
}

// recordStart makes the number of this start durable. A log without room for it is rewritten, which writes it too.
func (n *Node) recordStart() error {
	_, err := n.file.Append(encodeText(recordStart, time.Now(), n.startNumber()))
	if errors.Is(err, applog.ErrFull) {
		return n.rewrite()
	}
	if err != nil {
		return err
	}
	return n.file.Wait()
}

// startNumber is the number of this start, in a form that sorts.
func (n *Node) startNumber() string { return fmt.Sprintf("%08x", n.starts) }

// logBytes is the size that the log may reach; the rest of the disk is for its rewriting.
func (n *Node) logBytes() int64 { return int64(n.settings.Limits.DiskMb) << 20 * 6 / 10 }

// replay enters one record of the log into the table.
func (n *Node) replay(at applog.Position, data []byte) error {
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	elapsed := max(0, time.Since(r.written))
	switch r.kind {
	case recordIdentity:
		n.disk = string(r.payload)
	case recordStart:
		if n.starts, err = strconv.ParseUint(string(r.payload), 16, 64); err != nil {
			return errors.Wrap(err, "storenode: start record")
		}
	case recordMessage:
		m := &rpc.Message{}
		if err := proto.Unmarshal(r.payload, m); err != nil {
			return errors.Wrap(err, "storenode: message record")
		}
		n.replayMessage(at, m, elapsed)
	case recordFate:
		f := &rpc.Fate{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: fate record")
		}
		n.replayFate(f, elapsed)
	case recordFence:
		f := &rpc.PartitionEpoch{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: fence record")
		}
		n.table.RaiseFence(f.Partition, f.Epoch)
	}
	return nil
}

func (n *Node) replayMessage(at applog.Position, m *rpc.Message, elapsed time.Duration) {
	entry := message.FromMessage(m, n.now())
	entry.Arrived -= elapsed
	entry.Due -= elapsed
	entry.BodyBytes, entry.Body = len(m.Body), nil
	entry = n.table.Add(entry, n.now())
	entry.Stored, entry.Record = true, at
}

func (n *Node) replayFate(f *rpc.Fate, elapsed time.Duration) {
	entry := n.table.Get(f.Name)
	if entry == nil && f.State != rpc.State_QUEUED { // the message itself was dropped when the log was rewritten
		n.table.Add(&message.Entry{Name: f.Name, Partition: f.Partition, State: f.State, Stamp: f.Stamp,
			EndedAt: n.now() - elapsed}, n.now())
		return
	}
	if entry == nil {
		return
	}
	entry.Attempts = max(entry.Attempts, f.Attempts)
	if f.State != rpc.State_QUEUED {
		n.table.End(entry, f.State, f.Stamp, n.now())
		entry.EndedAt -= elapsed
	}
}

// start begins to serve.
func (n *Node) start() {
	n.connect(
		cluster.Start(context.Background(), cluster.Options{
			Settings: n.settings, Role: cluster.RoleStore, Disk: n.disk, Address: n.address, Incarnation: n.incarnation,
			Log: n.log, Status: n.status,
		}),
		delivery.New(delivery.Options{Zone: n.settings.Zone, Log: n.log, Now: n.now, MaxSockets: n.settings.Limits.MaxFds / 2}))
}

// connect begins to serve with a coordinator and an engine.
func (n *Node) connect(coordinator coordinator, engine engine) {
	n.timer = time.NewTimer(time.Hour)
	n.engine, n.cluster = engine, coordinator
	n.peers = newPeers(n)
	n.stopping.Add(1)
	go n.loop()
	// The version is acknowledged when the callback returns, and a lease may be granted for that: by then it is in force.
	n.cluster.OnChange(func(view *cluster.View) { n.do(func() { n.changed(view) }) })
}

// status adds what the control plane wants to know to a renewal of the lease.
func (n *Node) status(request *rpc.RenewRequest) {
	request.Leaving = n.leaving.Load()
	request.Backlog = n.backlog.Load()
	request.UnderCopied = n.underCopied.Load()
	request.ReadyPartitions = n.readyPartitions.Load()
	request.Impaired = n.impaired()
}

// do runs a command on the owner goroutine and waits for it. It reports false where the node is closed.
func (n *Node) do(command func()) bool {
	done := make(chan struct{})
	if !n.post(func() { command(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-n.closed:
		return false
	}
}

// post hands a command to the owner goroutine.
func (n *Node) post(command func()) bool {
	select {
	case n.commands <- command:
		return true
	case <-n.closed:
		return false
	}
}

// loop is the owner goroutine.
func (n *Node) loop() {
	defer n.stopping.Done()
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case command := <-n.commands:
			command()
			n.drainCommands()
		case <-n.timer.C:
			n.timerAt = 0
			n.pumpDue = true
		case <-ticker.C:
			n.housekeep()
		case <-n.closed:
			return
		}
		if n.pumpDue {
			n.pumpDue = false
			n.pump()
		}
	}
}

// drainCommands runs what else is queued, so that one look for runnable messages serves many commands.
func (n *Node) drainCommands() {
	for range commandBuffer {
		select {
		case command := <-n.commands:
			command()
		default:
			return
		}
	}
}

// changed takes a new view of the deployment.
func (n *Node) changed(view *cluster.View) {
	old := n.view
	n.view = view
	if view.Config != nil && (old == nil || old.ConfigVersion != view.ConfigVersion) {
		n.engine.SetCatalog(view.ConfigVersion, view.Config)
	}
	if view.Workers != nil && (old == nil || old.Workers != view.Workers) {
		n.engine.SetWorkers(view.Workers.Workers)
	}
	if view.Map != nil && (old == nil || old.Map != view.Map) {
		n.engine.SetDispatchers(max(1, len(view.Map.Stores)))
		n.peers.update(view.Map.Stores)
		n.applyMap(view.Map)
		n.upkeep(n.now()) // what is reported with this map must have been counted by it
	}
	n.reckonLimits()
	n.pumpDue = true
}

// reckonLimits sets how many attempts of each route may be under way here: this store's part of the workers' capacity
// and some more.
func (n *Node) reckonLimits() {
	if n.view.Config == nil || n.view.Workers == nil {
		return
	}
	capacity := map[string]int{}
	for _, worker := range n.view.Workers.Workers {
		if !worker.Draining {
			capacity[worker.Service] += int(worker.Capacity)
		}
	}
	stores := 1
	if n.view.Map != nil {
		stores = max(1, len(n.view.Map.Stores))
	}
	limits := make(map[string]int, len(n.view.Config.Routes))
	for i := range n.view.Config.Routes {
		route := &n.view.Config.Routes[i]
		limits[route.Name] = routeLimit(n.view.Table, route, capacity, stores)
	}
	n.limits = limits
}

const (
	limitSurplus  = 2  // attempts above a store's part of the capacity
	limitEndpoint = 48 // attempts at one endpoint outside
)

func routeLimit(table *catalog.Table, route *catalog.Route, capacity map[string]int, stores int) int {
	service, ok := table.Service(route.Service)
	if !ok {
		return limitSurplus
	}
	if service.StaticEndpoint != nil {
		return min(limitEndpoint, max(1, service.MaxConns*9/10))
	}
	return capacity[service.Name]*3/(2*stores) + limitSurplus
}

// close ends the owner goroutine and closes the log.
func (n *Node) close() error {
	n.engine.Close()
	close(n.closed)
	n.stopping.Wait()
	return errors.Wrap(n.file.Close(), "storenode: close log")
}
