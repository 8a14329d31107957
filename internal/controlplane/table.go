package controlplane

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

// partitionCount is the number of partitions that messages are distributed over.
const partitionCount = 64

// maxReplacedDisks is the number of replaced disks that are recorded for a machine.
const maxReplacedDisks = 2

// table is the part of the replicated state that the planner changes: stores, partition owners and retirements. MapVersion
// is its version.
type table struct {
	stores      []*rpc.StoreMember
	partitions  []*rpc.Ownership
	retirements []*rpc.Retirement
}

// copyTable returns a deep copy of the table of a state.
func copyTable(state *rpc.ControlState) *table {
	copied := proto.CloneOf(&rpc.ControlState{
		Stores:      state.Stores,
		Partitions:  state.Partitions,
		Retirements: state.Retirements,
	})
	return &table{stores: copied.Stores, partitions: copied.Partitions, retirements: copied.Retirements}
}

// equals reports whether the table of a state has the same contents.
func (t *table) equals(state *rpc.ControlState) bool {
	ours := &rpc.ControlState{Stores: t.stores, Partitions: t.partitions, Retirements: t.retirements}
	theirs := &rpc.ControlState{Stores: state.Stores, Partitions: state.Partitions, Retirements: state.Retirements}
	return proto.Equal(ours, theirs)
}

// writeTo replaces the table of a state and increments its version.
func (t *table) writeTo(state *rpc.ControlState) {
	state.Stores = t.stores
	state.Partitions = t.partitions
	state.Retirements = t.retirements
	state.MapVersion++
}

// findStore returns the store on a machine, nil if there is none.
func findStore(stores []*rpc.StoreMember, node string) *rpc.StoreMember {
	for _, store := range stores {
		if store.Node == node {
			return store
		}
	}
	return nil
}

// findRetirement returns the retirement of a machine, nil if there is none.
func findRetirement(retirements []*rpc.Retirement, node string) *rpc.Retirement {
	for _, retirement := range retirements {
		if retirement.Node == node {
			return retirement
		}
	}
	return nil
}

// isRetired reports whether the retirement of a machine is complete. Its store stays in the table, so that its disk
// is known and can't join again, but it is no longer active.
func isRetired(retirements []*rpc.Retirement, node string) bool {
	retirement := findRetirement(retirements, node)
	return retirement != nil && retirement.Completed
}

// isRemoved reports whether a store was removed, either because it held no lease and its copies were restored
// elsewhere, or because the operator abandoned it. It stays in the table without an address, so that its disk and
// incarnation are known when it returns.
func isRemoved(store *rpc.StoreMember) bool {
	return store.Leaving && store.Address == ""
}

// markRemoved turns a store into a removed one: see isRemoved.
func markRemoved(store *rpc.StoreMember) {
	store.Leaving = true
	store.Whole = false
	store.Address = ""
}

// activeStores returns the stores of a state that are neither retired nor removed.
func activeStores(state *rpc.ControlState) []*rpc.StoreMember {
	return activeMembers(state.Stores, state.Retirements)
}

// publishedStores returns the active stores without the fields that only control processes need.
func publishedStores(state *rpc.ControlState) []*rpc.StoreMember {
	published := activeStores(state)
	for i, store := range published {
		if len(store.ReplacedDisks) > 0 {
			published[i] = proto.CloneOf(store)
			published[i].ReplacedDisks = nil
		}
	}
	return published
}

// activeMembers returns the stores that are neither retired nor removed.
func activeMembers(stores []*rpc.StoreMember, retirements []*rpc.Retirement) []*rpc.StoreMember {
	active := make([]*rpc.StoreMember, 0, len(stores))
	for _, store := range stores {
		if !isRetired(retirements, store.Node) && !isRemoved(store) {
			active = append(active, store)
		}
	}
	return active
}

// admission is how the store of a renewal relates to the recorded one of its machine.
type admission int

const (
	admissionKnown   admission = iota // the incarnation is recorded
	admissionNew                      // the incarnation must be recorded first
	admissionRetired                  // the machine is retired; its disk can't join again
)

// admissionOf compares the status of a store with the recorded store of its machine.
func admissionOf(state *rpc.ControlState, status *storeStatus) admission {
	member := findStore(state.Stores, status.node)
	switch {
	case member == nil || member.Disk != status.disk:
		return admissionNew
	case isRetired(state.Retirements, status.node):
		return admissionRetired
	case member.Incarnation != status.incarnation || isRemoved(member):
		return admissionNew
	default:
		return admissionKnown
	}
}

// admit records a store, and reports whether its incarnation differs from the recorded one. An added machine is
// whole, since no copies were lost with it, and so is one that returns after its removal, since its copies were
// restored elsewhere. A new disk that replaces a machine's known one is not whole until the copies on the replaced
// disk are restored. A retiring machine remains retiring; a retired one that returns with a new disk counts as added.
func (t *table) admit(status *storeStatus) bool {
	member := findStore(t.stores, status.node)
	heldNothing := member == nil || isRemoved(member) || isRetired(t.retirements, status.node) || len(t.partitions) == 0
	if member == nil {
		member = &rpc.StoreMember{Node: status.node}
		t.stores = append(t.stores, member)
	}
	if isRemoved(member) {
		member.Leaving = false
		member.Whole = true
	}
	if member.Disk != status.disk {
		recordReplacedDisk(member, status.disk)
		member.Disk = status.disk
		member.Whole = heldNothing
		if isRetired(t.retirements, status.node) {
			member.Leaving = false
			t.removeRetirement(status.node)
		}
	}
	isNew := member.Incarnation != status.incarnation
	member.Address = status.address
	member.Zone = status.zone
	member.Incarnation = status.incarnation
	return isNew
}

// recordReplacedDisk adds the current disk of a machine to its replaced disks, because next replaces it. It keeps the
// latest maxReplacedDisks.
func recordReplacedDisk(member *rpc.StoreMember, next string) {
	if member.Disk == "" {
		return
	}
	var replaced []string
	for _, disk := range append(slices.Clone(member.ReplacedDisks), member.Disk) {
		if disk != next {
			replaced = append(replaced, disk)
		}
	}
	member.ReplacedDisks = replaced[max(0, len(replaced)-maxReplacedDisks):]
}

func (t *table) removeRetirement(node string) {
	kept := t.retirements[:0]
	for _, retirement := range t.retirements {
		if retirement.Node != node {
			kept = append(kept, retirement)
		}
	}
	t.retirements = kept
}

// ownsAny reports whether a machine owns a partition.
func (t *table) ownsAny(node string) bool {
	for _, ownership := range t.partitions {
		if ownership.Node == node {
			return true
		}
	}
	return false
}
