package controlplane

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

func tableWithOwner() *table {
	return &table{
		stores:     []*rpc.StoreMember{{Node: "a", Disk: "disk-a", Incarnation: "a1", Address: "a:1", Whole: true}},
		partitions: []*rpc.Ownership{{Node: "a", Incarnation: "a1", Epoch: 1}},
	}
}

// An added machine held no copies that could be lost. If it counted as a machine with a lost disk, it and a failed machine together would
// exceed the fault tolerance, and no takeover would ever get enough responses.
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
		markRemoved(table.stores[0])
		table.admit(&storeStatus{node: "a", disk: disk, incarnation: "a2", address: "a:1"})
		back := findStore(table.stores, "a")
		must.True(t, back.Whole)
		must.False(t, back.Leaving)
	}
}

// A disk that was replaced becomes the current one again only if its successor has been silent for longer than a restart takes, measured
// separately under each leader. A new disk waits for less time.
func TestReplacedDiskComesBackOnlyAfterALongSilence(t *testing.T) {
	table := tableWithOwner()
	table.admit(&storeStatus{node: "a", disk: "disk-new", incarnation: "a2", address: "a:1"})
	state := &rpc.ControlState{Stores: table.stores}
	renewal := func(disk, incarnation string) *rpc.RenewRequest {
		return &rpc.RenewRequest{Node: "a", Disk: disk, Incarnation: incarnation, Role: roleStore}
	}
	old, another := renewal("disk-a", "a9"), renewal("disk-third", "a3")

	began := time.Now()
	led := newTerm(1, state, defaultStoreLease, began)
	must.False(t, led.mayBeNewest(state, old, began.Add(replacedDiskReturnDelay-1)))
	must.True(t, led.mayBeNewest(state, another, began.Add(diskReplacementDelay)))
	must.True(t, led.mayBeNewest(state, old, began.Add(replacedDiskReturnDelay)))

	renewedAt := began.Add(time.Minute)
	led.renewStore(state, renewal("disk-new", "a2"), renewedAt)
	must.False(t, led.mayBeNewest(state, old, renewedAt.Add(replacedDiskReturnDelay-1)))
	must.True(t, led.mayBeNewest(state, another, renewedAt.Add(diskReplacementDelay)))
	must.True(t, led.mayBeNewest(state, old, renewedAt.Add(replacedDiskReturnDelay)))
}

func TestReplacedDisksAreRememberedWithinABound(t *testing.T) {
	table := tableWithOwner()
	for _, disk := range []string{"disk-b", "disk-c", "disk-a", "disk-d"} {
		table.admit(&storeStatus{node: "a", disk: disk, incarnation: "of " + disk, address: "a:1"})
	}
	state := &rpc.ControlState{Stores: table.stores}
	must.Eq(t, []string{"disk-c", "disk-a"}, findStore(state.Stores, "a").ReplacedDisks)
	must.SliceEmpty(t, publishedStores(state)[0].ReplacedDisks)
	must.Eq(t, []string{"disk-c", "disk-a"}, findStore(state.Stores, "a").ReplacedDisks)
}
