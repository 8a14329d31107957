package placement

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// ownerState is the known state of the owner of a partition.
type ownerState int

const (
	ownerUnknown ownerState = iota // the owner may or may not be running; it keeps the partition
	ownerAlive
	ownerEnded // also if the partition has no owner
)

// nodeLoad is a node and the number of partitions that it will own after the requested moves.
type nodeLoad struct {
	member     Member // the live incarnation; if there is none, the first one listed
	partitions int
}

// planner holds the members and their loads while a new table is computed. The loads are zero until countLoads
// is called.
type planner struct {
	members []Member
	loads   []*nodeLoad    // one per node, sorted by node name
	zones   map[string]int // number of partitions by zone
}

// newPlanner returns a planner with zero loads. It returns ErrInvalidMembers if more than one incarnation of a node is
// alive.
func newPlanner(members []Member) (*planner, error) {
	p := &planner{members: members, zones: make(map[string]int)}
	for _, member := range members {
		existing := p.findLoad(member.Node)
		switch {
		case existing == nil:
			p.loads = append(p.loads, &nodeLoad{member: member})
		case existing.member.Alive && member.Alive:
			return nil, errors.Wrapf(ErrInvalidMembers, "node %s", member.Node)
		case member.Alive:
			existing.member = member
		}
	}
	slices.SortFunc(p.loads, func(a, b *nodeLoad) int { return cmp.Compare(a.member.Node, b.member.Node) })
	return p, nil
}

// findLoad returns the load of a node, or nil if the node is not listed.
func (p *planner) findLoad(node string) *nodeLoad {
	for _, load := range p.loads {
		if load.member.Node == node {
			return load
		}
	}
	return nil
}

// ownerStateOf returns the state of the owner of a partition. A live incarnation proves that all others of its
// node have ended.
func (p *planner) ownerStateOf(partition Partition) ownerState {
	if partition.Owner == "" {
		return ownerEnded
	}
	listed, otherEnded := false, false
	for _, member := range p.members {
		if member.Node != partition.Owner {
			continue
		}
		same := member.Incarnation == partition.Incarnation
		switch {
		case same && member.Alive:
			return ownerAlive
		case same && member.Ended, member.Alive:
			return ownerEnded
		case same:
			listed = true
		case member.Ended:
			otherEnded = true
		}
	}
	if otherEnded && !listed {
		return ownerEnded // the owner's incarnation was superseded by one that has ended too
	}
	return ownerUnknown
}

// isUnavailable reports whether a node can no longer be the successor of a partition. A node whose state is unknown
// can still be.
func (p *planner) isUnavailable(node string) bool {
	load := p.findLoad(node)
	if load == nil {
		return true
	}
	member := load.member
	return (member.Ended && !member.Alive) || member.Leaving || !member.Eligible
}

// countLoads adds the partitions of a table to the loads. It counts a releasing partition for its successor and
// skips partitions whose owner has ended.
func (p *planner) countLoads(partitions []Partition) {
	for _, partition := range partitions {
		if p.ownerStateOf(partition) == ownerEnded {
			continue
		}
		if partition.Releasing {
			p.addLoad(partition.Successor, 1)
		} else {
			p.addLoad(partition.Owner, 1)
		}
	}
}

// addLoad changes the number of partitions of a node and its zone; the number may be negative.
func (p *planner) addLoad(node string, partitions int) {
	if load := p.findLoad(node); load != nil {
		load.partitions += partitions
		p.zones[load.member.Zone] += partitions
	}
}

// leastLoaded returns the load of the best new owner for a partition, or nil if no member may own one. Of equal
// loads it returns that of the first node by name.
func (p *planner) leastLoaded() *nodeLoad {
	var best *nodeLoad
	for _, candidate := range p.loads {
		if candidate.member.mayOwn() && (best == nil || p.compareLoads(candidate, best) < 0) {
			best = candidate
		}
	}
	return best
}

// compareLoads orders loads by the number of partitions of the node, then by that of its zone.
func (p *planner) compareLoads(a, b *nodeLoad) int {
	return cmp.Or(
		cmp.Compare(a.partitions, b.partitions),
		cmp.Compare(p.zones[a.member.Zone], p.zones[b.member.Zone]),
	)
}
