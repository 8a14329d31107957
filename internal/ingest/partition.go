package ingest

import (
	"slices"

	"foldlb.example/foldlb/internal/cluster"
)

// freePartition chooses a partition for a message that may go to any: in turn among those owned in our own
// zone by a store that answers, then those of other zones, then any that has an owner. Stores on the nodes to
// avoid are left out. ok is false where no partition is left.
func (d *dispatcher) freePartition(view *cluster.View, avoid []string) (partition uint32, ok bool) {
	turn := d.turn.Inc()
	near := view.PartitionsOwnedInZone(d.settings.Zone)
	for i := range near {
		candidate := near[(turn+uint64(i))%uint64(len(near))]
		if isFree(candidate) && d.healthyOwner(view, candidate, avoid) {
			return candidate, true
		}
	}
	if partition, ok = anyPartition(view, turn, func(candidate uint32) bool {
		return d.healthyOwner(view, candidate, avoid)
	}); ok {
		return partition, true
	}
	return anyPartition(view, turn, func(candidate uint32) bool {
		owner, _, owned := view.Owner(candidate)
		return owned && !slices.Contains(avoid, owner.Node)
	})
}

// anyPartition returns the first free partition, counted from turn, that is suitable.
func anyPartition(view *cluster.View, turn uint64, suitable func(uint32) bool) (uint32, bool) {
	count := uint64(view.Partitions())
	for i := range count {
		candidate := uint32((turn + i) % count)
		if isFree(candidate) && suitable(candidate) {
			return candidate, true
		}
	}
	return 0, false
}

// healthyOwner reports whether a partition has an owner that answers and keeps it.
func (d *dispatcher) healthyOwner(view *cluster.View, partition uint32, avoid []string) bool {
	owner, _, ok := view.Owner(partition)
	if !ok || view.Map.Partitions[partition].Releasing {
		return false
	}
	return !slices.Contains(avoid, owner.Node) && !d.health.slow(owner.Address)
}
