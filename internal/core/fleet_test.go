package core

import (
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

func self() membership.Record {
	return membership.Record{Key: membership.Key{Name: "n1", Addr: "127.0.0.1:1"}, Incarnation: 1, Process: 1, Generation: 1, Zone: "a"}
}

func other(state membership.State, verdict membership.Verdict) membership.Record {
	return membership.Record{Key: membership.Key{Name: "n2", Addr: "127.0.0.2:1"}, Incarnation: 1, Process: 2, Seq: 3, State: state, Verdict: verdict, Generation: 1}
}

// pictured takes the last picture and the news out of effects.
func pictured(effects []Effect) (p membership.Picture, news []membership.Record) {
	for _, e := range effects {
		switch e := e.(type) {
		case FleetPictured:
			p = e.Picture
		case FleetNews:
			news = append(news, e.Records...)
		}
	}
	return p, news
}

// TestFleetGoesThroughTheReducer: what it says of itself, whom it counts, and that all of it passes on in a snapshot.
func TestFleetGoesThroughTheReducer(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	p, news := pictured(r.Step(1, FleetBegun{Self: self()}))
	if len(news) != 1 || p.Acting != 1 || p.Members[0].State != membership.Joining || p.Members[0].Routes.No != 1 {
		t.Fatalf("begun: %+v, news %v", p, news)
	}
	if r.acting != 0 {
		t.Errorf("one that has met nobody counts %d, and the settings' number should stand", r.acting)
	}
	r.Step(1.1, FleetTold{Records: []membership.Record{other(membership.Serving, membership.Fine)}})
	p, _ = pictured(r.Step(1.5, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}}))
	if p.Acting != 2 || r.acting != 2 || p.Members[0].State != membership.Serving {
		t.Errorf("met: %+v, the module counts %d", p.Members, r.acting)
	}
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Workers: workers("b")}})
	r.Step(2.1, DrainOrdered{})
	if p, _ = pictured(r.Step(2.5, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}})); p.Members[0].Routes.No != 7 || p.Members[0].State != membership.SentAway {
		t.Errorf("says of itself: %+v", p.Members[0])
	}
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	twin, err := Import(settings(choice.Idempotent), st)
	if err != nil {
		t.Fatal(err)
	}
	mine, _ := r.Fleet()
	its, kept := twin.Fleet()
	if !kept || its.Digest != mine.Digest || twin.acting != 2 || !reflect.DeepEqual(twin.exportFleet(), r.exportFleet()) {
		t.Errorf("passed on as %+v, was %+v", its, mine)
	}
	gone := FleetRefused{Process: 2}
	if a, b := r.Step(3, gone), twin.Step(3, gone); !reflect.DeepEqual(a, b) {
		t.Errorf("a successor does otherwise: %+v, %+v", b, a)
	}
	if r.acting != 1 {
		t.Errorf("%d may be acting after a refusal", r.acting)
	}
	r.Step(4, FleetEnded{})
	if _, kept := r.Fleet(); kept || r.acting != 0 {
		t.Error("a view is kept though the fleet has ended")
	}
}

// TestLeaseFromTheStart: one that is to have a lease acts only once it is in touch, and not before it is a member at all.
func TestLeaseFromTheStart(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	r.settings.Dispatchers = 2
	r.Lease(4)
	expect(t, r.Step(1, call("r0")), "answer 1 ")
	r.Step(1, FleetBegun{Self: self(), Lease: 4})
	r.Step(1, FleetTold{Records: []membership.Record{other(membership.Serving, membership.Fine)}})
	if got := brief(r.Step(2, call("r1"))); len(got) != 1 || got[0] != "answer 1 " {
		t.Errorf("out of touch: %v", got)
	}
	floors := r.fleet.FloorDigest()
	r.Step(3, FleetContacted{Contact: membership.Contact{Process: 2, Asker: 1, Sent: 2.5, Floors: floors, Established: true}})
	sent := func(now float64, id string) bool {
		for _, e := range r.Step(now, call(id)) {
			if _, is := e.(SendBranch); is {
				return true
			}
		}
		return false
	}
	if !sent(3.1, "r2") {
		t.Error("in touch, and does not act")
	}
	if sent(6.6, "r3") {
		t.Error("acts when its lease has ended")
	}
}

// TestRemoveOrders are answered, also where there is no fleet.
func TestRemoveOrders(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	fault := func(name string) OrderFault {
		t.Helper()
		for _, e := range r.Step(5, RemoveOrdered{Order: 3, Name: name}) {
			if o, is := e.(Ordered); is && o.Order == 3 {
				return o.Fault
			}
		}
		t.Fatal("no answer")
		return ""
	}
	if got := fault("n2"); got != NoFleet {
		t.Errorf("without a fleet: %q", got)
	}
	r.Step(5, FleetBegun{Self: self()})
	r.Step(5, FleetTold{Records: []membership.Record{other(membership.Serving, membership.Failed)}})
	if got := fault("n2"); got != "" || r.fleet.Acting() != 1 {
		t.Errorf("one that failed: %q, %d may be acting", got, r.fleet.Acting())
	}
	if got := fault("n7"); got != membership.FaultUnknown {
		t.Errorf("nobody: %q", got)
	}
}

// TestFaultyViewIsRefused in a snapshot, by name.
func TestFaultyViewIsRefused(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	r.Step(1, FleetBegun{Self: self()})
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.View.Self.Name = "someone else"
	if _, err := Import(settings(choice.Idempotent), st); err == nil {
		t.Error("a view without its own process is taken up")
	}
}
