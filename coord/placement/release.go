package placement

import (
	"slices"

	"github.com/pkg/errors"
)

// Release returns the table after the owner has released a partition, given by its index, under an epoch. The
// partition goes to its successor, or, if the successor may not own it now, to the member with the fewest
// partitions. If no member may own it, it has no owner until a later Plan assigns it. Errors: ErrStaleEpoch,
// ErrUnknownPartition, ErrInvalidMembers, ErrInvariant; the table is then returned unchanged.
func Release(members []Member, partitions []Partition, partition int, epoch uint64) ([]Partition, error) {
	if partition < 0 || partition >= len(partitions) {
		return partitions, errors.Wrapf(ErrUnknownPartition, "partition %d", partition)
	}
	if current := partitions[partition].Epoch; epoch != current || partitions[partition].Owner == "" {
		return partitions, errors.Wrapf(ErrStaleEpoch, "partition %d has epoch %d, not %d", partition, current, epoch)
	}
	p, err := newPlanner(members)
	if err != nil {
		return partitions, err
	}
	next := slices.Clone(partitions)
	p.handOver(next, partition)
	if err := checkInvariants(partitions, next); err != nil {
		return partitions, err
	}
	return next, nil
}

// handOver assigns a released partition to its next owner.
func (p *planner) handOver(partitions []Partition, index int) {
	released := &partitions[index]
	successor := p.findLoad(released.Successor)
	released.assign(Member{}) // so that it counts for no member's load
	if successor == nil || !successor.member.mayOwn() {
		p.countLoads(partitions)
		successor = p.leastLoaded()
	}
	if successor != nil {
		released.Owner = successor.member.Node
		released.Incarnation = successor.member.Incarnation
	}
}
