package placement

import "github.com/pkg/errors"

// checkInvariants compares a table with the one before it.
func checkInvariants(before, after []Partition) error {
	if len(before) != len(after) {
		return errors.Wrapf(ErrInvariant, "%d partitions became %d", len(before), len(after))
	}
	for i := range before {
		if err := checkPartition(before[i], after[i]); err != nil {
			return errors.Wrapf(err, "partition %d", i)
		}
	}
	return nil
}

func checkPartition(before, after Partition) error {
	if after.Epoch < before.Epoch {
		return errors.Wrapf(ErrInvariant, "its epoch fell from %d to %d", before.Epoch, after.Epoch)
	}
	ownerChanged := before.Owner != after.Owner || before.Incarnation != after.Incarnation
	if ownerChanged && after.Epoch == before.Epoch {
		return errors.Wrapf(ErrInvariant, "its owner changed within epoch %d", after.Epoch)
	}
	if after.Releasing && after.Successor == after.Owner {
		return errors.Wrapf(ErrInvariant, "its owner %s is its successor", after.Owner)
	}
	if after.Releasing != (after.Successor != "") {
		return errors.Wrap(ErrInvariant, "it has a successor exactly while it is releasing")
	}
	return nil
}
