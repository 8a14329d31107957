package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// Messages whose order key belongs to another partition, see message.Stray.

// isMisplaced reports whether a message with an order key was sent to another partition than that of the key, as dispatchers of earlier
// builds do. It must not be accepted: its order with the others of the key could not be kept.
func (n *Node) isMisplaced(m *rpc.Message) bool {
	return m.OrderKey != "" && n.view != nil && n.view.Partitions() > 0 && m.Partition != message.PartitionForKey(m.OrderKey, n.view.Partitions())
}

// listStrays returns the stray messages known here whose keys belong to the partitions.
func (n *Node) listStrays(partitions []*rpc.PartitionEpoch, count uint32) []*rpc.Stray {
	if count == 0 {
		return nil
	}
	homes := map[uint32]bool{}
	for _, p := range partitions {
		homes[p.Partition] = true
	}
	var strays []*rpc.Stray
	n.table.Strays(count, func(home uint32, stray message.Stray) {
		if homes[home] {
			strays = append(strays, &rpc.Stray{Name: stray.Name, Partition: stray.Partition, OrderKey: stray.OrderKey})
		}
	})
	return strays
}

// awaitStrays makes the keys of stray messages wait for them, in the partitions that are still owned under the epochs of the request. No
// message is kept longer than its final state, so neither is the wait.
func (n *Node) awaitStrays(strays []*rpc.Stray, request *rpc.GatherRequest) {
	owned := map[uint32]bool{}
	for _, p := range request.Partitions {
		owned[p.Partition] = n.table.OwnedEpoch(p.Partition) == p.Epoch
	}
	retention, known := n.endedRetention()
	if !known {
		retention = maxEndedRetention + statusRetentionMargin
	}
	for _, s := range strays {
		if home := message.PartitionForKey(s.OrderKey, request.PartitionCount); owned[home] {
			n.table.AwaitStray(home, message.Stray{Name: s.Name, Partition: s.Partition, OrderKey: s.OrderKey}, n.now()+retention)
		}
	}
}

// checkStrays asks the owners of the awaited stray messages whether they have ended.
func (n *Node) checkStrays() {
	now := n.now()
	n.table.AwaitedStrays(func(home uint32, stray message.Stray, until time.Duration) {
		known := n.table.Get(stray.Name)
		switch owner, _, ok := n.view.Owner(stray.Partition); {
		case now >= until || known != nil && known.Ended():
			n.table.StrayEnded(home, stray, now)
		case ok && owner.Disk != n.disk:
			go n.askForStray(owner.Address, home, stray)
		}
	})
}

// askForStray asks a store whether a stray message has ended.
func (n *Node) askForStray(address string, home uint32, stray message.Stray) {
	ctx, cancel := context.WithTimeout(context.Background(), scrubTimeout)
	defer cancel()
	reply, err := n.cluster.Store(address).Lookup(ctx, &rpc.LookupRequest{Name: stray.Name})
	if err != nil || !reply.Found || reply.State == rpc.State_QUEUED {
		return
	}
	n.post(func() {
		n.table.StrayEnded(home, stray, n.now())
		n.schedulePending = true
	})
}
