package placement

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
)

// ownerState says what is known of the owner of a partition.
type ownerState int

const (
	ownerUnknown ownerState = iota // its lease is neither valid nor certainly over
	ownerAlive
	ownerEnded // or there is none
)

// load is what one node holds, or is going to hold after the planned moves.
type load struct {
	member     Member // the living incarnation, else any
	partitions int
}

// view answers questions about the members.
type view struct {
	members []Member
	loads   []*load        // by node name
	zones   map[string]int // partitions of each zone's nodes
}

func newView(members []Member) (*view, error) {
	v := &view{members: members, zones: make(map[string]int)}
	for _, member := range members {
		known := v.loadOf(member.Node)
		switch {
		case known == nil:
			v.loads = append(v.loads, &load{member: member})
		case known.member.Alive && member.Alive:
			return nil, errors.Wrapf(ErrInvalidMembers, "node %s", member.Node)
		case member.Alive:
			known.member = member
		}
	}
	slices.SortFunc(v.loads, func(a, b *load) int { return cmp.Compare(a.member.Node, b.member.Node) })
	return v, nil
}

// loadOf returns the load of a node, or nil where it isn't listed.
func (v *view) loadOf(node string) *load {
	for _, known := range v.loads {
		if known.member.Node == node {
			return known
		}
	}
	return nil
}

// stateOf says what is known of the owner of a partition. A living incarnation proves that all others of its
// node have ended.
func (v *view) stateOf(partition Partition) ownerState {
	if partition.Owner == "" {
		return ownerEnded
	}
	listed, otherEnded := false, false
	for _, member := range v.members {
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
		return ownerEnded // a newer incarnation came and has ended too
	}
	return ownerUnknown
}

// isGone reports whether a node can't be the successor of a partition any more. One whose lease is unknown
// still can.
func (v *view) isGone(node string) bool {
	known := v.loadOf(node)
	if known == nil {
		return true
	}
	member := known.member
	return (member.Ended && !member.Alive) || member.Leaving || !member.Eligible
}

// count adds up the loads of a table, without partitions whose owner has ended.
func (v *view) count(partitions []Partition) {
	for _, partition := range partitions {
		if v.stateOf(partition) == ownerEnded {
			continue
		}
		if partition.Releasing {
			v.add(partition.Successor, 1)
		} else {
			v.add(partition.Owner, 1)
		}
	}
}

// add changes the number of partitions of a node.
func (v *view) add(node string, partitions int) {
	if known := v.loadOf(node); known != nil {
		known.partitions += partitions
		v.zones[known.member.Zone] += partitions
	}
}

// least returns the load to which a partition is best given, or nil where no member may own one.
func (v *view) least() *load {
	var best *load
	for _, candidate := range v.loads {
		if candidate.member.mayOwn() && (best == nil || v.compare(candidate, best) < 0) {
			best = candidate
		}
	}
	return best
}

// compare orders loads by their partitions, then by those of their zones.
func (v *view) compare(a, b *load) int {
	return cmp.Or(
		cmp.Compare(a.partitions, b.partitions),
		cmp.Compare(v.zones[a.member.Zone], v.zones[b.member.Zone]),
	)
}
