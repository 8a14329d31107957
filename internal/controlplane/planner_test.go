package controlplane

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// The planner must run when a lease is certainly over, since nothing else moves its partitions to a running owner.
func TestPlannerRunsWhenALeaseIsOver(t *testing.T) {
	w := newTermFixture(t)
	for _, request := range w.requests {
		must.True(t, w.term.renewStore(w.state, request, w.now).granted)
	}
	const before = maxPlanInterval / 5
	must.Eq(t, maxPlanInterval, w.term.nextPlanDelay(w.now))
	must.Eq(t, before, w.term.nextPlanDelay(w.now.Add(defaultStoreLease-before)))
	over := w.now.Add(defaultStoreLease + leaseMargin)
	must.Eq(t, before, w.term.nextPlanDelay(over.Add(-before)))
	must.True(t, w.term.renewStore(w.state, w.requests[1], over.Add(-before)).granted)
	next, _, err := w.term.plan(w.state, modelCopies, over)
	must.NoError(t, err)
	for _, ownership := range next.partitions {
		must.Eq(t, "store-1", ownership.Node)
	}
	must.Eq(t, maxPlanInterval, w.term.nextPlanDelay(over))
}

// renewedAt returns when a store last renewed its lease.
func (n *simNetwork) renewedAt(store string) time.Time {
	term := n.leader().running().server.currentTerm()
	term.mutex.Lock()
	defer term.mutex.Unlock()
	return term.stores[store].renewedAt
}

// A lost store owns partitions for at most its lease, the margin, and the time that a plan and its commit take.
func TestPartitionsOfALostStoreMoveOnceItsLeaseIsOver(t *testing.T) {
	directory := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		const planned = 2 * minPlanInterval
		network := newSearchNetwork(t, 1, directory)
		defer network.end()
		for range 3 {
			for _, member := range network.members[:simStores] {
				for time.Since(network.renewedAt(member.name)) > time.Millisecond {
					time.Sleep(time.Millisecond)
				}
				member.kill()
				killed := time.Now()
				for copyTable(network.latestState()).ownsAny(member.name) {
					time.Sleep(time.Millisecond)
				}
				must.Less(t, defaultStoreLease+leaseMargin+planned, time.Since(killed))
				member.start()
				time.Sleep(startupTime)
			}
		}
	})
}
