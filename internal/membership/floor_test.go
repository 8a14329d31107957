package membership

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// leased is a fleet in virtual time with floors and leases: who asks whom, what is on its way, and who runs.
type leased struct {
	n       int
	views   []*View // nil where nothing runs
	process []uint64
	config  []int64 // that each acts on
	now     float64
	flying  []answer
	cut     map[[2]int]bool
	told    map[int64]float64 // when each number was told as a floor, in force and held by over half
	telling map[int64]float64 // and when it was told first
	fault   string
}

// answer is a member's word on its way back to one that asked.
type answer struct {
	to int
	Contact
}

const (
	testLease  = 5.0
	testWithin = 2.0
)

// failer is a test, or a drawn play of one.
type failer interface{ Fatal(...any) }

func newLeased(t failer, n int, fault string) *leased {
	l := &leased{n: n, cut: map[[2]int]bool{}, told: map[int64]float64{}, telling: map[int64]float64{}, now: 1, fault: fault,
		views: make([]*View, n), process: make([]uint64, n), config: make([]int64, n)}
	for i := range n {
		l.process[i] = uint64(i + 1)
		l.config[i] = 1
		l.start(t, i)
	}
	for i := range n { // all have met, and are in touch
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

func (l *leased) start(t failer, i int) {
	v, err := New(l.now, Record{Key: Key{Name: fmt.Sprint("m", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1)}, Process: l.process[i], Incarnation: uint64(l.now * 1000),
		Generation: 1, Config: Version{No: l.config[i], Source: "f"}})
	if err != nil {
		t.Fatal(err)
	}
	l.views[i] = v
}

func (l *leased) meets(i, j int) bool {
	return i != j && l.views[i] != nil && l.views[j] != nil && !l.cut[[2]int{i, j}] && !l.cut[[2]int{j, i}]
}

// step lets one thing happen.
func (l *leased) step(t *rapid.T) {
	i, j := rapid.IntRange(0, l.n-1).Draw(t, "i"), rapid.IntRange(0, l.n-1).Draw(t, "j")
	switch rapid.IntRange(0, 11).Draw(t, "what") {
	case 0, 1:
		l.now += rapid.Float64Range(0.1, 2).Draw(t, "passes")
	case 2, 3, 4:
		if l.meets(i, j) {
			l.asks(i, j)
		}
	case 5, 6: // an answer comes, in any order, or is lost
		if len(l.flying) > 0 {
			k := rapid.IntRange(0, len(l.flying)-1).Draw(t, "k")
			l.comes(k, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
		}
	case 7:
		if l.meets(i, j) {
			l.exchange(i, j)
		}
	case 8:
		l.cut[[2]int{i, j}] = !l.cut[[2]int{i, j}]
	case 9:
		if l.views[i] != nil && len(l.telling) < 3 {
			l.tells(t, i)
		}
	case 10: // one is brought up
		if l.views[i] != nil && rapid.IntRange(0, 3).Draw(t, "up") == 0 {
			l.act(i, l.config[i]+1)
		}
	case 11:
		if l.mayRestart(i) {
			l.restart(t, i)
		}
	}
}

// asks sends a question, whose answer is on its way as it was when it was asked.
func (l *leased) asks(i, j int) {
	l.views[j].Fence(l.n, testLease)
	l.flying = append(l.flying, answer{to: i, Contact: Contact{Process: l.process[j], Asker: l.process[i], Sent: l.now, Floors: l.views[j].FloorDigest(),
		Established: l.views[j].Established() || l.fault == "one that has forgotten vouches"}})
}

// comes lets an answer come, or get lost.
func (l *leased) comes(k int, lost bool) {
	a := l.flying[k]
	l.flying = append(l.flying[:k:k], l.flying[k+1:]...)
	if l.views[a.to] == nil || lost {
		return
	}
	if l.fault == "answers count from their coming" {
		a.Sent = l.now
	}
	if l.fault == "floors need not be the same" {
		a.Floors = l.views[a.to].FloorDigest()
	}
	l.views[a.to].Contact(l.now, a.Contact)
}

// exchange has two members tell each other everything.
func (l *leased) exchange(i, j int) {
	l.views[i].MergeFloors(l.now, l.views[j].Floors(l.now))
	l.views[j].MergeFloors(l.now, l.views[i].Floors(l.now))
	l.views[i].Merge(l.now, l.views[j].SyncRecords())
	l.views[j].Merge(l.now, l.views[i].SyncRecords())
}

// tells has a member that is up to it tell the next floor.
func (l *leased) tells(t failer, i int) {
	no := int64(len(l.telling) + 2)
	l.act(i, no)
	if _, _, fault := l.views[i].AnnounceFloor(l.now, Floor{Kind: KindConfig, No: no, Source: "f", Within: testWithin, Why: "test"}, true); fault != "" {
		t.Fatal(fault) // numbers rise, so none as high is known
	}
	l.telling[no] = l.now
}

// mayRestart tells whether one may start anew: one at a time, as the lease assumes.
func (l *leased) mayRestart(i int) bool {
	for k, v := range l.views {
		if k != i && v != nil && !v.Established() {
			return false
		}
	}
	return true
}

// restart has a member start anew. It has forgotten everything but its configuration; the others run.
func (l *leased) restart(t failer, i int) {
	l.process[i] += 100
	l.start(t, i)
}

// holdsFloor tells whether a configuration's floor is held, or a higher one.
func (v *View) holdsFloor(no int64) bool {
	for _, f := range v.Floors(v.now) {
		if f.Kind == KindConfig && f.No >= no {
			return true
		}
	}
	return false
}

func (l *leased) act(i int, config int64) {
	l.config[i] = max(l.config[i], config)
	l.views[i].UpdateSelf(l.now, SelfInfo{Generation: 1, Config: Version{No: l.config[i], Source: "f"}}, false)
}

// check holds the promise: who may act now, acts on nothing below a floor that was told a lease ago.
func (l *leased) check() error {
	for i, v := range l.views {
		if v == nil {
			continue
		}
		for no, at := range l.telling {
			_, known := l.told[no]
			if !known && v.holdsFloor(no) && v.FloorsHeldByMajority(l.n) {
				l.told[no] = math.Max(l.now, at+testWithin)
			}
		}
		until, _ := v.Fence(l.n, testLease)
		if l.now >= until {
			continue
		}
		for no, at := range l.told {
			if l.now > at+testLease && l.config[i] < no {
				return fmt.Errorf("at %.1f member %d acts on %d; the floor %d was told by %.1f", l.now, i, l.config[i], no, at)
			}
		}
	}
	return nil
}

type played struct{ err error }

func play(t *rapid.T, fault string) error {
	l := newLeased(t, rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "members"), fault)
	for range rapid.IntRange(20, 200).Draw(t, "steps") {
		l.step(t)
		if err := l.check(); err != nil {
			return err
		}
	}
	return nil
}

// TestNobodyActsBelowAFloor a lease after it was told, whatever is cut, late, lost, forgotten or out of order.
func TestNobodyActsBelowAFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := play(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// TestLeasePlaysFindFaults: each rule of the lease is there for a reason that the plays find.
func TestLeasePlaysFindFaults(t *testing.T) {
	for _, fault := range []string{"one that has forgotten vouches", "answers count from their coming", "floors need not be the same"} {
		var hit error
		for seed := 0; seed < 20000 && hit == nil; seed++ {
			hit = rapid.Custom(func(t *rapid.T) played { return played{play(t, fault)} }).Example(seed).err
		}
		t.Logf("%s: %v", fault, hit)
		if hit == nil {
			t.Errorf("%s: not found", fault)
		}
	}
}

// TestFloors: which of two that cross wins, safety, withdrawal, and who is below.
func TestFloors(t *testing.T) {
	b := watcher(t, "b")
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
		t.Errorf("two of three shut out, unforced: %v, %q", hit, fault)
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
		t.Errorf("floors that cross: %v and %v", a.Floors(now), b.Floors(now))
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
			t.Errorf("%s is taken", name)
		}
	}
	st := b.Export()
	twin, err := Import(st)
	if err != nil || twin.FloorDigest() != b.FloorDigest() || twin.Digest() != b.Digest() {
		t.Errorf("passed on: %v", err)
	}
}
