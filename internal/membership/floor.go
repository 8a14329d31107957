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

// Kind is what a floor is of.
type Kind uint8

// The kinds of versions that a floor may bound. Programs have no order of their own, so one is named.
const (
	KindConfig Kind = iota
	KindRoutes
	KindProgram
	kinds
)

var kindNames = [kinds]string{"configuration", "route set", "program"}

func (k Kind) String() string { return name(kindNames[:], int(k)) }

// Floor says that nothing older than a version of a kind may be acted on any more. A higher one takes a lower one's place; to
// lower it, it is withdrawn first.
type Floor struct {
	Kind      Kind    `cbor:"1,keyasint"`
	No        int64   `cbor:"2,keyasint"`
	Source    string  `cbor:"3,keyasint"` // of the number; of a program, what it is called
	Round     uint64  `cbor:"4,keyasint"` // counts floors of this kind
	By        string  `cbor:"5,keyasint"` // the member that told it first
	Why       string  `cbor:"6,keyasint,omitempty"`
	Within    float64 `cbor:"7,keyasint"` // seconds from its telling until it is in force
	Age       float64 `cbor:"8,keyasint"` // seconds since then, as far as whoever passes it on knows
	Withdrawn bool    `cbor:"9,keyasint,omitempty"`
}

// MaxWithinS bounds a floor's time, in seconds.
const MaxWithinS = 3600

// ErrFloor says that a floor can't be. Errors of Floor.Check wrap it.
var ErrFloor = errors.New("membership: floor refused")

// Check tells whether a floor may be taken in.
func (f Floor) Check() error {
	switch {
	case f.Kind >= kinds:
		return fmt.Errorf("%w: kind %d", ErrFloor, f.Kind)
	case len(f.Source) > MaxSourceBytes || len(f.By) > MaxNameBytes || len(f.Why) > MaxWhyBytes:
		return fmt.Errorf("%w: words too long", ErrFloor)
	case f.Round == 0 || f.Round > mostCounter || f.No < 0:
		return fmt.Errorf("%w: turn %d, number %d", ErrFloor, f.Round, f.No)
	case !(f.Within >= 0 && f.Within <= MaxWithinS) || !(f.Age >= 0) || math.IsInf(f.Age, 0):
		return fmt.Errorf("%w: within %v s, %v s old", ErrFloor, f.Within, f.Age)
	}
	return nil
}

// Same tells whether two floors are one.
func (f Floor) Same(o Floor) bool {
	return f.Kind == o.Kind && f.Round == o.Round && f.By == o.By && f.No == o.No && f.Source == o.Source
}

// below tells whether a version is below the floor. Versions of another source can't be compared, and are below: what is not known to be
// new enough may not be acted on.
func (f Floor) below(r Record) bool {
	if f.Kind == KindProgram {
		return r.Program.Source != f.Source
	}
	v := r.version(f.Kind)
	return v.Source != f.Source || v.No < f.No
}

// floor is one that is held.
type floor struct {
	Floor
	at   float64 // when it was told, on this process's clock
	took float64 // when it came here
}

// floors are those of one kind: the last withdrawal, and all floors told after it. So whatever the order in which they come, all members hold
// the same in the end; where two cross, both count. Danger: a higher floor does not make a lower one needless, since the lower one may be
// in force before the higher one is.
type floors struct {
	withdrawn floor // its Turn is 0 for none
	front     []floor
}

// mostFront bounds the floors of one kind. One more is refused until they are withdrawn; of those that cross the lowest goes.
const mostFront = 8

func (s *floors) all() []floor {
	if s.withdrawn.Round == 0 {
		return s.front
	}
	return append([]floor{s.withdrawn}, s.front...)
}

