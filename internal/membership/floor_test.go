package membership

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// leaseFleet simulates a fleet with floors and leases in virtual time: the views, the partitions and the replies in flight.
type leaseFleet struct {
	n            int
	views        []*View // nil if the member doesn't run
	process      []uint64
	config       []int64 // number of the configuration that each member applies
	now          float64
	inFlight     []reply
	cut          map[[2]int]bool
	replicatedAt map[int64]float64 // by configuration number: when its floor was in force and held by a majority
	announcedAt  map[int64]float64 // by configuration number: when its floor was announced
	fault        string
	latePushes   bool // announcements may be late
}

// reply is a reply to a lease query, in flight to member to. If it has floors, it is an announcement of these instead.
type reply struct {
	to int
	Contact
	floors []Floor
}

const (
	testLease  = 5.0
	testWithin = 2.0
)

// fataler is a *testing.T or a *rapid.T.
type fataler interface{ Fatal(...any) }

func newLeased(t fataler, n int, fault string) *leaseFleet {
	l := &leaseFleet{n: n, cut: map[[2]int]bool{}, replicatedAt: map[int64]float64{}, announcedAt: map[int64]float64{}, now: 1, fault: fault,
		views: make([]*View, n), process: make([]uint64, n), config: make([]int64, n)}
	for i := range n {
		l.process[i] = uint64(i + 1)
		l.config[i] = 1
		l.start(t, i)
	}
	for i := range n { // all members know and have contacted each other
		for j := range n {
			l.views[i].Merge(l.now, l.views[j].SyncRecords())
		}
	}
	for range 2 {
		for i := range n {
			for j := range n {
				if i != j {
					l.views[i].Contact(l.now, Contact{Process: l.process[j], Asker: l.process[i], Sent: l.now, Floors: l.views[j].FloorDigest(), Established: true})
				}
			}
			l.views[i].Fence(l.n, testLease)
		}
	}
	return l
}

func (l *leaseFleet) start(t fataler, i int) {
	v, err := New(l.now, Record{Key: Key{Name: fmt.Sprint("m", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1)}, Process: l.process[i], Incarnation: uint64(l.now * 1000),
		Generation: 1, Config: Version{No: l.config[i], Source: "f"}})
	if err != nil {
		t.Fatal(err)
	}
	l.views[i] = v
}

func (l *leaseFleet) connected(i, j int) bool {
	return i != j && l.views[i] != nil && l.views[j] != nil && !l.cut[[2]int{i, j}] && !l.cut[[2]int{j, i}]
}

