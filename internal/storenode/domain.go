package storenode

import (
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// domains tells which stores may be lost together. Copies of a message stand in different failure domains: regions where the
// loss of one must be borne, else zones, else machines.
type domains struct {
	tolerance settings.FaultTolerance
	regions   map[string]string // by zone
}

// of returns the failure domain of a store.
func (d domains) of(disk, zone string) string {
	switch {
	case d.tolerance.Regions > 0:
		return d.regions[zone]
	case d.tolerance.Zones > 0:
		return zone
	default:
		return disk
	}
}

// copies is how many copies outlast all losses that must be borne at one time.
func (d domains) copies() int {
	return max(d.tolerance.Machines, d.tolerance.Zones, d.tolerance.Regions) + 1
}

// bears reports whether the stores missing are no more than must be borne: so many machines, or all in so many zones or regions.
func (d domains) bears(missing []*rpc.StoreMember) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, member := range missing {
		zones[member.Zone] = true
		regions[d.regions[member.Zone]] = true
	}
	return len(missing) <= d.tolerance.Machines || len(zones) <= d.tolerance.Zones || len(regions) <= d.tolerance.Regions
}

// count returns how many failure domains the stores stand in.
func (d domains) count(members []*rpc.StoreMember) int {
	seen := map[string]bool{}
	for _, member := range members {
		seen[d.of(member.Disk, member.Zone)] = true
	}
	return len(seen)
}
