package placement

import (
	"testing"

	"github.com/shoenig/test/must"
)

func aliveMember(node, zone string) Member {
	return Member{Node: node, Incarnation: node + "/1", Zone: zone, Alive: true, Eligible: true}
}

// ownedBy returns a table of partitions in epoch 1 with the given owners.
func ownedBy(owners ...Member) []Partition {
	var partitions []Partition
	for _, owner := range owners {
		partitions = append(partitions, Partition{Owner: owner.Node, Incarnation: owner.Incarnation, Epoch: 1})
	}
	return partitions
}

func mustPlan(t *testing.T, members []Member, partitions []Partition, maxMoves int) []Partition {
	t.Helper()
	next, _, err := Plan(members, partitions, maxMoves)
	must.NoError(t, err)
	return next
}

func TestFirstPlanSpreadsOverMembersAndZones(t *testing.T) {
	members := []Member{aliveMember("a", "x"), aliveMember("b", "x"), aliveMember("c", "y")}
	next, changed, err := Plan(members, make([]Partition, 4), 2)
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, ownedBy(members[0], members[2], members[1], members[2]), next)
	again, changed, err := Plan(members, next, 2)
	must.NoError(t, err)
	must.False(t, changed)
	must.Eq(t, next, again)
}

func TestRestartedNodeGetsItsPartitionsBack(t *testing.T) {
	a, b := aliveMember("a", "x"), aliveMember("b", "y")
	partitions := ownedBy(a, a, a, b)
	old := a
	old.Alive, old.Ended = false, true
	restarted := a
	restarted.Incarnation = "a/2"
	want := ownedBy(a, a, a, b)
	for i := range 3 {
		want[i] = Partition{Owner: "a", Incarnation: "a/2", Epoch: 2}
	}
	must.Eq(t, want, mustPlan(t, []Member{old, restarted, b}, partitions, 0))
	must.Eq(t, want, mustPlan(t, []Member{restarted, b}, partitions, 0))
}

func TestOnlyPartitionsOfEndedMembersAreReassigned(t *testing.T) {
	a, b, c := aliveMember("a", "x"), aliveMember("b", "y"), aliveMember("c", "z")
	partitions := ownedBy(a, a, b, b, c)
	a.Alive = false
	must.Eq(t, partitions, mustPlan(t, []Member{a, b, c}, partitions, 0))
	a.Ended = true
	next := mustPlan(t, []Member{a, b, c}, partitions, 0)
	must.Eq(t, Partition{Owner: "c", Incarnation: "c/1", Epoch: 2}, next[0])
	must.Eq(t, Partition{Owner: "b", Incarnation: "b/1", Epoch: 2}, next[1])
	must.Eq(t, partitions[2:], next[2:])
}

// If a former incarnation of a node has ended and the state of the current one is unknown, the current one may
// still be running and must keep its partitions.
func TestEndedOldIncarnationDoesNotEndAnUnknownNewOne(t *testing.T) {
	old := Member{Node: "a", Incarnation: "a/0", Ended: true}
	current := Member{Node: "a", Incarnation: "a/1", Eligible: true}
	partitions := ownedBy(current)
	must.Eq(t, partitions, mustPlan(t, []Member{old, current, aliveMember("b", "y")}, partitions, 1))
}

func TestPartitionIsNotReassignedWithoutEligibleMember(t *testing.T) {
	a, b := aliveMember("a", "x"), aliveMember("b", "y")
	a.Alive, a.Ended = false, true
	b.Eligible = false
	partitions := ownedBy(a, a)
	must.Eq(t, partitions, mustPlan(t, []Member{a, b}, partitions, 2))
}

