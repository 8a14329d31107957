package storenode

import (
	"math/rand/v2"
	"testing"

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
