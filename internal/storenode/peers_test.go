package storenode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// holderZones draws the holders of so many copies one after the other, and returns how many of them are in each zone.
func holderZones(peers *peers, copies int) map[string]int {
	zones := map[string]int{}
	tried := map[string]bool{}
	for range copies {
		one := peers.choose(tried)
		tried[one.disk] = true
		zones[one.zone]++
	}
	return zones
}

// peersIn returns the other stores of a store in zone a, given the number in each zone.
func peersIn(tolerance settings.FaultTolerance, stores map[string]int) *peers {
	n := &Node{
		settings: &settings.Settings{Zone: "a", FaultTolerance: tolerance},
		disk:     "own",
		domains:  domains{tolerance: tolerance},
		draw:     rand.New(rand.NewPCG(1, 2)).IntN,
	}
	members := []*rpc.StoreMember{{Disk: n.disk, Zone: "a"}}
	for zone, count := range stores {
		for i := range count {
			members = append(members, &rpc.StoreMember{Disk: zone + string(rune('0'+i)), Zone: zone})
		}
	}
	peers := newPeers(n)
	peers.update(members)
	return peers
}

func TestOneCopyLeavesTheZoneAndFurtherOnesStay(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 2}, map[string]int{"a": 3, "b": 4, "c": 4})
	for range 200 {
		zones := holderZones(peers, 2)
		must.Eq(t, 1, zones["a"])
	}
}

func TestCopiesStandInDifferentZonesWhereZonesMayBeLost(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1, Zones: 2}, map[string]int{"a": 3, "b": 4, "c": 4})
	for range 200 {
		must.Eq(t, map[string]int{"b": 1, "c": 1}, holderZones(peers, 2))
	}
}

func TestCopyGoesToAHealthyStoreBeforeANearOne(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 2}, map[string]int{"a": 1, "b": 4})
	peers.get("a0").failed()
	for range 200 {
		must.Eq(t, map[string]int{"b": 2}, holderZones(peers, 2))
	}
}

// A copy at a store that is being emptied counts as gone.
func TestNoCopyGoesToAStoreThatIsBeingEmptied(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1}, map[string]int{"b": 2})
	peers.list[0].leaving = true
	for range 50 {
		must.EqOp(t, peers.list[1], peers.choose(nil))
	}
	must.Nil(t, peers.choose(map[string]bool{peers.list[1].disk: true}))
}

// fullQueuePatience bounds the wait for a step that takes no time.
const fullQueuePatience = 10 * time.Second

// TestFullQueueOfCopiesDoesNotBlockTheSyncOfTheLog guards against a store that never syncs again (incident 0012).
func TestFullQueueOfCopiesDoesNotBlockTheSyncOfTheLog(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1}, map[string]int{"b": 1})
	peers.list[0].copies = make([]*copyItem, queuedCopies)
	peers.node.peers = peers
	work := &acceptance{node: peers.node, needed: 2, result: make(chan rpc.PutStatus, 1), tried: map[string]bool{}, domains: map[string]bool{}}
	synced := make(chan struct{})
	isQueued := false
	go func() {
		isQueued = work.another()
		work.outcome("", peers.node.ownDomain(), true) // as the log calls it after a sync
		close(synced)
	}()
	select {
	case <-synced:
	case <-time.After(fullQueuePatience):
		t.Fatal("the sync waits for a copy that can't be queued")
	}
	must.False(t, isQueued)
	must.MapLen(t, 1, work.domains)
	must.EqOp(t, queuedCopies, peers.waiting())
}
