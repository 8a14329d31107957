package membership

import (
	"flag"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"
)

// world is a fleet of three members as a node of the search: the running processes and the partition.
type world struct {
	views     [3]*View // nil if the member doesn't run
	process   [3]uint64
	newest    [3]map[Key]Record // by member: the newest record of each key that its running process has held
	partition int               // partition: 0 none; 1 to 3 that member isolated; 4 no link between members 0 and 1; 5 no links
	budget    [4]int            // crashes, starts, leaves and partition changes that may still happen
	fault     string            // name of an injected fault that the search must find
}

const maxStates = 1 << 20

const frozenNow = 1000.0 // virtual time doesn't advance; time-outs are set off explicitly

func (w *world) linked(i, j int) bool {
	switch w.partition {
	case 1, 2, 3:
		return i != w.partition-1 && j != w.partition-1
	case 4:
		return i == 2 || j == 2
	case 5:
		return false
	}
	return true
}

// newMember starts a process. Each later process has a lower clock than the one before.
func newMember(t testing.TB, i int, process uint64) *View {
	v, err := New(frozenNow, Record{Key: Key{Name: string(rune('a' + i)), Addr: fmt.Sprintf("127.0.0.%d:1", i+1)}, Process: process,
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
				t.Fatalf("export and import change the digest of %v", v.Picture())
			}
			c.views[i] = twin
		}
		c.newest[i] = map[Key]Record{}
		for k, r := range w.newest[i] {
			c.newest[i][k] = r
		}
	}
	return &c
}

// fingerprint returns a hash of the state without times.
func (w *world) fingerprint() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, w.partition, w.budget, w.process)
	for i, v := range w.views {
		fmt.Fprintf(h, "|%d", i)
		if v == nil {
			continue
		}
		for _, k := range v.memberKeys() {
			e := v.members[k]
			fmt.Fprint(h, k, e.Record.digest(), e.reached)
		}
	}
	return h.Sum64()
}

// exchange performs a full-state exchange between two members, as they do when their digests differ.
func (w *world) exchange(i, j int) {
	w.send(j, i)
	w.send(i, j)
	w.send(j, i)
}

// send sends one member's full state to another.
func (w *world) send(from, to int) {
	v, records := w.views[to], w.views[from].SyncRecords()
	switch w.fault {
	case "stale news wins":
		for _, r := range records {
			if e := v.members[r.Key]; e != nil && r.Key != v.self {
				e.Record = r
			}
		}
	case "nobody refutes":
		records = slices.DeleteFunc(records, func(r Record) bool { return r.Key == v.self })
	}
	v.Merge(frozenNow, records)
}

// updateReachability reports to a member which others it reaches, with the time-out for reaching new members expired.
func (w *world) updateReachability(i int) {
	v := w.views[i]
	var s Reachability
	for j, other := range w.views {
		if j != i && other != nil && w.linked(i, j) {
			s.Reached = append(s.Reached, w.process[j])
		} else if j != i && other != nil && !w.linked(i, j) && w.partition == 4 {
			s.Reached = append(s.Reached, w.process[j]) // by an indirect probe through the third member
		}
	}
	for _, e := range v.members {
		if e.unreachableSince != 0 {
			e.unreachableSince = frozenNow - reachGraceS - 1
		}
	}
	v.UpdateReachability(frozenNow, s)
	if w.fault == "unreachable counts as gone" {
		for k, e := range v.members {
			if k != v.self && !e.reached {
				v.ConnectionRefused(frozenNow, e.Process)
			}
		}
	}
}

// steps returns all actions that can follow.
func (w *world) steps() (all []func(t testing.TB, n *world) string) {
	add := func(f func(t testing.TB, n *world) string) { all = append(all, f) }
	for i := range w.views {
		if w.views[i] == nil {
			if w.budget[1] > 0 {
				add(func(t testing.TB, n *world) string {
					n.budget[1]--
					n.process[i] += 3
					n.views[i] = newMember(t, i, n.process[i])
					return fmt.Sprint("start ", i)
				})
			}
			continue
		}
		if w.budget[0] > 0 {
			add(func(t testing.TB, n *world) string {
				n.budget[0]--
				n.views[i] = nil
				return fmt.Sprint("crash ", i)
			})
		}
		if w.budget[2] > 0 {
			add(func(t testing.TB, n *world) string {
				n.budget[2]--
				n.views[i].AdvanceState(frozenNow, Left)
				for j := range n.views {
					if j != i && n.views[j] != nil && n.linked(i, j) {
						n.views[j].Merge(frozenNow, n.views[i].SyncRecords())
						break // only one member receives it directly
					}
				}
				n.views[i] = nil
				return fmt.Sprint("leave ", i)
			})
		}
		add(func(t testing.TB, n *world) string { n.updateReachability(i); return fmt.Sprint("look ", i) })
		for j := range w.views {
			switch {
			case j > i && w.views[j] != nil && w.linked(i, j):
				add(func(t testing.TB, n *world) string { n.exchange(i, j); return fmt.Sprint("exchange ", i, j) })
			case j != i && w.views[j] == nil && w.linked(i, j):
				add(func(t testing.TB, n *world) string {
					n.views[i].ConnectionRefused(frozenNow, n.process[j])
					return fmt.Sprint("refused ", i, j)
				})
			}
		}
	}
	if w.budget[3] > 0 {
		for cut := range 6 {
			if cut != w.partition {
				add(func(t testing.TB, n *world) string { n.budget[3]--; n.partition = cut; return fmt.Sprint("cut ", cut) })
			}
		}
	}
	return all
}

