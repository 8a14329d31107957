package membership

import (
	"fmt"
	"slices"
)

// Member is a member as staff see it.
type Member struct {
	Record
	Since     float64 // of its state and verdict
	Reached   bool    // at the last look
	Self      bool
	ConfigAt  float64 // when it was first heard to act on its configuration
	RoutesAt  float64 // and on its route set
	Suspected bool    // this member had to try other ways to reach it
	Disagrees bool    // the last digest that it told is not this view's
	Conflict  bool    // its name is in two places
}

// Picture is a view as of one moment, for those outside the reducer. Nothing in it is written to.
type Picture struct {
	Now                  float64
	Self                 Key
	Process              uint64
	Members              []Member // by key
	Digest               uint64
	ChangedAt            float64 // when a member, state or verdict last changed
	Acting               int
	Reached              int
	Zones                map[string]int // members that are live, by zone
	Dropped              uint64
	History              []Change
	Floors               []Floor
	FloorDigest          uint64
	Established          bool
	FloorsAt             float64           // when Floors' ages were true
	FloorsHeldByMajority bool              // over half of the members were seen to hold them
	Fenced               string            // why this member may not act; empty where it may
	Clashes              []VersionConflict // numbers that members hold with two contents, as of the last look
}

// Told is what is told to a member that asks for everything.
func (p *Picture) SyncRecords() []Record {
	all := make([]Record, 0, len(p.Members))
	for _, m := range p.Members {
		if m.told(p.Now, m.Since) {
			all = append(all, m.Record)
		}
	}
	return all
}

// Picture makes a picture of the view.
func (v *View) Picture() Picture {
	p := Picture{Now: v.now, Self: v.self, Process: v.Self().Process, Digest: v.digest, ChangedAt: v.changed, Acting: v.Acting(),
		Reached: v.Reached(), Zones: map[string]int{}, Dropped: v.dropped, History: v.last(),
		Clashes: v.clashes,
		Floors:  v.Floors(v.now), FloorDigest: v.FloorDigest(), Established: v.established, FloorsAt: v.now}
	live := make(map[string]int, len(v.table))
	p.Members = make([]Member, 0, len(v.table))
	for _, k := range v.keys() {
		e := v.table[k]
		p.Members = append(p.Members, Member{Record: e.Record, Since: e.since, Reached: e.reached, Self: k == v.self, ConfigAt: e.configAt, RoutesAt: e.routesAt,
			Suspected: e.doubted && e.reached, Disagrees: k != v.self && !e.Departed() && e.reached && e.heardAt > 0 && e.heard != v.digest})
		if e.Live() {
			live[k.Name]++
			p.Zones[e.Zone]++
		}
	}
	for i, m := range p.Members {
		p.Members[i].Conflict = m.Live() && live[m.Name] > 1
	}
	return p
}

// EntryState is a member in a view's state.
type EntryState struct {
	Record           Record  `cbor:"1,keyasint"`
	Since            float64 `cbor:"2,keyasint"`
	UnreachableSince float64 `cbor:"3,keyasint,omitempty"`
	Reached          bool    `cbor:"4,keyasint,omitempty"`
	PeerDigest       uint64  `cbor:"5,keyasint,omitempty"`
	PeerDigestAt     float64 `cbor:"6,keyasint,omitempty"`

	ConfigAt  float64 `cbor:"7,keyasint,omitempty"`
	RoutesAt  float64 `cbor:"8,keyasint,omitempty"`
	ContactAt float64 `cbor:"9,keyasint,omitempty"`
	Answered  bool    `cbor:"10,keyasint,omitempty"`
}

