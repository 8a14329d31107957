package placement

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// node is a simulated machine and what its leader knows of it.
type node struct {
	name        string
	zone        string
	incarnation int
	running     bool
	known       bool // whether the leader knows if it runs
	leaving     bool
	eligible    bool
}

func (n *node) member() Member {
	return Member{
		Node:        n.name,
		Incarnation: fmt.Sprintf("%s/%d", n.name, n.incarnation),
		Zone:        n.zone,
		Alive:       n.running && n.known,
		Ended:       !n.running && n.known,
		Leaving:     n.leaving,
		Eligible:    n.eligible,
	}
}

// world is a table that is planned while nodes come and go.
type world struct {
	nodes      []*node
	partitions []Partition
	maxMoves   int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		partitions: make([]Partition, rapid.IntRange(0, 20).Draw(t, "partitions")),
		maxMoves:   rapid.IntRange(1, 5).Draw(t, "max moves"),
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		zone := fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone"))
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("n%d", i), zone: zone, running: true, known: true, eligible: true})
	}
	return w
}

func (w *world) members() []Member {
	var members []Member
	for _, n := range w.nodes {
		members = append(members, n.member())
	}
	return members
}

func (w *world) memberOf(name string) (Member, bool) {
	for _, member := range w.members() {
		if member.Node == name {
			return member, true
		}
	}
	return Member{}, false
}

// plan calls Plan and checks each change against the rules.
func (w *world) plan(t *rapid.T) bool {
	next, changed, err := Plan(w.members(), w.partitions, w.maxMoves)
	must.NoError(t, err)
	must.EqOp(t, len(w.partitions), len(next))
	for i := range next {
		w.checkChange(t, w.partitions[i], next[i])
	}
	if countReleasing(next) > countReleasing(w.partitions) {
		must.LessEq(t, w.maxMoves, countReleasing(next))
	}
	w.partitions = next
	return changed
}

func (w *world) checkChange(t *rapid.T, before, after Partition) {
	must.GreaterEq(t, before.Epoch, after.Epoch)
	if before.Owner == after.Owner && before.Incarnation == after.Incarnation {
		must.EqOp(t, before.Epoch, after.Epoch)
		return
	}
	must.EqOp(t, before.Epoch+1, after.Epoch)
	owner, listed := w.memberOf(before.Owner)
	if listed && owner.Incarnation == before.Incarnation {
		must.True(t, owner.Ended) // nothing is taken from an owner that may be alive
	}
	w.checkOwner(t, after)
}

func (w *world) checkOwner(t *rapid.T, partition Partition) {
	owner, listed := w.memberOf(partition.Owner)
	must.True(t, listed)
	must.EqOp(t, owner.Incarnation, partition.Incarnation)
	must.True(t, owner.mayOwn())
}

// release lets the owner of a partition release it, under the current or an older epoch.
func (w *world) release(t *rapid.T, index int, epoch uint64) {
	before := w.partitions[index]
	next, err := Release(w.members(), w.partitions, index, epoch)
	if epoch != before.Epoch || before.Owner == "" {
		must.ErrorIs(t, err, ErrStaleEpoch)
		must.Eq(t, w.partitions, next)
		return
	}
	must.NoError(t, err)
	must.EqOp(t, before.Epoch+1, next[index].Epoch)
	must.False(t, next[index].Releasing)
	if next[index].Owner != "" {
		w.checkOwner(t, next[index])
	}
	w.partitions = next
}

// disturb changes one node.
func (w *world) disturb(t *rapid.T) {
	n := rapid.SampledFrom(w.nodes).Draw(t, "node")
	switch rapid.SampledFrom([]string{"stop", "start", "lose sight", "see", "leave", "stay", "eligible"}).Draw(t, "event") {
	case "stop":
		n.running = false
	case "start":
		n.running = true
		n.known = true
		n.incarnation++
	case "lose sight":
		n.known = false
	case "see":
		n.known = true
	case "leave":
		n.leaving = true
	case "stay":
		n.leaving = false
	case "eligible":
		n.eligible = !n.eligible
	}
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"disturb": w.disturb,
			"plan":    func(t *rapid.T) { w.plan(t) },
			"release": func(t *rapid.T) {
				if len(w.partitions) == 0 {
					t.Skip("no partitions")
				}
				index := rapid.IntRange(0, len(w.partitions)-1).Draw(t, "partition")
				epoch := w.partitions[index].Epoch
				if epoch > 0 && rapid.Bool().Draw(t, "late") {
					epoch--
				}
				w.release(t, index, epoch)
			},
		})
		w.settle(t)
	})
}

// settle ends all trouble and checks that planning comes to an end in balance.
func (w *world) settle(t *rapid.T) {
	leaving := rapid.IntRange(-1, len(w.nodes)-1).Draw(t, "leaving")
	for i, n := range w.nodes {
		n.running, n.known, n.eligible = true, true, true
		n.leaving = i == leaving && len(w.nodes) > 1
		n.incarnation++
	}
	rounds := 4*len(w.partitions) + 4
	for w.plan(t) {
		rounds--
		must.Positive(t, rounds)
		for i, partition := range w.partitions {
			if partition.Releasing {
				w.release(t, i, partition.Epoch)
			}
		}
	}
	w.checkBalance(t)
}

func (w *world) checkBalance(t *rapid.T) {
	owned := make(map[string]int)
	for _, partition := range w.partitions {
		w.checkOwner(t, partition)
		must.False(t, partition.Releasing)
		owned[partition.Owner]++
	}
	fewest, most := len(w.partitions), 0
	for _, n := range w.nodes {
		if n.leaving {
			must.Zero(t, owned[n.name])
			continue
		}
		fewest = min(fewest, owned[n.name])
		most = max(most, owned[n.name])
	}
	must.LessEq(t, 1, most-fewest)
}

func TestPlanDoesNotChangeItsInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.plan(t)
		w.disturb(t)
		before := slices.Clone(w.partitions)
		_, _, err := Plan(w.members(), w.partitions, w.maxMoves)
		must.NoError(t, err)
		must.Eq(t, before, w.partitions)
		_, err = Release(w.members(), w.partitions, len(before), 0)
		must.True(t, errors.Is(err, ErrUnknownPartition))
		must.Eq(t, before, w.partitions)
	})
}
