package storenode

import (
	"time"
)

const (
	handOverSlack = 1500 * time.Millisecond // of the grace period, left for closing
	handOverPause = 25 * time.Millisecond
)

// HandOver gives all partitions up before the process ends: the control plane moves them once no attempt is under way. It returns within
// graceS.
func (n *Node) HandOver() {
	n.leaving.Store(true)
	n.cluster.Kick()
	grace := time.Duration(n.settings.Bounds.GraceS * float64(time.Second))
	deadline := time.Now().Add(max(time.Second, grace-handOverSlack))
	for time.Now().Before(deadline) && !n.handedOver() {
		time.Sleep(handOverPause)
	}
	n.do(func() {
		for partition := range n.owned {
			n.owned[partition].Store(0)
		}
	})
	for _, one := range n.peers.all() {
		for time.Now().Before(deadline) && !one.idle() {
			time.Sleep(handOverPause)
		}
	}
}

// handedOver reports whether nothing is owned, no attempt is under way, and the new owners have asked what this store holds.
func (n *Node) handedOver() bool {
	free := true
	n.do(func() {
		if n.view == nil || n.view.Map == nil {
			return
		}
		for id, ownership := range n.view.Map.Partitions {
			if ownership.Node != n.settings.Node && ownership.Epoch > n.table.Fence(uint32(id)) {
				free = false // its new owner has not gathered here yet
				return
			}
			if n.table.OwnedEpoch(uint32(id)) > 0 || n.table.RunningCount(uint32(id)) > 0 {
				free = false
				return
			}
		}
	})
	return free
}
