package placement

import "slices"

const (
	// memberImbalance is the difference of partitions between two members from which one is moved.
	memberImbalance = 2
	// zoneImbalance is the difference between two zones from which one is moved, if their members
	// stay in balance.
	zoneImbalance = 2
)

// Plan returns the table that follows from the state of the members, and whether it differs. At most maxMoves
// partitions are releasing at one time because of Plan; those of ended owners are given away at once. The
// table passed in isn't changed. Errors: ErrInvalidMembers, ErrInvariant.
func Plan(members []Member, partitions []Partition, maxMoves int) ([]Partition, bool, error) {
	v, err := newView(members)
	if err != nil {
		return partitions, false, err
	}
	next := slices.Clone(partitions)
	v.giveBack(next)
	v.cancelMovesToGone(next)
	v.count(next)
	v.spread(next)
	v.planMoves(next, maxMoves)
	if err := checkInvariants(partitions, next); err != nil {
		return partitions, false, err
	}
	return next, !slices.Equal(partitions, next), nil
}

// giveBack gives the partitions of an ended incarnation to the living one of the same node.
func (v *view) giveBack(partitions []Partition) {
	for i := range partitions {
		if v.stateOf(partitions[i]) != ownerEnded {
			continue
		}
		known := v.loadOf(partitions[i].Owner)
		if known != nil && known.member.mayOwn() {
			partitions[i].assign(known.member)
		}
	}
}

// cancelMovesToGone takes back the moves to successors that are gone; they are planned anew where needed.
func (v *view) cancelMovesToGone(partitions []Partition) {
	for i := range partitions {
		if partitions[i].Releasing && v.isGone(partitions[i].Successor) {
			partitions[i].cancel()
		}
	}
}

// spread gives the partitions of ended owners to the members with the fewest. They stay as they are while no
// member may own one.
func (v *view) spread(partitions []Partition) {
	for i := range partitions {
		if v.stateOf(partitions[i]) != ownerEnded {
			continue
		}
		best := v.least()
		if best == nil {
			return
		}
		partitions[i].assign(best.member)
		v.add(best.member.Node, 1)
	}
}

// planMoves names successors for partitions of leaving members, then for those that are out of balance.
func (v *view) planMoves(partitions []Partition, maxMoves int) {
	for moves := countReleasing(partitions); moves < maxMoves; moves++ {
		index, successor := v.nextMove(partitions)
		if successor == nil {
			return
		}
		partitions[index].plan(successor.member.Node)
		v.add(partitions[index].Owner, -1)
		v.add(successor.member.Node, 1)
	}
}

func countReleasing(partitions []Partition) int {
	count := 0
	for _, partition := range partitions {
		if partition.Releasing {
			count++
		}
	}
	return count
}

// nextMove returns a partition to move and its successor, or a nil successor where none is to be moved.
func (v *view) nextMove(partitions []Partition) (int, *load) {
	successor := v.least()
	if successor == nil {
		return 0, nil
	}
	for i, partition := range partitions {
		if v.isMovable(partition) && v.loadOf(partition.Owner).member.Leaving {
			return i, successor
		}
	}
	index := v.fullest(partitions)
	if index < 0 || !v.outOfBalance(v.loadOf(partitions[index].Owner), successor) {
		return 0, nil
	}
	return index, successor
}

// fullest returns the first movable partition of the member with the most, or -1 where none can be moved.
func (v *view) fullest(partitions []Partition) int {
	index := -1
	for i, partition := range partitions {
		if !v.isMovable(partition) {
			continue
		}
		if index < 0 || v.compare(v.loadOf(partition.Owner), v.loadOf(partitions[index].Owner)) > 0 {
			index = i
		}
	}
	return index
}

// isMovable reports whether the owner can be asked to release the partition.
func (v *view) isMovable(partition Partition) bool {
	return !partition.Releasing && v.stateOf(partition) == ownerAlive
}

// outOfBalance reports whether moving a partition from one member to the other brings members, or else zones,
// nearer to each other.
func (v *view) outOfBalance(from, to *load) bool {
	difference := from.partitions - to.partitions
	if difference >= memberImbalance {
		return true
	}
	zones := v.zones[from.member.Zone] - v.zones[to.member.Zone]
	return difference == memberImbalance-1 && zones >= zoneImbalance
}
