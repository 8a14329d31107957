package storenode

import (
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// failureDomains determines which stores may be lost together. The copies of a message are placed in different failure domains: regions if
// the loss of a region must be tolerated, else zones if that of a zone must be, else machines.
type failureDomains struct {
	tolerance    settings.FaultTolerance
	regionByZone map[string]string
}

// domainOf returns the failure domain of a store.
func (d failureDomains) domainOf(disk, zone string) string {
	switch {
	case d.tolerance.Regions > 0:
		return d.regionByZone[zone]
	case d.tolerance.Zones > 0:
		return zone
	default:
		return disk
	}
}

// requiredCopies returns how many copies a message needs to survive all losses that must be tolerated at one time.
func (d failureDomains) requiredCopies() int {
	return max(d.tolerance.Machines, d.tolerance.Zones, d.tolerance.Regions) + 1
}

// tolerates reports whether the missing stores are no more than must be tolerated: at most so many machines, or all in at most so many
// zones or regions.
func (d failureDomains) tolerates(missing []*rpc.StoreMember) bool {
	zones, regions := map[string]bool{}, map[string]bool{}
	for _, member := range missing {
		zones[member.Zone] = true
		regions[d.regionByZone[member.Zone]] = true
	}
	return len(missing) <= d.tolerance.Machines || len(zones) <= d.tolerance.Zones || len(regions) <= d.tolerance.Regions
}

// countDomains returns the number of failure domains that the stores cover.
func (d failureDomains) countDomains(members []*rpc.StoreMember) int {
	seen := map[string]bool{}
	for _, member := range members {
		seen[d.domainOf(member.Disk, member.Zone)] = true
	}
	return len(seen)
}
