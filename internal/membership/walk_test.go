package membership

import (
	"flag"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

// world is three members, what runs of them, and who reaches whom.
type world struct {
	views   [3]*View // nil where nothing runs
	process [3]uint64
	told    [3]map[Key]Record // the newest that each place ever held, over all its processes while they ran
	cut     int               // 0 none; 1 to 3: that member alone; 4: 0 and 1 can't meet, both reach 2; 5: all apart
	left    [4]int            // crashes, starts, leaves and cuts that may still happen
	fault   string            // a fault built in, for the walk to find
}

const mostStates = 1 << 20

const frozen = 1000.0 // virtual time stands: what depends on it is brought about by hand

func (w *world) linked(i, j int) bool {
	switch w.cut {
	case 1, 2, 3:
		return i != w.cut-1 && j != w.cut-1
	case 4:
		return i == 2 || j == 2
	case 5:
		return false
	}
	return true
}

// newMember is a start: each later one has a clock behind the last one's.
func newMember(t testing.TB, i int, process uint64) *View {
	v, err := New(frozen, Record{Key: Key{Name: string(rune('a' + i)), Addr: fmt.Sprintf("127.0.0.%d:1", i+1)}, Process: process,
		Incarnation: 100 - process, Zone: "z", Generation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (w *world) clone(t testing.TB) *world {
	c := *w
	for i, v := range w.views {
		if v != nil {
			twin, err := Import(v.Export())
			if err != nil {
				t.Fatal(err)
			}
			if twin.Digest() != v.Digest() {
				t.Fatalf("a hand-over changes the digest of %v", v.Picture())
			}
			c.views[i] = twin
		}
		c.told[i] = map[Key]Record{}
		for k, r := range w.told[i] {
			c.told[i][k] = r
		}
	}
	return &c
}

// sum names the state, without times.
func (w *world) sum() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.cut, w.left, w.process)
	for i, v := range w.views {
		fmt.Fprintf(h, "|%d", i)
		if v == nil {
			continue
		}
		for _, k := range v.keys() {
			e := v.table[k]
			fmt.Fprint(h, k, e.Record.digest(), e.reached)
		}
	}
	return h.Sum64()
}

// exchange has two members tell each other everything, as they do when their digests differ.
func (w *world) exchange(i, j int) {
	w.tell(j, i)
	w.tell(i, j)
	w.tell(j, i)
}

// tell has one member tell another everything.
func (w *world) tell(from, to int) {
	v, told := w.views[to], w.views[from].SyncRecords()
	switch w.fault {
	case "stale news wins":
		for _, r := range told {
			if e := v.table[r.Key]; e != nil && r.Key != v.self {
				e.Record = r
			}
		}
	case "nobody refutes":
		told = slices.DeleteFunc(told, func(r Record) bool { return r.Key == v.self })
	}
	v.Merge(frozen, told)
}

// look has a member's transport tell whom it reaches, long enough after it first tried.
func (w *world) look(i int) {
	v := w.views[i]
	var s Reachability
	for j, other := range w.views {
		if j != i && other != nil && w.linked(i, j) {
			s.Reached = append(s.Reached, w.process[j])
		} else if j != i && other != nil && !w.linked(i, j) && w.cut == 4 {
			s.Reached = append(s.Reached, w.process[j]) // through the third, as the library asks
		}
	}
	for _, e := range v.table {
		if e.unseen != 0 {
			e.unseen = frozen - grace - 1
		}
	}
	v.UpdateReachability(frozen, s)
	if w.fault == "out of reach is gone" {
		for k, e := range v.table {
			if k != v.self && !e.reached {
				v.ConnectionRefused(frozen, e.Process)
			}
		}
	}
}

// steps are all that may happen next.
func (w *world) steps() (all []func(t testing.TB, n *world) string) {
	add := func(f func(t testing.TB, n *world) string) { all = append(all, f) }
	for i := range w.views {
		if w.views[i] == nil {
			if w.left[1] > 0 {
				add(func(t testing.TB, n *world) string {
					n.left[1]--
					n.process[i] += 3
					n.views[i] = newMember(t, i, n.process[i])
					return fmt.Sprint("start ", i)
				})
			}
			continue
		}
		if w.left[0] > 0 {
			add(func(t testing.TB, n *world) string {
				n.left[0]--
				n.views[i] = nil
				return fmt.Sprint("crash ", i)
			})
		}
		if w.left[2] > 0 {
			add(func(t testing.TB, n *world) string {
				n.left[2]--
				n.views[i].AdvanceState(frozen, Left)
				for j := range n.views {
					if j != i && n.views[j] != nil && n.linked(i, j) {
						n.views[j].Merge(frozen, n.views[i].SyncRecords())
						break // one hears it, the others from that one
					}
				}
				n.views[i] = nil
				return fmt.Sprint("leave ", i)
			})
		}
		add(func(t testing.TB, n *world) string { n.look(i); return fmt.Sprint("look ", i) })
		for j := range w.views {
			switch {
			case j > i && w.views[j] != nil && w.linked(i, j):
				add(func(t testing.TB, n *world) string { n.exchange(i, j); return fmt.Sprint("exchange ", i, j) })
			case j != i && w.views[j] == nil && w.linked(i, j):
				add(func(t testing.TB, n *world) string {
					n.views[i].ConnectionRefused(frozen, n.process[j])
					return fmt.Sprint("refused ", i, j)
				})
			}
		}
	}
	if w.left[3] > 0 {
		for cut := range 6 {
			if cut != w.cut {
				add(func(t testing.TB, n *world) string { n.left[3]--; n.cut = cut; return fmt.Sprint("cut ", cut) })
			}
		}
	}
	return all
}

// check holds the promises against one state, and what it came from.
func (w *world) check() error {
	for i, v := range w.views {
		if v == nil {
			w.told[i] = map[Key]Record{}
			continue
		}
		for k, e := range v.table {
			if before, held := w.told[i][k]; held && e.Record.compare(before) < 0 {
				return fmt.Errorf("%d went back on %v: from %+v to %+v", i, k, before, e.Record)
			}
			w.told[i][k] = e.Record
			for j, other := range w.views {
				if other != nil && k == other.self && e.Process == w.process[j] && e.Departed() {
					return fmt.Errorf("%d holds %v for over, which runs: it no longer counts as one that may act", i, k)
				}
			}
		}
	}
	return nil
}

// settles tells whether, with all links up again, all that run come to hold one view, in which just those live that run.
func (w *world) settles(t testing.TB) error {
	c := w.clone(t)
	c.cut = 0
	for range 3 {
		for i := range c.views {
			if c.views[i] == nil {
				continue
			}
			c.look(i)
			for j := range c.views {
				if j != i && c.views[j] != nil {
					c.exchange(i, j)
				}
			}
		}
	}
	for i, v := range c.views {
		for j, other := range c.views {
			if v == nil {
				continue
			}
			e := v.table[Key{Name: string(rune('a' + j)), Addr: fmt.Sprintf("127.0.0.%d:1", j+1)}]
			switch {
			case other != nil && v.Digest() != other.Digest():
				return fmt.Errorf("%d and %d don't come to one view: %+v and %+v", i, j, v.SyncRecords(), other.SyncRecords())
			case other != nil && (e == nil || !e.Live() || e.Process != c.process[j]):
				return fmt.Errorf("%d runs and is reached, and %d holds %+v of it", j, i, e)
			case other == nil && e != nil && e.Live():
				return fmt.Errorf("%d does not run, and %d holds it for alive: %+v", j, i, e.Record)
			}
		}
	}
	return nil
}

// walk goes through every state that can be reached, breadth first.
func walk(t testing.TB, left [4]int, fault string) (states int, err error) {
	first := &world{left: left, fault: fault}
	for i := range first.views {
		first.process[i] = uint64(i + 1)
		first.views[i] = newMember(t, i, first.process[i])
		first.told[i] = map[Key]Record{}
	}
	type at struct {
		w    *world
		path string
	}
	seen, queue := map[uint64]bool{first.sum(): true}, []at{{first, ""}}
	for len(queue) > 0 {
		now := queue[0]
		queue = queue[1:]
		for _, step := range now.w.steps() {
			n := now.w.clone(t)
			path := now.path + ", " + step(t, n)
			err := n.check()
			s := n.sum()
			if err == nil && !seen[s] {
				err = n.settles(t)
			}
			if err != nil {
				return len(seen), fmt.Errorf("after%s: %w", path[1:], err)
			}
			if !seen[s] {
				seen[s] = true
				if len(seen) > mostStates {
					return len(seen), fmt.Errorf("over %d states", mostStates)
				}
				queue = append(queue, at{n, path})
			}
		}
	}
	return len(seen), nil
}

var full = flag.Bool("full", false, "walk through every state of larger budgets, which takes minutes")

// TestEveryState: three members with bounded numbers of crashes, starts, leaves and cuts, in every order in which they, looks
// and exchanges can come.
func TestEveryState(t *testing.T) {
	budgets := [][4]int{{1, 0, 0, 0}, {0, 1, 1, 0}, {0, 0, 0, 1}}
	if *full {
		budgets = [][4]int{{1, 1, 0, 1}, {0, 0, 0, 2}, {0, 1, 1, 1}}
	}
	for _, left := range budgets {
		begin := time.Now()
		states, err := walk(t, left, "")
		t.Logf("crashes, starts, leaves, cuts %v: %d states in %.1f s", left, states, time.Since(begin).Seconds())
		if err != nil {
			t.Error(err)
		}
	}
}

// TestWalkFindsFaults: a walk that can't fail shows nothing.
func TestWalkFindsFaults(t *testing.T) {
	for _, fault := range []string{"stale news wins", "nobody refutes", "out of reach is gone"} {
		states, err := walk(t, [4]int{1, 1, 0, 1}, fault)
		if err == nil {
			t.Errorf("%s: not found in %d states", fault, states)
		}
		t.Logf("%s: %v", fault, err)
	}
}
