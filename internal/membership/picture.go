package membership

import (
	"fmt"
	"slices"
)

// Member is a member in a Picture. Times are in seconds of the reporting member's clock.
type Member struct {
	Record
	Since     float64 // when its state or verdict last changed
	Reached   bool    // as of the last reachability report
	Self      bool
	ConfigAt  float64 // when it was first known to apply its configuration
	RoutesAt  float64 // and its route set
	Suspected bool    // it was reached only after a direct probe went unanswered
	Disagrees bool    // its last reported digest isn't this view's
	Conflict  bool    // another live member has its name
}

// Picture is a read-only copy of a view for use outside the reducer. Times are in seconds of the view's clock.
type Picture struct {
	Now                  float64
	Self                 Key
	Process              uint64
	Members              []Member // ordered by key
	Digest               uint64
	ChangedAt            float64 // when a member, state or verdict last changed
	Acting               int     // upper bound of the members that may be acting
	Reached              int
	Zones                map[string]int // number of live members by zone
	Dropped              uint64         // invalid records and floors, and records refused since the view was full
	History              []Change
	Floors               []Floor
	FloorAges            []float64 // as from ConfirmedAges
	FloorDigest          uint64
	Established          bool
	FloorsAt             float64           // time as of which the ages of the floors are given
	FloorsHeldByMajority bool              // a majority of the members is known to hold Floors
	Fenced               string            // why this member must not act; empty if it may
	Clashes              []VersionConflict // as of the last reachability report
}

// FloorAgesAt returns the confirmed ages of the floors as of a time, in the order of Floors; -1 for each that isn't confirmed.
func (p *Picture) FloorAgesAt(now float64) []float64 {
	ages := slices.Clone(p.FloorAges)
	for i, age := range ages {
		if age >= 0 {
			ages[i] = age + max(0, now-p.FloorsAt)
		}
	}
	return ages
}

// SyncRecords returns the records to send in a full-state exchange.
func (p *Picture) SyncRecords() []Record {
	all := make([]Record, 0, len(p.Members))
	for _, m := range p.Members {
		if m.isShared(p.Now, m.Since) {
			all = append(all, m.Record)
		}
	}
	return all
}

