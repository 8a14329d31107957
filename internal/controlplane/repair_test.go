package controlplane

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// termFixture is a term with three stores that hold leases, of which the last is retiring and owns no partition.
type termFixture struct {
	t        *testing.T
	now      time.Time
	state    *rpc.ControlState
	term     *term
	requests []*rpc.RenewRequest
}

func newTermFixture(t *testing.T) *termFixture {
	w := &termFixture{t: t, now: time.Now(), state: &rpc.ControlState{MapVersion: 5}}
	for _, node := range []string{"store-0", "store-1", "store-2"} {
		w.state.Stores = append(w.state.Stores, &rpc.StoreMember{
			Node: node, Disk: "disk-" + node, Incarnation: "1-" + node, Address: node, Zone: node, Whole: true,
		})
		w.requests = append(w.requests, &rpc.RenewRequest{
			Node: node, Disk: "disk-" + node, Incarnation: "1-" + node, Address: node, Zone: node, Role: roleStore, MapVersion: 5,
		})
	}
	for partition := range partitionCount {
		owner := w.state.Stores[partition%2]
		w.state.Partitions = append(w.state.Partitions, &rpc.Ownership{Node: owner.Node, Incarnation: owner.Incarnation, Epoch: 1})
	}
	w.state.Stores[2].Leaving = true
	w.state.Retirements = []*rpc.Retirement{{Node: "store-2"}}
	w.term = newTerm(1, w.state, defaultStoreLease, w.now)
	return w
}

// run renews all stores and plans for a time, and reports whether the retirement completed.
func (w *termFixture) run(length time.Duration) bool {
	const step = 100 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(step) {
		for _, request := range w.requests {
			w.term.renewStore(w.state, request, w.now)
		}
		next, _, err := w.term.plan(w.state, modelCopies, w.now)
		must.NoError(w.t, err)
		if findRetirement(next.retirements, "store-2").Completed {
			return true
		}
	}
	return false
}

func TestRetirementCompletes(t *testing.T) {
	w := newTermFixture(t)
	must.False(t, w.run(retireConfirmTime))
	must.True(t, w.run(time.Second))
}

// A store that does not know yet that it is retiring may still accept copies that count.
func TestRetirementWaitsUntilTheStoreKnowsOfIt(t *testing.T) {
	w := newTermFixture(t)
	w.requests[2].MapVersion = 4
	must.False(t, w.run(5*time.Second))
	w.requests[2].MapVersion = 5
	must.False(t, w.run(retireConfirmTime))
	must.True(t, w.run(time.Second))
}

// A store reports copies that their owner may not know of; the retiring store may do so too.
func TestRetirementWaitsForCopiesThatTheOwnerMayNotKnow(t *testing.T) {
	for _, holder := range []int{1, 2} {
		w := newTermFixture(t)
		for _, ownership := range w.state.Partitions {
			ownership.Node, ownership.Incarnation = "store-0", "1-store-0"
		}
		w.requests[holder].UnderCopied = 1
		must.False(t, w.run(5*time.Second))
		w.requests[holder].UnderCopied = 0
		must.True(t, w.run(3*time.Second))
	}
}

// Retirement waits only for copies whose placement began before the map marked the store as leaving, or at an unknown time.
func TestRetirementWaitsForUnconfirmedCopiesByTheirTable(t *testing.T) {
	for _, holder := range []int{1, 2} {
		w := newTermFixture(t)
		for _, ownership := range w.state.Partitions {
			ownership.Node, ownership.Incarnation = "store-0", "1-store-0"
		}
		w.requests[holder].UnderCopied, w.requests[holder].Unconfirmed = 2, 2
		for _, earlier := range []uint64{4, 0} {
			w.requests[holder].UnconfirmedUnder = earlier
			must.False(t, w.run(5*time.Second))
		}
		w.requests[holder].UnconfirmedUnder = 5
		must.True(t, w.run(3*time.Second))
	}
}

