package snapshot

import (
	"fmt"

	"foldlb.example/foldlb/internal/core"
)

// Event contains one of the reducer's events; exactly one field is set. It is the format in which events that were received
// but not yet applied are handed over to another process.
type Event struct {
	CallArrived     *core.CallArrived     `cbor:"1,keyasint,omitempty"`
	CallerLeft      *core.CallerLeft      `cbor:"2,keyasint,omitempty"`
	HealthAsked     *core.HealthAsked     `cbor:"3,keyasint,omitempty"`
	BranchFailed    *core.BranchFailed    `cbor:"4,keyasint,omitempty"`
	BranchTaken     *core.BranchTaken     `cbor:"5,keyasint,omitempty"`
	JobReported     *core.JobReported     `cbor:"6,keyasint,omitempty"`
	RouteSetTold    *core.RouteSetTold    `cbor:"7,keyasint,omitempty"`
	RouteSetRefused *core.RouteSetRefused `cbor:"8,keyasint,omitempty"`
	Reloaded        *core.Reloaded        `cbor:"9,keyasint,omitempty"`
	Stopping        *core.Stopping        `cbor:"10,keyasint,omitempty"`
	Tick            *core.Tick            `cbor:"11,keyasint,omitempty"`
	BanOrdered      *core.BanOrdered      `cbor:"12,keyasint,omitempty"`
	DrainOrdered    *core.DrainOrdered    `cbor:"13,keyasint,omitempty"`
	FleetBegun      *core.FleetBegun      `cbor:"14,keyasint,omitempty"`
	FleetTold       *core.FleetTold       `cbor:"15,keyasint,omitempty"`
	FleetLooked     *core.FleetLooked     `cbor:"16,keyasint,omitempty"`
	FleetRefused    *core.FleetRefused    `cbor:"17,keyasint,omitempty"`
	FleetEntered    *core.FleetEntered    `cbor:"18,keyasint,omitempty"`
	FleetEnded      *core.FleetEnded      `cbor:"20,keyasint,omitempty"`
	RemoveOrdered   *core.RemoveOrdered   `cbor:"19,keyasint,omitempty"`
	AuditBegun      *core.AuditBegun      `cbor:"21,keyasint,omitempty"`
	AuditLooked     *core.AuditLooked     `cbor:"22,keyasint,omitempty"`
	AuditConfigured *core.AuditConfigured `cbor:"23,keyasint,omitempty"`
	AuditAsked      *core.AuditAsked      `cbor:"24,keyasint,omitempty"`
	AuditEnded      *core.AuditEnded      `cbor:"25,keyasint,omitempty"`
	FleetHinted     *core.FleetHinted     `cbor:"26,keyasint,omitempty"`
	FleetFloored    *core.FleetFloored    `cbor:"27,keyasint,omitempty"`
	FleetContacted  *core.FleetContacted  `cbor:"28,keyasint,omitempty"`
	FloorOrdered    *core.FloorOrdered    `cbor:"29,keyasint,omitempty"`
	BranchReleased  *core.BranchReleased  `cbor:"30,keyasint,omitempty"`
}

