package storenode

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// membersOver returns stores spread over three regions of three zones each.
func membersOver(count int) ([]*rpc.StoreMember, map[string]string) {
	regions := map[string]string{}
	var members []*rpc.StoreMember
	for i := range count {
		zone := fmt.Sprint("zone", i%9)
		regions[zone] = fmt.Sprint("region", i%9/3)
		members = append(members, &rpc.StoreMember{Disk: fmt.Sprint("disk", i), Zone: zone})
	}
	return members, regions
}

func TestMissingStoresThatAreBorneNeverHoldAllCopies(t *testing.T) {
	members, regions := membersOver(18)
	for _, tolerance := range []settings.FaultTolerance{
		{Machines: 1}, {Machines: 2}, {Machines: 1, Zones: 1}, {Machines: 2, Zones: 1}, {Machines: 1, Zones: 1, Regions: 1},
	} {
		d := domains{tolerance: tolerance, regions: regions}
		random := rand.New(rand.NewPCG(1, 2))
		for range 3000 {
			holders := holdersInDifferentDomains(d, members, random)
			missing := missingStores(members, random)
			if !d.bears(missing) {
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

func holdersInDifferentDomains(d domains, members []*rpc.StoreMember, random *rand.Rand) map[string]bool {
	holders, used := map[string]bool{}, map[string]bool{}
	for _, i := range random.Perm(len(members)) {
		domain := d.of(members[i].Disk, members[i].Zone)
		if !used[domain] && len(holders) < d.copies() {
			used[domain] = true
			holders[members[i].Disk] = true
		}
	}
	return holders
}

// missingStores draws single stores, or all of a zone or region.
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

func TestZoneIsBorneOnlyWhereSettingsSaySo(t *testing.T) {
	members, regions := membersOver(18)
	zone := []*rpc.StoreMember{members[0], members[9]}
	must.False(t, domains{tolerance: settings.FaultTolerance{Machines: 1}, regions: regions}.bears(zone))
	must.True(t, domains{tolerance: settings.FaultTolerance{Machines: 1, Zones: 1}, regions: regions}.bears(zone))
	must.Eq(t, 9, domains{tolerance: settings.FaultTolerance{Zones: 1}, regions: regions}.count(members))
}
