package core

import (
	"fmt"

	"foldlb.example/foldlb/internal/membership"
)

// FleetBegun begins a view of the fleet with this process's own record. Where there is a view already, as after a hand-over,
// only what the process acts on is taken from it.
type FleetBegun struct {
	Self   membership.Record
	Routes string  // the name of the source of route sets among members; empty for its address
	Lease  float64 // seconds that this dispatcher may act without touch with the fleet; 0 for any time
}

// FleetTold brings what other members tell.
type FleetTold struct{ Records []membership.Record }

// FleetLooked brings whom the transport reaches. It comes twice a second.
type FleetLooked struct{ Sight membership.Reachability }

// FleetRefused says that a member's machine told that nobody listens there.
type FleetRefused struct{ Process uint64 }

// FleetEntered says that this process is stopping, or has left.
type FleetEntered struct{ State membership.State }

// FleetEnded says that this dispatcher is a member no longer: its operator file has no fleet any more.
type FleetEnded struct{}

// RemoveOrdered takes a member that is gone for good out of the fleet.
type RemoveOrdered struct {
	Order OrderID
	Name  string
}

func (FleetBegun) event()    {}
func (FleetTold) event()     {}
func (FleetLooked) event()   {}
func (FleetRefused) event()  {}
func (FleetEntered) event()  {}
func (FleetEnded) event()    {}
func (RemoveOrdered) event() {}

// NoFleet is the fault of an order that needs a view of the fleet.
const NoFleet OrderFault = "this dispatcher keeps no view of a fleet"

// FleetNews is to be told to other members.
type FleetNews struct{ Records []membership.Record }

// FleetPictured is the view as of now, for those outside, with what has changed since the last.
type FleetPictured struct {
	Picture membership.Picture
	Fresh   []membership.Change
	Hints   []Hint // that still count
}

func (FleetNews) effect()     {}
func (FleetPictured) effect() {}

// fleetOf applies an event of the fleet.
func (r *Reducer) fleetOf(ev Event) {
	if begun, is := ev.(FleetBegun); is {
		r.routesName, r.lease = begun.Routes, 0
		r.Lease(begun.Lease)
		r.fleetBegun(begun.Self)
		return
	}
	if r.fleet == nil {
		switch o := ev.(type) {
		case RemoveOrdered:
			r.emit(Ordered{Order: o.Order, Fault: NoFleet})
		case FloorOrdered:
			r.emit(FloorTold{Order: o.Order, Fault: string(NoFleet)})
		}
		return
	}
	switch ev := ev.(type) {
	case FleetTold:
		r.fleet.Merge(r.now, ev.Records)
	case FleetLooked:
		r.fleet.UpdateReachability(r.now, ev.Sight)
		r.saysOfItself()
		r.hintsPass()
		r.contestPass()
		r.askHints()
	case FleetHinted:
		r.hinted(ev.Hints)
		return
	case FleetFloored, FleetContacted, FloorOrdered:
		r.floorsOf(ev)
	case FleetRefused:
		r.fleet.ConnectionRefused(r.now, ev.Process)
	case FleetEntered:
		r.fleet.AdvanceState(r.now, ev.State)
	case FleetEnded:
		r.fleet, r.acting, r.says, r.routesName = nil, 0, membership.SelfInfo{}, ""
		r.lease, r.fenceUntil = 0, 0 // as there is no fleet to be in touch with
		r.emit(Fenced{Until: r.Fence()})
		clear(r.hints)
		r.contested = 0
		r.decider.SetDispatchers(r.settings.Dispatchers)
		return
	case RemoveOrdered:
		r.emit(Ordered{Order: ev.Order, Fault: OrderFault(r.fleet.Remove(r.now, ev.Name))})
	}
	_, looked := ev.(FleetLooked)
	r.fleetMoved(looked)
}

