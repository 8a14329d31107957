package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/membership"
)

// testNode is a node with a view in place of the reducer.
type testNode struct {
	*Node
	mu   sync.Mutex
	view *membership.View
	end  context.CancelFunc
	done chan struct{}

	hints   []core.Hint       // known drains
	onHints func([]core.Hint) // called with mu held; may be nil
}

var (
	startTime         = time.Now()
	synctestStartTime = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC) // initial time of testing/synctest
)

func seconds() float64 {
	if elapsed := time.Since(startTime); elapsed >= 0 {
		return elapsed.Seconds() + 1
	}
	return time.Since(synctestStartTime).Seconds() + 1
}

func silent() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (b *testNode) post(ev core.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch ev := ev.(type) {
	case core.FleetTold:
		b.view.Merge(seconds(), ev.Records)
	case core.FleetLooked:
		b.view.UpdateReachability(seconds(), ev.Sight)
	case core.FleetRefused:
		b.view.ConnectionRefused(seconds(), ev.Process)
	case core.FleetFloored:
		b.view.MergeFloors(seconds(), ev.Floors)
	case core.FleetContacted:
		b.view.Contact(seconds(), ev.Contact)
	case core.FleetHinted:
		if b.onHints != nil {
			b.onHints(ev.Hints)
		}
	case core.FleetEntered:
		b.view.AdvanceState(seconds(), ev.State)
	}
	_, looked := ev.(core.FleetLooked)
	b.performUpdates(looked)
}

func (b *testNode) performUpdates(reported bool) {
	if floors := b.view.FloorUpdates(); len(floors) > 0 {
		b.Perform(core.FloorsNews{Floors: floors})
	}
	if records := b.view.RecordUpdates(); len(records) > 0 {
		b.Perform(core.FleetNews{Records: records})
	}
	if changed := b.view.ChangedSincePicture(); reported || changed {
		b.Perform(core.FleetPictured{Picture: b.view.Picture(), Fresh: b.view.NewChanges(), Hints: b.hints})
	}
}

func testConfig(name string, seeds ...string) Config {
	return Config{Fleet: "test", Name: name, Listen: netip.AddrPortFrom(loopback.Host(), 0), Seeds: seeds, Probe: 100 * time.Millisecond}
}

// startMember starts a node; s and process are a predecessor's, or nil and 0.
func startMember(t *testing.T, cfg Config, s *Sockets, process uint64, view *membership.View) *testNode {
	t.Helper()
	inherited := s != nil
	if s == nil {
		var err error
		if s, err = Listen(cfg.Listen); err != nil {
			t.Fatal(err)
		}
		process = NewProcessID()
	}
	return startNode(t, cfg, s, process, inherited, view)
}

// startMemberOn starts a new node on the given sockets.
func startMemberOn(t *testing.T, cfg Config, s *Sockets) *testNode {
	t.Helper()
	return startNode(t, cfg, s, NewProcessID(), false, nil)
}

func startNode(t *testing.T, cfg Config, s *Sockets, process uint64, inherited bool, view *membership.View) *testNode {
	t.Helper()
	b := &testNode{view: view, done: make(chan struct{})}
	b.Node = New(cfg, s, process, inherited, seconds, b.post, silent())
	if b.view == nil {
		var err error
		if b.view, err = membership.New(seconds(), membership.Record{Key: b.Key(), Incarnation: uint64(time.Now().UnixMilli()), Process: process, Generation: 1}); err != nil {
			t.Fatal(err)
		}
	}
	b.mu.Lock()
	b.performUpdates(true)
	b.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	b.end = end
	go func() {
		defer close(b.done)
		if err := b.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { end(); <-b.done })
	return b
}

// waitUntil waits until a condition holds, and fails the test after 20 s.
func waitUntil(t *testing.T, what string, so func() bool) {
	t.Helper()
	waitWithin(t, 20*time.Second, what, so)
}

func waitWithin(t *testing.T, most time.Duration, what string, so func() bool) {
	t.Helper()
	until := time.Now().Add(most)
	for !so() {
		if time.Now().After(until) {
			t.Fatal("timed out waiting until: " + what)
		}
		time.Sleep(10 * time.Millisecond) // poll interval
	}
}

