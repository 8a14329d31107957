package core

import (
	"slices"
	"testing"

	"foldlb.example/foldlb/choice"
)

// TestImplausibleListsAreRefetched: an update that would lose the workers held is requested again once, in full, and then
// applied.
func TestImplausibleListsAreRefetched(t *testing.T) {
	for _, tc := range []struct {
		name        string
		set         RouteSet
		implausible bool
	}{
		{"an older version's changes", RouteSet{Version: 40, Workers: workers("b")}, true},
		{"an older version's list", RouteSet{Version: 40, Full: true, Workers: workers("b")}, true},
		{"an empty list", RouteSet{Version: 42, Full: true}, true},
		{"no changes", RouteSet{Version: 41}, false},
		{"a newer list", RouteSet{Version: 42, Full: true, Workers: workers("b")}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := New(1, testSettings(choice.Idempotent), RouteSet{Version: 41, Workers: workers("a")}, "d:1")
			if err != nil {
				t.Fatal(err)
			}
			got := summarize(r.Step(2, RouteSetTold{Source: r.source, RouteSet: tc.set}))
			if implausible := slices.Equal(got, []string{"core.Log", "core.Watch"}); implausible != tc.implausible {
				t.Fatalf("effects %v", got)
			}
			if !tc.implausible {
				return
			}
			if got := summarize(r.Step(2, call("r"))); !slices.Contains(got, "send a") {
				t.Errorf("the workers held are lost: %v", got)
			}
			st, err := r.Export()
			if err != nil {
				t.Fatal(err)
			}
			if r, err = Import(testSettings(choice.Idempotent), st); err != nil {
				t.Fatal(err)
			}
			r.Step(2.1, RouteSetTold{Source: r.source, RouteSet: tc.set})
			if r.routeSetVersion != tc.set.Version || len(tc.set.Workers) != 0 && r.workers["b"].ID != "b" || tc.set.Full && r.workers["a"].ID != "" {
				t.Errorf("after the repeated update it holds version %d and %v", r.routeSetVersion, r.workers)
			}
		})
	}
}

// TestDrainsOfAnImplausibleListAreApplied: drains apply at once although the list is requested again, whose answer then
// overrides them.
func TestDrainsOfAnImplausibleListAreApplied(t *testing.T) {
	r, err := New(1, testSettings(choice.Idempotent), RouteSet{Version: 41, Workers: workers("a", "b")}, "d:1")
	if err != nil {
		t.Fatal(err)
	}
	leaving := workers("a")
	leaving[0].State = WorkerLeaving
	if got := summarize(r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 40, Workers: leaving}})); !slices.Contains(got, "core.DropWorker") {
		t.Fatalf("effects %v", got)
	}
	for i := range 8 {
		expect(t, r.Step(2.1, CallArrived{Call{Exchange: ExchangeID(20 + i), ID: RequestID(rune('A' + i)), Class: "c", Remaining: 5}}), "send b")
	}
	r.Step(2.2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 40, Full: true, Workers: workers("a")}})
	if got := summarize(r.Step(2.3, call("r"))); !slices.Contains(got, "send a") {
		t.Errorf("effects %v", got)
	}
}

// TestNewSourceIsCheckedOnItsOwn: a repeated request to the previous source does not count for a new one.
func TestNewSourceIsCheckedOnItsOwn(t *testing.T) {
	r, err := New(1, testSettings(choice.Idempotent), RouteSet{Version: 41, Workers: workers("a")}, "d:1")
	if err != nil {
		t.Fatal(err)
	}
	empty := RouteSet{Version: 42, Full: true}
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: empty})
	r.Step(2.1, Reloaded{Discovery: "d:2"})
	r.Step(2.2, RouteSetTold{Source: r.source, RouteSet: empty})
	if r.workers["a"].ID != "a" {
		t.Error("the first empty list of a new source was applied")
	}
}

// TestFigures counts a request that is served, one refused at once, one refused after an attempt and one that fails.
func TestFigures(t *testing.T) {
	figures := func(r *Reducer) Figures {
		t.Helper()
		for _, e := range r.Step(r.now, FiguresAsked{}) {
			if f, ok := e.(Figures); ok {
				return f
			}
		}
		t.Fatal("no figures")
		return Figures{}
	}
	r := newTestReducer(t, choice.Idempotent, "a")
	r.Step(2, call("served"))
	r.Step(2.1, JobReported{Request: "served", From: "a", State: JobDone})
	r.Step(3, call("late"))
	r.Step(9, Tick{})
	if f := figures(r); f.Tally.Calls != 2 || f.Tally.Branches < 2 || f.Tally.RefusedTried+f.Tally.Failed != 1 || f.View.Known != 1 || f.Open != 0 {
		t.Errorf("%+v", f)
	}
	none := newTestReducer(t, choice.Idempotent)
	none.Step(2, call("r"))
	if f := figures(none); f.Tally != (Tally{Calls: 1, RefusedAtOnce: 1}) {
		t.Errorf("%+v", f.Tally)
	}
}
