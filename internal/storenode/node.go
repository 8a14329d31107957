// Package storenode is the store role: it keeps messages durably, copies them to other stores, owns partitions, and runs their
// messages at workers.
package storenode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/holdup"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/metrics"
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
	ConfigConfirmed(version uint64) bool
	Kick()
	Store(address string) rpc.Store
	Release(ctx context.Context, partitions []*rpc.PartitionEpoch) error
}

// Engine makes attempts; delivery.Engine implements it.
type Engine interface {
	SetCatalog(version uint64, config *catalog.Config)
	SetWorkers(workers []*rpc.Worker)
	SetDispatchers(count int)
	Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome))
	Close()
}

// Options are what a store is told at its start.
type Options struct {
	Settings *settings.Settings // read and checked
	Log      logr.Logger

	// RoundTripper reaches control processes and other stores; nil for TCP.
	RoundTripper http.RoundTripper
	// Engine makes attempts; nil for a delivery engine.
	Engine Engine
	// AroundSync is called for each sync of the log, which it must carry out; nil to sync at once.
	AroundSync func(sync func() error) error
}

// Node is one store. Create it with Open.
type Node struct {
	options     Options
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
	leave   context.CancelFunc // ends the exchange with the control plane
	engine  Engine

	draw       func(n int) int // a random number in [0, n)
	commands   chan func()     // run by the owner goroutine, which alone touches the fields below
	table      *message.Table
	view       *cluster.View
	holders    holders
	heldChecks heldChecks
	losses     losses
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

	counters        counters
	underCopied     scarceCount
	readyPartitions atomic.Uint32
	refusedAt       atomic.Int64 // when a message was last refused for want of room, by now; 0 for never
	backlog         atomic.Uint64
	configVersion   atomic.Uint64 // of the configuration in force
	closed          chan struct{}
	diskFailed      chan struct{} // closed once the log refuses all writes
	failOnce        sync.Once
	stopping        sync.WaitGroup
}

// Run plays the store role until ctx ends, then hands its partitions over and returns.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	n, err := Open(Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return errors.Wrapf(err, "storenode: listen on %s; free the first port of portRange", n.address)
	}
	server := &http.Server{Handler: n.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	n.Start()
	heldUp := holdup.Watch(ctx, n.log)
	figures := metrics.ServeRole(s, log, func() []metrics.Figure { return append(n.figures(), heldUp.Figures()...) })
	defer func() { _ = figures.Close() }()
	n.log.Info("store started", "node", s.Node, "disk", n.disk, "incarnation", n.incarnation, "messages", n.table.Len())
	select {
	case <-ctx.Done():
	case <-n.diskFailed:
		_ = server.Close()
		return errors.Wrap(applog.ErrWriteFailed, "storenode: end, so that a new start replays the log")
	}
	n.HandOver()
	_ = server.Close()
	return n.Close()
}

// Open reads the log and prepares a node that is not yet running. It fails where the settings name no folder or no port, or where the log
// can't be read.
func Open(options Options) (*Node, error) {
	s := options.Settings
	if s.DataDir == "" {
		return nil, errors.New("storenode: dataDir is empty; a store needs a disk")
	}
	if len(s.PortRange) == 0 {
		return nil, errors.New("storenode: portRange is empty; name the first and the last port")
	}
	n := &Node{
		options: options, settings: s, log: options.Log, leave: func() {}, started: time.Now(), draw: mathrand.IntN,
		address:  net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		domains:  domains{tolerance: s.FaultTolerance, regions: s.Zones},
		commands: make(chan func(), commandBuffer), table: message.NewTable(), limits: map[string]int{},
		releases: map[uint32]uint64{}, owned: make([]atomic.Uint64, maxPartitions), closed: make(chan struct{}),
		diskFailed: make(chan struct{}),
	}
	n.underCopied.store(scarceCopies{lacking: 1}) // not known before upkeep has counted
	if err := n.openLog(options.AroundSync); err != nil {
		return nil, err
	}
	return n, nil
}

// noteDisk ends the process where the log has failed for good: what the disk holds since the last sync is unknown.
func (n *Node) noteDisk(err error) {
	if errors.Is(err, applog.ErrWriteFailed) {
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

// Handler serves the other stores and the dispatchers.
func (n *Node) Handler() http.Handler { return rpc.NewStoreServer(n) }

// Start begins to serve. It returns at once.
func (n *Node) Start() {
	attempts := n.options.Engine
	if attempts == nil {
		attempts = delivery.New(delivery.Options{Zone: n.settings.Zone, Log: n.log, Now: n.now, MaxSockets: n.settings.Limits.MaxFds / 2})
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.leave = cancel
	n.connect(cluster.Start(ctx, cluster.Options{
		Settings: n.settings, Role: cluster.RoleStore, Disk: n.disk, Address: n.address, Incarnation: n.incarnation,
		Log: n.log, RoundTripper: n.options.RoundTripper, Status: n.status,
	}), attempts)
}

// connect begins to serve with a coordinator and an engine.
func (n *Node) connect(coordinator coordinator, engine Engine) {
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
	scarce := n.underCopied.read()
	request.UnderCopied = scarce.lacking + scarce.unconfirmed
	request.Unconfirmed = scarce.unconfirmed
	request.UnconfirmedUnder = scarce.placedUnder
	request.ReadyPartitions = n.readyPartitions.Load()
	request.Impaired = n.impaired()
}

// changed takes a new view of the deployment.
func (n *Node) changed(view *cluster.View) {
	old := n.view
	n.view = view
	if view.Config != nil && (old == nil || old.ConfigVersion != view.ConfigVersion) {
		n.engine.SetCatalog(view.ConfigVersion, view.Config)
		n.configVersion.Store(view.ConfigVersion)
	}
	if view.Workers != nil && (old == nil || old.Workers != view.Workers) {
		n.engine.SetWorkers(view.Workers.Workers)
	}
	if view.Map != nil && (old == nil || old.Map != view.Map) {
		n.engine.SetDispatchers(max(1, len(view.Map.Stores)))
		n.reckonHolders(view.Map)
		n.peers.update(view.Map.Stores)
		n.noteOwners(view)
		n.applyMap(view.Map)
		n.upkeep(n.now()) // what is reported with this map must have been counted by it
	}
	n.reckonLimits()
	n.pumpDue = true
}

// Close ends all work at once and closes the log. HandOver goes before it where there is time.
func (n *Node) Close() error {
	n.leave()
	n.engine.Close()
	close(n.closed)
	n.stopping.Wait()
	return errors.Wrap(n.file.Close(), "storenode: close log")
}
