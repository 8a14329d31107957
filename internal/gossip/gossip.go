// Package gossip is a member's way to the other dispatchers of its fleet: memberlist's protocol (SWIM with Lifeguard) as it is,
// with the view's records in CBOR beside it. It tells the reducer whom it reaches and what others say, and others what the
// reducer says; it decides nothing.
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
	lookEvery  = 500 * time.Millisecond
	askEvery   = time.Second
	syncPause  = time.Second     // between two exchanges with one member
	seekLeast  = time.Second     // between two tries to meet those out of reach, growing to
	seekMost   = 5 * time.Second // which bounds how long after a partition two sides meet
	seekAtOnce = 3               // addresses for each try
	meetMost   = 3 * time.Second // for a successor to meet somebody before it says whom it reaches
	leaveMost  = 500 * time.Millisecond
	mostLines  = 50 // of the log at once
	linesAS    = 5  // and for good
	silentFor  = 10 // times the pause between two questions, without any word from anybody, until nobody is reached
	leaveTo    = 3  // members that are told of a leave one by one
	retransmit = 4
	dialMost   = 2 * time.Second
	drawnBits  = 62 // of a process's number
)

// Config says how a member takes part.
type Config struct {
	Fleet     string         // that both sides must say
	Name      string         // of this dispatcher
	Listen    netip.AddrPort // for datagrams and connections
	Advertise netip.AddrPort // where others find it; the zero value for Listen
	Seeds     []string       // host:port
	Allow     []netip.Prefix // of peers; empty for loopback and private addresses
	Probe     time.Duration  // between two questions
	Lease     time.Duration  // for which this member may act without touch with the fleet; 0 for any time
}

func near(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() }

// Node is this process as a member.
type Node struct {
	cfg     atomic.Pointer[Config]
	process uint64
	t       *transport
	post    func(core.Event)
	clock   func() float64 // the reducer's
	log     logrus.FieldLogger
	list    *memberlist.Memberlist
	queue   *memberlist.TransmitLimitedQueue
	taken   bool // over from another process

	picture atomic.Pointer[membership.Picture]
	hints   atomic.Pointer[[]core.Hint]
	packed  atomic.Pointer[packed] // what Told says, written down
	foreign atomic.Uint64          // messages that can't be read
	dropped atomic.Uint64          // questions for a configuration, and answers, that were dropped
	held    atomic.Pointer[core.ConfigHeld]
	asking  atomic.Pointer[core.FetchConfig] // what was asked for last
	giving  giving

	mu      sync.Mutex
	heard   map[uint64]uint64 // digests that were told since the last look
	doubted map[uint64]bool
	synced  map[uint64]time.Time
	wake    chan struct{}
	sync    chan string   // addresses to exchange everything with
	left    chan struct{} // closed when the reducer has entered Left
	ended   bool          // it is; of the reducer's goroutine, as are those below

	lines    float64 // that may be logged now
	linesAt  time.Time
	unlogged int
}

// NewProcessID draws a process's number.
func NewProcessID() uint64 { return rand.Uint64()>>(64-drawnBits) | 1 }

