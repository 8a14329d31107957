// Package gossip connects a dispatcher to the other members of its fleet: memberlist's unmodified protocol (SWIM with Lifeguard)
// carries the view's records in CBOR. It reports reachability and received records to the reducer and sends the reducer's updates;
// it makes no decisions.
package gossip

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

const (
	reportInterval    = 500 * time.Millisecond // between two reachability reports without changes
	pollInterval      = time.Second            // between two lease queries to a member
	minSyncInterval   = time.Second            // between two full-state exchanges with a member
	minRejoinInterval = time.Second            // first pause between attempts to reach unreachable members, doubled up to maxRejoinInterval
	maxRejoinInterval = 5 * time.Second        // bounds how long after a partition the two sides rejoin
	rejoinBatch       = 3                      // addresses tried per attempt
	maxSuccessorDelay = 3 * time.Second        // how long a successor waits to reach a member before it reports reachability
	leaveTimeout      = 500 * time.Millisecond
	maxLogBurst       = 50 // log lines in a burst
	logLinesPerS      = 5  // sustained
	silentProbes      = 10 // probe intervals without any datagram received, after which all members count as unreachable
	leaveNotifyCount  = 3  // members that are notified of a leave directly
	retransmitMult    = 4  // memberlist's RetransmitMult
	dialTimeout       = 2 * time.Second
	processIDBits     = 62 // of a process id
)

// Config configures a member.
type Config struct {
	Fleet     string         // fleet name; members with another one are ignored
	Name      string         // of this dispatcher
	Listen    netip.AddrPort // UDP and TCP address
	Advertise netip.AddrPort // address advertised to others; the zero value means Listen
	Seeds     []string       // host:port
	Allow     []netip.Prefix // allowed peers; empty means loopback and private addresses
	Probe     time.Duration  // probe interval
	Lease     time.Duration  // how long this member may act without contact with a majority; 0 for no limit
}

func isLocalAddr(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() }

// Node is this process as a member of the fleet.
type Node struct {
	cfg       atomic.Pointer[Config]
	process   uint64
	t         *transport
	post      func(core.Event)
	clock     func() float64 // the reducer's clock, in seconds
	log       logrus.FieldLogger
	list      *memberlist.Memberlist
	queue     *memberlist.TransmitLimitedQueue
	inherited bool // the sockets come from a predecessor

	picture         atomic.Pointer[membership.Picture]
	hints           atomic.Pointer[[]core.Hint]
	cachedState     atomic.Pointer[cachedState]      // encoded full state
	unreadable      atomic.Uint64                    // undecodable messages
	dropped         atomic.Uint64                    // configuration requests and replies that were dropped
	held            atomic.Pointer[core.ConfigHeld]  // configuration that this member applies
	requestedConfig atomic.Pointer[core.FetchConfig] // last configuration requested
	configServer    configServer

	mu          sync.Mutex
	peerDigests map[uint64]uint64 // digests received since the last report, by process
	suspected   map[uint64]bool
	syncedAt    map[uint64]time.Time
	wake        chan struct{} // triggers a reachability report
	sync        chan string   // addresses for full-state exchanges
	left        chan struct{} // closed once the reducer is in state Left
	leftClosed  bool          // left is closed; this and the fields below belong to the reducer's goroutine

	logTokens       float64 // lines that may be logged now
	logTokensAt     time.Time
	unloggedChanges int
}

// NewProcessID returns a random id, never 0.
func NewProcessID() uint64 { return rand.Uint64()>>(64-processIDBits) | 1 }

// New returns a node, which starts with Run. process is a new id, or the predecessor's if the sockets are inherited. clock returns the
// reducer's time in seconds.
func New(cfg Config, s *Sockets, process uint64, inherited bool, clock func() float64, post func(core.Event), log logrus.FieldLogger) *Node {
	n := &Node{process: process, clock: clock, post: post, log: log, inherited: inherited, peerDigests: map[uint64]uint64{}, suspected: map[uint64]bool{},
		syncedAt: map[uint64]time.Time{}, wake: make(chan struct{}, 1), sync: make(chan string, 8), left: make(chan struct{}), configServer: configServer{queue: make(chan configRequest, maxQueuedRequests)}}
	n.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: func() int { return max(1, n.size()) }}
	n.cfg.Store(&cfg)
	n.t = newTransport(s, cfg.advertised(s), n.allowed)
	n.t.refused = func(p uint64) { n.post(core.FleetRefused{Process: p}) }
	n.t.suspected = func(p uint64) {
		n.mu.Lock()
		n.suspected[p] = true
		n.mu.Unlock()
	}
	return n
}

func (c Config) advertised(s *Sockets) netip.AddrPort {
	if c.Advertise.IsValid() {
		return c.Advertise
	}
	return s.Addr()
}