func (r *Reducer) fleetBegun(self membership.Record) {
	if r.fleet == nil {
		v, err := membership.New(r.now, self)
		if err != nil {
			r.emit(Log{Text: "no view of the fleet: " + err.Error()})
			return
		}
		r.fleet = v
	}
	if r.recorder != nil { // the member that begins just now has not heard it
		r.emit(r.Config())
		self.Config = r.audited.Config
	}
	r.says = membership.SelfInfo{Generation: self.Generation, Program: self.Program, Config: self.Config, Zone: self.Zone}
	r.saysOfItself()
	r.fleetMoved(true)
}

// saysOfItself has the view say what this process acts on.
func (r *Reducer) saysOfItself() {
	if r.says.Generation == 0 {
		return // an upgrade's follower has not begun itself
	}
	r.says.Routes = r.routes()
	r.fleet.UpdateSelf(r.now, r.says, r.draining)
}

// fleetMoved tells others and the decision module of what has changed. After a look, or anything else that a picture is due for, all is told.
func (r *Reducer) fleetMoved(looked bool) {
	// One that has met nobody yet knows no number, and the settings' stands.
	if n := r.fleet.Acting(); n != r.acting && r.fleet.Self().State != membership.Joining {
		r.acting = n
		r.decider.SetDispatchers(n)
	}
	r.fence()
	r.bringUp()
	moved := r.fleet.ChangedSincePicture()
	news, fresh := r.fleet.RecordUpdates(), r.fleet.NewChanges()
	if len(news) > 0 {
		r.emit(FleetNews{Records: news})
	}
	if !looked && !moved {
		return // danger: a picture of hundreds for each word that brings nothing new would cost more than all else
	}
	p := r.fleet.Picture()
	r.sayClashes(p.Clashes)
	p.FloorsHeldByMajority = r.fleet.FloorsHeldByMajority(r.settings.Dispatchers)
	if r.fenced() {
		p.Fenced = r.fenceWhy
	}
	r.emit(FleetPictured{Picture: p, Fresh: fresh, Hints: r.recentHints()})
}

// FleetState is the view's part of a reducer's state.
type FleetState struct {
	View   membership.ViewState
	Says   membership.SelfInfo
	Acting int
	Routes string      `cbor:",omitempty"`
	Hints  []HintState `cbor:",omitempty"`
	Lease  float64     `cbor:",omitempty"`
	Until  float64     `cbor:",omitempty"` // when it may act no longer

	Contested int64   `cbor:",omitempty"` // number of the list with two contents of which only what it takes out counts
	AskAt     float64 `cbor:",omitempty"`
	DeafUntil float64 `cbor:",omitempty"` // for hints, since the source has begun anew
}

func (r *Reducer) exportFleet() *FleetState {
	if r.fleet == nil {
		return nil
	}
	return &FleetState{View: r.fleet.Export(), Says: r.says, Acting: r.acting, Routes: r.routesName, Hints: r.exportHints(),
		Lease: r.lease, Until: r.fenceUntil, Contested: r.contested, AskAt: r.askAt, DeafUntil: r.deafUntil}
}

func (r *Reducer) importFleet(st *FleetState) (err error) {
	if st == nil {
		return nil
	}
	r.says, r.acting, r.routesName = st.Says, st.Acting, st.Routes
	r.lease, r.fenceUntil = st.Lease, st.Until
	r.contested, r.askAt, r.deafUntil = max(0, st.Contested), st.AskAt, st.DeafUntil
	for i, x := range st.Hints {
		if _, listed := r.workers[x.Worker]; !listed || !isTime(x.At) {
			return fmt.Errorf("hint %d (%q) is of no worker or at no time", i, x.Worker)
		}
		r.hints[x.Worker] = hint{x.Version, x.At, x.Own}
	}
	r.fleet, err = membership.Import(st.View)
	return err
}

// Fleet is the view of the fleet as of now; false where there is none.
func (r *Reducer) Fleet() (membership.Picture, bool) {
	if r.fleet == nil {
		return membership.Picture{}, false
	}
	return r.fleet.Picture(), true
}
