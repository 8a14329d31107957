package storenode

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// membersOver returns stores spread over three regions of three zones each, and the region of each zone.
func membersOver(count int) ([]*rpc.StoreMember, map[string]string) {
	regionByZone := map[string]string{}
	var members []*rpc.StoreMember
	for i := range count {
		zone := fmt.Sprint("zone", i%9)
		regionByZone[zone] = fmt.Sprint("region", i%9/3)
		members = append(members, &rpc.StoreMember{Disk: fmt.Sprint("disk", i), Zone: zone})
	}
	return members, regionByZone
}

func TestToleratedMissingStoresNeverHoldAllCopies(t *testing.T) {
	members, regionByZone := membersOver(18)
	for _, tolerance := range []settings.FaultTolerance{
		{Machines: 1}, {Machines: 2}, {Machines: 1, Zones: 1}, {Machines: 2, Zones: 1}, {Machines: 1, Zones: 1, Regions: 1},
	} {
		d := failureDomains{tolerance: tolerance, regionByZone: regionByZone}
		random := rand.New(rand.NewPCG(1, 2))
		for range 3000 {
			holders := holdersInDifferentDomains(d, members, random)
			missing := missingStores(members, random)
			if !d.tolerates(missing) {
				continue
			}
			lost := 0
			for _, member := range missing {
				if holders[member.Disk] {
					lost++
				}
			}
			must.Less(t, len(holders), lost, must.Sprintf("%+v loses %d stores", tolerance, len(missing)))
		}
	}
}

func holdersInDifferentDomains(d failureDomains, members []*rpc.StoreMember, random *rand.Rand) map[string]bool {
	holders, used := map[string]bool{}, map[string]bool{}
	for _, i := range random.Perm(len(members)) {
		domain := d.domainOf(members[i].Disk, members[i].Zone)
		if !used[domain] && len(holders) < d.requiredCopies() {
			used[domain] = true
			holders[members[i].Disk] = true
		}
	}
	return holders
}

// missingStores returns random single stores, or all stores of a random zone or region.
func missingStores(members []*rpc.StoreMember, random *rand.Rand) []*rpc.StoreMember {
	var missing []*rpc.StoreMember
	kind, first := random.IntN(3), random.IntN(9)
	for i, member := range members {
		switch {
		case kind == 0 && random.IntN(12) == 0, kind == 1 && i%9 == first, kind == 2 && i%9/3 == first/3:
			missing = append(missing, member)
		}
	}
	return missing
}

func TestZoneLossIsToleratedOnlyIfConfigured(t *testing.T) {
	members, regionByZone := membersOver(18)
	zone := []*rpc.StoreMember{members[0], members[9]}
	must.False(t, failureDomains{tolerance: settings.FaultTolerance{Machines: 1}, regionByZone: regionByZone}.tolerates(zone))
	must.True(t, failureDomains{tolerance: settings.FaultTolerance{Machines: 1, Zones: 1}, regionByZone: regionByZone}.tolerates(zone))
	must.Eq(t, 9, failureDomains{tolerance: settings.FaultTolerance{Zones: 1}, regionByZone: regionByZone}.countDomains(members))
}