// A message whose placement began after the map marked the store as leaving has no copy there, so retirement doesn't wait for it.
func TestRetirementDoesNotWaitForLaterCopies(t *testing.T) {
	w := newTermFixture(t)
	w.requests[1].UnderCopied, w.requests[1].Unconfirmed, w.requests[1].UnconfirmedUnder = 3, 3, 5
	must.False(t, w.run(retireConfirmTime))
	must.True(t, w.run(time.Second))
}

// newLostDiskFixture is a termFixture whose last store has lost its disk; the first one owns all partitions.
func newLostDiskFixture(t *testing.T) *termFixture {
	w := newTermFixture(t)
	w.state.Retirements, w.state.Stores[2].Leaving = nil, false
	w.state.Stores[2].Whole = false
	for _, ownership := range w.state.Partitions {
		ownership.Node, ownership.Incarnation = "store-0", "1-store-0"
	}
	return w
}

// isWhole renews all stores for a time, and reports whether the store with the lost disk counts as whole.
func (w *termFixture) isWhole(length time.Duration) bool {
	const step = 100 * time.Millisecond
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(step) {
		for _, request := range w.requests {
			w.term.renewStore(w.state, request, w.now)
		}
		next := copyTable(w.state)
		w.term.markRestoredStores(w.state, next, w.now)
		if findStore(next.stores, "store-2").Whole {
			return true
		}
	}
	return false
}

// A disk that replaces a lost one is not whole while a store reports copies that their owner may not know of.
func TestDiskIsNotWholeWhileAHolderTellsOfUnknownCopies(t *testing.T) {
	w := newLostDiskFixture(t)
	w.requests[1].UnderCopied = 2
	must.False(t, w.isWhole(3*time.Second))
	w.requests[1].UnderCopied = 0
	must.True(t, w.isWhole(2*time.Second))
}

// Messages whose placement began under a map with the new disk have no copy on the lost one.
func TestDiskIsNotWholeWhileCopiesOfBeforeItsTableAreUnconfirmed(t *testing.T) {
	w := newLostDiskFixture(t)
	w.requests[1].UnderCopied, w.requests[1].Unconfirmed = 2, 2
	for _, earlier := range []uint64{4, 0} {
		w.requests[1].UnconfirmedUnder = earlier
		must.False(t, w.isWhole(3*time.Second))
	}
	w.requests[1].UnconfirmedUnder = 5
	must.True(t, w.isWhole(2*time.Second))
}

// A silent store is removed once the owners know of the copies whose placement began before the map marked it as leaving.
func TestSilentStoreIsGivenUpBesideLaterCopies(t *testing.T) {
	for _, placedUnder := range []uint64{4, 5} {
		w := newTermFixture(t)
		w.state.Retirements = nil
		w.state.Stores[2].Leaving = true // as an earlier plan has left it
		w.requests[0].MapVersion, w.requests[1].MapVersion = 5, 5
		w.requests[1].UnderCopied, w.requests[1].Unconfirmed, w.requests[1].UnconfirmedUnder = 1, 1, placedUnder
		w.requests = w.requests[:2]
		w.now = w.now.Add(time.Minute) // the lease of the silent store has ended
		removed := false
		for range 50 {
			w.now = w.now.Add(100 * time.Millisecond)
			for _, request := range w.requests {
				w.term.renewStore(w.state, request, w.now)
			}
			next := copyTable(w.state)
			w.term.removeSilentStores(w.state, next, modelCopies, w.now)
			removed = removed || findStore(next.stores, "store-2").Address == ""
		}
		must.EqOp(t, placedUnder == 5, removed)
	}
}

// The copies that a lost disk may have held were placed under maps before the first one that contains its successor.
func TestFirstMapWithDisk(t *testing.T) {
	state := &rpc.ControlState{MapVersion: 5, Stores: []*rpc.StoreMember{{Node: "store-0", Disk: "disk-0"}}}
	must.EqOp(t, 5, firstMapWithDisk(state, &rpc.StoreMember{Node: "store-0", Disk: "disk-0"}))
	must.EqOp(t, 6, firstMapWithDisk(state, &rpc.StoreMember{Node: "store-0", Disk: "disk-1"}))
	must.EqOp(t, 6, firstMapWithDisk(state, &rpc.StoreMember{Node: "store-1", Disk: "disk-2"}))
}
