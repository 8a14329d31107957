// Package placement decides which member owns each partition. It does no I/O and reads no clock: the caller
// passes in the state of the members, and must commit the returned table before it acts on it.
//
// The owner of a partition changes in one of two ways. If the owner's incarnation has ended, Plan reassigns the
// partition at once. If the owner is alive, Plan names a successor and marks the partition as releasing; the
// owner stops its work on the partition, and Release then hands it over. Each change increments the epoch.
package placement

import "github.com/pkg/errors"

var (
	// ErrInvalidMembers is returned if more than one incarnation of a node is listed as alive.
	ErrInvalidMembers = errors.New("invalid member list: list at most one live incarnation per node")
	// ErrUnknownPartition is returned for the release of a partition that is not in the table.
	ErrUnknownPartition = errors.New("unknown partition: release a partition of the table")
	// ErrStaleEpoch is returned for a release under an epoch other than the current one of the partition, or of a
	// partition without an owner.
	ErrStaleEpoch = errors.New("stale epoch: fetch the newest table; the partition may have been handed over already")
	// ErrInvariant is returned if a computed table violates an invariant. The caller must keep the old table.
	ErrInvariant = errors.New("new table violates an invariant: keep the old one and report this as a bug")
)

// Member is the state of one incarnation of a node. Several incarnations of a node may be listed, at most one of
// them alive. An ended member must be listed as long as it owns partitions: if no incarnation of a partition's
// owner is listed, the owner's state counts as unknown.
type Member struct {
	Node        string
	Incarnation string
	Zone        string
	Alive       bool // its lease is valid
	Ended       bool // it has ended for certain; if neither is set, its state is unknown and it keeps its partitions
	Leaving     bool // all its partitions must move to other members
	Eligible    bool // it may be assigned partitions
}

// mayOwn reports whether the member may be assigned partitions.
func (m Member) mayOwn() bool { return m.Alive && m.Eligible && !m.Leaving }

// Partition is one entry of the table; its index is the partition number.
type Partition struct {
	Owner       string // node name; empty if the partition has no owner
	Incarnation string // of the owner
	Epoch       uint64 // incremented whenever the owner or its incarnation changes
	Releasing   bool   // the owner is requested to release the partition
	Successor   string // name of the node that takes over; set only while Releasing
}

// assign makes a member the owner of the partition under a new epoch, and cancels a requested release.
func (p *Partition) assign(member Member) {
	*p = Partition{Owner: member.Node, Incarnation: member.Incarnation, Epoch: p.Epoch + 1}
}

// requestRelease requests the owner to release the partition to a successor.
func (p *Partition) requestRelease(successor string) {
	p.Releasing = true
	p.Successor = successor
}

// cancelRelease withdraws the request to release the partition.
func (p *Partition) cancelRelease() {
	p.Releasing = false
	p.Successor = ""
}
