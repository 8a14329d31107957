package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// Kind says which of a member's versions a floor applies to.
type Kind uint8

// The kinds of versions that a floor can bound. Programs have no order, so a program floor names the only program that is allowed.
const (
	KindConfig Kind = iota
	KindRoutes
	KindProgram
	numKinds
)

var kindNames = [numKinds]string{"configuration", "route set", "program"}

func (k Kind) String() string { return enumName(kindNames[:], int(k)) }

// Floor is a minimum version: members must not act on an older version of the kind. A higher floor can be announced at any time; to
// lower a floor, withdraw it first.
type Floor struct {
	Kind      Kind    `cbor:"1,keyasint"`
	No        int64   `cbor:"2,keyasint"`
	Source    string  `cbor:"3,keyasint"`           // that assigned No; for a program, its name
	Round     uint64  `cbor:"4,keyasint"`           // increases with each floor of this kind
	By        string  `cbor:"5,keyasint"`           // name of the member that announced it
	Why       string  `cbor:"6,keyasint,omitempty"` // reason given by the operator
	Within    float64 `cbor:"7,keyasint"`           // seconds from the announcement until the floor is in force
	Age       float64 `cbor:"8,keyasint"`           // seconds since the announcement, as known to the sender
	Withdrawn bool    `cbor:"9,keyasint,omitempty"` // withdraws all floors of the kind up to Round
}

// MaxWithinS bounds Floor.Within, in seconds.
const MaxWithinS = 3600

// ErrFloor reports an invalid floor. Errors of Floor.Check wrap it.
var ErrFloor = errors.New("membership: floor refused")

// Check returns an error that wraps ErrFloor if a field is out of its bounds.
func (f Floor) Check() error {
	switch {
	case f.Kind >= numKinds:
		return fmt.Errorf("%w: kind %d", ErrFloor, f.Kind)
	case len(f.Source) > MaxSourceBytes || len(f.By) > MaxNameBytes || len(f.Why) > MaxWhyBytes:
		return fmt.Errorf("%w: source, member or reason too long", ErrFloor)
	case f.Round == 0 || f.Round > maxCounter || f.No < 0:
		return fmt.Errorf("%w: round %d, number %d", ErrFloor, f.Round, f.No)
	case !(f.Within >= 0 && f.Within <= MaxWithinS) || !(f.Age >= 0) || math.IsInf(f.Age, 0):
		return fmt.Errorf("%w: within %v s, %v s old", ErrFloor, f.Within, f.Age)
	}
	return nil
}

// Same reports whether two values are the same announced floor, whatever their ages.
func (f Floor) Same(o Floor) bool {
	return f.Kind == o.Kind && f.Round == o.Round && f.By == o.By && f.No == o.No && f.Source == o.Source
}

// below reports whether the member's version is below the floor. Versions of different sources have no order and count as below, since
// they are not known to be new enough.
func (f Floor) below(r Record) bool {
	if f.Kind == KindProgram {
		return r.Program.Source != f.Source
	}
	v := r.version(f.Kind)
	return v.Source != f.Source || v.No < f.No
}

// floor is a floor with its local times, in seconds of this process's clock.
type floor struct {
	Floor
	at         float64 // when it was announced; if unconfirmed, at the latest
	receivedAt float64 // when this process received it

	// A floor's age in an announcement lacks the time in queues, in flight and in the receive buffer of a stopped process. Until a reply to a
	// query of this process confirms the age, the floor is in force by the end of the lease held when it arrived. That is safe: a majority
	// answered queries of that lease without the floor, so no majority held it before, and all bounds begin later.
	unconfirmed bool
	inForceBy   float64 // bound while unconfirmed; applies only if there is a lease
}

// inForceAt returns the time from which on members below the floor must not act.
func (f floor) inForceAt(leased bool) float64 {
	at := f.at + f.Within
	if leased && f.unconfirmed {
		return min(at, f.inForceBy)
	}
	return at
}

// floors holds the floors of one kind: the last withdrawal and all floors announced after it. Members thus converge whatever the order in
// which floors arrive; of two announced concurrently, both apply. A higher floor doesn't replace a lower one, since the lower one may be in
// force earlier.
type floors struct {
	withdrawn floor // Round is 0 for none
	active    []floor
}

