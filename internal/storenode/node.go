// Package storenode implements the store role: it stores messages durably, replicates them to other stores, owns partitions, and delivers
// their messages to workers.
//
// All mutable state of a Node, its message table included, belongs to one event loop goroutine (see do and post). RPC handlers and timers
// change it by posting commands to that goroutine.
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
	logFileName          = "messages.log"
	commandQueueLength   = 1024
	housekeepingInterval = time.Second
	maxPartitions        = 1 << 16
)

// coordinator is the part of the control plane client that a store uses; cluster.Client implements it.
type coordinator interface {
	View() *cluster.View
	OnChange(func(*cluster.View))
	LeaseValid() bool
	ConfigConfirmed(version uint64) bool
	NewestConfig() (version uint64, requestedAt time.Time)
	Kick()
	Store(address string) rpc.Store
	Release(ctx context.Context, partitions []*rpc.PartitionEpoch) error
}

// Engine performs delivery attempts at workers; delivery.Engine implements it.
type Engine interface {
	SetCatalog(version uint64, config *catalog.Config)
	SetWorkers(workers []*rpc.Worker)
	SetDispatchers(count int)
	GrantPermits(service string, count int, done func(granted int, waited time.Duration))
	Submit(job *delivery.Job, guard func() bool, done func(delivery.Outcome))
	Close()
}

// Options configure a Node.
type Options struct {
	Settings *settings.Settings // loaded and validated; must not be nil
	Log      logr.Logger

	// RoundTripper carries calls to control processes and other stores; nil for TCP.
	RoundTripper http.RoundTripper
	// Engine performs delivery attempts; nil for a delivery.Engine.
	Engine Engine
	// AroundSync, if set, is called in place of each sync of the log and must call sync. It serves fault injection.
	AroundSync func(sync func() error) error
}

// Node is one store. Create it with Open, then call Start. Its RPC methods are safe for concurrent use.
type Node struct {
	options        Options
	settings       *settings.Settings
	log            logr.Logger
	disk           string // identity of the disk, created when the disk is first used
	incarnation    string // identity of this start of the process; a later start on the same disk sorts higher
	startCount     uint64 // number of starts of the process on this disk
	address        string // host and port on which the store serves
	started        time.Time
	failureDomains failureDomains

	file       *applog.Log
	cluster    coordinator
	disconnect context.CancelFunc // ends the connection to the control plane
	engine     Engine

	drawRandom        func(n int) int // returns a random number in [0, n)
	commands          chan func()     // executed by the event loop goroutine, which alone accesses the fields from here to rewriteNeeded
	table             *message.Table
	view              *cluster.View
	replicaPolicy     replicaPolicy
	copyChecks        copyChecks
	diskLosses        diskLosses
	attemptLimits     map[string]int // by route: maximum number of attempts in progress
	schedulePending   bool           // scheduleAttempts must run after the current event
	timer             *time.Timer
	timerAt           time.Duration     // time (see now) for which timer is set; 0 if it is not
	requestedReleases map[uint32]uint64 // by partition: epoch whose release was requested from the control plane
	verifyQueue       []*message.Entry  // entries whose records are verified next
	verifyRunning     bool              // a batch of records is being verified
	upkeepScheduled   bool              // an additional upkeep run is scheduled

	unroutedCheckPending bool          // routes have changed since upkeep looked for messages without one
	awaitedConfig        awaitedConfig // configuration that messages need and that is not in force here

	rewriteNeeded bool // the log had no space for a fate or a fence, so it must be rewritten

	peers         *peers
	attemptEpochs []atomic.Uint64 // by partition: epoch under which attempts may start; 0 for none
	leaving       atomic.Bool     // HandOver was called

	counters        counters
	underCopied     underCopiedGauge
	readyPartitions atomic.Uint32 // partitions owned and ready
	lastRefusedAt   atomic.Int64  // time (see now) at which a message was last refused for lack of space; 0 for never
	backlog         atomic.Uint64 // messages that have not ended
	configVersion   atomic.Uint64 // of the configuration in force
	closed          chan struct{}
	diskFailed      chan struct{} // closed once the log refuses all writes
	diskFailedOnce  sync.Once
	goroutines      sync.WaitGroup
}

