package membership

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) Record {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	addrs := rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	small := rapid.Uint64Range(1, 3)
	return Record{Key: Key{Name: names.Draw(t, "name"), Addr: addrs.Draw(t, "addr")}, Incarnation: small.Draw(t, "incarnation"),
		Process: small.Draw(t, "process"), Seq: small.Draw(t, "seq"), State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")),
		Verdict: Verdict(rapid.IntRange(0, int(Gone)).Draw(t, "verdict")), Zone: rapid.SampledFrom([]string{"", "x"}).Draw(t, "zone"),
		Generation: rapid.IntRange(1, 2).Draw(t, "generation"), Routes: Version{No: int64(small.Draw(t, "routes"))},
		Why: rapid.SampledFrom([]string{"", "w"}).Draw(t, "why")}
}

func watcher(t testing.TB, name string) *View {
	v, err := New(1, Record{Key: Key{Name: name, Addr: "10.9.9.9:1"}, Incarnation: 7, Process: 99, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestMergeKnowsNoOrder: whatever is told in whatever order, in whatever pieces and however often, views come to hold the same.
func TestMergeKnowsNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 12).Draw(t, "news")
		one, other := watcherOf(t), watcherOf(t)
		one.Merge(2, news)
		for _, r := range rapid.Permutation(news).Draw(t, "order") {
			other.Merge(2, []Record{r})
			other.Merge(2, []Record{r})
		}
		if one.Digest() != other.Digest() {
			t.Fatalf("in one go %+v, one by one %+v", one.SyncRecords(), other.SyncRecords())
		}
		before := one.Digest()
		one.Merge(3, other.SyncRecords())
		if one.Digest() != before {
			t.Fatalf("what was known already changed the view")
		}
		for _, r := range news {
			if held := one.table[r.Key]; held == nil || held.Record.compare(r) < 0 {
				t.Fatalf("%+v was told, %+v is held", r, held)
			}
		}
	})
}

func watcherOf(t *rapid.T) *View {
	v, err := New(1, Record{Key: Key{Name: "watcher", Addr: "10.9.9.9:1"}, Incarnation: 7, Process: 99, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestOneOrderForAll: the order of a member's records is total.
func TestOneOrderForAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		if a.compare(b) != -b.compare(a) {
			t.Fatalf("%+v and %+v are in no order", a, b)
		}
		if a.compare(b) <= 0 && b.compare(c) <= 0 && a.compare(c) > 0 {
			t.Fatal("three records go round in a circle")
		}
		if a.Key == b.Key && a.compare(b) == 0 && a != b {
			t.Fatalf("%+v and %+v differ, and neither wins", a, b)
		}
	})
}

