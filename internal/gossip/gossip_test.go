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

// body is a member with a view, in the place of a reducer.
type body struct {
	*Node
	mu   sync.Mutex
	view *membership.View
	end  context.CancelFunc
	done chan struct{}

	hints   []core.Hint       // that it tells
	onHints func([]core.Hint) // with mu held; nil for nothing
}

var (
	began       = time.Now()
	bubbleBegan = time.Date(2000, time.January, 1, 0, 0, 0, 0, time.UTC) // of testing/synctest
)

func seconds() float64 {
	if elapsed := time.Since(began); elapsed >= 0 {
		return elapsed.Seconds() + 1
	}
	return time.Since(bubbleBegan).Seconds() + 1
}

func silent() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (b *body) post(ev core.Event) {
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
	b.tell(looked)
}

func (b *body) tell(looked bool) {
	if floors := b.view.FloorUpdates(); len(floors) > 0 {
		b.Perform(core.FloorsNews{Floors: floors})
	}
	if news := b.view.RecordUpdates(); len(news) > 0 {
		b.Perform(core.FleetNews{Records: news})
	}
	if moved := b.view.ChangedSincePicture(); looked || moved {
		b.Perform(core.FleetPictured{Picture: b.view.Picture(), Fresh: b.view.NewChanges(), Hints: b.hints})
	}
}

func config(name string, seeds ...string) Config {
	return Config{Fleet: "test", Name: name, Listen: netip.AddrPortFrom(loopback.Host(), 0), Seeds: seeds, Probe: 100 * time.Millisecond}
}

// member starts one; s and process are a predecessor's, or nil and 0.
func member(t *testing.T, cfg Config, s *Sockets, process uint64, view *membership.View) *body {
	t.Helper()
	taken := s != nil
	if s == nil {
		var err error
		if s, err = Listen(cfg.Listen); err != nil {
			t.Fatal(err)
		}
		process = NewProcessID()
	}
	return begin(t, cfg, s, process, taken, view)
}

// memberAt starts one on sockets of its own.
func memberAt(t *testing.T, cfg Config, s *Sockets) *body {
	t.Helper()
	return begin(t, cfg, s, NewProcessID(), false, nil)
}

