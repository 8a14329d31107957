package placement

import "slices"

const (
	// minMemberImbalance is the difference in partitions between two members from which a partition is moved.
	minMemberImbalance = 2
	// minZoneImbalance is the difference in partitions between two zones from which a partition is moved, if the
	// difference between the two members does not grow by the move.
	minZoneImbalance = 2
)

// Plan returns the table for the current state of the members, and whether it differs from the given one. It
// reassigns the partitions of ended owners at once. To empty leaving members and to balance the load, it requests
// releases as long as fewer than maxMoves partitions are releasing. The given table is not modified. Errors:
// ErrInvalidMembers, ErrInvariant; the given table is then returned.
func Plan(members []Member, partitions []Partition, maxMoves int) ([]Partition, bool, error) {
	p, err := newPlanner(members)
	if err != nil {
		return partitions, false, err
	}
	next := slices.Clone(partitions)
	p.reassignToRestarted(next)
	p.cancelMovesToUnavailable(next)
	p.countLoads(next)
	p.reassignEnded(next)
	p.planMoves(next, maxMoves)
	if err := checkInvariants(partitions, next); err != nil {
		return partitions, false, err
	}
	return next, !slices.Equal(partitions, next), nil
}

// reassignToRestarted assigns the partitions of ended incarnations to the live incarnation of the same node. A
// restarted node thus gets its own partitions back.
func (p *planner) reassignToRestarted(partitions []Partition) {
	for i := range partitions {
		if p.ownerStateOf(partitions[i]) != ownerEnded {
			continue
		}
		load := p.findLoad(partitions[i].Owner)
		if load != nil && load.member.mayOwn() {
			partitions[i].assign(load.member)
		}
	}
}

// cancelMovesToUnavailable cancels the moves to successors that are unavailable; planMoves replans them if needed.
func (p *planner) cancelMovesToUnavailable(partitions []Partition) {
	for i := range partitions {
		if partitions[i].Releasing && p.isUnavailable(partitions[i].Successor) {
			partitions[i].cancelRelease()
		}
	}
}

// reassignEnded assigns the partitions of ended owners to the members with the fewest partitions. It leaves them
// unchanged while no member may own one.
func (p *planner) reassignEnded(partitions []Partition) {
	for i := range partitions {
		if p.ownerStateOf(partitions[i]) != ownerEnded {
			continue
		}
		best := p.leastLoaded()
		if best == nil {
			return
		}
		partitions[i].assign(best.member)
		p.addLoad(best.member.Node, 1)
	}
}

// planMoves requests releases, first of the partitions of leaving members, then of those whose move improves the
// balance, until maxMoves partitions are releasing.
func (p *planner) planMoves(partitions []Partition, maxMoves int) {
	for moves := countReleasing(partitions); moves < maxMoves; moves++ {
		index, successor := p.nextMove(partitions)
		if successor == nil {
			return
		}
		partitions[index].requestRelease(successor.member.Node)
		p.addLoad(partitions[index].Owner, -1)
		p.addLoad(successor.member.Node, 1)
	}
}

// countReleasing returns the number of partitions that are releasing.
func countReleasing(partitions []Partition) int {
	count := 0
	for _, partition := range partitions {
		if partition.Releasing {
			count++
		}
	}
	return count
}

// nextMove returns the index of the next partition to move and its successor, or a nil successor if there is none.
func (p *planner) nextMove(partitions []Partition) (int, *nodeLoad) {
	successor := p.leastLoaded()
	if successor == nil {
		return 0, nil
	}
	for i, partition := range partitions {
		if p.isMovable(partition) && p.findLoad(partition.Owner).member.Leaving {
			return i, successor
		}
	}
	index := p.mostLoadedMovable(partitions)
	if index < 0 || !p.improvesBalance(p.findLoad(partitions[index].Owner), successor) {
		return 0, nil
	}
	return index, successor
}

// mostLoadedMovable returns the index of the first movable partition of the member with the highest load, or -1 if
// no partition can be moved.
func (p *planner) mostLoadedMovable(partitions []Partition) int {
	index := -1
	for i, partition := range partitions {
		if !p.isMovable(partition) {
			continue
		}
		if index < 0 || p.compareLoads(p.findLoad(partition.Owner), p.findLoad(partitions[index].Owner)) > 0 {
			index = i
		}
	}
	return index
}

// isMovable reports whether the owner can be requested to release the partition.
func (p *planner) isMovable(partition Partition) bool {
	return !partition.Releasing && p.ownerStateOf(partition) == ownerAlive
}

// improvesBalance reports whether moving a partition from one member to the other reduces the imbalance between
// the members, or reduces that between their zones without increasing that between the members.
func (p *planner) improvesBalance(from, to *nodeLoad) bool {
	difference := from.partitions - to.partitions
	if difference >= minMemberImbalance {
		return true
	}
	zones := p.zones[from.member.Zone] - p.zones[to.member.Zone]
	return difference == minMemberImbalance-1 && zones >= minZoneImbalance
}
