// Package gossip is a member's way to the other dispatchers of its fleet: memberlist's protocol (SWIM with Lifeguard) as it is,
// with the view's records in CBOR beside it. It tells the reducer whom it reaches and what others say, and others what the
// reducer says; it decides nothing.
package gossip

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
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

type packed struct {
	digest uint64
	at     time.Time
	text   []byte
}

// NewProcess draws a process's number.
func NewProcess() uint64 { return rand.Uint64()>>(64-drawnBits) | 1 }

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

// look tells the reducer whom the library reaches, at once when that changes and often enough that nothing is missed.
func (n *Node) look(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.wake:
		}
		s := n.sight()
		if n.taken && len(s.Reached) == 0 && time.Since(begun) < meetMost {
			continue // danger: a successor that has met nobody yet would call all of them lost
		}
		n.post(core.FleetLooked{Sight: s})
	}
}

func (n *Node) sight() membership.Sight {
	var s membership.Sight
	// One that is cut off from everybody would doubt the others one by one, and itself first: the library slows such a member down. But
	// where nothing at all is heard, nobody is reached.
	alone := n.t.silence() > silentFor*n.cfg.Load().Probe
	for _, m := range n.list.Members() {
		if p, ok := processOf(m.Name); ok && p != n.process && !alone {
			s.Reached = append(s.Reached, p)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.doubted {
		s.Doubted = append(s.Doubted, p)
	}
	for p, d := range n.heard {
		s.Heard = append(s.Heard, membership.Heard{Process: p, Digest: d})
	}
	clear(n.doubted)
	clear(n.heard)
	return s
}

func (n *Node) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// seek tries for ever to meet those out of reach: seeds while nobody is reached, and all members that may run. Without it two
// sides of a partition that wrote each other off would never meet again.
func (n *Node) seek(ctx context.Context) {
	pause := seekLeast
	if n.taken {
		n.meetAgain(ctx)
	}
	for {
		wanted := n.wanted()
		if len(wanted) == 0 {
			pause = seekLeast
		} else {
			rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
			met := n.join(wanted[:min(seekAtOnce, len(wanted))])
			pause = min(2*pause, seekMost)
			if met > 0 {
				pause = seekLeast
				n.nudge()
				if altered.Is("no coming together") {
					return
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration((0.75 + 0.5*rand.Float64()) * float64(pause))):
		}
	}
}

// meetAgain has a successor meet those whom its predecessor reached. Danger: the library begins with nobody, and asking those first who
// are behind a partition would take longer than the others may be silent.
func (n *Node) meetAgain(ctx context.Context) {
	t := time.NewTicker(lookEvery / 10)
	defer t.Stop()
	for until := time.Now().Add(meetMost); time.Now().Before(until); {
		if p := n.picture.Load(); p != nil {
			var reached []string
			for _, m := range p.Members {
				if m.Reached && !m.Self && !m.Over() {
					reached = append(reached, m.Addr)
				}
			}
			if len(reached) == 0 || n.join(reached[:min(2*seekAtOnce, len(reached))]) > 0 {
				n.nudge()
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// join asks all of some addresses at once, so that one that is silent keeps nobody waiting, and tells how many were met.
func (n *Node) join(addrs []string) int {
	var met atomic.Int64
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			if k, err := n.list.Join([]string{addr}); err == nil {
				met.Add(int64(k))
			}
		})
	}
	wg.Wait()
	return int(met.Load())
}

// wanted are the addresses of those out of reach.
func (n *Node) wanted() []string {
	cfg, p := n.cfg.Load(), n.picture.Load()
	own := n.t.advertise.String()
	known := map[string]bool{own: true, cfg.Listen.String(): true}
	var all []string
	add := func(addr string) {
		if !known[addr] {
			known[addr] = true
			all = append(all, addr)
		}
	}
	if p != nil {
		for _, m := range p.Members {
			if m.Over() || m.Reached {
				known[m.Addr] = true
			} else if !m.Self {
				if at, err := netip.ParseAddrPort(m.Addr); err == nil && n.allowed(at.Addr()) {
					add(m.Addr)
				}
			}
		}
	}
	if p == nil || p.Reached <= 1 {
		clear(known) // alone: also those that are held to be over
		known[own], known[cfg.Listen.String()] = true, true
	}
	for _, s := range cfg.Seeds {
		add(s) // one that is reached is known by its address
	}
	return all
}

// exchange tells and hears everything, with members whose digests differ from this one's.
func (n *Node) exchange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-n.sync:
			n.list.Join([]string{addr})
		}
	}
}

// Perform carries out an effect of the reducer's. It does not block.
func (n *Node) Perform(e core.Effect) {
	switch e := e.(type) {
	case core.FleetNews:
		for _, r := range e.Records {
			if text, err := pack([]membership.Record{r}); err == nil {
				n.queue.QueueBroadcast(&news{key: r.Key.String(), text: text})
			}
		}
	case core.FloorsNews:
		if text, err := packAll(nil, e.Floors, nil); err == nil {
			n.queue.QueueBroadcast(&news{text: text})
		}
	case core.HintsNews:
		for some := range slices.Chunk(e.Hints, hintsEach) {
			if text, err := packHints(some); err == nil {
				n.queue.QueueBroadcast(&news{text: text})
			}
		}
	case core.ConfigHeld:
		n.held.Store(&e)
	case core.FetchConfig:
		n.fetch(e)
	case core.AskHints:
		if m := n.node(e.Process); m != nil {
			n.send(m, message{Version: protocolVersion, Behind: &behind{Process: n.process}})
		}
	case core.FleetPictured:
		n.picture.Store(&e.Picture)
		n.hints.Store(&e.Hints)
		for _, m := range e.Picture.Members {
			if m.Self && m.State == membership.Left && !n.ended {
				n.ended = true
				close(n.left)
			}
		}
		now := time.Now()
		n.lines = min(mostLines, n.lines+now.Sub(n.linesAt).Seconds()*linesAS)
		n.linesAt = now
		for _, c := range e.Fresh {
			if n.lines < 1 { // danger: a large fleet that comes up, or flaps, would fill the log
				n.unlogged++
				continue
			}
			n.lines--
			if n.unlogged > 0 {
				n.log.WithField("changes", n.unlogged).Info("fleet: more changed than is logged; see fleet events")
				n.unlogged = 0
			}
			n.log.WithFields(logrus.Fields{"member": c.Key.Name, "addr": c.Key.Addr, "what": c.What, "why": c.Why,
				"acting": e.Picture.Acting, "reached": e.Picture.Reached}).Info("fleet")
		}
	}
}

// ask has members say that this one is in touch with them: each is asked once in a second, where there is a lease or a floor. The time of
// a question is taken before it is sent, so that a process that is stopped at any point takes no answer for newer than it is.
func (n *Node) ask(ctx context.Context) {
	t := time.NewTicker(askEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p := n.picture.Load()
		if p == nil || n.cfg.Load().Lease == 0 && len(p.Floors) == 0 {
			continue
		}
		for _, m := range n.list.Members() {
			if process, ok := processOf(m.Name); ok && process != n.process {
				n.send(m, message{Version: protocolVersion, Ask: &ask{Process: n.process, Sent: n.clock()}})
			}
		}
	}
}

// answer says to one that asks what is held here, as of the picture: never more than the reducer holds.
func (n *Node) answer(a ask) {
	p := n.picture.Load()
	if m := n.node(a.Process); m != nil && p != nil {
		n.send(m, message{Version: protocolVersion, Answer: &membership.Contact{Process: n.process, Asker: a.Process, Sent: a.Sent, Floors: p.FloorDigest, Established: p.Established}})
	}
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
	text, err := pack(p.Told())
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

// The library's delegates.

// NodeMeta tells nothing: the view says it all.
func (n *Node) NodeMeta(int) []byte { return nil }

// NotifyMsg takes what another member tells.
func (n *Node) NotifyMsg(text []byte) { n.hear(text) }

func (n *Node) hear(text []byte) {
	p, err := unpack(text)
	if err != nil {
		if n.foreign.Add(1)&(n.foreign.Load()-1) == 0 { // at 1, 2, 4, 8 ...
			n.log.WithError(err).WithField("count", n.foreign.Load()).Warn("fleet: news that can't be read")
		}
		return
	}
	if len(p.Records) > 0 {
		n.post(core.FleetTold{Records: p.Records})
	}
	if len(p.Floors) > 0 {
		n.post(core.FleetFloored{Floors: p.Floors})
	}
	if p.Ask != nil {
		n.answer(*p.Ask)
	}
	if p.Answer != nil {
		n.post(core.FleetContacted{Contact: *p.Answer})
	}
	if p.Want != nil {
		n.asked(*p.Want)
	}
	if p.Behind != nil {
		n.giveHints(p.Behind.Process)
	}
	if p.Given != nil {
		n.given(*p.Given)
	}
	if len(p.Hints) > 0 && !altered.Is("deaf to drains") {
		n.post(core.FleetHinted{Hints: p.Hints})
	}
}

// GetBroadcasts gives what is to be told with the library's own messages.
func (n *Node) GetBroadcasts(overhead, limit int) [][]byte {
	return n.queue.GetBroadcasts(overhead, limit)
}

// LocalState is everything, for an exchange.
func (n *Node) LocalState(bool) []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	if held := n.packed.Load(); held != nil && held.digest == p.Digest && time.Since(held.at) < time.Second {
		return held.text
	}
	floors := slices.Clone(p.Floors)
	for i := range floors {
		floors[i].Age += max(0, n.clock()-p.FloorsAt)
	}
	var hints []core.Hint
	if told := n.hints.Load(); told != nil {
		hints = *told
	}
	text, err := packAll(p.Told(), floors, hints)
	if err != nil {
		return nil
	}
	n.packed.Store(&packed{p.Digest, time.Now(), text})
	return text
}

// MergeRemoteState takes everything that another member tells.
func (n *Node) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		n.hear(text)
	}
}