func (b *testNode) holds(live ...string) bool {
	var got []string
	for _, m := range b.Picture().Members {
		if m.Live() {
			got = append(got, m.Name)
		}
	}
	slices.Sort(got)
	slices.Sort(live)
	return slices.Equal(got, live)
}

func (b *testNode) at() string { return b.t.advertise.String() }

// TestMembersMeet checks that members find each other, that one leaves, and that one which ends without notice is detected by its machine's
// refusal of connections.
func TestMembersMeet(t *testing.T) {
	a := startMember(t, testConfig("a"), nil, 0, nil)
	b := startMember(t, testConfig("b", a.at()), nil, 0, nil)
	c := startMember(t, testConfig("c", "127.0.0.1:1", a.at()), nil, 0, nil) // one dead seed and a live one
	for _, x := range []*testNode{a, b, c} {
		waitUntil(t, "each member holds all", func() bool { return x.holds("a", "b", "c") })
	}
	waitUntil(t, "all digests are equal", func() bool {
		return a.Picture().Digest == b.Picture().Digest && b.Picture().Digest == c.Picture().Digest
	})
	b.Leave()
	b.end()
	waitUntil(t, "b has left", func() bool { return a.holds("a", "c") && c.holds("a", "c") })
	c.end() // without notice
	waitUntil(t, "c is gone", func() bool { return a.holds("a") && a.Picture().Acting == 1 })
}

// TestOthersAreNotHeard checks that a member ignores other fleets, addresses that aren't allowed, and invalid messages.
func TestOthersAreNotHeard(t *testing.T) {
	a := startMember(t, testConfig("a"), nil, 0, nil)
	foreign := testConfig("f", a.at())
	foreign.Fleet = "other"
	f := startMember(t, foreign, nil, 0, nil)
	shut := testConfig("s")
	shut.Allow = []netip.Prefix{netip.MustParsePrefix("127.0.0.9/32")}
	s := startMember(t, shut, nil, 0, nil)
	b := startMember(t, testConfig("b", a.at(), s.at()), nil, 0, nil)
	to, err := net.Dial("udp", a.at())
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	for i := range 200 {
		fmt.Fprintf(to, "junk %d", i)
	}
	conn, err := net.Dial("tcp", a.at())
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(make([]byte, 1<<16))
	conn.Close()
	a.NotifyMsg([]byte("no message"))
	a.MergeRemoteState(make([]byte, maxMessageBytes+1), false)
	waitUntil(t, "a and b reach each other", func() bool { return a.holds("a", "b") && b.holds("a", "b") })
	waitUntil(t, "messages from disallowed addresses and invalid ones are counted", func() bool { return s.Counts().Strangers > 0 && a.Counts().Unreadable == 2 })
	if !f.holds("f") || !s.holds("s") {
		t.Errorf("the member of another fleet holds %v, the one that allows nobody %v", f.Picture().Members, s.Picture().Members)
	}
	s.Configure(testConfig("s")) // as on SIGHUP
	waitUntil(t, "the member is reached once it allows others", func() bool { return a.holds("a", "b", "s") })
}

// TestDrainsAreGivenToWhomAsks checks that a member with an outdated route set obtains all known drains from another one, and that requests
// beyond the rate limit are dropped.
func TestDrainsAreGivenToWhomAsks(t *testing.T) {
	a := startMember(t, testConfig("a"), nil, 0, nil)
	b := startMember(t, testConfig("b", a.at()), nil, 0, nil)
	for _, x := range []*testNode{a, b} {
		waitUntil(t, "members reach each other", func() bool { return x.holds("a", "b") })
	}
	var want []core.Hint
	for i := range 3 * hintsPerDatagram {
		want = append(want, core.Hint{Worker: core.WorkerID(fmt.Sprint("w", i)), Version: 7, Source: "s"})
	}
	a.mu.Lock()
	a.hints = want
	a.performUpdates(true)
	a.mu.Unlock()
	heard := map[core.Hint]bool{}
	b.mu.Lock()
	b.onHints = func(all []core.Hint) {
		for _, h := range all {
			heard[h] = true
		}
	}
	b.mu.Unlock()
	waitUntil(t, "all drains are received", func() bool {
		b.Perform(core.AskHints{Process: a.process})
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(heard) == len(want)
	})
	before := a.Counts().Dropped
	for range 3 * hintRepliesPerS {
		a.sendHints(b.process)
	}
	if got := a.Counts().Dropped - before; got < hintRepliesPerS {
		t.Errorf("%d of %d concurrent requests are dropped", got, 3*hintRepliesPerS)
	}
}