// check returns an error if a member replaced a record by an older one, or holds a running process for departed.
func (w *world) check() error {
	for i, v := range w.views {
		if v == nil {
			w.newest[i] = map[Key]Record{}
			continue
		}
		for k, e := range v.members {
			if before, held := w.newest[i][k]; held && e.Record.compare(before) < 0 {
				return fmt.Errorf("%d replaced the record of %v by an older one: from %+v to %+v", i, k, before, e.Record)
			}
			w.newest[i][k] = e.Record
			for j, other := range w.views {
				if other != nil && k == other.self && e.Process == w.process[j] && e.Departed() {
					return fmt.Errorf("%d holds %v for departed, which runs, so it isn't counted by Acting", i, k)
				}
			}
		}
	}
	return nil
}

// checkConverges returns an error unless, with all links up again, all running members come to hold equal views in which exactly the
// running members are live.
func (w *world) checkConverges(t testing.TB) error {
	c := w.clone(t)
	c.partition = 0
	for range 3 {
		for i := range c.views {
			if c.views[i] == nil {
				continue
			}
			c.updateReachability(i)
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
			e := v.members[Key{Name: string(rune('a' + j)), Addr: fmt.Sprintf("127.0.0.%d:1", j+1)}]
			switch {
			case other != nil && v.Digest() != other.Digest():
				return fmt.Errorf("%d and %d don't converge: %+v and %+v", i, j, v.SyncRecords(), other.SyncRecords())
			case other != nil && (e == nil || !e.Live() || e.Process != c.process[j]):
				return fmt.Errorf("%d runs and is reached, but %d holds %+v for it", j, i, e)
			case other == nil && e != nil && e.Live():
				return fmt.Errorf("%d does not run, but %d holds it for live: %+v", j, i, e.Record)
			}
		}
	}
	return nil
}

// walk visits every reachable state, breadth first.
func walk(t testing.TB, budget [4]int, fault string) (states int, err error) {
	first := &world{budget: budget, fault: fault}
	for i := range first.views {
		first.process[i] = uint64(i + 1)
		first.views[i] = newMember(t, i, first.process[i])
		first.newest[i] = map[Key]Record{}
	}
	type at struct {
		w    *world
		path string
	}
	seen, queue := map[uint64]bool{first.fingerprint(): true}, []at{{first, ""}}
	for len(queue) > 0 {
		now := queue[0]
		queue = queue[1:]
		for _, step := range now.w.steps() {
			n := now.w.clone(t)
			path := now.path + ", " + step(t, n)
			err := n.check()
			s := n.fingerprint()
			if err == nil && !seen[s] {
				err = n.checkConverges(t)
			}
			if err != nil {
				return len(seen), fmt.Errorf("after%s: %w", path[1:], err)
			}
			if !seen[s] {
				seen[s] = true
				if len(seen) > maxStates {
					return len(seen), fmt.Errorf("over %d states", maxStates)
				}
				queue = append(queue, at{n, path})
			}
		}
	}
	return len(seen), nil
}

var full = flag.Bool("full", false, "visit every state of larger budgets, which takes minutes")

// TestEveryState checks three members under bounded numbers of crashes, starts, leaves and partition changes, in every order in
// which these, reachability reports and exchanges can occur.
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

// TestWalkFindsFaults checks that the search detects injected faults.
func TestWalkFindsFaults(t *testing.T) {
	for _, fault := range []string{"stale news wins", "nobody refutes", "unreachable counts as gone"} {
		states, err := walk(t, [4]int{1, 1, 0, 1}, fault)
		if err == nil {
			t.Errorf("%s: fault not found in %d states", fault, states)
		}
		t.Logf("%s: %v", fault, err)
	}
}
