package controlplane

import (
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

func tableWithOwner() *table {
	return &table{
		stores:     []*rpc.StoreMember{{Node: "a", Disk: "disk-a", Incarnation: "a1", Address: "a:1", Whole: true}},
		partitions: []*rpc.Ownership{{Node: "a", Incarnation: "a1", Epoch: 1}},
	}
}

// A machine that is added held nothing that could be lost. If it counted as one whose disk was lost, it and one that is gone would
// together be more than is borne, and no takeover would ever have enough answers.
func TestAddedMachineIsWhole(t *testing.T) {
	table := tableWithOwner()
	table.admit(&storeStatus{node: "b", disk: "disk-b", incarnation: "b1", address: "b:1"})
	must.True(t, findStore(table.stores, "b").Whole)
}

func TestNewDiskInAMachinesPlaceIsNotWhole(t *testing.T) {
	table := tableWithOwner()
	table.admit(&storeStatus{node: "a", disk: "disk-new", incarnation: "a2", address: "a:1"})
	must.False(t, findStore(table.stores, "a").Whole)
}

func TestStoreThatWasGivenUpIsWholeWhenItComesBack(t *testing.T) {
	for _, disk := range []string{"disk-a", "disk-new"} {
		table := tableWithOwner()
		giveUp(table.stores[0])
		table.admit(&storeStatus{node: "a", disk: disk, incarnation: "a2", address: "a:1"})
		back := findStore(table.stores, "a")
		must.True(t, back.Whole)
		must.False(t, back.Leaving)
	}
}
