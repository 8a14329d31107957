package gossip

import (
	"net"
	"testing"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// TestFullQueues checks that a flood of datagrams, idle connections and configuration requests is dropped and counted only: two members keep
// reaching each other throughout, a third one joins, and a configuration is still transferred.
func TestFullQueues(t *testing.T) {
	a := startMember(t, testConfig("a"), nil, 0, nil)
	b := startMember(t, testConfig("b", a.at()), nil, 0, nil)
	came := make(chan core.ConfigHeld, 8)
	b.OnConfig(func(held core.ConfigHeld) { came <- held })
	for _, x := range []*testNode{a, b} {
		waitUntil(t, "members reach each other", func() bool { return x.holds("a", "b") })
	}
	for range 2 * maxStreams {
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
	for range 40 * maxQueuedDatagrams {
		to.Write(junk)
	}
	held := core.ConfigHeld{Config: membership.Version{No: 3, Source: "f"}, Shared: []byte(`{"a":1}`)}
	a.Perform(held)
	for i := range 4 * maxQueuedRequests { // from a process that isn't a member
		a.enqueueConfigRequest(configRequest{Process: uint64(i) + 1, Config: held.Config})
	}
	waitUntil(t, "connections and requests beyond the bounds are dropped and counted", func() bool {
		c := a.Counts()
		return c.Full >= maxStreams && c.Dropped >= 2*maxQueuedRequests
	})
	b.Perform(core.FetchConfig{Process: a.process, Member: "a", Config: held.Config})
	c := startMember(t, testConfig("c", b.at()), nil, 0, nil)
	for _, x := range []*testNode{a, b, c} {
		waitUntil(t, "a third member joins", func() bool { return x.holds("a", "b", "c") })
	}
	got := false
	waitUntil(t, "the configuration is transferred", func() bool {
		select {
		case h := <-came:
			got = h.Config == held.Config && string(h.Shared) == string(held.Shared) && h.By == "a"
		default:
			b.Perform(core.FetchConfig{Process: a.process, Member: "a", Config: held.Config})
		}
		return got
	})
	b.requestedConfig.Store(nil)
	before := b.Counts().Dropped
	b.configReply(configReply{Config: held.Config, Member: "x", Text: []byte("nobody asked")})
	if b.Counts().Dropped != before+1 {
		t.Error("a configuration that wasn't requested is accepted")
	}
	for _, x := range []*testNode{a, b} {
		for _, h := range x.Picture().History {
			if h.What == "failed" {
				t.Errorf("judged as failed under the flood: %+v", h)
			}
		}
	}
}

// TestStartsAtOnceWithStaleSeeds checks that members that all start at once converge, although the seeds of each are two dead addresses, its
// own and that of one other member, which may not run yet.
func TestStartsAtOnceWithStaleSeeds(t *testing.T) {
	const n = 6
	var sockets []*Sockets
	for range n {
		s, err := Listen(testConfig("").Listen)
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, s)
	}
	var all []*testNode
	var names []string
	for i, s := range sockets {
		name := string(rune('a' + i))
		cfg := testConfig(name, "127.0.0.1:1", s.Addr().String(), "127.0.0.1:2", sockets[(i+1)%n].Addr().String())
		view, err := membership.New(seconds(), membership.Record{Key: membership.Key{Name: name, Addr: s.Addr().String()}, Incarnation: 1, Process: NewProcessID(), Generation: 1})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, startMember(t, cfg, s, view.Self().Process, view))
		names = append(names, name)
	}
	for _, b := range all {
		waitUntil(t, "each member holds all", func() bool { return b.holds(names...) })
	}
	waitUntil(t, "all digests are equal", func() bool {
		for _, b := range all {
			if b.Picture().Digest != all[0].Picture().Digest {
				return false
			}
		}
		return true
	})
}
