package core

import (
	"math"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// FleetFloored brings floors that another member tells.
type FleetFloored struct{ Floors []membership.Floor }

// FleetContacted brings a member's answer to a question.
type FleetContacted struct{ Contact membership.Contact }

// FloorOrdered tells a floor to the fleet, or withdraws one. It is answered by FloorTold.
type FloorOrdered struct {
	Order OrderID
	Floor membership.Floor
	Force bool
}

func (FleetFloored) event()   {}
func (FleetContacted) event() {}
func (FloorOrdered) event()   {}

// FloorsNews are floors to be told to other members.
type FloorsNews struct{ Floors []membership.Floor }

// FloorTold is the answer to an order: whom the floor shuts out unless they come up to it, or why it is not told.
type FloorTold struct {
	Order OrderID
	Floor membership.Floor // as it is held
	Hit   []string
	Fault string
}

// Fenced says from when on nothing new may be written to workers, on the dispatcher's clock; positive infinity for never.
type Fenced struct{ Until float64 }

func (Fenced) effect()     {}
func (FloorsNews) effect() {}
func (FloorTold) effect()  {}

// floorsOf applies an event of the floors; there is a view.
func (r *Reducer) floorsOf(ev Event) {
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

// fence works out until when this dispatcher may act, and tells of floors that have changed.
func (r *Reducer) fence() {
	news := r.fleet.FloorUpdates()
	if len(news) > 0 {
		r.emit(FloorsNews{Floors: news})
	}
	was, until := r.fenced(), r.fenceUntil
	r.fenceUntil, r.fenceWhy = r.fleet.Fence(r.settings.Dispatchers, r.lease)
	if r.fenceUntil != until {
		r.emit(Fenced{Until: r.Fence()})
	}
	for _, f := range news {
		if f.Kind == membership.KindRoutes && !f.Withdrawn && f.No > r.version && r.watching {
			r.emit(FetchRouteSet{Source: r.source}) // a straggler brings itself up
		}
	}
	if now := r.fenced(); now != was && now {
		r.emit(Log{Text: "shut out, nothing new is sent: " + r.fenceWhy})
	} else if now != was {
		r.emit(Log{Text: "may act again"})
	}
}

// fenced tells whether nothing new may be sent, at the time of the step. Danger: what a step asks for is written later, after a dial or a stop
// of the process, so whoever writes asks again.
func (r *Reducer) fenced() bool { return r.now >= r.Fence() }

// Fence is the time from which on nothing new may be sent; positive infinity for never.
func (r *Reducer) Fence() float64 {
	switch {
	case altered.Is("ignores a floor"):
		return math.Inf(1)
	case r.fleet == nil && r.lease > 0: // it is to have a lease, and has not begun as a member
		return math.Inf(-1)
	case r.fleet == nil || r.lease == 0 && r.fenceUntil == 0:
		return math.Inf(1)
	}
	return r.fenceUntil
}

// Lease says, before the first step, for how many seconds this dispatcher may act without touch with its fleet; 0 for any time. Danger: one
// that can't become a member, since its address is taken, must not act in the meantime as if it had no lease.
func (r *Reducer) Lease(seconds float64) {
	if seconds > 0 && !math.IsInf(seconds, 1) {
		r.lease = seconds
	}
}