// New makes a member. Nothing runs yet. process is a new one's, or its predecessor's, as the sockets are.
func New(cfg Config, s *Sockets, process uint64, taken bool, clock func() float64, post func(core.Event), log logrus.FieldLogger) *Node {
	n := &Node{process: process, clock: clock, post: post, log: log, taken: taken, heard: map[uint64]uint64{}, doubted: map[uint64]bool{},
		synced: map[uint64]time.Time{}, wake: make(chan struct{}, 1), sync: make(chan string, 8), left: make(chan struct{}), giving: giving{queue: make(chan want, mostGive)}}
	n.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmit, NumNodes: func() int { return max(1, n.size()) }}
	n.cfg.Store(&cfg)
	n.t = newTransport(s, cfg.advertised(s), n.allowed)
	n.t.refused = func(p uint64) { n.post(core.FleetRefused{Process: p}) }
	n.t.doubted = func(p uint64) {
		n.mu.Lock()
		n.doubted[p] = true
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

// Key is how others name this member.
func (n *Node) Key() membership.Key {
	return membership.Key{Name: n.cfg.Load().Name, Addr: n.t.advertise.String()}
}

func (n *Node) allowed(a netip.Addr) bool {
	c := n.cfg.Load()
	if len(c.Allow) == 0 {
		return near(a)
	}
	for _, p := range c.Allow {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// Configure changes seeds and allowed addresses. It tells which other keys differ, that only a restart applies.
func (n *Node) Configure(next Config) (restart bool) {
	now := *n.cfg.Load()
	restart = next.Fleet != now.Fleet || next.Listen != now.Listen || next.Advertise != now.Advertise || next.Probe != now.Probe
	now.Seeds, now.Allow = next.Seeds, next.Allow
	n.cfg.Store(&now)
	n.nudge()
	return restart
}

func nodeName(name string, process uint64) string {
	return name + "~" + strconv.FormatUint(process, 16)
}

// processOf reads a process's number out of a name of the library's.
func processOf(node string) (uint64, bool) {
	at := strings.LastIndexByte(node, '~')
	if at < 0 {
		return 0, false
	}
	p, err := strconv.ParseUint(node[at+1:], 16, 64)
	return p, err == nil && p != 0
}

// Run takes part until the context ends.
func (n *Node) Run(ctx context.Context) error {
	cfg := n.cfg.Load()
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.Transport = nodeName(cfg.Name, n.process), cfg.Fleet, n.t
	c.BindAddr, c.BindPort = n.t.Addr().Addr().String(), int(n.t.Addr().Port())
	c.AdvertiseAddr, c.AdvertisePort = n.t.advertise.Addr().String(), int(n.t.advertise.Port())
	c.ProbeInterval, c.ProbeTimeout = cfg.Probe, cfg.Probe/2
	c.TCPTimeout = dialMost
	c.EnableCompression = false
	c.Logger = log.New(&lines{log: n.log}, "", 0)
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
	go n.seek(ctx)
	go n.ask(ctx)
	go n.give(ctx)
	n.look(ctx)
	list.Shutdown()
	return nil
}

func (n *Node) size() int {
	if p := n.picture.Load(); p != nil {
		return p.Reached
	}
	return 1
}

// node is the library's word for a process; nil where it reaches none of that number.
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

// Picture is the view as it was last told; nil before that.
func (n *Node) Picture() *membership.Picture { return n.picture.Load() }

// Counts are what was counted since this process began.
func (n *Node) Counts() Counts {
	t := n.t
	return Counts{Sent: t.sent.Load(), SentBytes: t.sentBytes.Load(), Taken: t.taken.Load(), TakenBytes: t.takenBytes.Load(),
		Opened: t.opened.Load(), Strangers: t.strangers.Load(), Full: t.full.Load(), Unreadable: n.foreign.Load(), Dropped: n.dropped.Load()}
}

// Leave says to others that this process ends in order, and acts no more.
func (n *Node) Leave() {
	n.post(core.FleetEntered{State: membership.Left})
	select {
	case <-n.left:
	case <-time.After(leaveMost):
		return
	}
	n.mu.Lock()
	list := n.list
	n.mu.Unlock()
	p := n.picture.Load()
	if list == nil || p == nil {
		return
	}
	// Danger: gossip goes on only for as long as this process does, so some are told directly.
	text, err := pack(p.SyncRecords())
	told := 0
	for _, m := range list.Members() {
		if process, ok := processOf(m.Name); err == nil && ok && process != n.process && told < leaveTo {
			if list.SendReliable(m, text) == nil {
				told++
			}
		}
	}
	list.Leave(leaveMost)
}

// lines writes the library's log into ours, as debugging: what matters is told by the view.
type lines struct{ log logrus.FieldLogger }

var _ io.Writer = (*lines)(nil)

func (l *lines) Write(text []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(text)))
	return len(text), nil
}