// take takes a floor in, and tells whether it is news.
func (s *floors) take(f floor) bool {
	if f.Round <= s.withdrawn.Round {
		return false
	}
	if f.Withdrawn {
		s.withdrawn = f
		s.front = slices.DeleteFunc(s.front, func(x floor) bool { return x.Round <= f.Round })
		return true
	}
	if slices.ContainsFunc(s.front, func(x floor) bool { return x.Same(f.Floor) }) {
		return false
	}
	s.front = append(s.front, f)
	slices.SortFunc(s.front, func(a, b floor) int {
		return cmp.Or(cmp.Compare(b.No, a.No), cmp.Compare(a.Source, b.Source), cmp.Compare(b.Round, a.Round), cmp.Compare(a.By, b.By))
	})
	if len(s.front) > mostFront {
		lowest := s.front[mostFront]
		s.front = s.front[:mostFront]
		return !lowest.Same(f.Floor)
	}
	return true
}

// MergeFloors takes in floors that others tell.
func (v *View) MergeFloors(now float64, told []Floor) {
	v.begin(now)
	for _, f := range told {
		if f.Check() != nil {
			v.dropped++
			continue
		}
		v.takeFloor(f)
	}
	v.end()
}

func (v *View) takeFloor(f Floor) {
	s := v.floors[f.Kind]
	if s == nil {
		s = &floors{}
		v.floors[f.Kind] = s
	}
	if !s.take(floor{Floor: f, at: v.now - f.Age, took: v.now}) {
		return
	}
	v.floorNews = true // contacts stay: who answered held what was held here then, and floors only ever grow, but for withdrawals
	what := fmt.Sprintf("floor: %v %d of %s within %v s", f.Kind, f.No, f.Source, f.Within)
	if f.Withdrawn {
		what = fmt.Sprintf("floor of the %v withdrawn", f.Kind)
	}
	v.note(v.self, what, fmt.Sprintf("by %s: %s", f.By, f.Why))
}

