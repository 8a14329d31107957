package storenode

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// holderZones chooses holders for the given number of copies and returns the number of holders in each zone.
func holderZones(peers *peers, copies int) map[string]int {
	zones := map[string]int{}
	tried := map[string]bool{}
	for range copies {
		holder := peers.choose(tried)
		tried[holder.disk] = true
		zones[holder.zone]++
	}
	return zones
}

// peersIn returns the peers of a store in zone a, for the given number of stores in each zone.
func peersIn(tolerance settings.FaultTolerance, stores map[string]int) *peers {
	n := &Node{
		settings:       &settings.Settings{Zone: "a", FaultTolerance: tolerance},
		disk:           "own",
		failureDomains: failureDomains{tolerance: tolerance},
		drawRandom:     rand.New(rand.NewPCG(1, 2)).IntN,
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

func TestFirstCopyGoesToAnotherZoneAndFurtherOnesStay(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 2}, map[string]int{"a": 3, "b": 4, "c": 4})
	for range 200 {
		zones := holderZones(peers, 2)
		must.Eq(t, 1, zones["a"])
	}
}

func TestCopiesGoToDifferentZonesWhereZonesMayBeLost(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1, Zones: 2}, map[string]int{"a": 3, "b": 4, "c": 4})
	for range 200 {
		must.Eq(t, map[string]int{"b": 1, "c": 1}, holderZones(peers, 2))
	}
}

func TestHealthyStoreIsPreferredToStoreInSameZone(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 2}, map[string]int{"a": 1, "b": 4})
	peers.get("a0").failed()
	for range 200 {
		must.Eq(t, map[string]int{"b": 2}, holderZones(peers, 2))
	}
}

// Copies on a retiring store do not count.
func TestNoCopyGoesToRetiringStore(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1}, map[string]int{"b": 2})
	peers.list[0].leaving = true
	for range 50 {
		must.EqOp(t, peers.list[1], peers.choose(nil))
	}
	must.Nil(t, peers.choose(map[string]bool{peers.list[1].disk: true}))
}

// fullQueueTimeout bounds the wait for a step that must not block.
const fullQueueTimeout = 10 * time.Second

// A full queue of copies must not block the goroutine that syncs the log, or the store never syncs again (incident 0012).
func TestFullCopyQueueDoesNotBlockLogSync(t *testing.T) {
	peers := peersIn(settings.FaultTolerance{Machines: 1}, map[string]int{"b": 1})
	peers.list[0].copies = make([]*outgoingCopy, maxQueuedCopies)
	peers.node.peers = peers
	pending := &acceptance{node: peers.node, requiredCopies: 2, result: make(chan rpc.PutStatus, 1), triedDisks: map[string]bool{}, syncedDomains: map[string]bool{}}
	synced := make(chan struct{})
	isQueued := false
	go func() {
		isQueued = pending.sendToNextPeer()
		pending.recordCopy("", peers.node.ownDomain(), true) // called like this by the log after a sync
		close(synced)
	}()
	select {
	case <-synced:
	case <-time.After(fullQueueTimeout):
		t.Fatal("the sync waits for a copy that can't be queued")
	}
	must.False(t, isQueued)
	must.MapLen(t, 1, pending.syncedDomains)
	must.EqOp(t, maxQueuedCopies, peers.waitingCopies())
}
