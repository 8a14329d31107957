package placement

import "github.com/pkg/errors"

// checkInvariants returns an ErrInvariant if a new table must not follow the previous one.
func checkInvariants(before, after []Partition) error {
	if len(before) != len(after) {
		return errors.Wrapf(ErrInvariant, "number of partitions changed from %d to %d", len(before), len(after))
	}
	for i := range before {
		if err := checkPartitionChange(before[i], after[i]); err != nil {
			return errors.Wrapf(err, "partition %d", i)
		}
	}
	return nil
}

// checkPartitionChange checks that the epoch does not decrease, that a new owner or incarnation has a new epoch,
// and that exactly the releasing partitions have a successor, which is not the owner.
func checkPartitionChange(before, after Partition) error {
	if after.Epoch < before.Epoch {
		return errors.Wrapf(ErrInvariant, "epoch decreased from %d to %d", before.Epoch, after.Epoch)
	}
	ownerChanged := before.Owner != after.Owner || before.Incarnation != after.Incarnation
	if ownerChanged && after.Epoch == before.Epoch {
		return errors.Wrapf(ErrInvariant, "owner changed without a new epoch, still %d", after.Epoch)
	}
	if after.Releasing && after.Successor == after.Owner {
		return errors.Wrapf(ErrInvariant, "owner %s is also the successor", after.Owner)
	}
	if after.Releasing != (after.Successor != "") {
		return errors.Wrap(ErrInvariant, "a successor must be set exactly while the partition is releasing")
	}
	return nil
}
