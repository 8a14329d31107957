package core

import (
	"math"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// FleetFloored delivers floors, the minimum versions for acting, from another member.
type FleetFloored struct{ Floors []membership.Floor }

// FleetContacted delivers a member's answer to a question of this process, which proves contact with it.
type FleetContacted struct{ Contact membership.Contact }

// FloorOrdered announces a floor to the fleet, or withdraws one. The answer is FloorTold.
type FloorOrdered struct {
	Order OrderID
	Floor membership.Floor
	Force bool // announce it although members would be fenced
}

func (FleetFloored) event()   {}
func (FleetContacted) event() {}
func (FloorOrdered) event()   {}

// FloorsNews carries floors to send to other members.
type FloorsNews struct{ Floors []membership.Floor }

// FloorTold answers FloorOrdered: the members that the floor fences unless they reach it, or why it is not announced.
type FloorTold struct {
	Order OrderID
	Floor membership.Floor // as it is now in force
	Hit   []string         // names of members below the floor
	Fault string           // empty if the floor is in force
}

// Fenced reports the time from which on nothing new may be sent to workers, on the dispatcher's clock; positive infinity
// for no limit.
type Fenced struct{ Until float64 }

func (Fenced) effect()     {}
func (FloorsNews) effect() {}
func (FloorTold) effect()  {}

// applyFloorEvent applies an event that concerns floors. There must be a view of the fleet.
func (r *Reducer) applyFloorEvent(ev Event) {
	switch ev := ev.(type) {
	case FleetFloored:
		r.fleet.MergeFloors(r.now, ev.Floors)
	case FleetContacted:
		r.fleet.Contact(r.now, ev.Contact)
	case FloorOrdered:
		f, hit, fault := r.fleet.AnnounceFloor(r.now, ev.Floor, ev.Force)
		r.emit(FloorTold{Order: ev.Order, Floor: f, Hit: hit, Fault: fault})
	}
}

// updateFence recomputes until when this dispatcher may act, and passes on floors that have changed.
func (r *Reducer) updateFence() {
	floors := r.fleet.FloorUpdates()
	if len(floors) > 0 {
		r.emit(FloorsNews{Floors: floors})
	}
	wasFenced, previousUntil := r.fenced(), r.mayActUntil
	r.mayActUntil, r.fenceReason = r.fleet.Fence(r.settings.Dispatchers, r.leaseS)
	if r.mayActUntil != previousUntil {
		r.emit(Fenced{Until: r.Fence()})
	}
	for _, f := range floors {
		if f.Kind == membership.KindRoutes && !f.Withdrawn && f.No > r.routeSetVersion && r.watching {
			r.emit(FetchRouteSet{Source: r.source}) // below the floor: update the route set without waiting for the source
		}
	}
	if now := r.fenced(); now != wasFenced && now {
		r.emit(Log{Text: "shut out, nothing new is sent: " + r.fenceReason})
	} else if now != wasFenced {
		r.emit(Log{Text: "may act again"})
	}
}

// fenced reports whether nothing new may be sent at the time of the step. Effects are carried out later, perhaps after a
// dial or a stop of the process, so the sender checks again before it writes.
func (r *Reducer) fenced() bool { return r.now >= r.Fence() }

// Fence returns the time from which on nothing new may be sent; positive infinity for no limit.
func (r *Reducer) Fence() float64 {
	switch {
	case altered.Is("ignores a floor"):
		return math.Inf(1)
	case r.fleet == nil && r.leaseS > 0: // a lease is configured, but the process has not joined the fleet yet
		return math.Inf(-1)
	case r.fleet == nil || r.leaseS == 0 && r.mayActUntil == 0:
		return math.Inf(1)
	}
	return r.mayActUntil
}

// Lease sets how many seconds this dispatcher may act without contact to its fleet; 0 for no limit. It must be called
// before the first step: a process that can't join, for example because its address is in use, must not act in the
// meantime as if it had no lease.
func (r *Reducer) Lease(seconds float64) {
	if seconds > 0 && !math.IsInf(seconds, 1) {
		r.leaseS = seconds
	}
}