// AckPayload goes with each answer to a question: the digest of what is held here.
func (n *Node) AckPayload() []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	return digestText(p.Digest)
}

// NotifyPingComplete hears what another member holds. Where that differs, both tell each other everything.
func (n *Node) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	digest, ok := digestOf(payload)
	process, named := processOf(other.Name)
	p := n.picture.Load()
	if !ok || !named || p == nil {
		return
	}
	n.mu.Lock()
	n.heard[process] = digest
	due := digest != p.Digest && time.Since(n.synced[process]) > syncPause
	if due {
		n.synced[process] = time.Now()
		if len(n.synced) > 2*membership.MostMembers {
			clear(n.synced)
		}
	}
	n.mu.Unlock()
	if due {
		select {
		case n.sync <- other.Address():
		default:
		}
	}
}

// NotifyJoin hears that the library reaches one.
func (n *Node) NotifyJoin(*memberlist.Node) { n.nudge() }

// NotifyLeave hears that it no longer does.
func (n *Node) NotifyLeave(*memberlist.Node) { n.nudge() }

// NotifyUpdate hears of metadata, of which there are none.
func (n *Node) NotifyUpdate(*memberlist.Node) {}

// news is a record on its way, or hints, which have no key. A newer record of the same member takes its place.
type news struct {
	key  string
	text []byte
}