// TestNewestStartWins also where its clock is an hour behind the last one's.
func TestNewestStartWins(t *testing.T) {
	key := Key{Name: "n1", Addr: "10.0.0.1:1"}
	other := watcher(t, "n2")
	other.Merge(2, []Record{{Key: key, Incarnation: 3_600_000, Process: 1, Seq: 9, State: Serving, Generation: 1, Verdict: Failed}})
	fresh, err := New(1, Record{Key: key, Incarnation: 1000, Process: 2, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	fresh.Merge(2, other.SyncRecords())
	other.Merge(3, fresh.RecordUpdates())
	if got := other.table[key]; got.Process != 2 || !got.Live() || got.Incarnation != 3_600_001 {
		t.Errorf("held: %+v", got.Record)
	}
}

// TestNameInTwoPlaces is caught on both sides, and both tell the same one to take no part.
func TestNameInTwoPlaces(t *testing.T) {
	a, err := New(1, Record{Key: Key{Name: "n1", Addr: "10.0.0.1:1"}, Incarnation: 5, Process: 1, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	b, err := New(1, Record{Key: Key{Name: "n1", Addr: "10.0.0.2:1"}, Incarnation: 6, Process: 2, Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	a.Merge(2, b.SyncRecords())
	b.Merge(2, a.SyncRecords())
	a.Merge(3, b.SyncRecords())
	if a.Self().Loser || !b.Self().Loser {
		t.Errorf("losers: the first %v, the second %v", a.Self().Loser, b.Self().Loser)
	}
	for _, v := range []*View{a, b} {
		p := v.Picture()
		for _, m := range p.Members {
			if !m.Conflict {
				t.Errorf("%v does not say that %v is in conflict", v.self, m.Key)
			}
		}
		if !slices.ContainsFunc(p.History, func(c Change) bool { return strings.Contains(c.Why, "10.0.0.") }) {
			t.Errorf("%v does not name the other address: %+v", v.self, p.History)
		}
	}
	b.UpdateReachability(10, Reachability{})
	b.UpdateReachability(12, Reachability{})
	b.UpdateReachability(14, Reachability{})
	b.UpdateReachability(16, Reachability{})
	if b.table[a.self].Verdict != Fine {
		t.Error("a loser judges others")
	}
	if a.Acting() != 2 {
		t.Errorf("%d may be acting, though both serve", a.Acting())
	}
}

// TestStoodStill: a process that was stopped judges nobody until others had time to reach it.
func TestStoodStill(t *testing.T) {
	v := watcher(t, "n1")
	peer := Record{Key: Key{Name: "n2", Addr: "10.0.0.2:1"}, Incarnation: 1, Process: 5, Seq: 1, State: Serving, Generation: 1}
	v.Merge(1, []Record{peer})
	for now := 1.5; now < 4; now += 0.5 {
		v.UpdateReachability(now, Reachability{Reached: []uint64{5}})
	}
	v.UpdateReachability(64, Reachability{}) // awake again, and its transport has written everybody off
	v.UpdateReachability(64.5, Reachability{})
	if v.table[peer.Key].Verdict != Fine {
		t.Fatal("judged on waking")
	}
	for now := 65.0; now < 68; now += 0.5 {
		v.UpdateReachability(now, Reachability{})
	}
	if v.table[peer.Key].Verdict != Fine {
		t.Fatal("judged before the other had time")
	}
	for now := 68.0; now < 72; now += 0.5 {
		v.UpdateReachability(now, Reachability{})
	}
	if got := v.table[peer.Key]; got.Verdict != Failed || v.Acting() != 2 || v.Reached() != 1 {
		t.Errorf("in the end: %+v, %d acting, %d reached", got.Record, v.Acting(), v.Reached())
	}
}

// TestCounts: out of reach still counts, left and gone don't; removing is refused while a member answers.
func TestCounts(t *testing.T) {
	v := watcher(t, "n1")
	record := func(name, addr string, process uint64) Record {
		return Record{Key: Key{Name: name, Addr: addr}, Incarnation: 1, Process: process, Seq: 1, State: Serving, Generation: 1}
	}
	two, three := record("n2", "10.0.0.2:1", 2), record("n3", "10.0.0.3:1", 3)
	v.Merge(1, []Record{two, three})
	v.UpdateReachability(2, Reachability{Reached: []uint64{2, 3}})
	if v.Acting() != 3 {
		t.Fatalf("%d may be acting", v.Acting())
	}
	v.UpdateReachability(3, Reachability{Reached: []uint64{2}})
	if v.table[three.Key].Verdict != Failed || v.Acting() != 3 {
		t.Errorf("out of reach: %+v, %d may be acting", v.table[three.Key].Record, v.Acting())
	}
	if got := v.Remove(3.1, "n2"); got != FaultAnswers {
		t.Errorf("removed one that answers: %q", got)
	}
	if got := v.Remove(3.2, "n9"); got != FaultUnknown {
		t.Errorf("removed one that nobody knows: %q", got)
	}
	if got := v.Remove(3.3, "n1"); got != FaultSelf {
		t.Errorf("removed itself: %q", got)
	}
	if got := v.Remove(3.4, "n3"); got != "" || v.Acting() != 2 {
		t.Errorf("remove: %q, %d may be acting", got, v.Acting())
	}
	two.Seq, two.State = 2, Left
	v.Merge(4, []Record{two})
	if v.Acting() != 1 {
		t.Errorf("%d may be acting after a leave", v.Acting())
	}
	v.UpdateReachability(5, Reachability{})
	v.UpdateReachability(7, Reachability{})
	v.UpdateReachability(4+keepOver+3, Reachability{})
	if len(v.table) != 1 {
		t.Errorf("still remembered: %+v", v.SyncRecords())
	}
}

// TestBounds: a view takes no more members than it has places, and forgets those that are over first.
func TestBounds(t *testing.T) {
	v := watcher(t, "n1")
	var all []Record
	for i := range MaxMembers + 10 {
		r := Record{Key: Key{Name: "m" + string(rune('0'+i%10)) + strings.Repeat("x", i/10%60) + strings.Repeat("y", i/600), Addr: "10.0.0.2:1"}, Incarnation: 1, Process: uint64(1000 + i), Seq: 1, State: Serving, Generation: 1}
		if i == 0 {
			r.State = Left
		}
		all = append(all, r)
	}
	v.Merge(1, all)
	if len(v.table) > MaxMembers || v.dropped == 0 {
		t.Errorf("%d members, %d dropped", len(v.table), v.dropped)
	}
	if v.table[all[0].Key] != nil {
		t.Error("one that left keeps a place that another needs")
	}
	for name, r := range map[string]Record{
		"no name":     {Key: Key{Addr: "10.0.0.1:1"}, Incarnation: 1},
		"no port":     {Key: Key{Name: "a", Addr: "10.0.0.1"}, Incarnation: 1},
		"no start":    {Key: Key{Name: "a", Addr: "10.0.0.1:1"}},
		"state":       {Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, State: 9},
		"verdict":     {Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, Verdict: 9},
		"seq's end":   {Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, Seq: 1 << 63},
		"long words":  {Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, Why: strings.Repeat("w", MaxWhyBytes+1)},
		"long source": {Key: Key{Name: "a", Addr: "10.0.0.1:1"}, Incarnation: 1, Routes: Version{Source: strings.Repeat("s", MaxSourceBytes+1)}},
	} {
		if err := r.Check(); !errors.Is(err, ErrRecord) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
