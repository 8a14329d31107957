package core

import (
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/membership"
)

func selfRecord() membership.Record {
	return membership.Record{Key: membership.Key{Name: "n1", Addr: "127.0.0.1:1"}, Incarnation: 1, Process: 1, Generation: 1, Zone: "a"}
}

func peerRecord(state membership.State, verdict membership.Verdict) membership.Record {
	return membership.Record{Key: membership.Key{Name: "n2", Addr: "127.0.0.2:1"}, Incarnation: 1, Process: 2, Seq: 3, State: state, Verdict: verdict, Generation: 1}
}

// pictureAndRecords returns the last picture and all records to be sent.
func pictureAndRecords(effects []Effect) (p membership.Picture, records []membership.Record) {
	for _, e := range effects {
		switch e := e.(type) {
		case FleetPictured:
			p = e.Picture
		case FleetNews:
			records = append(records, e.Records...)
		}
	}
	return p, records
}

// TestFleetViewInReducer checks the own record, the number of acting members, and that the view is part of the state.
func TestFleetViewInReducer(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
	p, records := pictureAndRecords(r.Step(1, FleetBegun{Self: selfRecord()}))
	if len(records) != 1 || p.Acting != 1 || p.Members[0].State != membership.Joining || p.Members[0].Routes.No != 1 {
		t.Fatalf("begun: %+v, records %v", p, records)
	}
	if r.actingMembers != 0 {
		t.Errorf("%d acting before any contact, want the settings' number", r.actingMembers)
	}
	r.Step(1.1, FleetTold{Records: []membership.Record{peerRecord(membership.Serving, membership.Fine)}})
	p, _ = pictureAndRecords(r.Step(1.5, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}}))
	if p.Acting != 2 || r.actingMembers != 2 || p.Members[0].State != membership.Serving {
		t.Errorf("in contact: %+v, %d acting", p.Members, r.actingMembers)
	}
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 7, Workers: workers("b")}})
	r.Step(2.1, DrainOrdered{})
	if p, _ = pictureAndRecords(r.Step(2.5, FleetLooked{Sight: membership.Reachability{Reached: []uint64{2}}})); p.Members[0].Routes.No != 7 || p.Members[0].State != membership.SentAway {
		t.Errorf("own record: %+v", p.Members[0])
	}
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	successor, err := Import(testSettings(choice.Idempotent), st)
	if err != nil {
		t.Fatal(err)
	}
	mine, _ := r.Fleet()
	its, kept := successor.Fleet()
	if !kept || its.Digest != mine.Digest || successor.actingMembers != 2 || !reflect.DeepEqual(successor.exportFleet(), r.exportFleet()) {
		t.Errorf("exported as %+v, was %+v", its, mine)
	}
	refused := FleetRefused{Process: 2}
	if a, b := r.Step(3, refused), successor.Step(3, refused); !reflect.DeepEqual(a, b) {
		t.Errorf("effects differ in a successor: %+v, %+v", b, a)
	}
	if r.actingMembers != 1 {
		t.Errorf("%d may be acting after a refusal", r.actingMembers)
	}
	r.Step(4, FleetEnded{})
	if _, kept := r.Fleet(); kept || r.actingMembers != 0 {
		t.Error("the view remains after the fleet has ended")
	}
}

// TestNothingIsSentBeforeTheFirstContact: a dispatcher with a lease sends nothing before it has joined and is in contact.
func TestNothingIsSentBeforeTheFirstContact(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
	r.settings.Dispatchers = 2
	r.Lease(4)
	expect(t, r.Step(1, call("r0")), "answer 1 ")
	r.Step(1, FleetBegun{Self: selfRecord(), Lease: 4})
	r.Step(1, FleetTold{Records: []membership.Record{peerRecord(membership.Serving, membership.Fine)}})
	if got := summarize(r.Step(2, call("r1"))); len(got) != 1 || got[0] != "answer 1 " {
		t.Errorf("without contact: %v", got)
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
		t.Error("in contact, but sends nothing")
	}
	if sent(6.6, "r3") {
		t.Error("sends after its lease has ended")
	}
}

// TestRemoveOrders: orders are answered, also without a fleet.
func TestRemoveOrders(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
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
	r.Step(5, FleetBegun{Self: selfRecord()})
	r.Step(5, FleetTold{Records: []membership.Record{peerRecord(membership.Serving, membership.Failed)}})
	if got := fault("n2"); got != "" || r.fleet.Acting() != 1 {
		t.Errorf("failed member: %q, %d may be acting", got, r.fleet.Acting())
	}
	if got := fault("n7"); got != membership.FaultUnknown {
		t.Errorf("unknown member: %q", got)
	}
}

// TestImportRefusesInvalidFleetView checks that a view that lacks the own process is rejected.
func TestImportRefusesInvalidFleetView(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
	r.Step(1, FleetBegun{Self: selfRecord()})
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	st.Fleet.View.Self.Name = "someone else"
	if _, err := Import(testSettings(choice.Idempotent), st); err == nil {
		t.Error("a view without the own process was imported")
	}
}