// Pack wraps an event. It returns an error if the event has an unknown type. FiguresAsked is replaced by Tick.
func Pack(ev core.Event) (Event, error) {
	switch ev := ev.(type) {
	case core.CallArrived:
		return Event{CallArrived: &ev}, nil
	case core.CallerLeft:
		return Event{CallerLeft: &ev}, nil
	case core.HealthAsked:
		return Event{HealthAsked: &ev}, nil
	case core.BranchFailed:
		return Event{BranchFailed: &ev}, nil
	case core.BranchTaken:
		return Event{BranchTaken: &ev}, nil
	case core.BranchReleased:
		return Event{BranchReleased: &ev}, nil
	case core.JobReported:
		return Event{JobReported: &ev}, nil
	case core.RouteSetTold:
		return Event{RouteSetTold: &ev}, nil
	case core.RouteSetRefused:
		return Event{RouteSetRefused: &ev}, nil
	case core.Reloaded:
		return Event{Reloaded: &ev}, nil
	case core.Stopping:
		return Event{Stopping: &ev}, nil
	case core.Tick:
		return Event{Tick: &ev}, nil
	case core.FiguresAsked:
		return Event{Tick: &core.Tick{}}, nil // the successor has counters of its own
	case core.BanOrdered:
		return Event{BanOrdered: &ev}, nil
	case core.DrainOrdered:
		return Event{DrainOrdered: &ev}, nil
	case core.FleetBegun:
		return Event{FleetBegun: &ev}, nil
	case core.FleetTold:
		return Event{FleetTold: &ev}, nil
	case core.FleetLooked:
		return Event{FleetLooked: &ev}, nil
	case core.FleetRefused:
		return Event{FleetRefused: &ev}, nil
	case core.FleetEntered:
		return Event{FleetEntered: &ev}, nil
	case core.FleetEnded:
		return Event{FleetEnded: &ev}, nil
	case core.AuditBegun:
		return Event{AuditBegun: &ev}, nil
	case core.AuditLooked:
		return Event{AuditLooked: &ev}, nil
	case core.AuditConfigured:
		return Event{AuditConfigured: &ev}, nil
	case core.AuditAsked:
		return Event{AuditAsked: &ev}, nil
	case core.AuditEnded:
		return Event{AuditEnded: &ev}, nil
	case core.FleetHinted:
		return Event{FleetHinted: &ev}, nil
	case core.FleetFloored:
		return Event{FleetFloored: &ev}, nil
	case core.FleetContacted:
		return Event{FleetContacted: &ev}, nil
	case core.FloorOrdered:
		return Event{FloorOrdered: &ev}, nil
	case core.RemoveOrdered:
		return Event{RemoveOrdered: &ev}, nil
	}
	return Event{}, fmt.Errorf("snapshot: cannot encode event of type %T", ev)
}

// Unpack returns the wrapped event. It returns an error that wraps ErrFormat if there is none.
func (e Event) Unpack() (core.Event, error) {
	switch {
	case e.CallArrived != nil:
		return *e.CallArrived, nil
	case e.CallerLeft != nil:
		return *e.CallerLeft, nil
	case e.HealthAsked != nil:
		return *e.HealthAsked, nil
	case e.BranchFailed != nil:
		return *e.BranchFailed, nil
	case e.BranchTaken != nil:
		return *e.BranchTaken, nil
	case e.BranchReleased != nil:
		return *e.BranchReleased, nil
	case e.JobReported != nil:
		return *e.JobReported, nil
	case e.RouteSetTold != nil:
		return *e.RouteSetTold, nil
	case e.RouteSetRefused != nil:
		return *e.RouteSetRefused, nil
	case e.Reloaded != nil:
		return *e.Reloaded, nil
	case e.Stopping != nil:
		return *e.Stopping, nil
	case e.Tick != nil:
		return *e.Tick, nil
	case e.BanOrdered != nil:
		return *e.BanOrdered, nil
	case e.DrainOrdered != nil:
		return *e.DrainOrdered, nil
	case e.FleetBegun != nil:
		return *e.FleetBegun, nil
	case e.FleetTold != nil:
		return *e.FleetTold, nil
	case e.FleetLooked != nil:
		return *e.FleetLooked, nil
	case e.FleetRefused != nil:
		return *e.FleetRefused, nil
	case e.FleetEntered != nil:
		return *e.FleetEntered, nil
	case e.FleetEnded != nil:
		return *e.FleetEnded, nil
	case e.AuditBegun != nil:
		return *e.AuditBegun, nil
	case e.AuditLooked != nil:
		return *e.AuditLooked, nil
	case e.AuditConfigured != nil:
		return *e.AuditConfigured, nil
	case e.AuditAsked != nil:
		return *e.AuditAsked, nil
	case e.AuditEnded != nil:
		return *e.AuditEnded, nil
	case e.FleetHinted != nil:
		return *e.FleetHinted, nil
	case e.FleetFloored != nil:
		return *e.FleetFloored, nil
	case e.FleetContacted != nil:
		return *e.FleetContacted, nil
	case e.FloorOrdered != nil:
		return *e.FloorOrdered, nil
	case e.RemoveOrdered != nil:
		return *e.RemoveOrdered, nil
	}
	return nil, fmt.Errorf("%w: event without a known type", ErrFormat)
}