func (b *news) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*news)
	return ok && b.key != "" && other.key == b.key
}
func (b *news) Message() []byte { return b.text }
func (b *news) Finished()       {}

// lines writes the library's log into ours, as debugging: what matters is told by the view.
type lines struct{ log logrus.FieldLogger }

var _ io.Writer = (*lines)(nil)

func (l *lines) Write(text []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(text)))
	return len(text), nil
}

// State is what passes to a successor beside the reducer's view.
type State struct {
	Packet, Stream int // places of the descriptors; -1 for none
	Process        uint64
	Listen         string
}

var errNoSockets = errors.New("fleet: what is to be handed over are no sockets of a member")

// Export lists the sockets. They need not be held still: what this process still reads or answers comes from the same member.
func (n *Node) Export(files *hold.Files) (State, error) {
	if n == nil {
		return State{Packet: -1, Stream: -1}, nil
	}
	pc, okPacket := n.t.packet.(*net.UDPConn)
	ln, okStream := n.t.stream.(*net.TCPListener)
	if !okPacket || !okStream {
		return State{}, errNoSockets
	}
	packet, err := files.Add(udpFile{pc})
	if err != nil {
		return State{}, fmt.Errorf("fleet: %w", err)
	}
	stream, err := files.Add(tcpFile{ln})
	return State{Packet: packet, Stream: stream, Process: n.process, Listen: n.t.Addr().String()}, err
}

// Take makes sockets of those that another process handed over.
func Take(st State, files *hold.Received) (*Sockets, error) {
	ln, err := files.Listener(st.Stream)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	pc, err := files.Packets(st.Packet)
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	packet, okPacket := pc.(*net.UDPConn)
	stream, okStream := ln.(*net.TCPListener)
	if !okPacket || !okStream {
		ln.Close()
		pc.Close()
		return nil, errNoSockets
	}
	return socketsOf(packet, stream), nil
}
