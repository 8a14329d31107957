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
	leastStreams      = 256
	keptDescriptors   = 512 // for other connections and files
	streamShare       = 0.5 // of the machine's link, at most, for long frames of the stream
	bytesPerMegabit   = 1e6 / 8
	headerTimeout     = 5 * time.Second // for the head of a request
	idleTimeout       = time.Minute     // of a connection without a request
	maxHeaderBytes    = 16 << 10
	closeTimeout      = 500 * time.Millisecond // for answers under way at the end
	resignPause       = 50 * time.Millisecond  // for the resignation to leave
	recordName        = "control"              // of the files in dataDir
	folderPermissions = 0o755
)

// Options are what a Server is told at its start.
type Options struct {
	Settings *settings.Settings // read and checked
	Log      logr.Logger
	Timing   failover.Timing // the zero value for the defaults
	// StoreLease is the longest lease that this process grants to a store; 0 for the default.
	StoreLease time.Duration
	// RoundTripper reaches the other control processes; nil for TCP.
	RoundTripper http.RoundTripper
	// Platform reaches the platform; nil for TCP.
	Platform http.RoundTripper
}

// Server is the control role of one process. Create it with New and run it with Run.
type Server struct {
	address string // host:port of this process, as the others reach it
	zone    string
	hasDisk bool
	log     logr.Logger

	storeLease time.Duration // longest that this process grants to a store

	platform http.RoundTripper // nil for TCP

	current atomic.Pointer[settings.Settings]
	node    node
	store   *failover.FileStore // nil without a disk
	state   *replicatedState
	hub     *watch.Hub
	peers   *peerTable
	clients *clients
	hint    atomic.Pointer[leaderHint]
	term    atomic.Pointer[term] // nil while another process leads

	calls          callCounters
	orderSlots     chan struct{}
	leadershipWake chan struct{}
	plannerWake    chan struct{}
	working        sync.WaitGroup
	published      publishedVersions
}

// New opens the data folder and starts the node of this process. It fails where the settings name no control
// address, or where the folder can't be read.
func New(options Options) (*Server, error) {
	wanted := options.Settings
	if wanted.Listen.Control == "" {
		return nil, errors.New("listen.control is empty: give this role an address to serve control on")
	}
	server := &Server{
		address:        wanted.Listen.Control,
		zone:           wanted.Zone,
		hasDisk:        wanted.DataDir != "",
		log:            options.Log,
		platform:       options.Platform,
		hub:            watch.NewHub(partCount, max(leastStreams, options.Settings.Limits.MaxFds-keptDescriptors)),
		peers:          newPeerTable(),
		clients:        newClients(options.RoundTripper),
		storeLease:     cmp.Or(options.StoreLease, defaultStoreLease),
		orderSlots:     make(chan struct{}, maxOrders),
		leadershipWake: make(chan struct{}, 1),
		plannerWake:    make(chan struct{}, 1),
	}
	server.current.Store(wanted)
	server.hub.LimitRate(streamShare * bytesPerMegabit * wanted.Limits.LinkMbps)
	if err := server.openNode(options.Timing); err != nil {
		return nil, err
	}
	server.state = newReplicatedState(server.node)
	return server, nil
}

// openNode starts the node on the disk; a process without one gets a stand-in.
func (s *Server) openNode(timing failover.Timing) error {
	if !s.hasDisk {
		s.node = outsider{}
		return nil
	}
	wanted := s.settings()
	if err := os.MkdirAll(wanted.DataDir, folderPermissions); err != nil {
		return errors.Wrap(err, "create the data folder: check dataDir in the settings")
	}
	store, err := failover.OpenFileStore(filepath.Clean(wanted.DataDir), recordName)
	if err != nil {
		return errors.Wrap(err, "open the data folder: check dataDir in the settings")
	}
	node, err := startNode(failover.Config{
		Address:   s.address,
		Bootstrap: wanted.Bootstrap,
		Seeds:     wanted.Seeds,
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

// settings returns the newest settings.
func (s *Server) settings() *settings.Settings {
	return s.current.Load()
}

// copies is the number of copies that a message needs.
func (s *Server) copies() int {
	return tolerated(s.settings()) + 1
}

// tolerated is the largest number of machines, zones or regions that may be lost at one time.
func tolerated(settings *settings.Settings) int {
	tolerance := settings.FaultTolerance
	return max(tolerance.Machines, tolerance.Zones, tolerance.Regions)
}

// identity names the disk of this process; empty without one.
func (s *Server) identity() string {
	return s.node.Status().Identity
}

func (s *Server) client(address string) rpc.Control {
	return s.clients.get(address)
}

// Handler serves everything that this role serves.
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

// Run serves until the context ends, then gives the leadership up and closes. It returns the error that ended
// it, nil after the end of the context.
func (s *Server) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		return errors.Wrap(err, "listen: check listen.control in the settings")
	}
	return s.Serve(ctx, listener)
}

// Serve is Run on a listener of the caller's, which it closes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	s.start(running)
	heldUp := holdup.Watch(running, s.log)
	figures := metrics.ServeRole(s.settings(), s.log, func() []metrics.Metric { return append(s.Figures(), heldUp.Figures()...) })
	defer func() { _ = figures.Close() }()
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
	s.working.Wait()
	s.closeServer(server)
	s.close()
	return err
}

// start starts what runs at every control process.
func (s *Server) start(ctx context.Context) {
	s.working.Add(2)
	go func() {
		defer s.working.Done()
		s.runLeadership(ctx)
	}()
	go func() {
		defer s.working.Done()
		s.runJoin(ctx)
	}()
}

// closeServer lets answers under way finish for a moment.
func (s *Server) closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

// close ends the node, after its resignation had time to leave, and the files.
func (s *Server) close() {
	time.Sleep(resignPause)
	s.node.Close()
	s.clients.close()
	if s.store != nil {
		s.store.Close()
	}
}

// Reload takes newer settings: seeds, the platform's address and the fault tolerance. What a process listens on
// and where it keeps its state stay as they were at its start.
func (s *Server) Reload(newer *settings.Settings) {
	s.current.Store(newer)
}