// Picture returns the view as of now.
func (v *View) Picture() Picture {
	p := Picture{Now: v.now, Self: v.self, Process: v.Self().Process, Digest: v.digest, ChangedAt: v.changedAt, Acting: v.Acting(),
		Reached: v.Reached(), Zones: map[string]int{}, Dropped: v.dropped, History: v.recentHistory(),
		Clashes: v.conflicts,
		Floors:  v.Floors(v.now), FloorAges: v.ConfirmedAges(v.now), FloorDigest: v.FloorDigest(), Established: v.established, FloorsAt: v.now}
	live := make(map[string]int, len(v.members))
	p.Members = make([]Member, 0, len(v.members))
	for _, k := range v.memberKeys() {
		e := v.members[k]
		p.Members = append(p.Members, Member{Record: e.Record, Since: e.stateSince, Reached: e.reached, Self: k == v.self, ConfigAt: e.configAt, RoutesAt: e.routesAt,
			Suspected: e.suspected && e.reached, Disagrees: k != v.self && !e.Departed() && e.reached && e.peerDigestAt > 0 && e.peerDigest != v.digest})
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

// EntryState is a member in a ViewState.
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

// ViewState is the complete state of a view, handed over to a successor process. Times are in seconds.
type ViewState struct {
	Self            Key               `cbor:"1,keyasint"`
	Entries         []EntryState      `cbor:"2,keyasint"` // ordered by key
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

// Export returns the state of the view. The results pending for NewChanges stay in this view, those pending for RecordUpdates are
// exported as well.
func (v *View) Export() ViewState {
	s := ViewState{Self: v.self, Now: v.now, ReachabilityAt: v.reachabilityAt, StartedAt: v.startedAt, NoVerdictsUntil: v.noVerdictsUntil, ChangedAt: v.changedAt,
		History: slices.Clone(v.recentHistory()), Dropped: v.dropped}
	s.Established, s.Clashes = v.established, slices.Clone(v.conflicts)
	for _, f := range v.heldFloors() {
		s.Floors = append(s.Floors, FloorState{Floor: f.Floor, AnnouncedAt: f.at, ReceivedAt: f.receivedAt, Unconfirmed: f.unconfirmed, InForceBy: f.inForceBy})
	}
	for _, k := range v.memberKeys() {
		e := v.members[k]
		s.Entries = append(s.Entries, EntryState{Record: e.Record, Since: e.stateSince, UnreachableSince: e.unreachableSince, Reached: e.reached, PeerDigest: e.peerDigest,
			PeerDigestAt: e.peerDigestAt, ConfigAt: e.configAt, RoutesAt: e.routesAt, ContactAt: e.contactAt, Answered: e.answered})
		if v.pendingUpdates[k] {
			s.PendingUpdates = append(s.PendingUpdates, k)
		}
	}
	return s
}

// FloorState is a floor in a ViewState, with the times when it was announced and received, in seconds.
type FloorState struct {
	Floor       Floor   `cbor:"1,keyasint"`
	AnnouncedAt float64 `cbor:"2,keyasint"`
	ReceivedAt  float64 `cbor:"3,keyasint"`
	Unconfirmed bool    `cbor:"4,keyasint,omitempty"` // AnnouncedAt is not confirmed; the floor is in force by InForceBy
	InForceBy   float64 `cbor:"5,keyasint,omitempty"`
}

// Import returns a view with an exported state. Errors wrap ErrRecord or ErrFloor.
func Import(s ViewState) (*View, error) {
	if len(s.Entries) > MaxMembers || len(s.History) > maxHistory {
		return nil, fmt.Errorf("%w: %d members and %d changes, %d and %d at most", ErrRecord, len(s.Entries), len(s.History), MaxMembers, maxHistory)
	}
	v := newEmptyView(s.Self)
	v.now, v.reachabilityAt, v.startedAt, v.noVerdictsUntil, v.changedAt, v.dropped = s.Now, s.ReachabilityAt, s.StartedAt, s.NoVerdictsUntil, s.ChangedAt, s.Dropped
	v.history = slices.Clone(s.History)
	for i, x := range s.Entries {
		if err := x.Record.Check(); err != nil {
			return nil, fmt.Errorf("member %d: %w", i, err)
		}
		if v.members[x.Record.Key] != nil {
			return nil, fmt.Errorf("%w: member %d (%v) occurs twice", ErrRecord, i, x.Record.Key)
		}
		v.members[x.Record.Key] = &entry{Record: x.Record, stateSince: x.Since, unreachableSince: x.UnreachableSince, reached: x.Reached, peerDigest: x.PeerDigest, peerDigestAt: x.PeerDigestAt,
			configAt: x.ConfigAt, routesAt: x.RoutesAt, contactAt: x.ContactAt, answered: x.Answered}
	}
	if v.members[v.self] == nil {
		return nil, fmt.Errorf("%w: the view lacks this process itself", ErrRecord)
	}
	for _, k := range s.PendingUpdates {
		v.pendingUpdates[k] = true
	}
	v.established, v.conflicts = s.Established, s.Clashes[:min(len(s.Clashes), maxConflicts)]
	for i, f := range s.Floors {
		if err := f.Floor.Check(); err != nil {
			return nil, fmt.Errorf("floor %d: %w", i, err)
		}
		if v.floors[f.Floor.Kind] == nil {
			v.floors[f.Floor.Kind] = &floors{}
		}
		v.floors[f.Floor.Kind].merge(floor{Floor: f.Floor, at: f.AnnouncedAt, receivedAt: f.ReceivedAt, unconfirmed: f.Unconfirmed, inForceBy: f.InForceBy})
	}
	v.digest = v.computeDigest()
	return v, nil
}