func begin(t *testing.T, cfg Config, s *Sockets, process uint64, taken bool, view *membership.View) *body {
	t.Helper()
	b := &body{view: view, done: make(chan struct{})}
	b.Node = New(cfg, s, process, taken, seconds, b.post, silent())
	if b.view == nil {
		var err error
		if b.view, err = membership.New(seconds(), membership.Record{Key: b.Key(), Incarnation: uint64(time.Now().UnixMilli()), Process: process, Generation: 1}); err != nil {
			t.Fatal(err)
		}
	}
	b.mu.Lock()
	b.tell(true)
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

// waitUntil waits until something is so, and fails where it never is.
func waitUntil(t *testing.T, what string, so func() bool) {
	t.Helper()
	waitWithin(t, 20*time.Second, what, so)
}

func waitWithin(t *testing.T, most time.Duration, what string, so func() bool) {
	t.Helper()
	until := time.Now().Add(most)
	for !so() {
		if time.Now().After(until) {
			t.Fatal("never: " + what)
		}
		time.Sleep(10 * time.Millisecond) // between two looks at what comes from other goroutines
	}
}

func (b *body) holds(live ...string) bool {
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

func (b *body) at() string { return b.t.advertise.String() }

// TestMembersMeet, one leaves, and one ends without a word: its machine's refusal is evidence.
func TestMembersMeet(t *testing.T) {
	a := member(t, config("a"), nil, 0, nil)
	b := member(t, config("b", a.at()), nil, 0, nil)
	c := member(t, config("c", "127.0.0.1:1", a.at()), nil, 0, nil) // a seed that is down, and one that is up
	for _, x := range []*body{a, b, c} {
		waitUntil(t, "all hold all", func() bool { return x.holds("a", "b", "c") })
	}
	waitUntil(t, "all hold the same", func() bool {
		return a.Picture().Digest == b.Picture().Digest && b.Picture().Digest == c.Picture().Digest
	})
	b.Leave()
	b.end()
	waitUntil(t, "b has left", func() bool { return a.holds("a", "c") && c.holds("a", "c") })
	c.end() // without a word
	waitUntil(t, "c is gone", func() bool { return a.holds("a") && a.Picture().Acting == 1 })
}

// TestOthersAreNotHeard: members of another fleet, strangers' addresses, and what is no message at all.
func TestOthersAreNotHeard(t *testing.T) {
	a := member(t, config("a"), nil, 0, nil)
	foreign := config("f", a.at())
	foreign.Fleet = "other"
	f := member(t, foreign, nil, 0, nil)
	shut := config("s")
	shut.Allow = []netip.Prefix{netip.MustParsePrefix("127.0.0.9/32")}
	s := member(t, shut, nil, 0, nil)
	b := member(t, config("b", a.at(), s.at()), nil, 0, nil)
	to, err := net.Dial("udp", a.at())
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	for i := range 200 {
		fmt.Fprintf(to, "rubbish %d", i)
	}
	conn, err := net.Dial("tcp", a.at())
	if err != nil {
		t.Fatal(err)
	}
	conn.Write(make([]byte, 1<<16))
	conn.Close()
	a.NotifyMsg([]byte("no news"))
	a.MergeRemoteState(make([]byte, mostNews+1), false)
	waitUntil(t, "a and b meet", func() bool { return a.holds("a", "b") && b.holds("a", "b") })
	waitUntil(t, "strangers are counted", func() bool { return s.Counts().Strangers > 0 && a.Counts().Unreadable == 2 })
	if !f.holds("f") || !s.holds("s") {
		t.Errorf("the foreign one holds %v, the shut one %v", f.Picture().Members, s.Picture().Members)
	}
	s.Configure(config("s")) // as SIGHUP does
	waitUntil(t, "the one that was shut is met", func() bool { return a.holds("a", "b", "s") })
}

// TestDrainsAreGivenToWhomAsks: a member whose discovery is late asks another one for the drains that it knows of, and gets all of them.
func TestDrainsAreGivenToWhomAsks(t *testing.T) {
	a := member(t, config("a"), nil, 0, nil)
	b := member(t, config("b", a.at()), nil, 0, nil)
	for _, x := range []*body{a, b} {
		waitUntil(t, "they meet", func() bool { return x.holds("a", "b") })
	}
	var want []core.Hint
	for i := range 3 * hintsEach {
		want = append(want, core.Hint{Worker: core.WorkerID(fmt.Sprint("w", i)), Version: 7, Source: "s"})
	}
	a.mu.Lock()
	a.hints = want
	a.tell(true)
	a.mu.Unlock()
	heard := map[core.Hint]bool{}
	b.mu.Lock()
	b.onHints = func(all []core.Hint) {
		for _, h := range all {
			heard[h] = true
		}
	}
	b.mu.Unlock()
	waitUntil(t, "all drains are told", func() bool {
		b.Perform(core.AskHints{Process: a.process})
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(heard) == len(want)
	})
	before := a.Counts().Dropped
	for range 3 * hintsAS {
		a.giveHints(b.process)
	}
	if got := a.Counts().Dropped - before; got < hintsAS {
		t.Errorf("%d of %d questions at once are dropped", got, 3*hintsAS)
	}
}

// TestSocketsPassOn: a successor on the same sockets and with the same view is the same member, and nobody doubts it.
func TestSocketsPassOn(t *testing.T) {
	a := member(t, config("a"), nil, 0, nil)
	b := member(t, config("b", a.at()), nil, 0, nil)
	waitUntil(t, "they meet", func() bool { return a.holds("a", "b") && b.holds("a", "b") })
	var silent []membership.Record // behind a partition: connections come up, and nobody says a word
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
	waitUntil(t, "both hold the same, so that neither asks the other for everything", func() bool {
		return len(a.Picture().Members) == 8 && a.Picture().Digest == b.Picture().Digest
	})
	last := a.Counts().Opened
	waitUntil(t, "a asks for nothing more", func() bool {
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
	next := member(t, config("b"), taken, st.Process, view)
	waitUntil(t, "the successor reaches a", func() bool { return next.Picture().Reached == 2 })
	for range 3 {
		last := a.Counts().Sent
		waitUntil(t, "a asks on", func() bool { return a.Counts().Sent > last+5 })
		if !a.holds("a", "b") {
			t.Fatalf("a holds %v", a.Picture().Members)
		}
	}
	for _, c := range next.Picture().History {
		if c.What == "stood still" || c.Key.Name == "a" && c.What == "failed" {
			t.Errorf("the successor asked the silent ones first: %+v", c)
		}
	}
	for _, c := range a.Picture().History {
		if c.Key.Name == "b" && (c.What == "failed" || c.What == "gone") {
			t.Errorf("a doubted it: %+v", c)
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
	good, err := pack([]membership.Record{{Key: membership.Key{Name: "a", Addr: "127.0.0.1:1"}, Incarnation: 1, Process: 2, Seq: 3, State: membership.Serving, Generation: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:len(good)/2])
	f.Add([]byte{})
	f.Add([]byte{0xa2, 1, 2, 2, 0x80})
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := unpack(text)
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
			t.Fatalf("what was taken in can't be written down: %v", err)
		}
		told, err := pack(v.SyncRecords())
		if err != nil {
			t.Fatal(err)
		}
		if again, err := unpack(told); err != nil || len(again.Records) != len(v.SyncRecords()) {
			t.Fatalf("what is told can't be read: %v", err)
		}
	})
}