// TestSocketsPassOn checks that a successor on the same sockets and with the same view is the same member and is never judged as failed,
// although its view contains unreachable members whose connections open but never respond.
func TestSocketsPassOn(t *testing.T) {
	a := startMember(t, testConfig("a"), nil, 0, nil)
	b := startMember(t, testConfig("b", a.at()), nil, 0, nil)
	waitUntil(t, "members reach each other", func() bool { return a.holds("a", "b") && b.holds("a", "b") })
	var silent []membership.Record // connections to them open, but nothing responds
	for i := range 6 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		silent = append(silent, membership.Record{Key: membership.Key{Name: fmt.Sprint("s", i), Addr: ln.Addr().String()}, Incarnation: 1, Process: uint64(1000 + i),
			Seq: 1, State: membership.Serving, Verdict: membership.Failed, Generation: 1})
	}
	b.post(core.FleetTold{Records: silent})
	waitUntil(t, "digests are equal, so that no full-state exchange follows", func() bool {
		return len(a.Picture().Members) == 8 && a.Picture().Digest == b.Picture().Digest
	})
	last := a.Counts().Opened
	waitUntil(t, "a opens no more connections", func() bool {
		was := last
		last = a.Counts().Opened
		return was == last && a.Picture().Digest == b.Picture().Digest
	})
	var files hold.Files
	st, err := b.Export(&files)
	if err != nil {
		t.Fatal(err)
	}
	received := hold.NewGate().Receive()
	for _, fd := range files.FDs {
		received.FDs = append(received.FDs, dup(t, fd))
	}
	taken, err := ImportSockets(st, received)
	if err != nil {
		t.Fatal(err)
	}
	b.mu.Lock()
	view, err := membership.Import(b.view.Export())
	b.mu.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	b.end()
	<-b.done
	next := startMember(t, testConfig("b"), taken, st.Process, view)
	waitUntil(t, "the successor reaches a", func() bool { return next.Picture().Reached == 2 })
	for range 3 {
		last := a.Counts().Sent
		waitUntil(t, "a goes on probing", func() bool { return a.Counts().Sent > last+5 })
		if !a.holds("a", "b") {
			t.Fatalf("a holds %v", a.Picture().Members)
		}
	}
	for _, c := range next.Picture().History {
		if c.What == "stood still" || c.Key.Name == "a" && c.What == "failed" {
			t.Errorf("the successor contacted the unresponsive members first: %+v", c)
		}
	}
	for _, c := range a.Picture().History {
		if c.Key.Name == "b" && (c.What == "failed" || c.What == "gone") {
			t.Errorf("a judged the successor: %+v", c)
		}
	}
}

func dup(t *testing.T, fd int) int {
	t.Helper()
	n, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func FuzzNews(f *testing.F) {
	good, err := encodeRecords([]membership.Record{{Key: membership.Key{Name: "a", Addr: "127.0.0.1:1"}, Incarnation: 1, Process: 2, Seq: 3, State: membership.Serving, Generation: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Add([]byte{0xa2, 1, 2, 2, 0x80})
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := decodeMessage(text)
		if err != nil {
			return
		}
		records := p.Records
		v, err := membership.New(1, membership.Record{Key: membership.Key{Name: "me", Addr: "127.0.0.1:9"}, Incarnation: 1, Process: 1, Generation: 1})
		if err != nil {
			t.Fatal(err)
		}
		v.Merge(2, records)
		if _, err := membership.Import(v.Export()); err != nil {
			t.Fatalf("a view with the decoded records can't be imported: %v", err)
		}
		told, err := encodeRecords(v.SyncRecords())
		if err != nil {
			t.Fatal(err)
		}
		if again, err := decodeMessage(told); err != nil || len(again.Records) != len(v.SyncRecords()) {
			t.Fatalf("encoded records can't be decoded: %v", err)
		}
	})
}
