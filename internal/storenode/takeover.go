package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	gatherWithin = time.Second            // for one store's answer
	gatherGrace  = 300 * time.Millisecond // that missing stores are waited for once enough have answered
	gatherPause  = 50 * time.Millisecond  // between tries at one store
	gatherMost   = 20 * time.Second       // that missing stores are asked on in the background
	gatherCheck  = 500 * time.Millisecond // between looks for stores that came, and for a newer owner
)

// applyMap takes over, pauses, resumes and gives up partitions as the table of the control plane says.
func (n *Node) applyMap(view *rpc.MapView) {
	var taken []*rpc.PartitionEpoch
	for id, ownership := range view.Partitions {
		partition := uint32(id)
		owned := n.table.OwnedEpoch(partition)
		mine := ownership.Node == n.settings.Node && ownership.Incarnation == n.incarnation
		switch {
		case mine && ownership.Epoch > owned:
			n.own(partition, ownership.Epoch)
			taken = append(taken, &rpc.PartitionEpoch{Partition: partition, Epoch: ownership.Epoch})
		case !mine && owned > 0:
			n.disown(partition)
		}
		if mine && ownership.Releasing {
			n.pause(partition)
		} else if mine {
			n.resume(partition)
		}
	}
	if len(taken) > 0 {
		n.underCopied.addLacking(uint64(len(taken)))
		n.log.Info("partitions assigned", "map", view.Version, "partitions", len(taken))
		go n.gather(taken)
	}
	n.releasePaused()
}

func (n *Node) own(partition uint32, epoch uint64) {
	if n.table.Fence(partition) > epoch {
		return // a newer owner has been here; a newer map follows
	}
	n.table.BeginOwnership(partition, epoch)
	n.appendFence(partition, epoch)
	n.owned[partition].Store(0)
	delete(n.releases, partition)
}

func (n *Node) disown(partition uint32) {
	n.log.V(1).Info("partition given up", "partition", partition)
	n.owned[partition].Store(0)
	n.table.EndOwnership(partition)
	delete(n.releases, partition)
	soon := n.now() + scrubFirst
	n.table.Partition(partition, func(e *message.Entry) { e.ScrubAt = soon })
}

// pause begins no further attempts of a partition that is to be released.
func (n *Node) pause(partition uint32) {
	n.owned[partition].Store(0)
	n.table.Pause(partition)
}

func (n *Node) resume(partition uint32) {
	epoch := n.table.OwnedEpoch(partition)
	if !n.table.IsReady(partition) || n.table.Fence(partition) > epoch {
		return
	}
	n.table.Resume(partition, n.now())
	n.owned[partition].Store(epoch)
}

// releasePaused gives up the partitions that are to be released and have no attempt under way.
func (n *Node) releasePaused() {
	if n.view == nil || n.view.Map == nil {
		return
	}
	var done []*rpc.PartitionEpoch
	for id, ownership := range n.view.Map.Partitions {
		partition := uint32(id)
		epoch := n.table.OwnedEpoch(partition)
		if !ownership.Releasing || epoch == 0 || epoch != ownership.Epoch || n.releases[partition] == epoch {
			continue
		}
		if n.table.RunningCount(partition) > 0 || !n.table.IsReady(partition) {
			continue
		}
		n.releases[partition] = epoch
		done = append(done, &rpc.PartitionEpoch{Partition: partition, Epoch: epoch})
	}
	if len(done) > 0 {
		go n.release(done)
	}
}

func (n *Node) release(partitions []*rpc.PartitionEpoch) {
	ctx, cancel := context.WithTimeout(context.Background(), gatherWithin)
	defer cancel()
	if err := n.cluster.Release(ctx, partitions); err == nil {
		return
	}
	n.post(func() { // asked for again at the next housekeeping
		for _, p := range partitions {
			if n.releases[p.Partition] == p.Epoch {
				delete(n.releases, p.Partition)
			}
		}
	})
}

func (n *Node) appendFence(partition uint32, epoch uint64) {
	data, err := encodeRecord(recordFence, time.Now(), &rpc.PartitionEpoch{Partition: partition, Epoch: epoch})
	if err != nil {
		return
	}
	if _, err := n.file.Append(data); err != nil {
		n.unwritten = true
		n.log.Error(err, "fence not written", "partition", partition, "epoch", epoch)
	}
}
