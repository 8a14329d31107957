package core

import (
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

// member is a reducer in a fleet, with a source that the members call "s".
func member(t *testing.T, ids ...string) *Reducer {
	t.Helper()
	r := start(t, choice.Idempotent, ids...)
	r.Step(1, FleetBegun{Self: self(), Routes: "s"})
	return r
}

func hintsOf(effects []Effect) (all []Hint) {
	for _, e := range effects {
		if n, is := e.(HintsNews); is {
			all = append(all, n.Hints...)
		}
	}
	return all
}

// TestPeersWordTakesOut a worker until discovery's own word reaches this dispatcher, and no longer.
func TestPeersWordTakesOut(t *testing.T) {
	r := member(t, "a", "b")
	drain := Hint{Worker: "a", Version: 5, Source: "s"}
	if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{drain}})); !reflect.DeepEqual(got, []Hint{drain}) {
		t.Errorf("passed on: %v", got)
	}
	for now, want := range map[float64]int{3: 1, 2 + hintMost + 1: 0} { // what one that joins is told
		twin := member(t, "a", "b")
		twin.Step(2, FleetHinted{Hints: []Hint{drain}})
		for _, e := range twin.Step(now, FleetLooked{}) {
			if p, is := e.(FleetPictured); is && len(p.Hints) != want {
				t.Errorf("at %v one that joins is told %v", now, p.Hints)
			}
		}
	}
	if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{drain}})); got != nil {
		t.Errorf("passed on twice, which would never end: %v", got)
	}
	sends := func(now float64) (workers []WorkerID) {
		t.Helper()
		for i := range 8 {
			id := RequestID(string(rune('0'+i)) + string(rune('a'+int(now))))
			for _, e := range r.Step(now, CallArrived{Call: Call{Exchange: ExchangeID(int(now)*100 + i), ID: id, Class: "c", Remaining: 1, Slots: 1}}) {
				if s, is := e.(SendBranch); is {
					workers = append(workers, s.Worker)
				}
			}
		}
		return workers
	}
	for _, h := range sends(2) {
		if h == "a" {
			t.Fatal("sent to one that a peer says is draining")
		}
	}
	// Discovery's list here is older than the peer's word, and says active still.
	r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 4, Full: true, Workers: workers("a", "b")}})
	for _, h := range sends(3) {
		if h == "a" {
			t.Fatal("an older word of discovery's beats the peer's")
		}
	}
	r.Step(4, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Workers: workers("b")}})
	back := false
	for _, h := range sends(5) {
		back = back || h == "a"
	}
	if !back {
		t.Error("discovery's own word does not count")
	}
}

// TestPeersWordIsBounded: of another source, of a version that is known, of nobody, for ever, or for half of the fleet.
func TestPeersWordIsBounded(t *testing.T) {
	r := member(t, "a", "b", "c", "d")
	for name, x := range map[string]Hint{
		"another source": {"a", 5, "other"}, "a known version": {"a", 1, "s"}, "nobody": {"z", 5, "s"},
	} {
		if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{x}})); got != nil || len(r.hints) > 0 {
			t.Errorf("%s: believed", name)
		}
	}
	r.Step(2, FleetHinted{Hints: []Hint{{"a", 5, "s"}, {"b", 5, "s"}, {"c", 5, "s"}, {"d", 5, "s"}}})
	if len(r.hints) != 2 {
		t.Errorf("%d of 4 workers are out by a peer's word", len(r.hints))
	}
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	twin, err := Import(settings(choice.Idempotent), st)
	if err != nil || len(twin.hints) != 2 || twin.sourceName() != "s" {
		t.Errorf("a successor holds %d hints: %v", len(twin.hints), err)
	}
	r.Step(2+hintMost+1, FleetLooked{})
	if len(r.hints) != 0 {
		t.Error("a peer's word counts for ever")
	}
	r.Step(40, FleetHinted{Hints: []Hint{{"a", 9, "s"}}})
	r.Step(41, Reloaded{Discovery: "elsewhere"})
	if len(r.hints) != 0 || r.sourceName() != "elsewhere" {
		t.Error("a hint of another source is kept")
	}
}

