package core

import (
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

// peerWithVersions returns the record of another member with the given route set and configuration.
func peerWithVersions(seq uint64, routes, config membership.Version) membership.Record {
	m := peerRecord(membership.Serving, membership.Fine)
	m.Seq, m.Routes, m.Config = seq, routes, config
	return m
}

// workersInStates returns workers a, b, ... in the given states: 'a' for active, 'l' for leaving.
func workersInStates(all string) (list []Worker) {
	for i, s := range all {
		worker := workers(string(rune('a' + i)))[0]
		if s == 'l' {
			worker.State = WorkerLeaving
		}
		list = append(list, worker)
	}
	return list
}

func usableWorkers(r *Reducer) (ids string) {
	for id := 'a'; id <= 'z'; id++ {
		if h, listed := r.workers[WorkerID(id)]; listed && r.usable(h) {
			ids += string(id)
		}
	}
	return ids
}

func logText(effects []Effect) (all string) {
	for _, e := range effects {
		if l, is := e.(Log); is {
			all += l.Text + "\n"
		}
	}
	return all
}

func countFetches(effects []Effect) (n int) {
	for _, e := range effects {
		if _, is := e.(FetchRouteSet); is {
			n++
		}
	}
	return n
}

// TestContestedListAppliesOnlyRemovals: if a peer holds a version with other contents, only the drains of the list received
// here are applied, also after a handover, until a version arrives on which all members agree.
func TestContestedListAppliesOnlyRemovals(t *testing.T) {
	r := fleetMember(t, "a", "b", "c", "d") // version 1
	r.Step(2, FleetTold{Records: []membership.Record{peerWithVersions(3, membership.Version{No: 5, Digest: 77, Source: "s"}, membership.Version{})}})
	effects := r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Full: true, Workers: workersInStates("laaaa")}}) // a drains, e is added
	if usableWorkers(r) != "bcd" || r.routeSetVersion != 1 || !strings.Contains(logText(effects), "two contents") {
		t.Fatalf("uses %q at version %d: %s", usableWorkers(r), r.routeSetVersion, logText(effects))
	}
	if got := hintsOf(effects); !reflect.DeepEqual(got, []Hint{{"a", 5, "s"}}) {
		t.Errorf("announced %v", got)
	}
	effects = r.Step(3.1, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Workers: workersInStates("aal")[2:]}}) // changes relative to a list that was not adopted
	if usableWorkers(r) != "bd" || r.routeSetVersion != 1 {
		t.Fatalf("after changes: %q at version %d", usableWorkers(r), r.routeSetVersion)
	}
	if got := hintsOf(effects); !reflect.DeepEqual(got, []Hint{{"c", 6, "s"}}) {
		t.Errorf("announced of the changes: %v", got)
	}
	r.Step(3.2, FleetHinted{Hints: []Hint{{"a", 7, "s"}}}) // a peer reports a's drain too; the drain still counts as reported by discovery
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Import(testSettings(choice.Idempotent), st); err != nil {
		t.Fatal(err)
	}
	if n := countFetches(r.Step(3+contestedFetchIntervalS+1, FleetLooked{})); n != 1 || usableWorkers(r) != "bd" {
		t.Errorf("%d requests for the full list, %q in use", n, usableWorkers(r))
	}
	r.Step(3+hintLifetimeS+5, FleetLooked{})
	if usableWorkers(r) != "bd" {
		t.Errorf("drains from discovery expire: %q", usableWorkers(r))
	}
	r.Step(3+hintLifetimeS+6, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Full: true, Workers: workersInStates("lalaa")}})
	if usableWorkers(r) != "bde" || r.routeSetVersion != 7 || r.contestedVersion != 0 {
		t.Errorf("after an agreed version: %q at version %d", usableWorkers(r), r.routeSetVersion)
	}
}

// TestContestedListExceptions: a list is applied although a peer reports other contents if it is already in use, if no other
// list is held, or if its removals would leave less than half of the workers; and if the peer's list is of another source
// or has the same contents.
func TestContestedListExceptions(t *testing.T) {
	list := RouteSet{Version: 5, Full: true, Workers: workersInStates("aaala")}
	for name, tc := range map[string]struct {
		ids    string
		list   RouteSet
		source string
		digest uint64
		want   string
	}{
		"already in use":     {"aaaa", RouteSet{Version: 1, Workers: workersInStates("l")}, "s", 77, "bcd"},
		"no other list held": {"", list, "s", 77, "abce"},
		"removes over half":  {"aaaa", RouteSet{Version: 5, Full: true, Workers: workersInStates("llla")}, "s", 77, "d"},
		"another source":     {"aaaa", list, "other", 77, "abce"},
		"same contents": {"aaaa", list, "s", func() (d uint64) {
			for _, h := range list.Workers {
				d += workerDigest(h)
			}
			return d
		}(), "abce"},
	} {
		var ids []string
		for i := range tc.ids {
			ids = append(ids, string(rune('a'+i)))
		}
		r := fleetMember(t, ids...)
		r.Step(2, FleetTold{Records: []membership.Record{peerWithVersions(3, membership.Version{No: tc.list.Version, Digest: tc.digest, Source: tc.source}, membership.Version{})}})
		r.Step(3, RouteSetTold{Source: r.source, RouteSet: tc.list})
		if usableWorkers(r) != tc.want || r.routeSetVersion != tc.list.Version {
			t.Errorf("%s: %q at version %d, want %q", name, usableWorkers(r), r.routeSetVersion, tc.want)
		}
	}
}

// TestConflictIsLoggedOnce: a member that holds neither contents logs the conflict once, naming a holder of each.
func TestConflictIsLoggedOnce(t *testing.T) {
	r := fleetMember(t, "a")
	one, two := peerWithVersions(3, membership.Version{}, membership.Version{No: 7, Digest: 1, Source: "f"}), peerWithVersions(3, membership.Version{}, membership.Version{No: 7, Digest: 2, Source: "f"})
	two.Key, two.Process = membership.Key{Name: "n3", Addr: "127.0.0.3:1"}, 3
	all := logText(r.Step(2, FleetTold{Records: []membership.Record{one, two}})) + logText(r.Step(3, FleetLooked{})) + logText(r.Step(4, FleetLooked{}))
	if strings.Count(all, "two contents") != 1 || !strings.Contains(all, "configuration 7 of f") || !strings.Contains(all, "n2") || !strings.Contains(all, "n3") {
		t.Errorf("logged: %q", all)
	}
}

// TestRepeatedHintStaysValid: a hint that is received again does not expire, but a member that has it only from a peer does not
// repeat it forever.
func TestRepeatedHintStaysValid(t *testing.T) {
	for again, want := range map[bool]string{true: "b", false: "ab"} {
		r := fleetMember(t, "a", "b")
		drain := FleetHinted{Hints: []Hint{{"a", 5, "s"}}}
		r.Step(2, drain)
		repeated := 0
		for at := 2.5; at < 2+hintLifetimeS+10; at += 0.5 {
			for _, e := range r.Step(at, FleetLooked{}) {
				if p, is := e.(FleetPictured); is {
					repeated = len(p.Hints)
				}
			}
			if again && hintsOf(r.Step(at, drain)) != nil {
				t.Fatal("announced again")
			}
		}
		if usableWorkers(r) != want || repeated != 0 {
			t.Errorf("repeated %v: %q in use, want %q; %d hints to repeat", again, usableWorkers(r), want, repeated)
		}
	}
}
