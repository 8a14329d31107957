package storenode

import (
	"time"
)

const (
	closeReserve         = 1500 * time.Millisecond // part of the grace period that is left for closing
	handOverPollInterval = 25 * time.Millisecond
)

// HandOver gives up all partitions before the process stops: the control plane moves them once no attempt is in progress. It takes at most
// graceS less closeReserve, or one second if that is longer.
func (n *Node) HandOver() {
	n.leaving.Store(true)
	n.cluster.Kick()
	grace := time.Duration(n.settings.Bounds.GraceS * float64(time.Second))
	deadline := time.Now().Add(max(time.Second, grace-closeReserve))
	for time.Now().Before(deadline) && !n.isHandedOver() {
		time.Sleep(handOverPollInterval)
	}
	n.do(func() {
		for partition := range n.attemptEpochs {
			n.attemptEpochs[partition].Store(0)
		}
	})
	for _, peer := range n.peers.all() {
		for time.Now().Before(deadline) && !peer.isIdle() {
			time.Sleep(handOverPollInterval)
		}
	}
}

// isHandedOver reports whether nothing is owned, no attempt is in progress, and the new owners have gathered from this store.
func (n *Node) isHandedOver() bool {
	complete := true
	n.do(func() {
		if n.view == nil || n.view.Map == nil {
			return
		}
		for id, ownership := range n.view.Map.Partitions {
			if ownership.Node != n.settings.Node && ownership.Epoch > n.table.Fence(uint32(id)) {
				complete = false // the new owner has not gathered here yet
				return
			}
			if n.table.OwnedEpoch(uint32(id)) > 0 || n.table.RunningCount(uint32(id)) > 0 {
				complete = false
				return
			}
		}
	})
	return complete
}
