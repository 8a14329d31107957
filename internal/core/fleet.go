package core

import (
	"fmt"

	"foldlb.example/foldlb/internal/membership"
)

// FleetBegun starts the view of the fleet with this process's own record. If there is a view already, as after a handover,
// only the versions this process acts on are taken from the record.
type FleetBegun struct {
	Self   membership.Record
	Routes string  // name of the source of route sets within the fleet; empty for its address
	Lease  float64 // seconds that this dispatcher may act without contact to the fleet; 0 for no limit
}

// FleetTold delivers records from other members.
type FleetTold struct{ Records []membership.Record }

// FleetLooked delivers the transport's list of reachable members, twice a second.
type FleetLooked struct{ Sight membership.Reachability }

// FleetRefused reports that a member's host refuses connections, so that its process has ended.
type FleetRefused struct{ Process uint64 }

// FleetEntered reports that this process is stopping or has left the fleet.
type FleetEntered struct{ State membership.State }

// FleetEnded reports that this dispatcher is no longer a member, because its operator file no longer configures a fleet.
type FleetEnded struct{}

// RemoveOrdered removes a member from the fleet that has gone for good.
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

// NoFleet is the fault of an order that needs a fleet.
const NoFleet OrderFault = "this dispatcher keeps no view of a fleet"

// FleetNews carries records to send to other members.
type FleetNews struct{ Records []membership.Record }

// FleetPictured publishes the current view, with the changes since the previous one.
type FleetPictured struct {
	Picture membership.Picture
	Fresh   []membership.Change
	Hints   []Hint // that are still valid
}

func (FleetNews) effect()     {}
func (FleetPictured) effect() {}

// applyFleetEvent applies an event of the fleet.
func (r *Reducer) applyFleetEvent(ev Event) {
	if started, is := ev.(FleetBegun); is {
		r.routeSourceName, r.leaseS = started.Routes, 0
		r.Lease(started.Lease)
		r.beginFleet(started.Self)
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
		r.updateOwnRecord()
		r.expireHints()
		r.refetchContested()
		r.requestHints()
	case FleetHinted:
		r.applyHints(ev.Hints)
		return
	case FleetFloored, FleetContacted, FloorOrdered:
		r.applyFloorEvent(ev)
	case FleetRefused:
		r.fleet.ConnectionRefused(r.now, ev.Process)
	case FleetEntered:
		r.fleet.AdvanceState(r.now, ev.State)
	case FleetEnded:
		r.fleet, r.actingMembers, r.ownVersions, r.routeSourceName = nil, 0, membership.SelfInfo{}, ""
		r.leaseS, r.mayActUntil = 0, 0 // without a fleet there is no contact to lose
		r.emit(Fenced{Until: r.Fence()})
		clear(r.hints)
		r.contestedVersion = 0
		r.decider.SetDispatchers(r.settings.Dispatchers)
		return
	case RemoveOrdered:
		r.emit(Ordered{Order: ev.Order, Fault: OrderFault(r.fleet.Remove(r.now, ev.Name))})
	}
	_, looked := ev.(FleetLooked)
	r.fleetUpdated(looked)
}

// beginFleet starts the view, unless one was handed over, and enters what this process acts on.
func (r *Reducer) beginFleet(self membership.Record) {
	if r.fleet == nil {
		v, err := membership.New(r.now, self)
		if err != nil {
			r.emit(Log{Text: "no view of the fleet: " + err.Error()})
			return
		}
		r.fleet = v
	}
	if r.recorder != nil { // the fleet transport that starts just now has not received it
		r.emit(r.Config())
		self.Config = r.heldVersions.Config
	}
	r.ownVersions = membership.SelfInfo{Generation: self.Generation, Program: self.Program, Config: self.Config, Zone: self.Zone}
	r.updateOwnRecord()
	r.fleetUpdated(true)
}

