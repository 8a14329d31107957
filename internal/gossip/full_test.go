package gossip

import (
	"net"
	"testing"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// TestFullQueues: one that floods a member with datagrams, silent connections and questions costs others nothing but what is counted: the two
// members hold each other throughout, a third one joins, and a configuration still passes.
func TestFullQueues(t *testing.T) {
	a := member(t, config("a"), nil, 0, nil)
	b := member(t, config("b", a.at()), nil, 0, nil)
	came := make(chan core.ConfigHeld, 8)
	b.OnConfig(func(held core.ConfigHeld) { came <- held })
	for _, x := range []*body{a, b} {
		waitUntil(t, "they meet", func() bool { return x.holds("a", "b") })
	}
	for range 2 * mostStreams {
		conn, err := net.Dial("tcp", a.at())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
	}
	to, err := net.Dial("udp", a.at())
	if err != nil {
		t.Fatal(err)
	}
	defer to.Close()
	junk := make([]byte, 1200)
	for range 40 * mostQueued {
		to.Write(junk)
	}
	held := core.ConfigHeld{Config: membership.Version{No: 3, Source: "f"}, Shared: []byte(`{"a":1}`)}
	a.Perform(held)
	for i := range 4 * mostGive { // of one that is no member
		a.asked(want{Process: uint64(i) + 1, Config: held.Config})
	}
	waitUntil(t, "connections and questions beyond the bounds are dropped and counted", func() bool {
		c := a.Counts()
		return c.Full >= mostStreams && c.Dropped >= 2*mostGive
	})
	b.Perform(core.FetchConfig{Process: a.process, Member: "a", Config: held.Config})
	c := member(t, config("c", b.at()), nil, 0, nil)
	for _, x := range []*body{a, b, c} {
		waitUntil(t, "a third one joins", func() bool { return x.holds("a", "b", "c") })
	}
	got := false
	waitUntil(t, "the configuration passes", func() bool {
		select {
		case h := <-came:
			got = h.Config == held.Config && string(h.Shared) == string(held.Shared) && h.By == "a"
		default:
			b.Perform(core.FetchConfig{Process: a.process, Member: "a", Config: held.Config})
		}
		return got
	})
	b.asking.Store(nil)
	before := b.Counts().Dropped
	b.given(given{Config: held.Config, Member: "x", Text: []byte("nobody asked")})
	if b.Counts().Dropped != before+1 {
		t.Error("a configuration that nobody asked for is taken")
	}
	for _, x := range []*body{a, b} {
		for _, h := range x.Picture().History {
			if h.What == "failed" {
				t.Errorf("doubted under the flood: %+v", h)
			}
		}
	}
}

// TestStartsAtOnceWithStaleSeeds: a whole fleet that starts at the same moment, each with seeds that are gone, its own address, and one other
// that may not run yet, comes to hold one view.
func TestStartsAtOnceWithStaleSeeds(t *testing.T) {
	const n = 6
	var sockets []*Sockets
	for range n {
		s, err := Listen(config("").Listen)
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, s)
	}
	var all []*body
	var names []string
	for i, s := range sockets {
		name := string(rune('a' + i))
		cfg := config(name, "127.0.0.1:1", s.Addr().String(), "127.0.0.1:2", sockets[(i+1)%n].Addr().String())
		view, err := membership.New(seconds(), membership.Record{Key: membership.Key{Name: name, Addr: s.Addr().String()}, Incarnation: 1, Process: NewProcessID(), Generation: 1})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, member(t, cfg, s, view.Self().Process, view))
		names = append(names, name)
	}
	for _, b := range all {
		waitUntil(t, "all hold all", func() bool { return b.holds(names...) })
	}
	waitUntil(t, "all hold the same", func() bool {
		for _, b := range all {
			if b.Picture().Digest != all[0].Picture().Digest {
				return false
			}
		}
		return true
	})
}
