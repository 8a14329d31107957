package core

import (
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

// fleetMember returns a reducer in a fleet whose source is named "s" among the members.
func fleetMember(t *testing.T, ids ...string) *Reducer {
	t.Helper()
	r := newTestReducer(t, choice.Idempotent, ids...)
	r.Step(1, FleetBegun{Self: selfRecord(), Routes: "s"})
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

// TestHintExcludesWorker: a hint excludes a worker until discovery's own list supersedes it.
func TestHintExcludesWorker(t *testing.T) {
	r := fleetMember(t, "a", "b")
	drain := Hint{Worker: "a", Version: 5, Source: "s"}
	if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{drain}})); !reflect.DeepEqual(got, []Hint{drain}) {
		t.Errorf("announced %v", got)
	}
	for now, want := range map[float64]int{3: 1, 2 + hintLifetimeS + 1: 0} { // number of hints sent to a member that joins then
		joining := fleetMember(t, "a", "b")
		joining.Step(2, FleetHinted{Hints: []Hint{drain}})
		for _, e := range joining.Step(now, FleetLooked{}) {
			if p, is := e.(FleetPictured); is && len(p.Hints) != want {
				t.Errorf("at %v a joining member is sent %v", now, p.Hints)
			}
		}
	}
	if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{drain}})); got != nil {
		t.Errorf("announced twice, which would repeat forever: %v", got)
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
			t.Fatal("sent to a worker excluded by a hint")
		}
	}
	// Discovery's list here is older than the hint and still shows the worker as active.
	r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 4, Full: true, Workers: workers("a", "b")}})
	for _, h := range sends(3) {
		if h == "a" {
			t.Fatal("an older list from discovery supersedes the hint")
		}
	}
	r.Step(4, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Workers: workers("b")}})
	returned := false
	for _, h := range sends(5) {
		returned = returned || h == "a"
	}
	if !returned {
		t.Error("discovery's list does not supersede the hint")
	}
}

// TestHintsAreBounded: hints of another source, of a known version or for an unknown worker are ignored; the others expire, and
// exclude at most half of the workers.
func TestHintsAreBounded(t *testing.T) {
	r := fleetMember(t, "a", "b", "c", "d")
	for name, x := range map[string]Hint{
		"another source": {"a", 5, "other"}, "known version": {"a", 1, "s"}, "unknown worker": {"z", 5, "s"},
	} {
		if got := hintsOf(r.Step(2, FleetHinted{Hints: []Hint{x}})); got != nil || len(r.hints) > 0 {
			t.Errorf("%s: accepted", name)
		}
	}
	r.Step(2, FleetHinted{Hints: []Hint{{"a", 5, "s"}, {"b", 5, "s"}, {"c", 5, "s"}, {"d", 5, "s"}}})
	if len(r.hints) != 2 {
		t.Errorf("%d of 4 workers are excluded by hints", len(r.hints))
	}
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	successor, err := Import(testSettings(choice.Idempotent), st)
	if err != nil || len(successor.hints) != 2 || successor.sourceName() != "s" {
		t.Errorf("a successor holds %d hints: %v", len(successor.hints), err)
	}
	r.Step(2+hintLifetimeS+1, FleetLooked{})
	if len(r.hints) != 0 {
		t.Error("a hint does not expire")
	}
	r.Step(40, FleetHinted{Hints: []Hint{{"a", 9, "s"}}})
	r.Step(41, Reloaded{Discovery: "elsewhere"})
	if len(r.hints) != 0 || r.sourceName() != "elsewhere" {
		t.Error("a hint of another source is kept")
	}
}

// TestDrainsAreAnnounced: drains received from discovery are sent to other members once.
func TestDrainsAreAnnounced(t *testing.T) {
	r := fleetMember(t, "a", "b", "c")
	list := workers("a", "b")
	list[0].State = WorkerLeaving
	got := hintsOf(r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Full: true, Workers: list}}))
	if want := []Hint{{"a", 6, "s"}, {"c", 6, "s"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("announced %v, want %v", got, want)
	}
	if got := hintsOf(r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Workers: list}})); got != nil {
		t.Errorf("announced again: %v", got)
	}
	alone := newTestReducer(t, choice.Idempotent, "a")
	if got := hintsOf(alone.Step(2, RouteSetTold{Source: alone.source, RouteSet: RouteSet{Version: 6, Workers: list[:1]}})); got != nil {
		t.Errorf("without a fleet: %v", got)
	}
}