// ViewState is all that a view remembers, for a successor.
type ViewState struct {
	Self            Key               `cbor:"1,keyasint"`
	Entries         []EntryState      `cbor:"2,keyasint"` // by key
	Now             float64           `cbor:"3,keyasint"`
	ReachabilityAt  float64           `cbor:"4,keyasint"`
	StartedAt       float64           `cbor:"5,keyasint"`
	NoVerdictsUntil float64           `cbor:"6,keyasint"`
	ChangedAt       float64           `cbor:"7,keyasint"`
	History         []Change          `cbor:"8,keyasint"`
	Dropped         uint64            `cbor:"9,keyasint"`
	PendingUpdates  []Key             `cbor:"10,keyasint"`
	Floors          []FloorState      `cbor:"11,keyasint,omitempty"`
	Established     bool              `cbor:"12,keyasint,omitempty"`
	Clashes         []VersionConflict `cbor:"13,keyasint,omitempty"`
}

// Export returns all that the view remembers. What Fresh and News would return is kept by both.
func (v *View) Export() ViewState {
	s := ViewState{Self: v.self, Now: v.now, ReachabilityAt: v.looked, StartedAt: v.begun, NoVerdictsUntil: v.awake, ChangedAt: v.changed,
		History: slices.Clone(v.last()), Dropped: v.dropped}
	s.Established, s.Clashes = v.established, slices.Clone(v.clashes)
	for _, f := range v.heldFloors() {
		s.Floors = append(s.Floors, FloorState{Floor: f.Floor, AnnouncedAt: f.at, ReceivedAt: f.took})
	}
	for _, k := range v.keys() {
		e := v.table[k]
		s.Entries = append(s.Entries, EntryState{Record: e.Record, Since: e.since, UnreachableSince: e.unseen, Reached: e.reached, PeerDigest: e.heard,
			PeerDigestAt: e.heardAt, ConfigAt: e.configAt, RoutesAt: e.routesAt, ContactAt: e.contact, Answered: e.answered})
		if v.news[k] {
			s.PendingUpdates = append(s.PendingUpdates, k)
		}
	}
	return s
}

// FloorState is a floor in a view's state.
type FloorState struct {
	Floor       Floor   `cbor:"1,keyasint"`
	AnnouncedAt float64 `cbor:"2,keyasint"`
	ReceivedAt  float64 `cbor:"3,keyasint"`
}

// Import makes a view that goes on where the exported one stood. Its errors wrap ErrRecord.
func Import(s ViewState) (*View, error) {
	if len(s.Entries) > MaxMembers || len(s.History) > mostHistory {
		return nil, fmt.Errorf("%w: %d members and %d changes, %d and %d at most", ErrRecord, len(s.Entries), len(s.History), MaxMembers, mostHistory)
	}
	v := empty(s.Self)
	v.now, v.looked, v.begun, v.awake, v.changed, v.dropped = s.Now, s.ReachabilityAt, s.StartedAt, s.NoVerdictsUntil, s.ChangedAt, s.Dropped
	v.history = slices.Clone(s.History)
	for i, x := range s.Entries {
		if err := x.Record.Check(); err != nil {
			return nil, fmt.Errorf("member %d: %w", i, err)
		}
		if v.table[x.Record.Key] != nil {
			return nil, fmt.Errorf("%w: member %d (%v) is there twice", ErrRecord, i, x.Record.Key)
		}
		v.table[x.Record.Key] = &entry{Record: x.Record, since: x.Since, unseen: x.UnreachableSince, reached: x.Reached, heard: x.PeerDigest, heardAt: x.PeerDigestAt,
			configAt: x.ConfigAt, routesAt: x.RoutesAt, contact: x.ContactAt, answered: x.Answered}
	}
	if v.table[v.self] == nil {
		return nil, fmt.Errorf("%w: this process is no member of its own view", ErrRecord)
	}
	for _, k := range s.PendingUpdates {
		v.news[k] = true
	}
	v.established, v.clashes = s.Established, s.Clashes[:min(len(s.Clashes), mostClashes)]
	for i, f := range s.Floors {
		if err := f.Floor.Check(); err != nil {
			return nil, fmt.Errorf("floor %d: %w", i, err)
		}
		if v.floors[f.Floor.Kind] == nil {
			v.floors[f.Floor.Kind] = &floors{}
		}
		v.floors[f.Floor.Kind].take(floor{Floor: f.Floor, at: f.AnnouncedAt, took: f.ReceivedAt})
	}
	v.digest = v.sum()
	return v, nil
}
