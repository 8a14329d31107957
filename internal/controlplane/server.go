package controlplane

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/failover"
	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/holdup"
	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

const (
	minStreams          = 256
	reservedDescriptors = 512 // file descriptors for other connections and files
	maxStreamLinkShare  = 0.5 // of the machine's link bandwidth, for large frames of the stream
	bytesPerMegabit     = 1e6 / 8
	headerTimeout       = 5 * time.Second // for reading request headers
	idleTimeout         = time.Minute     // for a connection without a request
	maxHeaderBytes      = 16 << 10
	closeTimeout        = 500 * time.Millisecond // for requests in progress at shutdown
	resignGracePeriod   = 50 * time.Millisecond  // lets the resignation reach the other voters
	recordFileName      = "control"              // prefix of the file names in dataDir
	dataDirPermissions  = 0o755
)

// Options configures a Server.
type Options struct {
	Settings *settings.Settings // parsed and validated
	Log      logr.Logger
	Timing   failover.Timing // the zero value selects the defaults
	// StoreLease is the longest lease that this process grants to a store; 0 selects the default.
	StoreLease time.Duration
	// RoundTripper carries calls to the other control processes; nil selects TCP.
	RoundTripper http.RoundTripper
	// Platform carries calls to the platform API; nil selects TCP.
	Platform http.RoundTripper
}

// Server is the control role of one process. Create it with New and run it with Run.
type Server struct {
	address string // host:port at which other processes reach this one
	zone    string
	hasDisk bool
	log     logr.Logger

	storeLease time.Duration // longest lease that this process grants to a store

	platform http.RoundTripper // nil selects TCP

	currentSettings atomic.Pointer[settings.Settings]
	node            node
	store           *failover.FileStore // nil without a disk
	state           *replicatedState
	hub             *watch.Hub
	peers           *peerTable
	clients         *clients
	hint            atomic.Pointer[leaderHint]
	term            atomic.Pointer[term] // nil while this process does not lead

	callCounts     callCounters
	requestSlots   chan struct{}
	leadershipWake chan struct{}
	plannerWake    chan struct{}
	discoveryWake  chan struct{}
	background     sync.WaitGroup
	published      publishedVersions
}

// New opens the data directory and starts the consensus node of this process. It returns an error if the settings
// contain no control address or the data directory can't be read.
func New(options Options) (*Server, error) {
	initial := options.Settings
	if initial.Listen.Control == "" {
		return nil, errors.New("listen.control is empty: set the address on which the control role listens")
	}
	server := &Server{
		address:        initial.Listen.Control,
		zone:           initial.Zone,
		hasDisk:        initial.DataDir != "",
		log:            options.Log,
		platform:       options.Platform,
		hub:            watch.NewHub(partCount, max(minStreams, options.Settings.Limits.MaxFds-reservedDescriptors)),
		peers:          newPeerTable(),
		clients:        newClients(options.RoundTripper),
		storeLease:     cmp.Or(options.StoreLease, defaultStoreLease),
		requestSlots:   make(chan struct{}, maxConcurrentRequests),
		leadershipWake: make(chan struct{}, 1),
		plannerWake:    make(chan struct{}, 1),
		discoveryWake:  make(chan struct{}, 1),
	}
	server.currentSettings.Store(initial)
	server.hub.LimitRate(maxStreamLinkShare * bytesPerMegabit * initial.Limits.LinkMbps)
	if err := server.openNode(options.Timing); err != nil {
		return nil, err
	}
	server.state = newReplicatedState(server.node)
	return server, nil
}