// maxActiveFloors bounds the floors of one kind. Further announcements are refused until the floors are withdrawn; if concurrent
// announcements exceed the bound, the lowest floor is dropped.
const maxActiveFloors = 8

func (s *floors) all() []floor {
	if s.withdrawn.Round == 0 {
		return s.active
	}
	return append([]floor{s.withdrawn}, s.active...)
}

// each calls visit for each floor, in the order of all.
func (s *floors) each(visit func(*floor)) {
	if s.withdrawn.Round != 0 {
		visit(&s.withdrawn)
	}
	for i := range s.active {
		visit(&s.active[i])
	}
}

// merge adds a floor and reports whether that changed the floors held.
func (s *floors) merge(f floor) bool {
	if f.Round <= s.withdrawn.Round {
		return false
	}
	if f.Withdrawn {
		s.withdrawn = f
		s.active = slices.DeleteFunc(s.active, func(x floor) bool { return x.Round <= f.Round })
		return true
	}
	if slices.ContainsFunc(s.active, func(x floor) bool { return x.Same(f.Floor) }) {
		return false
	}
	s.active = append(s.active, f)
	slices.SortFunc(s.active, func(a, b floor) int {
		return cmp.Or(cmp.Compare(b.No, a.No), cmp.Compare(a.Source, b.Source), cmp.Compare(b.Round, a.Round), cmp.Compare(a.By, b.By))
	})
	if len(s.active) > maxActiveFloors {
		lowest := s.active[maxActiveFloors]
		s.active = s.active[:maxActiveFloors]
		return !lowest.Same(f.Floor)
	}
	return true
}

// MergeFloors merges floors received from other members. Invalid ones are dropped and counted.
func (v *View) MergeFloors(now float64, received []Floor) {
	v.beginStep(now)
	for _, f := range received {
		if f.Check() != nil {
			v.dropped++
			continue
		}
		v.mergeFloor(floor{Floor: f, at: v.now - f.Age, receivedAt: v.now, unconfirmed: true, inForceBy: v.leaseEnd})
	}
	v.finishStep()
}

func (v *View) mergeFloor(f floor) {
	s := v.floors[f.Kind]
	if s == nil {
		s = &floors{}
		v.floors[f.Kind] = s
	}
	if !s.merge(f) {
		return
	}
	v.floorsChanged = true // recorded contacts remain valid: the peers held the floors held here at that time, and only a withdrawal removes floors
	what := fmt.Sprintf("floor: %v %d of %s within %v s", f.Kind, f.No, f.Source, f.Within)
	if f.Withdrawn {
		what = fmt.Sprintf("floor of the %v withdrawn", f.Kind)
	}
	v.addHistory(v.self, what, fmt.Sprintf("by %s: %s", f.By, f.Why))
}

// AnnounceFloor announces a new floor. It returns the floor as held, the names of the live members that are below it now, and the reason
// for a refusal, empty if the floor was announced. Unless force is set, it refuses a floor that would fence over half of the live members
// of a zone or of the fleet.
func (v *View) AnnounceFloor(now float64, f Floor, force bool) (announced Floor, fenced []string, refusal string) {
	v.beginStep(now)
	f.Round, f.By, f.Age = 1, v.self.Name, 0
	if s := v.floors[f.Kind]; s != nil {
		if len(s.active) >= maxActiveFloors && !f.Withdrawn {
			return f, nil, fmt.Sprintf("%d floors are held; withdraw them first", len(s.active))
		}
		for _, x := range s.all() {
			f.Round = max(f.Round, x.Round+1)
			if !x.Withdrawn && !f.Withdrawn && x.Source == f.Source && x.No >= f.No {
				return f, nil, fmt.Sprintf("a floor as high is in force: %d, by %s; withdraw it first", x.No, x.By)
			}
		}
	}
	if err := f.Check(); err != nil {
		return f, nil, err.Error()
	}
	if !f.Withdrawn {
		live, out := map[string]int{}, map[string]int{}
		for _, k := range v.memberKeys() {
			e := v.members[k]
			if !e.Live() {
				continue
			}
			zones := []string{"zone " + e.Zone, "the fleet"}
			below := f.below(e.Record)
			if below {
				fenced = append(fenced, e.Name)
			}
			for _, z := range zones {
				live[z]++
				if below {
					out[z]++
				}
			}
		}
		for _, z := range slices.Sorted(maps.Keys(live)) {
			if !force && 2*out[z] > live[z] {
				return f, fenced, fmt.Sprintf("it would shut out %d of %d members of %s, over half", out[z], live[z], z)
			}
		}
	}
	v.mergeFloor(floor{Floor: f, at: v.now, receivedAt: v.now})
	v.finishStep()
	return f, fenced, ""
}

