package placement

import (
	"slices"

	"github.com/pkg/errors"
)

// Release returns the table after the owner under that epoch has given a partition up. The partition goes to
// its successor, or to the member with the fewest where there is none that is alive. Where no member may own
// it, it is left without an owner, and a later Plan assigns it. Errors: ErrStaleEpoch, ErrUnknownPartition,
// ErrInvalidMembers, ErrInvariant; the table is then returned as it was.
func Release(members []Member, partitions []Partition, partition int, epoch uint64) ([]Partition, error) {
	if partition < 0 || partition >= len(partitions) {
		return partitions, errors.Wrapf(ErrUnknownPartition, "partition %d", partition)
	}
	if current := partitions[partition].Epoch; epoch != current || partitions[partition].Owner == "" {
		return partitions, errors.Wrapf(ErrStaleEpoch, "partition %d has epoch %d, not %d", partition, current, epoch)
	}
	v, err := newView(members)
	if err != nil {
		return partitions, err
	}
	next := slices.Clone(partitions)
	v.handOver(next, partition)
	if err := checkInvariants(partitions, next); err != nil {
		return partitions, err
	}
	return next, nil
}

// handOver gives a released partition to its next owner.
func (v *view) handOver(partitions []Partition, index int) {
	released := &partitions[index]
	successor := v.loadOf(released.Successor)
	released.assign(Member{}) // counts for nobody
	if successor == nil || !successor.member.mayOwn() {
		v.count(partitions)
		successor = v.least()
	}
	if successor != nil {
		released.Owner = successor.member.Node
		released.Incarnation = successor.member.Incarnation
	}
}