// TestDrainsArePassedOn, as discovery tells them, and only those.
func TestDrainsArePassedOn(t *testing.T) {
	r := member(t, "a", "b", "c")
	list := workers("a", "b")
	list[0].State = WorkerLeaving
	got := hintsOf(r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Full: true, Workers: list}}))
	if want := []Hint{{"a", 6, "s"}, {"c", 6, "s"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("passed on %v, want %v", got, want)
	}
	if got := hintsOf(r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Workers: list}})); got != nil {
		t.Errorf("passed on again: %v", got)
	}
	alone := start(t, choice.Idempotent, "a")
	if got := hintsOf(alone.Step(2, RouteSetTold{Source: alone.source, RouteSet: RouteSet{Version: 6, Workers: list[:1]}})); got != nil {
		t.Errorf("without a fleet: %v", got)
	}
}

// TestOldBeginningsDrainsEnd: where discovery has begun anew, what it took out before, and what peers still tell under its old numbers, does
// not count, through a hand-over too; its own word does, and later on peers' words do again.
func TestOldBeginningsDrainsEnd(t *testing.T) {
	r := member(t, "a", "b", "c")
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 40, Full: true, Workers: states("aaa")}})
	r.Step(2, FleetHinted{Hints: []Hint{{"a", 41, "s"}}})
	anew := RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 1, Full: true, Workers: states("aaa")}}
	r.Step(3, anew) // odd, and asked for again
	r.Step(4, anew)
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Import(settings(choice.Idempotent), st); err != nil {
		t.Fatal(err)
	}
	if got := hintsOf(r.Step(5, FleetHinted{Hints: []Hint{{"b", 42, "s"}}})); got != nil || usable(r) != "abc" || r.version != 1 {
		t.Errorf("%q in use as of %d, passed on %v", usable(r), r.version, got)
	}
	r.Step(6, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 2, Workers: states("aal")[2:]}})
	if usable(r) != "ab" {
		t.Errorf("its own word: %q", usable(r))
	}
	r.Step(4+hintMost+1, FleetHinted{Hints: []Hint{{"b", 3, "s"}}})
	if usable(r) != "a" {
		t.Errorf("a peer's word later on: %q", usable(r))
	}
}

// TestStragglerAsksForDrains while its own discovery lags behind a member that is reached: once a second, and not for long after.
func TestStragglerAsksForDrains(t *testing.T) {
	r := member(t, "a", "b")
	asked := func(at float64) (n int) {
		for _, e := range r.Step(at, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}}) {
			if a, is := e.(AskHints); is {
				if n++; a.Process != 2 {
					t.Errorf("asks process %d", a.Process)
				}
			}
		}
		return n
	}
	if asked(1.5) != 0 {
		t.Error("asks where nobody is ahead")
	}
	r.Step(2, FleetTold{Records: []membership.Record{peerOn(3, membership.Version{No: 5, Digest: 77, Source: "s"}, membership.Version{})}})
	n := 0
	for at := 2.5; at < 6.4; at += 0.5 {
		n += asked(at)
	}
	if n != 4 {
		t.Errorf("asks %d times in 4 s", n)
	}
	r.Step(7, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Full: true, Workers: states("al")}})
	if asked(9) != 0 {
		t.Error("asks on though its own discovery has told")
	}
}

// TestDrainsAreRememberedWhileTheyHold: one that lags for long is told them still, and not of those that came back.
func TestDrainsAreRememberedWhileTheyHold(t *testing.T) {
	r := member(t, "a", "b", "c")
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Full: true, Workers: states("lla")}})
	told := func(at float64) (ids string) {
		for _, e := range r.Step(at, FleetLooked{}) {
			if p, is := e.(FleetPictured); is {
				for _, h := range p.Hints {
					ids += string(h.Worker)
				}
			}
		}
		return ids
	}
	if got := told(2 + 10*hintMost); got != "ab" {
		t.Errorf("told %q", got)
	}
	r.Step(3+10*hintMost, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Workers: states("a")}})
	if got := told(4 + 10*hintMost); got != "b" {
		t.Errorf("after a has come back: %q", got)
	}
}