// Floors returns the floors held, with their ages as of now. An age computed earlier would delay the floor at the receiver.
func (v *View) Floors(now float64) (all []Floor) {
	v.beginStep(now)
	for k := range numKinds {
		if s := v.floors[k]; s != nil {
			for _, f := range s.all() {
				f.Age = max(0, v.now-f.at)
				all = append(all, f.Floor)
			}
		}
	}
	return all
}

// unknownAge is the age of a floor whose time of announcement is not confirmed.
const unknownAge = -1.0

// ConfirmedAges returns the ages of the floors held, in the order of Floors, in seconds as of now; -1 where the age is not confirmed. A
// reply to a lease query carries them.
func (v *View) ConfirmedAges(now float64) (ages []float64) {
	v.beginStep(now)
	for _, f := range v.heldFloors() {
		if f.unconfirmed {
			ages = append(ages, unknownAge)
		} else {
			ages = append(ages, max(0, v.now-f.at))
		}
	}
	return ages
}

// confirmFloors takes over the ages that a member with the same floors gave in its reply to a query sent at the given time. The reply was
// made after the query was sent, so no floor counts as younger than it is, however long the reply took.
func (v *View) confirmFloors(sent float64, ages []float64) {
	position := 0
	for k := range numKinds {
		if v.floors[k] == nil {
			continue
		}
		v.floors[k].each(func(f *floor) {
			if position < len(ages) && f.unconfirmed && ages[position] >= 0 {
				f.at = min(f.at, sent-ages[position])
				f.unconfirmed = false
			}
			position++
		})
	}
}

func (v *View) heldFloors() (all []floor) {
	for k := range numKinds {
		if s := v.floors[k]; s != nil {
			all = append(all, s.all()...)
		}
	}
	return all
}

// FloorUpdates returns the floors if they have changed since the last call, otherwise nil.
func (v *View) FloorUpdates() []Floor {
	if !v.floorsChanged {
		return nil
	}
	v.floorsChanged = false
	return v.Floors(v.now)
}

// FloorDigest returns a digest of the floors held. Members with equal digests hold the same floors.
func (v *View) FloorDigest() uint64 {
	h := fnv.New64a()
	for k := range numKinds {
		s := v.floors[k]
		if s == nil {
			continue
		}
		for _, f := range s.all() {
			b := binary.AppendVarint([]byte{byte(k)}, f.No)
			b = binary.AppendUvarint(b, f.Round)
			if f.Withdrawn {
				b = append(b, 1)
			}
			h.Write(b)
			fmt.Fprintf(h, "%q %q", f.Source, f.By)
		}
	}
	return h.Sum64()
}

// Contact is a member's reply to a lease query. Times are in seconds.
type Contact struct {
	Process     uint64  `cbor:"1,keyasint"` // of the member that replied
	Sent        float64 `cbor:"2,keyasint"` // when the query was sent, on the querying member's clock
	Floors      uint64  `cbor:"3,keyasint"` // digest of the floors held by the replying member
	Established bool    `cbor:"4,keyasint"` // the replying member has learned the fleet's floors since its start
	Asker       uint64  `cbor:"5,keyasint"` // process that sent the query: a later process at the same address doesn't hold what this one held

	// Ages of the floors held by the replying member when it replied, as from ConfirmedAges; none from builds that don't send them.
	Ages []float64 `cbor:"6,keyasint,omitempty"`
}