// Key returns the key of this member in the views.
func (n *Node) Key() membership.Key {
	return membership.Key{Name: n.cfg.Load().Name, Addr: n.t.advertise.String()}
}

func (n *Node) allowed(a netip.Addr) bool {
	c := n.cfg.Load()
	if len(c.Allow) == 0 {
		return isLocalAddr(a)
	}
	for _, p := range c.Allow {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// Configure applies new seeds and allowed addresses. It reports whether other settings differ, which need a restart.
func (n *Node) Configure(next Config) (restart bool) {
	now := *n.cfg.Load()
	restart = next.Fleet != now.Fleet || next.Listen != now.Listen || next.Advertise != now.Advertise || next.Probe != now.Probe
	now.Seeds, now.Allow = next.Seeds, next.Allow
	n.cfg.Store(&now)
	n.triggerReport()
	return restart
}

func nodeName(name string, process uint64) string {
	return name + "~" + strconv.FormatUint(process, 16)
}

// processOf returns the process id in a memberlist node name.
func processOf(node string) (uint64, bool) {
	at := strings.LastIndexByte(node, '~')
	if at < 0 {
		return 0, false
	}
	p, err := strconv.ParseUint(node[at+1:], 16, 64)
	return p, err == nil && p != 0
}

// Run takes part in the fleet until the context ends. It returns an error if memberlist can't be started.
func (n *Node) Run(ctx context.Context) error {
	cfg := n.cfg.Load()
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = nodeName(cfg.Name, n.process), cfg.Fleet, n.t
	c.BindAddr, c.BindPort = n.t.Addr().Addr().String(), int(n.t.Addr().Port())
	c.AdvertiseAddr, c.AdvertisePort = n.t.advertise.Addr().String(), int(n.t.advertise.Port())
	c.ProbeInterval, c.ProbeTimeout = cfg.Probe, cfg.Probe/2
	c.TCPTimeout = dialTimeout
	c.EnableCompression = false
	c.Logger = log.New(&debugLogger{log: n.log}, "", 0)
	c.Delegate, c.Ping, c.Events = n, n, n
	c.DNSConfigPath = "/etc/resolv.conf"
	n.t.run()
	list, err := memberlist.Create(c)
	if err != nil {
		n.t.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	n.mu.Lock()
	n.list = list
	n.mu.Unlock()
	go n.exchange(ctx)
	go n.rejoin(ctx)
	go n.poll(ctx)
	go n.serveConfigs(ctx)
	n.reportReachability(ctx)
	list.Shutdown()
	return nil
}

func (n *Node) size() int {
	if p := n.picture.Load(); p != nil {
		return p.Reached
	}
	return 1
}

// node returns memberlist's node of a process, or nil if memberlist doesn't reach it.
func (n *Node) node(process uint64) *memberlist.Node {
	n.mu.Lock()
	list := n.list
	n.mu.Unlock()
	if list == nil {
		return nil
	}
	for _, m := range list.Members() {
		if p, ok := processOf(m.Name); ok && p == process {
			return m
		}
	}
	return nil
}

func (n *Node) send(to *memberlist.Node, p message) {
	if text, err := cbor.Marshal(p); err == nil {
		n.list.SendBestEffort(to, text)
	}
}

// Picture returns the reducer's latest picture of the view, or nil before the first.
func (n *Node) Picture() *membership.Picture { return n.picture.Load() }

// Counts returns the counters since this process started.
func (n *Node) Counts() Counts {
	t := n.t
	return Counts{Sent: t.sent.Load(), SentBytes: t.sentBytes.Load(), Taken: t.received.Load(), TakenBytes: t.receivedBytes.Load(),
		Opened: t.opened.Load(), Strangers: t.strangers.Load(), Full: t.full.Load(), Unreadable: n.unreadable.Load(), Dropped: n.dropped.Load()}
}

// Leave notifies others that this process shuts down in order and acts no more.
func (n *Node) Leave() {
	n.post(core.FleetEntered{State: membership.Left})
	select {
	case <-n.left:
	case <-time.After(leaveTimeout):
		return
	}
	n.mu.Lock()
	list := n.list
	n.mu.Unlock()
	p := n.picture.Load()
	if list == nil || p == nil {
		return
	}
	// Gossip ends with this process, so some members are notified directly.
	text, err := encodeRecords(p.SyncRecords())
	notified := 0
	for _, m := range list.Members() {
		if process, ok := processOf(m.Name); err == nil && ok && process != n.process && notified < leaveNotifyCount {
			if list.SendReliable(m, text) == nil {
				notified++
			}
		}
	}
	list.Leave(leaveTimeout)
}

// debugLogger writes memberlist's log lines at debug level; relevant changes are logged from the view.
type debugLogger struct{ log logrus.FieldLogger }

var _ io.Writer = (*debugLogger)(nil)

func (l *debugLogger) Write(text []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(text)))
	return len(text), nil
}
