package ingest

import (
	"slices"

	"foldlb.example/foldlb/internal/cluster"
)

// chooseFreePartition chooses a free partition for a message without a partition key, round-robin: among those
// whose owner is in the dispatcher's zone and responds, then among those of other zones, then among all that
// have an owner. Stores on the nodes to avoid are left out. ok is false if no partition is left.
func (d *dispatcher) chooseFreePartition(view *cluster.View, avoid []string) (partition uint32, ok bool) {
	offset := d.messageCount.Inc()
	local := view.PartitionsOwnedInZone(d.settings.Zone)
	for i := range local {
		candidate := local[(offset+uint64(i))%uint64(len(local))]
		if isFreePartition(candidate) && d.healthyOwner(view, candidate, avoid) {
			return candidate, true
		}
	}
	if partition, ok = firstFreePartition(view, offset, func(candidate uint32) bool {
		return d.healthyOwner(view, candidate, avoid)
	}); ok {
		return partition, true
	}
	return firstFreePartition(view, offset, func(candidate uint32) bool {
		owner, _, owned := view.Owner(candidate)
		return owned && !slices.Contains(avoid, owner.Node)
	})
}

// firstFreePartition returns the first suitable free partition, counted from offset.
func firstFreePartition(view *cluster.View, offset uint64, suitable func(uint32) bool) (uint32, bool) {
	count := uint64(view.Partitions())
	for i := range count {
		candidate := uint32((offset + i) % count)
		if isFreePartition(candidate) && suitable(candidate) {
			return candidate, true
		}
	}
	return 0, false
}

// healthyOwner reports whether a partition has an owner that responds and is not releasing it.
func (d *dispatcher) healthyOwner(view *cluster.View, partition uint32, avoid []string) bool {
	owner, _, ok := view.Owner(partition)
	if !ok || view.Map.Partitions[partition].Releasing {
		return false
	}
	return !slices.Contains(avoid, owner.Node) && !d.health.slow(owner.Address)
}