// step performs one drawn action.
func (l *leaseFleet) step(t *rapid.T) {
	i, j := rapid.IntRange(0, l.n-1).Draw(t, "i"), rapid.IntRange(0, l.n-1).Draw(t, "j")
	last := 11
	if l.latePushes {
		last = 13
	}
	switch rapid.IntRange(0, last).Draw(t, "what") {
	case 0, 1:
		l.now += rapid.Float64Range(0.1, 2).Draw(t, "passes")
	case 2, 3, 4:
		if l.connected(i, j) {
			l.queries(i, j)
		}
	case 5, 6: // a reply arrives, in any order, or is lost
		if len(l.inFlight) > 0 {
			k := rapid.IntRange(0, len(l.inFlight)-1).Draw(t, "k")
			l.deliver(k, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
		}
	case 7:
		if l.connected(i, j) {
			l.exchange(i, j)
		}
	case 8:
		l.cut[[2]int{i, j}] = !l.cut[[2]int{i, j}]
	case 9:
		if l.views[i] != nil && len(l.announcedAt) < 3 {
			l.announce(t, i)
		}
	case 10: // a member applies a newer configuration
		if l.views[i] != nil && rapid.IntRange(0, 3).Draw(t, "up") == 0 {
			l.setConfig(i, l.config[i]+1)
		}
	case 11:
		if l.mayRestart(i) {
			l.restart(t, i)
		}
	case 12, 13:
		if l.connected(i, j) {
			l.pushes(i, j)
		}
	}
}

// pushes sends the floors that i holds to j. They arrive with the age that they had when they were sent, however long they were in flight or
// in the receiver's buffer.
func (l *leaseFleet) pushes(i, j int) {
	if floors := l.views[i].Floors(l.now); len(floors) > 0 {
		l.inFlight = append(l.inFlight, reply{to: j, floors: floors})
	}
}

// queries sends a lease query; the reply in flight has the contents as of the query.
func (l *leaseFleet) queries(i, j int) {
	l.views[j].Fence(l.n, testLease)
	l.inFlight = append(l.inFlight, reply{to: i, Contact: Contact{Process: l.process[j], Asker: l.process[i], Sent: l.now, Floors: l.views[j].FloorDigest(), Ages: l.views[j].ConfirmedAges(l.now),
		Established: l.views[j].Established() || l.fault == "a restarted member confirms leases"}})
}

// deliver delivers or loses a reply in flight.
func (l *leaseFleet) deliver(k int, lost bool) {
	a := l.inFlight[k]
	l.inFlight = append(l.inFlight[:k:k], l.inFlight[k+1:]...)
	if l.views[a.to] == nil || lost {
		return
	}
	if len(a.floors) > 0 {
		l.views[a.to].MergeFloors(l.now, a.floors)
		return
	}
	if l.fault == "replies count from their arrival" {
		a.Sent = l.now
	}
	if l.fault == "floors may differ" {
		a.Floors = l.views[a.to].FloorDigest()
	}
	l.views[a.to].Contact(l.now, a.Contact)
}

// exchange performs a full-state exchange between two members.
func (l *leaseFleet) exchange(i, j int) {
	l.views[i].MergeFloors(l.now, l.views[j].Floors(l.now))
	l.views[j].MergeFloors(l.now, l.views[i].Floors(l.now))
	l.views[i].Merge(l.now, l.views[j].SyncRecords())
	l.views[j].Merge(l.now, l.views[i].SyncRecords())
}

// announce lets a member apply the next configuration and announce it as a floor.
func (l *leaseFleet) announce(t fataler, i int) {
	no := int64(len(l.announcedAt) + 2)
	l.setConfig(i, no)
	if _, _, fault := l.views[i].AnnounceFloor(l.now, Floor{Kind: KindConfig, No: no, Source: "f", Within: testWithin, Why: "test"}, true); fault != "" {
		t.Fatal(fault) // unexpected, since the numbers increase
	}
	l.announcedAt[no] = l.now
}

// mayRestart reports whether a member may restart: the lease assumes that members restart one at a time.
func (l *leaseFleet) mayRestart(i int) bool {
	for k, v := range l.views {
		if k != i && v != nil && !v.Established() {
			return false
		}
	}
	return true
}

// restart replaces a member by a new process, which keeps only its configuration.
func (l *leaseFleet) restart(t fataler, i int) {
	l.process[i] += 100
	l.start(t, i)
}

// holdsFloor reports whether the view holds a configuration floor of at least this number.
func (v *View) holdsFloor(no int64) bool {
	for _, f := range v.Floors(v.now) {
		if f.Kind == KindConfig && f.No >= no {
			return true
		}
	}
	return false
}

func (l *leaseFleet) setConfig(i int, config int64) {
	l.config[i] = max(l.config[i], config)
	l.views[i].UpdateSelf(l.now, SelfInfo{Generation: 1, Config: Version{No: l.config[i], Source: "f"}}, false)
}

// check returns an error if a member may act below a floor that a majority has held for longer than the lease.
func (l *leaseFleet) check() error {
	for i, v := range l.views {
		if v == nil {
			continue
		}
		for no, at := range l.announcedAt {
			_, known := l.replicatedAt[no]
			if !known && v.holdsFloor(no) && v.FloorsHeldByMajority(l.n) {
				l.replicatedAt[no] = math.Max(l.now, at+testWithin)
			}
		}
		until, _ := v.Fence(l.n, testLease)
		if l.now >= until {
			continue
		}
		for no, at := range l.replicatedAt {
			if l.now > at+testLease && l.config[i] < no {
				return fmt.Errorf("at %.1f member %d acts on configuration %d; the floor %d was in force on a majority at %.1f", l.now, i, l.config[i], no, at)
			}
		}
	}
	return nil
}

type playResult struct{ err error }

func play(t *rapid.T, fault string, latePushes bool) error {
	l := newLeased(t, rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "members"), fault)
	l.latePushes = latePushes
	for range rapid.IntRange(20, 200).Draw(t, "steps") {
		l.step(t)
		if err := l.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestNobodyActsBelowAFloor checks that no member acts below a floor once a majority has held it for the lease, under partitions, restarts
// and replies and announcements that are late, lost or out of order.
func TestNobodyActsBelowAFloor(t *testing.T) {
	for _, latePushes := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			if err := play(t, "", latePushes); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestFloorHeldUpOnItsWayBindsInTime guards against a member that acts below a floor since the announcement waited in its receive buffer while
// it was stopped, and the floor counted from its arrival (incident 0016).
func TestFloorHeldUpOnItsWayBindsInTime(t *testing.T) {
	l := newLeased(t, 3, "")
	l.announce(t, 0)
	l.pushes(0, 2)
	l.exchange(0, 1)
	l.now += 0.1
	l.queries(0, 1)
	l.deliver(1, false)
	if err := l.check(); err != nil || l.replicatedAt[2] == 0 {
		t.Fatalf("the floor is not held by a majority: %v", err)
	}
	l.now += testWithin + testLease + 0.1 // member 2 stands still
	l.deliver(0, false)
	for _, peer := range []int{0, 1} {
		l.queries(2, peer)
		l.deliver(0, false)
		if err := l.check(); err != nil {
			t.Fatal(err)
		}
	}
	if until, why := l.views[2].Fence(l.n, testLease); l.now < until {
		t.Errorf("member 2 may act until %.1f at %.1f: %s", until, l.now, why)
	}
}

// TestLeasePlaysFindFaults checks that the random test above fails if one of the lease's rules is left out.
func TestLeasePlaysFindFaults(t *testing.T) {
	for _, fault := range []string{"a restarted member confirms leases", "replies count from their arrival", "floors may differ"} {
		var hit error
		for seed := 0; seed < 20000 && hit == nil; seed++ {
			hit = rapid.Custom(func(t *rapid.T) playResult { return playResult{play(t, fault, false)} }).Example(seed).err
		}
		t.Logf("%s: %v", fault, hit)
		if hit == nil {
			t.Errorf("%s: fault not found", fault)
		}
	}
}

// TestFloors checks concurrent floors, the refusal to fence over half of the members, withdrawal, validation and export.
func TestFloors(t *testing.T) {
	b := newTestView(t, "b")
	a, err := New(1, Record{Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, Process: 1, Generation: 1, Zone: "z", Config: Version{No: 3, Source: "f"}})
	if err != nil {
		t.Fatal(err)
	}
	peer := Record{Key: Key{Name: "c", Addr: "10.0.0.3:1"}, Incarnation: 1, Process: 3, Seq: 1, State: Serving, Generation: 1, Zone: "z", Config: Version{No: 2, Source: "f"}}
	far := peer
	far.Key, far.Process = Key{Name: "d", Addr: "10.0.0.4:1"}, 4
	a.Merge(1, []Record{peer, far})
	_, hit, fault := a.AnnounceFloor(2, Floor{Kind: KindConfig, No: 3, Source: "f", Within: 10, Why: "w"}, false)
	if fault == "" || len(hit) != 2 || len(a.floors) != 0 {
		t.Errorf("floor below which two of three members are, without force: %v, %q", hit, fault)
	}
	if _, _, fault = a.AnnounceFloor(2, Floor{Kind: KindConfig, No: 3, Source: "f", Within: 10, Why: "w"}, true); fault != "" {
		t.Errorf("forced: %q", fault)
	}
	if _, _, fault = b.AnnounceFloor(2, Floor{Kind: KindConfig, No: 9, Source: "f", Within: 10, Why: "w"}, true); fault != "" {
		t.Errorf("forced: %q", fault)
	}
	now := 3.0
	x, y := a.Floors(now), b.Floors(now)
	a.MergeFloors(3, y)
	b.MergeFloors(3, x)
	if a.FloorDigest() != b.FloorDigest() || a.Floors(now)[0].By != "b" {
		t.Errorf("concurrent floors: %v and %v", a.Floors(now), b.Floors(now))
	}
	if until, why := a.Fence(1, 0); until != 13 && until != 12 || why == "" {
		t.Errorf("below the floor: until %v, %q", until, why)
	}
	if _, _, fault = a.AnnounceFloor(4, Floor{Kind: KindConfig, Withdrawn: true}, false); fault != "" {
		t.Error(fault)
	}
	if until, _ := a.Fence(1, 0); !math.IsInf(until, 1) {
		t.Errorf("withdrawn: until %v", until)
	}
	for name, f := range map[string]Floor{"kind": {Kind: 9, Round: 1}, "turn": {}, "within": {Round: 1, Within: math.NaN()}, "age": {Round: 1, Age: -1}, "long": {Round: 1, Within: MaxWithinS + 1}} {
		if f.Check() == nil {
			t.Errorf("invalid %s accepted", name)
		}
	}
	st := b.Export()
	twin, err := Import(st)
	if err != nil || twin.FloorDigest() != b.FloorDigest() || twin.Digest() != b.Digest() {
		t.Errorf("exported and imported: %v", err)
	}
}