// Contact records a reply to a lease query. A reply counts only if the peer held the same floors as this member: see Fence.
func (v *View) Contact(now float64, c Contact) {
	v.beginStep(now)
	if c.Floors != v.FloorDigest() || c.Asker != v.Self().Process {
		return
	}
	v.confirmFloors(min(c.Sent, v.now), c.Ages)
	for _, e := range v.members {
		if e.Process == c.Process && e.Key != v.self {
			e.answered = true
			if c.Established {
				e.contactAt = max(e.contactAt, min(c.Sent, v.now))
			}
		}
	}
}

// updateEstablished reports whether this process has learned the fleet's floors since its start. A process that was just started doesn't
// know which floors its predecessor held and must not confirm leases, its own included. It needs replies from over half of the members
// without counting itself, or from all others.
func (v *View) updateEstablished(configuredMembers int) bool {
	if !v.established {
		n, others := max(configuredMembers, v.Acting()), 0
		for _, e := range v.members {
			if e.Key != v.self && !e.Departed() && e.answered {
				others++
			}
		}
		v.established = others >= min(n/2+1, n-1)
	}
	return v.established
}

// Established reports whether this process has learned the fleet's floors since its start, so that its replies may confirm leases.
func (v *View) Established() bool { return v.established }

// Fence returns the time until which this process may act, in seconds, and the reason why not longer; a time in the past means that it
// may not act now. configuredMembers is the fleet size in the settings, and leaseS how many seconds a member may act without contact with a
// majority; 0 for no limit.
//
// Why the lease is safe: a floor counts as replicated once a majority of the members hold it (FloorsHeldByMajority). A member may act at
// time t only if a majority, itself included, replied to queries that it sent at t − leaseS or later and held exactly its own floors when
// they replied. Two majorities share a member. If t is later than the replication + leaseS, the shared member was queried and replied
// after it held the floor, so the querying member holds the floor too and obeys it, by the end of its previous lease at the latest (see
// floor.inForceAt). This requires that both count the same members or more
// (the greater of the configured number and of those that may be acting), that the clock of one process advances steadily, and that the
// process isn't stopped between this check and the write that follows.
func (v *View) Fence(configuredMembers int, leaseS float64) (until float64, why string) {
	until, why = math.Inf(1), ""
	if established := v.updateEstablished(configuredMembers); leaseS > 0 && !established {
		until, why = math.Inf(-1), "has not learned of the fleet's floors since its start"
	} else if leaseS > 0 {
		until, why = v.majorityContactAt(configuredMembers)+leaseS, "out of touch with the fleet for longer than the lease"
	}
	v.leaseEnd = until
	self := v.Self()
	for _, f := range v.heldFloors() {
		if inForceAt := f.inForceAt(leaseS > 0); !f.Withdrawn && f.below(self) && inForceAt < until {
			until, why = inForceAt, fmt.Sprintf("below the floor of the %v: %d of %s is the least, told by %s: %s", f.Kind, f.No, f.Source, f.By, f.Why)
		}
	}
	return until, why
}

// majorityContactAt returns the time at or after which a majority of the members, this one included, were last contacted; -Inf if there is
// no such majority.
func (v *View) majorityContactAt(configuredMembers int) float64 {
	times := []float64{v.now}
	for _, e := range v.members {
		if e.Key != v.self && !e.Departed() && e.contactAt > 0 {
			times = append(times, e.contactAt)
		}
	}
	slices.SortFunc(times, func(a, b float64) int { return cmp.Compare(b, a) })
	need := max(configuredMembers, v.Acting())/2 + 1
	if len(times) < need {
		return math.Inf(-1)
	}
	return times[need-1]
}

// FloorsHeldByMajority reports whether a majority of the members, this one included, are known to hold all floors held here.
func (v *View) FloorsHeldByMajority(configuredMembers int) bool {
	newest := math.Inf(-1)
	for _, f := range v.heldFloors() {
		newest = max(newest, f.receivedAt)
	}
	holders := 1
	for _, e := range v.members {
		if e.Key != v.self && !e.Departed() && e.contactAt > newest { // a contact at the same time may precede the floor
			holders++
		}
	}
	return holders >= max(configuredMembers, v.Acting())/2+1
}