func TestLeavingMemberReleasesItsPartitions(t *testing.T) {
	a, b := aliveMember("a", "x"), aliveMember("b", "y")
	a.Leaving = true
	members := []Member{a, b}
	partitions := mustPlan(t, members, ownedBy(a, a, a, b), 2)
	must.EqOp(t, 2, countReleasing(partitions))
	must.EqOp(t, "b", partitions[0].Successor)

	partitions, err := Release(members, partitions, 0, 1)
	must.NoError(t, err)
	must.Eq(t, Partition{Owner: "b", Incarnation: "b/1", Epoch: 2}, partitions[0])
	_, err = Release(members, partitions, 0, 1)
	must.ErrorIs(t, err, ErrStaleEpoch)
	_, err = Release(members, partitions, len(partitions), 1)
	must.ErrorIs(t, err, ErrUnknownPartition)
	must.True(t, mustPlan(t, members, partitions, 2)[2].Releasing)
}

func TestReleaseWithoutSuccessor(t *testing.T) {
	a, b, c := aliveMember("a", "x"), aliveMember("b", "y"), aliveMember("c", "z")
	a.Leaving = true
	partitions := mustPlan(t, []Member{a, b}, ownedBy(a), 1)
	b.Alive = false
	next, err := Release([]Member{a, b, c}, partitions, 0, 1)
	must.NoError(t, err)
	must.Eq(t, Partition{Owner: "c", Incarnation: "c/1", Epoch: 2}, next[0])

	next, err = Release([]Member{a, b}, partitions, 0, 1)
	must.NoError(t, err)
	must.Eq(t, Partition{Epoch: 2}, next[0])
	must.Eq(t, Partition{Owner: "c", Incarnation: "c/1", Epoch: 3}, mustPlan(t, []Member{a, b, c}, next, 1)[0])
}

func TestMoveToEndedSuccessorIsReplanned(t *testing.T) {
	a, b, c := aliveMember("a", "x"), aliveMember("b", "y"), aliveMember("c", "z")
	a.Leaving = true
	partitions := mustPlan(t, []Member{a, b}, ownedBy(a), 1)
	b.Alive, b.Ended = false, true
	must.EqOp(t, "c", mustPlan(t, []Member{a, b, c}, partitions, 1)[0].Successor)
	must.Eq(t, ownedBy(a), mustPlan(t, []Member{a, b}, partitions, 1))
}

func TestZonesAreBalancedWhereMembersStayInBalance(t *testing.T) {
	a, b, c, d := aliveMember("a", "x"), aliveMember("b", "x"), aliveMember("c", "y"), aliveMember("d", "y")
	members := []Member{a, b, c, d}
	next := mustPlan(t, members, ownedBy(a, a, b, b, c, d), 4)
	must.EqOp(t, 1, countReleasing(next))
	must.EqOp(t, "c", next[0].Successor)
	must.Eq(t, ownedBy(a, a, b, c, d), mustPlan(t, members, ownedBy(a, a, b, c, d), 4))
}

func TestTwoLivingIncarnationsAreRefused(t *testing.T) {
	partitions := ownedBy(aliveMember("a", "x"))
	next, changed, err := Plan([]Member{aliveMember("a", "x"), aliveMember("a", "x")}, partitions, 1)
	must.ErrorIs(t, err, ErrInvalidMembers)
	must.False(t, changed)
	must.Eq(t, partitions, next)
}

func TestInvariantsAreChecked(t *testing.T) {
	before := Partition{Owner: "a", Incarnation: "a/1", Epoch: 3}
	for name, after := range map[string]Partition{
		"epoch decreased":        {Owner: "a", Incarnation: "a/1", Epoch: 2},
		"owner in same epoch":    {Owner: "b", Incarnation: "b/1", Epoch: 3},
		"restart in same epoch":  {Owner: "a", Incarnation: "a/2", Epoch: 3},
		"successor is the owner": {Owner: "a", Incarnation: "a/1", Epoch: 3, Releasing: true, Successor: "a"},
		"no successor":           {Owner: "a", Incarnation: "a/1", Epoch: 3, Releasing: true},
	} {
		t.Run(name, func(t *testing.T) {
			must.ErrorIs(t, checkInvariants([]Partition{before}, []Partition{after}), ErrInvariant)
		})
	}
	must.ErrorIs(t, checkInvariants([]Partition{before}, nil), ErrInvariant)
}
