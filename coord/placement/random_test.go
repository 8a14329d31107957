package placement

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// node is a simulated machine and what the leader knows about it.
type node struct {
	name        string
	zone        string
	incarnation int
	running     bool
	stateKnown  bool // whether the leader knows if the node is running; if not, it is neither alive nor ended
	leaving     bool
	eligible    bool
}

func (n *node) member() Member {
	return Member{
		Node:        n.name,
		Incarnation: fmt.Sprintf("%s/%d", n.name, n.incarnation),
		Zone:        n.zone,
		Alive:       n.running && n.stateKnown,
		Ended:       !n.running && n.stateKnown,
		Leaving:     n.leaving,
		Eligible:    n.eligible,
	}
}

// simulation plans a table repeatedly while nodes start, stop, leave and lose contact.
type simulation struct {
	nodes      []*node
	partitions []Partition
	maxMoves   int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		partitions: make([]Partition, rapid.IntRange(0, 20).Draw(t, "partitions")),
		maxMoves:   rapid.IntRange(1, 5).Draw(t, "max moves"),
	}
	for i := range rapid.IntRange(1, 6).Draw(t, "nodes") {
		zone := fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone"))
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("n%d", i), zone: zone, running: true, stateKnown: true, eligible: true})
	}
	return s
}

func (s *simulation) members() []Member {
	var members []Member
	for _, n := range s.nodes {
		members = append(members, n.member())
	}
	return members
}

func (s *simulation) findMember(name string) (Member, bool) {
	for _, member := range s.members() {
		if member.Node == name {
			return member, true
		}
	}
	return Member{}, false
}

// plan calls Plan, checks each change of a partition and the limit on moves, and reports whether the table changed.
func (s *simulation) plan(t *rapid.T) bool {
	next, changed, err := Plan(s.members(), s.partitions, s.maxMoves)
	must.NoError(t, err)
	must.EqOp(t, len(s.partitions), len(next))
	for i := range next {
		s.checkChange(t, s.partitions[i], next[i])
	}
	if countReleasing(next) > countReleasing(s.partitions) {
		must.LessEq(t, s.maxMoves, countReleasing(next))
	}
	s.partitions = next
	return changed
}

// checkChange checks that a changed owner comes with a new epoch and that the previous owner had ended.
func (s *simulation) checkChange(t *rapid.T, before, after Partition) {
	must.GreaterEq(t, before.Epoch, after.Epoch)
	if before.Owner == after.Owner && before.Incarnation == after.Incarnation {
		must.EqOp(t, before.Epoch, after.Epoch)
		return
	}
	must.EqOp(t, before.Epoch+1, after.Epoch)
	owner, listed := s.findMember(before.Owner)
	if listed && owner.Incarnation == before.Incarnation {
		must.True(t, owner.Ended) // an owner that may be alive must not lose its partition
	}
	s.checkOwner(t, after)
}

// checkOwner checks that the owner of a partition is a listed member that may own it.
func (s *simulation) checkOwner(t *rapid.T, partition Partition) {
	owner, listed := s.findMember(partition.Owner)
	must.True(t, listed)
	must.EqOp(t, owner.Incarnation, partition.Incarnation)
	must.True(t, owner.mayOwn())
}

// release calls Release for a partition under an epoch, which is stale if it is not the current one.
func (s *simulation) release(t *rapid.T, index int, epoch uint64) {
	before := s.partitions[index]
	next, err := Release(s.members(), s.partitions, index, epoch)
	if epoch != before.Epoch || before.Owner == "" {
		must.ErrorIs(t, err, ErrStaleEpoch)
		must.Eq(t, s.partitions, next)
		return
	}
	must.NoError(t, err)
	must.EqOp(t, before.Epoch+1, next[index].Epoch)
	must.False(t, next[index].Releasing)
	if next[index].Owner != "" {
		s.checkOwner(t, next[index])
	}
	s.partitions = next
}

// changeNode changes the state of a random node.
func (s *simulation) changeNode(t *rapid.T) {
	n := rapid.SampledFrom(s.nodes).Draw(t, "node")
	switch rapid.SampledFrom([]string{"stop", "start", "lose contact", "regain contact", "leave", "stay", "eligible"}).Draw(t, "event") {
	case "stop":
		n.running = false
	case "start":
		n.running = true
		n.stateKnown = true
		n.incarnation++
	case "lose contact":
		n.stateKnown = false
	case "regain contact":
		n.stateKnown = true
	case "leave":
		n.leaving = true
	case "stay":
		n.leaving = false
	case "eligible":
		n.eligible = !n.eligible
	}
}

// Whatever the order of node failures, plans and releases, a partition must not be taken from an owner that may be
// alive, and planning must converge to a balanced table once all nodes are running.
func TestRandomEventsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"change node": s.changeNode,
			"plan":        func(t *rapid.T) { s.plan(t) },
			"release": func(t *rapid.T) {
				if len(s.partitions) == 0 {
					t.Skip("no partitions")
				}
				index := rapid.IntRange(0, len(s.partitions)-1).Draw(t, "partition")
				epoch := s.partitions[index].Epoch
				if epoch > 0 && rapid.Bool().Draw(t, "late") {
					epoch--
				}
				s.release(t, index, epoch)
			},
		})
		s.checkConvergence(t)
	})
}

// checkConvergence restarts all nodes, lets at most one leave, and checks that repeated planning and releasing ends in
// a balanced table.
func (s *simulation) checkConvergence(t *rapid.T) {
	leaving := rapid.IntRange(-1, len(s.nodes)-1).Draw(t, "leaving")
	for i, n := range s.nodes {
		n.running, n.stateKnown, n.eligible = true, true, true
		n.leaving = i == leaving && len(s.nodes) > 1
		n.incarnation++
	}
	rounds := 4*len(s.partitions) + 4
	for s.plan(t) {
		rounds--
		must.Positive(t, rounds)
		for i, partition := range s.partitions {
			if partition.Releasing {
				s.release(t, i, partition.Epoch)
			}
		}
	}
	s.checkBalance(t)
}

// checkBalance checks that leaving nodes own nothing and that the others differ by at most one partition.
func (s *simulation) checkBalance(t *rapid.T) {
	owned := make(map[string]int)
	for _, partition := range s.partitions {
		s.checkOwner(t, partition)
		must.False(t, partition.Releasing)
		owned[partition.Owner]++
	}
	fewest, most := len(s.partitions), 0
	for _, n := range s.nodes {
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
		s := newSimulation(t)
		s.plan(t)
		s.changeNode(t)
		before := slices.Clone(s.partitions)
		_, _, err := Plan(s.members(), s.partitions, s.maxMoves)
		must.NoError(t, err)
		must.Eq(t, before, s.partitions)
		_, err = Release(s.members(), s.partitions, len(before), 0)
		must.True(t, errors.Is(err, ErrUnknownPartition))
		must.Eq(t, before, s.partitions)
	})
}
