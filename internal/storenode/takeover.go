package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	gatherTimeout       = time.Second            // for the answer of one store, or of the control plane to a release
	gatherGracePeriod   = 300 * time.Millisecond // how long missing stores are waited for once enough have answered
	gatherRetryDelay    = 50 * time.Millisecond  // between attempts to query one store
	gatherMaxDuration   = 20 * time.Second       // how long one query goroutine retries
	gatherCheckInterval = 500 * time.Millisecond // between checks for new stores and for a newer owner
)

// applyMap acquires, pauses, resumes and drops partitions as the map assigns them.
func (n *Node) applyMap(partitionMap *rpc.MapView) {
	var assigned []*rpc.PartitionEpoch
	for id, ownership := range partitionMap.Partitions {
		partition := uint32(id)
		owned := n.table.OwnedEpoch(partition)
		isMine := ownership.Node == n.settings.Node && ownership.Incarnation == n.incarnation
		switch {
		case isMine && ownership.Epoch > owned:
			n.acquirePartition(partition, ownership.Epoch)
			assigned = append(assigned, &rpc.PartitionEpoch{Partition: partition, Epoch: ownership.Epoch})
		case !isMine && owned > 0:
			n.dropPartition(partition)
		}
		if isMine && ownership.Releasing {
			n.pausePartition(partition)
		} else if isMine {
			n.resumePartition(partition)
		}
	}
	if len(assigned) > 0 {
		n.underCopied.addMissing(uint64(len(assigned)))
		n.log.Info("partitions assigned", "map", partitionMap.Version, "partitions", len(assigned))
		go n.takeOver(assigned)
	}
	n.releasePaused()
}

// acquirePartition makes this store the owner of a partition under an epoch. No attempts start before startPartitions.
func (n *Node) acquirePartition(partition uint32, epoch uint64) {
	if n.table.Fence(partition) > epoch {
		return // a newer owner exists; a newer map will follow
	}
	n.table.BeginOwnership(partition, epoch)
	n.appendFence(partition, epoch)
	n.attemptEpochs[partition].Store(0)
	delete(n.requestedReleases, partition)
}

// dropPartition ends the ownership of a partition. The copies here are scrubbed soon after, so that the new owner learns of them.
func (n *Node) dropPartition(partition uint32) {
	n.log.V(1).Info("partition given up", "partition", partition)
	n.attemptEpochs[partition].Store(0)
	n.table.EndOwnership(partition)
	delete(n.requestedReleases, partition)
	scrubAt := n.now() + scrubInitialDelay
	n.table.Partition(partition, func(e *message.Entry) { e.ScrubAt = scrubAt })
}

// pausePartition stops new attempts of a partition that is to be released.
func (n *Node) pausePartition(partition uint32) {
	n.attemptEpochs[partition].Store(0)
	n.table.Pause(partition)
}

// resumePartition allows attempts of a paused partition again, unless a newer owner has raised its fence.
func (n *Node) resumePartition(partition uint32) {
	epoch := n.table.OwnedEpoch(partition)
	if !n.table.IsReady(partition) || n.table.Fence(partition) > epoch {
		return
	}
	n.table.Resume(partition, n.now())
	n.attemptEpochs[partition].Store(epoch)
}

// releasePaused releases the partitions that are to be released and have no attempt in progress.
func (n *Node) releasePaused() {
	if n.view == nil || n.view.Map == nil {
		return
	}
	var releasable []*rpc.PartitionEpoch
	for id, ownership := range n.view.Map.Partitions {
		partition := uint32(id)
		epoch := n.table.OwnedEpoch(partition)
		if !ownership.Releasing || epoch == 0 || epoch != ownership.Epoch || n.requestedReleases[partition] == epoch {
			continue
		}
		if n.table.RunningCount(partition) > 0 || !n.table.IsReady(partition) {
			continue
		}
		n.requestedReleases[partition] = epoch
		releasable = append(releasable, &rpc.PartitionEpoch{Partition: partition, Epoch: epoch})
	}
	if len(releasable) > 0 {
		go n.releasePartitions(releasable)
	}
}

// releasePartitions reports partitions as released to the control plane.
func (n *Node) releasePartitions(partitions []*rpc.PartitionEpoch) {
	ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
	defer cancel()
	if err := n.cluster.Release(ctx, partitions); err == nil {
		return
	}
	n.post(func() { // retried by the next housekeeping
		for _, p := range partitions {
			if n.requestedReleases[p.Partition] == p.Epoch {
				delete(n.requestedReleases, p.Partition)
			}
		}
	})
}

// appendFence writes the fence of a partition to the log.
func (n *Node) appendFence(partition uint32, epoch uint64) {
	data, err := encodeRecord(recordFence, time.Now(), &rpc.PartitionEpoch{Partition: partition, Epoch: epoch})
	if err != nil {
		return
	}
	if _, err := n.file.Append(data); err != nil {
		n.rewriteNeeded = true
		n.log.Error(err, "fence not written", "partition", partition, "epoch", epoch)
	}
}
