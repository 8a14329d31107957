package controlplane

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/rpc"
)

// partitionCount is the number of partitions that messages are spread over.
const partitionCount = 64

// maxReplacedDisks is how many earlier disks of a machine are remembered.
const maxReplacedDisks = 2

// table is the part of the state that the planner changes: stores, owners and retirements.
type table struct {
	stores      []*rpc.StoreMember
	partitions  []*rpc.Ownership
	retirements []*rpc.Retirement
}

// copyTable returns a copy of a state's table that may be changed.
func copyTable(state *rpc.ControlState) *table {
	copied := proto.CloneOf(&rpc.ControlState{
		Stores:      state.Stores,
		Partitions:  state.Partitions,
		Retirements: state.Retirements,
	})
	return &table{stores: copied.Stores, partitions: copied.Partitions, retirements: copied.Retirements}
}

// equals reports whether a state has this very table.
func (t *table) equals(state *rpc.ControlState) bool {
	ours := &rpc.ControlState{Stores: t.stores, Partitions: t.partitions, Retirements: t.retirements}
	theirs := &rpc.ControlState{Stores: state.Stores, Partitions: state.Partitions, Retirements: state.Retirements}
	return proto.Equal(ours, theirs)
}

// put replaces the table of a state and raises its version.
func (t *table) writeTo(state *rpc.ControlState) {
	state.Stores = t.stores
	state.Partitions = t.partitions
	state.Retirements = t.retirements
	state.MapVersion++
}

// findStore returns the member on a machine, nil if there is none.
func findStore(stores []*rpc.StoreMember, node string) *rpc.StoreMember {
	for _, store := range stores {
		if store.Node == node {
			return store
		}
	}
	return nil
}

// findRetirement returns the order to empty a machine, nil if there is none.
func findRetirement(retirements []*rpc.Retirement, node string) *rpc.Retirement {
	for _, retirement := range retirements {
		if retirement.Node == node {
			return retirement
		}
	}
	return nil
}

// isRetired reports whether a machine has been emptied. Its member stays in the table, so that its disk is
// known and can't join again, but takes no part any more.
func isRetired(retirements []*rpc.Retirement, node string) bool {
	retirement := findRetirement(retirements, node)
	return retirement != nil && retirement.Completed
}

// isRemoved reports whether a store was given up after it had been away for long and its copies had been restored
// elsewhere. It stays in the table without an address, so that its disk and incarnation are known when it comes
// back.
func isRemoved(store *rpc.StoreMember) bool {
	return store.Leaving && store.Address == ""
}

// markRemoved makes a store one that is gone.
func markRemoved(store *rpc.StoreMember) {
	store.Leaving = true
	store.Whole = false
	store.Address = ""
}

// activeStores returns the stores that take part: all but those that have been emptied or are gone.
func activeStores(state *rpc.ControlState) []*rpc.StoreMember {
	return activeMembers(state.Stores, state.Retirements)
}

// publishedStores returns the active stores without what control processes alone need.
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

func activeMembers(stores []*rpc.StoreMember, retirements []*rpc.Retirement) []*rpc.StoreMember {
	active := make([]*rpc.StoreMember, 0, len(stores))
	for _, store := range stores {
		if !isRetired(retirements, store.Node) && !isRemoved(store) {
			active = append(active, store)
		}
	}
	return active
}

// admission tells what a renewal asks of the table.
type admission int

const (
	admissionKnown   admission = iota // the incarnation is the one recorded
	admissionNew                      // the table has to record it first
	admissionRetired                  // the machine was emptied; its disk can't join again
)

// admissionOf compares a store with what is recorded of its machine.
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

// admit records a store, and reports whether its incarnation was never recorded before. A machine that is added
// is whole, since it never held what could be lost, and so is one that comes back after it was given up, since
// all that it held has copies elsewhere. A new disk in the place of a machine's old one stands for what that one
// held, and is not whole until the copies are restored. A machine that is being emptied goes on being so; one
// that was emptied and comes back with a new disk is a new one.
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

// recordReplacedDisk notes that another disk takes the place of a machine's present one.
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
