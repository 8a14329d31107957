package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/message"
)

// The rate of a service is owned by the store that owns the partition of its name, and by no other, and only while its lease is valid.
func TestRateIsOwnedWithThePartitionOfTheService(t *testing.T) {
	runScenario(t, strayScale, func(t *testing.T, w *world) {
		const service = "s"
		owner, epoch := w.owner(message.PartitionForKey(service, uint32(strayScale.partitions)))
		for _, m := range w.machines {
			want := uint64(0)
			if m == owner {
				want = epoch
			}
			must.EqOp(t, want, rateOwnership{m.running().node}.Epoch(service))
		}
		node := owner.running().node
		owner.running().cluster.mutex.Lock()
		owner.running().cluster.leaseEnd = time.Now()
		owner.running().cluster.mutex.Unlock()
		must.EqOp(t, 0, rateOwnership{node}.Epoch(service))
	})
}

// Permits come from the owner, and are good for a time that counts from the sending of the request at the earliest.
func TestPermitsComeFromTheOwnerOfTheRate(t *testing.T) {
	runScenario(t, strayScale, func(t *testing.T, w *world) {
		const service, count = "s", 3
		owner, _ := w.owner(message.PartitionForKey(service, uint32(strayScale.partitions)))
		for _, m := range w.machines {
			node := m.running().node
			sent := node.now()
			granted, until := node.requestPermits(service, count)
			if m == owner {
				must.EqOp(t, 0, granted)
				continue
			}
			must.EqOp(t, count, granted)
			must.EqOp(t, sent+delivery.PermitValidity, until)
		}
		must.EqOp(t, uint64(count*(len(w.machines)-1)), owner.running().node.counters.permitsGranted.Load())
	})
}