// TestHintsAreIgnoredAfterSourceStartsOver: when discovery starts over, its earlier drains and hints under its earlier
// versions no longer count, also after a handover. Its own updates do, and hints do again later.
func TestHintsAreIgnoredAfterSourceStartsOver(t *testing.T) {
	r := fleetMember(t, "a", "b", "c")
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 40, Full: true, Workers: workersInStates("aaa")}})
	r.Step(2, FleetHinted{Hints: []Hint{{"a", 41, "s"}}})
	restarted := RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 1, Full: true, Workers: workersInStates("aaa")}}
	r.Step(3, restarted) // implausible, and requested again
	r.Step(4, restarted)
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Import(testSettings(choice.Idempotent), st); err != nil {
		t.Fatal(err)
	}
	if got := hintsOf(r.Step(5, FleetHinted{Hints: []Hint{{"b", 42, "s"}}})); got != nil || usableWorkers(r) != "abc" || r.routeSetVersion != 1 {
		t.Errorf("%q in use at version %d, announced %v", usableWorkers(r), r.routeSetVersion, got)
	}
	r.Step(6, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 2, Workers: workersInStates("aal")[2:]}})
	if usableWorkers(r) != "ab" {
		t.Errorf("after its own update: %q", usableWorkers(r))
	}
	r.Step(4+hintLifetimeS+1, FleetHinted{Hints: []Hint{{"b", 3, "s"}}})
	if usableWorkers(r) != "a" {
		t.Errorf("after a later hint: %q", usableWorkers(r))
	}
}

// TestOutdatedMemberRequestsHints once a second while its own discovery is behind a reachable member, and not afterwards.
func TestOutdatedMemberRequestsHints(t *testing.T) {
	r := fleetMember(t, "a", "b")
	asked := func(at float64) (n int) {
		for _, e := range r.Step(at, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}}) {
			if a, is := e.(AskHints); is {
				if n++; a.Process != 2 {
					t.Errorf("sent to process %d", a.Process)
				}
			}
		}
		return n
	}
	if asked(1.5) != 0 {
		t.Error("requested hints though no member is ahead")
	}
	r.Step(2, FleetTold{Records: []membership.Record{peerWithVersions(3, membership.Version{No: 5, Digest: 77, Source: "s"}, membership.Version{})}})
	n := 0
	for at := 2.5; at < 6.4; at += 0.5 {
		n += asked(at)
	}
	if n != 4 {
		t.Errorf("%d requests in 4 s", n)
	}
	r.Step(7, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Full: true, Workers: workersInStates("al")}})
	if asked(9) != 0 {
		t.Error("requested hints though its own list is newer")
	}
}

// TestRecentDrainsAreRepeated: drains are sent to members that are late for as long as they apply, and not after the worker's
// return.
func TestRecentDrainsAreRepeated(t *testing.T) {
	r := fleetMember(t, "a", "b", "c")
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Full: true, Workers: workersInStates("lla")}})
	repeatedDrains := func(at float64) (ids string) {
		for _, e := range r.Step(at, FleetLooked{}) {
			if p, is := e.(FleetPictured); is {
				for _, h := range p.Hints {
					ids += string(h.Worker)
				}
			}
		}
		return ids
	}
	if got := repeatedDrains(2 + 10*hintLifetimeS); got != "ab" {
		t.Errorf("repeated %q", got)
	}
	r.Step(3+10*hintLifetimeS, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Workers: workersInStates("a")}})
	if got := repeatedDrains(4 + 10*hintLifetimeS); got != "b" {
		t.Errorf("after the return of a: %q", got)
	}
}