// openNode starts the consensus node on the files in dataDir; a process without a disk gets a disklessNode.
func (s *Server) openNode(timing failover.Timing) error {
	if !s.hasDisk {
		s.node = disklessNode{}
		return nil
	}
	configured := s.settings()
	if err := os.MkdirAll(configured.DataDir, dataDirPermissions); err != nil {
		return errors.Wrap(err, "create the data directory: check dataDir in the settings")
	}
	store, err := failover.OpenFileStore(filepath.Clean(configured.DataDir), recordFileName)
	if err != nil {
		return errors.Wrap(err, "open the data directory: check dataDir in the settings")
	}
	node, err := startNode(failover.Config{
		Address:   s.address,
		Bootstrap: configured.Bootstrap,
		Seeds:     configured.Seeds,
		Timing:    timing,
		Storage:   store,
		Transport: &transport{clients: s.clients},
		OnChange:  func(failover.Status) { s.wakeLeadership() },
		Log:       s.log,
	})
	if err != nil {
		store.Close()
		return err
	}
	s.node = node
	s.store = store
	return nil
}

// settings returns the settings that were loaded last.
func (s *Server) settings() *settings.Settings {
	return s.currentSettings.Load()
}

// requiredCopies returns the number of copies that each message must have.
func (s *Server) requiredCopies() int {
	return toleratedFailures(s.settings()) + 1
}

// toleratedFailures returns the largest number of machines, zones or regions that may fail at the same time.
func toleratedFailures(settings *settings.Settings) int {
	tolerance := settings.FaultTolerance
	return max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
}

// identity returns the ID of the disk of this process, empty if it has none.
func (s *Server) identity() string {
	return s.node.Status().Identity
}

func (s *Server) client(address string) rpc.Control {
	return s.clients.get(address)
}

// Handler returns the handler for the control service, the View stream, the status, the metrics and the operator's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(&service{server: s}))
	mux.HandleFunc("GET /internal/watch", s.handleWatch)
	mux.HandleFunc("GET /internal/status", s.handleStatus)
	mux.HandleFunc("POST /internal/stores/{node}/abandon", s.leaderOnly(s.handleAbandon))
	mux.Handle("GET "+metrics.Path, metrics.Handler(s.Figures))
	mux.HandleFunc("POST /api/config/replace", s.leaderOnly(s.handleReplace))
	mux.HandleFunc("POST /api/config/update", s.leaderOnly(s.handleUpdate))
	mux.HandleFunc("GET /api/config/read", s.leaderOnly(s.handleRead))
	mux.HandleFunc("POST /api/retire/{node}/start", s.leaderOnly(s.handleRetireStart))
	mux.HandleFunc("GET /api/retire/{node}/read", s.leaderOnly(s.handleRetireRead))
	return mux
}

// Run serves until the context ends, then resigns the leadership and closes. It returns the error that stopped
// it, or nil if the context ended.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return errors.Wrap(err, "listen: check listen.control in the settings")
	}
	return s.Serve(ctx, listener)
}

// Serve is like Run but uses the given listener, which it closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(running)
	stalls := holdup.Watch(running, s.log)
	metricsServer := metrics.ServeRole(s.settings(), s.log, func() []metrics.Metric { return append(s.Figures(), stalls.Figures()...) })
	defer func() { _ = metricsServer.Close() }()
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			watch.SetUserTimeout(connection, watch.DefaultSilenceTimeout)
			return ctx
		},
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		err = errors.Wrap(err, "serve")
	}
	s.node.Resign()
	cancel()
	s.background.Wait()
	s.closeServer(server)
	s.close()
	return err
}

// start starts the goroutines that run in every control process.
func (s *Server) start(ctx context.Context) {
	s.background.Add(2)
	go func() {
		defer s.background.Done()
		s.runLeadership(ctx)
	}()
	go func() {
		defer s.background.Done()
		s.runJoin(ctx)
	}()
}

// closeServer lets requests in progress finish within closeTimeout.
func (s *Server) closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// close closes the node, once its resignation had time to be sent, and the files.
func (s *Server) close() {
	time.Sleep(resignGracePeriod)
	s.node.Close()
	s.clients.close()
	if s.store != nil {
		s.store.Close()
	}
}

// Reload applies updated settings: seeds, the platform's address and rate, and the fault tolerance. A running term takes them into use.
// Listen addresses and the data directory stay as they were at the start of the process.
func (s *Server) Reload(updated *settings.Settings) {
	s.currentSettings.Store(updated)
	select {
	case s.discoveryWake <- struct{}{}:
	default: // a wake-up is pending already
	}
}
