package core

import (
	"reflect"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

// peerOn is another member that acts on a route set and a configuration.
func peerOn(seq uint64, routes, config membership.Version) membership.Record {
	m := other(membership.Serving, membership.Fine)
	m.Seq, m.Routes, m.Config = seq, routes, config
	return m
}

// states is a list of workers in the states named: a active, l leaving.
func states(all string) (list []Worker) {
	for i, s := range all {
		h := workers(string(rune('a' + i)))[0]
		if s == 'l' {
			h.State = WorkerLeaving
		}
		list = append(list, h)
	}
	return list
}

func usable(r *Reducer) (ids string) {
	for id := 'a'; id <= 'z'; id++ {
		if h, listed := r.workers[WorkerID(id)]; listed && r.usable(h) {
			ids += string(id)
		}
	}
	return ids
}

func logged(effects []Effect) (all string) {
	for _, e := range effects {
		if l, is := e.(Log); is {
			all += l.Text + "\n"
		}
	}
	return all
}

func fetched(effects []Effect) (n int) {
	for _, e := range effects {
		if _, is := e.(FetchRouteSet); is {
			n++
		}
	}
	return n
}

// TestContestedListOnlyTakesOut: of a number that a peer holds with another content only drains count, through a hand-over, until a number
// comes that all agree on.
func TestContestedListOnlyTakesOut(t *testing.T) {
	r := member(t, "a", "b", "c", "d") // version 1
	r.Step(2, FleetTold{Records: []membership.Record{peerOn(3, membership.Version{No: 5, Digest: 77, Source: "s"}, membership.Version{})}})
	said := r.Step(3, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 5, Full: true, Workers: states("laaaa")}}) // a drains, e arrives
	if usable(r) != "bcd" || r.routeSetVersion != 1 || !strings.Contains(logged(said), "two contents") {
		t.Fatalf("acts on %q as of %d: %s", usable(r), r.routeSetVersion, logged(said))
	}
	if got := hintsOf(said); !reflect.DeepEqual(got, []Hint{{"a", 5, "s"}}) {
		t.Errorf("passed on %v", got)
	}
	said = r.Step(3.1, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 6, Workers: states("aal")[2:]}}) // changes upon what is not held
	if usable(r) != "bd" || r.routeSetVersion != 1 {
		t.Fatalf("after changes: %q as of %d", usable(r), r.routeSetVersion)
	}
	if got := hintsOf(said); !reflect.DeepEqual(got, []Hint{{"c", 6, "s"}}) {
		t.Errorf("passed on of the changes: %v", got)
	}
	r.Step(3.2, FleetHinted{Hints: []Hint{{"a", 7, "s"}}}) // a peer says the same of a, later; what discovery told here stays its own word
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Import(settings(choice.Idempotent), st); err != nil {
		t.Fatal(err)
	}
	if n := fetched(r.Step(3+contestedFetchIntervalS+1, FleetLooked{})); n != 1 || usable(r) != "bd" {
		t.Errorf("asked %d times for the whole list, %q in use", n, usable(r))
	}
	r.Step(3+hintLifetimeS+5, FleetLooked{})
	if usable(r) != "bd" {
		t.Errorf("discovery's own drains end by time: %q", usable(r))
	}
	r.Step(3+hintLifetimeS+6, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Full: true, Workers: states("lalaa")}})
	if usable(r) != "bde" || r.routeSetVersion != 7 || r.contestedVersion != 0 {
		t.Errorf("a number that all agree on: %q as of %d", usable(r), r.routeSetVersion)
	}
}

// TestContestedListIsActedOn by one that does already, one that holds nothing else, and one that would lose over half; and where the
// peer's is of another source or says the same.
func TestContestedListIsActedOn(t *testing.T) {
	list := RouteSet{Version: 5, Full: true, Workers: states("aaala")}
	for name, tc := range map[string]struct {
		ids    string
		list   RouteSet
		source string
		digest uint64
		want   string
	}{
		"acted on already":     {"aaaa", RouteSet{Version: 1, Workers: states("l")}, "s", 77, "bcd"},
		"nothing else is held": {"", list, "s", 77, "abce"},
		"over half would go":   {"aaaa", RouteSet{Version: 5, Full: true, Workers: states("llla")}, "s", 77, "d"},
		"another source":       {"aaaa", list, "other", 77, "abce"},
		"the same content": {"aaaa", list, "s", func() (d uint64) {
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
		r := member(t, ids...)
		r.Step(2, FleetTold{Records: []membership.Record{peerOn(3, membership.Version{No: tc.list.Version, Digest: tc.digest, Source: tc.source}, membership.Version{})}})
		r.Step(3, RouteSetTold{Source: r.source, RouteSet: tc.list})
		if usable(r) != tc.want || r.routeSetVersion != tc.list.Version {
			t.Errorf("%s: %q as of %d, want %q", name, usable(r), r.routeSetVersion, tc.want)
		}
	}
}

// TestClashIsSaidOnce by a member that holds neither content, with both origins.
func TestClashIsSaidOnce(t *testing.T) {
	r := member(t, "a")
	one, two := peerOn(3, membership.Version{}, membership.Version{No: 7, Digest: 1, Source: "f"}), peerOn(3, membership.Version{}, membership.Version{No: 7, Digest: 2, Source: "f"})
	two.Key, two.Process = membership.Key{Name: "n3", Addr: "127.0.0.3:1"}, 3
	all := logged(r.Step(2, FleetTold{Records: []membership.Record{one, two}})) + logged(r.Step(3, FleetLooked{})) + logged(r.Step(4, FleetLooked{}))
	if strings.Count(all, "two contents") != 1 || !strings.Contains(all, "configuration 7 of f") || !strings.Contains(all, "n2") || !strings.Contains(all, "n3") {
		t.Errorf("said: %q", all)
	}
}

// TestPeersDrainOutlastsItsTime while it is told again, and is not passed on for ever by one that has it from a peer.
func TestPeersDrainOutlastsItsTime(t *testing.T) {
	for again, want := range map[bool]string{true: "b", false: "ab"} {
		r := member(t, "a", "b")
		drain := FleetHinted{Hints: []Hint{{"a", 5, "s"}}}
		r.Step(2, drain)
		told := 0
		for at := 2.5; at < 2+hintLifetimeS+10; at += 0.5 {
			for _, e := range r.Step(at, FleetLooked{}) {
				if p, is := e.(FleetPictured); is {
					told = len(p.Hints)
				}
			}
			if again && hintsOf(r.Step(at, drain)) != nil {
				t.Fatal("passed on again")
			}
		}
		if usable(r) != want || told != 0 {
			t.Errorf("told again %v: %q in use, want %q; tells %d on", again, usable(r), want, told)
		}
	}
}