// AnnounceFloor tells a floor first. It returns it as it is held, and the members that it would shut out now; where those are over half of the live members of any
// zone, or of all, nothing is told unless it is forced.
func (v *View) AnnounceFloor(now float64, f Floor, force bool) (told Floor, hit []string, fault string) {
	v.begin(now)
	f.Round, f.By, f.Age = 1, v.self.Name, 0
	if s := v.floors[f.Kind]; s != nil {
		if len(s.front) >= mostFront && !f.Withdrawn {
			return f, nil, fmt.Sprintf("%d floors are held; withdraw them first", len(s.front))
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
		all, out := map[string]int{}, map[string]int{}
		for _, k := range v.keys() {
			e := v.table[k]
			if !e.Live() {
				continue
			}
			zones := []string{"zone " + e.Zone, "the fleet"}
			below := f.below(e.Record)
			if below {
				hit = append(hit, e.Name)
			}
			for _, z := range zones {
				all[z]++
				if below {
					out[z]++
				}
			}
		}
		for _, z := range slices.Sorted(maps.Keys(all)) {
			if !force && 2*out[z] > all[z] {
				return f, hit, fmt.Sprintf("it would shut out %d of %d members of %s, over half", out[z], all[z], z)
			}
		}
	}
	v.takeFloor(f)
	v.end()
	return f, hit, ""
}

// Floors are those held, with their ages now. Danger: an age that is of an earlier moment would put a floor in force later elsewhere.
func (v *View) Floors(now float64) (all []Floor) {
	v.begin(now)
	for k := range kinds {
		if s := v.floors[k]; s != nil {
			for _, f := range s.all() {
				f.Age = max(0, v.now-f.at)
				all = append(all, f.Floor)
			}
		}
	}
	return all
}

func (v *View) heldFloors() (all []floor) {
	for k := range kinds {
		if s := v.floors[k]; s != nil {
			all = append(all, s.all()...)
		}
	}
	return all
}

// FloorUpdates returns the floors where they changed since it was last called.
func (v *View) FloorUpdates() []Floor {
	if !v.floorNews {
		return nil
	}
	v.floorNews = false
	return v.Floors(v.now)
}

// FloorDigest sums the floors up. Two members with one digest hold the same.
func (v *View) FloorDigest() uint64 {
	h := fnv.New64a()
	for k := range kinds {
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

// Contact is a member's answer to a question.
type Contact struct {
	Process     uint64  `cbor:"1,keyasint"` // that answered
	Sent        float64 `cbor:"2,keyasint"` // when the question was sent, on the asker's clock
	Floors      uint64  `cbor:"3,keyasint"` // digest of the floors that it held
	Established bool    `cbor:"4,keyasint"` // it has learned of the fleet's floors since its start
	Asker       uint64  `cbor:"5,keyasint"` // process that asked: its successor at the same address has forgotten what it knew
}

// Contact takes in an answer. Only of one that held the same floors it counts: see Fence.
func (v *View) Contact(now float64, c Contact) {
	v.begin(now)
	if c.Floors != v.FloorDigest() || c.Asker != v.Self().Process {
		return
	}
	for _, e := range v.table {
		if e.Process == c.Process && e.Key != v.self {
			e.answered = true
			if c.Established {
				e.contact = max(e.contact, min(c.Sent, v.now))
			}
		}
	}
}

// establish tells whether this process has learned of the fleet's floors since its start. Danger: a process that has just started has
// forgotten which floors its predecessor held, and must not vouch for others, nor for itself: so it needs over half of the members besides
// itself, or all of them.
func (v *View) establish(planned int) bool {
	if !v.established {
		n, others := max(planned, v.Acting()), 0
		for _, e := range v.table {
			if e.Key != v.self && !e.Departed() && e.answered {
				others++
			}
		}
		v.established = others >= min(n/2+1, n-1)
	}
	return v.established
}

// Established tells whether this process may vouch for others.
func (v *View) Established() bool { return v.established }

// Fence tells until when this process may act, and why no longer; a time that is past says that it may not. planned is how many members the
// settings name, and lease for how many seconds a member may act without touch with the fleet; 0 for any time.
//
// Why a lease holds. A floor is told when over half of the members hold it (FloorsHeldByMajority). A member may act at t only if over half of the members, itself
// counted, answered questions that it sent at t − lease or later, and held just the floors that it holds itself when they answered. Two such
// halves share a member. Where t is later than telling + lease, that one was asked, and answered, after it held the floor; so the asker holds
// the floor too, and minds it. Danger: this rests on both counting the same members or more (the greater of the settings' number and of those
// that may be acting), on clocks that run alike within one process, and on nobody stopping between this check and the write.
func (v *View) Fence(planned int, lease float64) (until float64, why string) {
	until, why = math.Inf(1), ""
	if known := v.establish(planned); lease > 0 && !known {
		until, why = math.Inf(-1), "has not learned of the fleet's floors since its start"
	} else if lease > 0 {
		until, why = v.half(planned)+lease, "out of touch with the fleet for longer than the lease"
	}
	self := v.Self()
	for _, f := range v.heldFloors() {
		if !f.Withdrawn && f.below(self) && f.at+f.Within < until {
			until, why = f.at+f.Within, fmt.Sprintf("below the floor of the %v: %d of %s is the least, told by %s: %s", f.Kind, f.No, f.Source, f.By, f.Why)
		}
	}
	return until, why
}

// half is the time of the oldest contact among the newest that make over half of the members, this one counted.
func (v *View) half(planned int) float64 {
	times := []float64{v.now}
	for _, e := range v.table {
		if e.Key != v.self && !e.Departed() && e.contact > 0 {
			times = append(times, e.contact)
		}
	}
	slices.SortFunc(times, func(a, b float64) int { return cmp.Compare(b, a) })
	need := max(planned, v.Acting())/2 + 1
	if len(times) < need {
		return math.Inf(-1)
	}
	return times[need-1]
}

// FloorsHeldByMajority tells whether over half of the members were seen to hold the floors held here since the newest of them came.
func (v *View) FloorsHeldByMajority(planned int) bool {
	newest := math.Inf(-1)
	for _, f := range v.heldFloors() {
		newest = max(newest, f.took)
	}
	hold := 1
	for _, e := range v.table {
		if e.Key != v.self && !e.Departed() && e.contact > newest { // danger: at the same moment it may have been before
			hold++
		}
	}
	return hold >= max(planned, v.Acting())/2+1
}