// Run runs the store role until ctx ends, then hands over its partitions and returns. It returns an error if the store can't be opened,
// can't listen, or if its log fails for good.
func Run(ctx context.Context, s *settings.Settings, log logr.Logger) error {
	n, err := Open(Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", n.address)
	if err != nil {
		return errors.Wrapf(err, "storenode: listen on %s; the first port of portRange must be free", n.address)
	}
	server := &http.Server{Handler: n.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	n.Start()
	holdups := holdup.Watch(ctx, n.log)
	metricsServer := metrics.ServeRole(s, log, func() []metrics.Metric { return append(n.metricValues(), holdups.Figures()...) })
	defer func() { _ = metricsServer.Close() }()
	n.log.Info("store started", "node", s.Node, "disk", n.disk, "incarnation", n.incarnation, "messages", n.table.Len())
	select {
	case <-ctx.Done():
	case <-n.diskFailed:
		_ = server.Close()
		return errors.Wrap(applog.ErrWriteFailed, "storenode: stopping; restart the process to replay the log")
	}
	n.HandOver()
	_ = server.Close()
	return n.Close()
}

// Open replays the log and returns a node that is not running yet. It returns an error if the settings name no data directory or no port,
// or if the log can't be read.
func Open(options Options) (*Node, error) {
	s := options.Settings
	if s.DataDir == "" {
		return nil, errors.New("storenode: dataDir is empty; set it to a directory on the disk of this store")
	}
	if len(s.PortRange) == 0 {
		return nil, errors.New("storenode: portRange is empty; set the first and the last port")
	}
	n := &Node{
		options: options, settings: s, log: options.Log, disconnect: func() {}, started: time.Now(), drawRandom: mathrand.IntN,
		address:        net.JoinHostPort(s.IP, strconv.Itoa(s.PortRange[0])),
		failureDomains: failureDomains{tolerance: s.FaultTolerance, regionByZone: s.Zones},
		commands:       make(chan func(), commandQueueLength), table: message.NewTable(), attemptLimits: map[string]int{},
		requestedReleases: map[uint32]uint64{}, attemptEpochs: make([]atomic.Uint64, maxPartitions), closed: make(chan struct{}),
		diskFailed: make(chan struct{}),
	}
	n.underCopied.set(underCopiedCount{missing: 1}) // unknown until the first upkeep run has counted
	if err := n.openLog(options.AroundSync); err != nil {
		return nil, err
	}
	return n, nil
}

// reportDiskError makes Run return if the log has failed for good: what the disk holds since the last sync is unknown, and only a restart,
// which replays the log, can tell.
func (n *Node) reportDiskError(err error) {
	if errors.Is(err, applog.ErrWriteFailed) {
		n.diskFailedOnce.Do(func() { close(n.diskFailed) })
	}
}

// now returns the time since the start of the process, the clock of the message table and of all timers.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// newRandomID returns a random identity of 16 hexadecimal digits.
func newRandomID() string {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(random[:])
}

// Handler returns the HTTP handler for calls of other stores and dispatchers.
func (n *Node) Handler() http.Handler { return rpc.NewStoreServer(n) }

// Start connects to the control plane and starts serving. It returns at once.
func (n *Node) Start() {
	engine := n.options.Engine
	if engine == nil {
		engine = delivery.New(delivery.Options{Zone: n.settings.Zone, Log: n.log, Now: n.now, MaxSockets: n.settings.Limits.MaxFds / 2,
			Rates: rateOwnership{n}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.disconnect = cancel
	n.startWith(cluster.Start(ctx, cluster.Options{
		Settings: n.settings, Role: cluster.RoleStore, Disk: n.disk, Address: n.address, Incarnation: n.incarnation,
		Log: n.log, RoundTripper: n.options.RoundTripper, Status: n.fillRenewRequest,
	}), engine)
}

// startWith starts serving with the given coordinator and engine.
func (n *Node) startWith(coordinator coordinator, engine Engine) {
	n.timer = time.NewTimer(time.Hour)
	n.engine, n.cluster = engine, coordinator
	n.peers = newPeers(n)
	n.goroutines.Add(1)
	go n.loop()
	// The client acknowledges a version once the callback returns, and a lease may be granted for that, so the view must be in force by
	// then.
	n.cluster.OnChange(func(view *cluster.View) { n.do(func() { n.applyView(view) }) })
}

// fillRenewRequest adds the store's status to a renewal of its lease.
func (n *Node) fillRenewRequest(request *rpc.RenewRequest) {
	request.Leaving = n.leaving.Load()
	request.Backlog = n.backlog.Load()
	underCopied := n.underCopied.snapshot()
	request.UnderCopied = underCopied.missing + underCopied.unconfirmed
	request.Unconfirmed = underCopied.unconfirmed
	request.UnconfirmedUnder = underCopied.placedUnder
	request.ReadyPartitions = n.readyPartitions.Load()
	request.Impaired = n.isImpaired()
}

// applyView puts a new view of the deployment in force.
func (n *Node) applyView(view *cluster.View) {
	old := n.view
	n.view = view
	if view.Config != nil && (old == nil || old.ConfigVersion != view.ConfigVersion) {
		n.applyConfig(old)
	}
	if view.Workers != nil && (old == nil || old.Workers != view.Workers) {
		n.engine.SetWorkers(view.Workers.Workers)
	}
	if view.Map != nil && (old == nil || old.Map != view.Map) {
		n.engine.SetDispatchers(max(1, len(view.Map.Stores)))
		n.updateReplicaPolicy(view.Map)
		n.peers.update(view.Map.Stores)
		n.noteFormerOwners(view)
		n.applyMap(view.Map)
		n.upkeep(n.now()) // the counts reported with this map version must be based on it
	}
	n.updateAttemptLimits()
	n.schedulePending = true
}

// Close stops all work at once and closes the log. For a graceful stop, call HandOver first.
func (n *Node) Close() error {
	n.disconnect()
	n.engine.Close()
	close(n.closed)
	n.goroutines.Wait()
	return errors.Wrap(n.file.Close(), "storenode: close log")
}