// updateOwnRecord enters the versions that this process acts on in its own record.
func (r *Reducer) updateOwnRecord() {
	if r.ownVersions.Generation == 0 {
		return // a successor that still follows its predecessor has not joined yet
	}
	r.ownVersions.Routes = r.heldRouteSet()
	r.fleet.UpdateSelf(r.now, r.ownVersions, r.draining)
}

// fleetUpdated passes changes on to other members and to the decision module. After FleetLooked, and after other changes to
// the view, it also publishes a picture.
func (r *Reducer) fleetUpdated(fullUpdate bool) {
	// Before it has met another member the process does not know their number; the settings' number applies.
	if n := r.fleet.Acting(); n != r.actingMembers && r.fleet.Self().State != membership.Joining {
		r.actingMembers = n
		r.decider.SetDispatchers(n)
	}
	r.updateFence()
	r.fetchNewerConfig()
	viewChanged := r.fleet.ChangedSincePicture()
	records, fresh := r.fleet.RecordUpdates(), r.fleet.NewChanges()
	if len(records) > 0 {
		r.emit(FleetNews{Records: records})
	}
	if !fullUpdate && !viewChanged {
		return // building a picture of hundreds of members for every message without changes would dominate the cost
	}
	p := r.fleet.Picture()
	r.logClashes(p.Clashes)
	p.FloorsHeldByMajority = r.fleet.FloorsHeldByMajority(r.settings.Dispatchers)
	if r.fenced() {
		p.Fenced = r.fenceReason
	}
	r.emit(FleetPictured{Picture: p, Fresh: fresh, Hints: r.recentHints()})
}

// FleetState is the fleet's part of a reducer's state. Times are seconds on the dispatcher's clock.
type FleetState struct {
	View   membership.ViewState
	Says   membership.SelfInfo // versions reported in the own record
	Acting int                 // members that may be acting; 0 for the number in the settings
	Routes string              `cbor:",omitempty"` // name of the source of route sets within the fleet
	Hints  []HintState         `cbor:",omitempty"`
	Lease  float64             `cbor:",omitempty"` // seconds; 0 for no lease
	Until  float64             `cbor:",omitempty"` // nothing new may be sent from then on

	Contested int64   `cbor:",omitempty"` // version with conflicting contents whose removals alone are applied; 0 for none
	AskAt     float64 `cbor:",omitempty"` // earliest time of the next request for the full list
	DeafUntil float64 `cbor:",omitempty"` // hints are ignored until then, because the source has started over
}

func (r *Reducer) exportFleet() *FleetState {
	if r.fleet == nil {
		return nil
	}
	return &FleetState{View: r.fleet.Export(), Says: r.ownVersions, Acting: r.actingMembers, Routes: r.routeSourceName, Hints: r.exportHints(),
		Lease: r.leaseS, Until: r.mayActUntil, Contested: r.contestedVersion, AskAt: r.nextFullFetchAt, DeafUntil: r.hintsIgnoredUntil}
}

func (r *Reducer) importFleet(st *FleetState) (err error) {
	if st == nil {
		return nil
	}
	r.ownVersions, r.actingMembers, r.routeSourceName = st.Says, st.Acting, st.Routes
	r.leaseS, r.mayActUntil = st.Lease, st.Until
	r.contestedVersion, r.nextFullFetchAt, r.hintsIgnoredUntil = max(0, st.Contested), st.AskAt, st.DeafUntil
	for i, x := range st.Hints {
		if _, listed := r.workers[x.Worker]; !listed || !isTime(x.At) {
			return fmt.Errorf("hint %d (%q) is of no worker or at no time", i, x.Worker)
		}
		r.hints[x.Worker] = hint{x.Version, x.At, x.Own}
	}
	r.fleet, err = membership.Import(st.View)
	return err
}

// Fleet returns the current view of the fleet; false if there is none.
func (r *Reducer) Fleet() (membership.Picture, bool) {
	if r.fleet == nil {
		return membership.Picture{}, false
	}
	return r.fleet.Picture(), true
}
