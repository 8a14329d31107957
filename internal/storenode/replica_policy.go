package storenode

import (
	"foldlb.example/foldlb/internal/rpc"
)

// replicaPolicy states which copies count under one map and how many are required. It is computed once per map.
type replicaPolicy struct {
	failureDomains map[string]string // by disk: failure domain of each disk whose copies count, including this store's
	requiredCopies int               // copies in different failure domains that each message must have
	leaving        bool              // this store is being retired, or was given up while it was disconnected: its copies do not count
}

// updateReplicaPolicy applies the stores of a new map. Copies on stores that are being retired do not count.
func (n *Node) updateReplicaPolicy(partitionMap *rpc.MapView) {
	n.copyChecks.noteIncarnations(partitionMap.Stores)
	previous := n.replicaPolicy.failureDomains
	n.replicaPolicy = replicaPolicy{failureDomains: make(map[string]string, len(partitionMap.Stores))}
	var members []*rpc.StoreMember
	for _, member := range partitionMap.Stores {
		if member.Leaving {
			n.replicaPolicy.leaving = n.replicaPolicy.leaving || member.Disk == n.disk
			continue
		}
		members = append(members, member)
		n.replicaPolicy.failureDomains[member.Disk] = n.failureDomains.domainOf(member.Disk, member.Zone)
	}
	n.replicaPolicy.requiredCopies = n.countRequiredCopies(members)
	n.diskLosses.update(previous, n.replicaPolicy.failureDomains, partitionMap.Version)
}

// ownDomain returns the failure domain of this store.
func (n *Node) ownDomain() string { return n.failureDomains.domainOf(n.disk, n.settings.Zone) }

// countRequiredCopies returns how many copies in different failure domains a message must have: as many as the fault tolerance requires,
// but no more than there are domains.
func (n *Node) countRequiredCopies(members []*rpc.StoreMember) int {
	return min(n.failureDomains.requiredCopies(), max(n.failureDomains.countDomains(members), 1))
}
