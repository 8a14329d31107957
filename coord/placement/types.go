// Package placement decides which member owns each partition. It does no I/O and reads no clock: the caller
// passes in what it knows of the members, and commits the table that comes back before it acts on it.
//
// A partition changes its owner in two ways. When the owner's incarnation has certainly ended, Plan gives the
// partition away at once. While the owner is alive, Plan names a successor and marks the partition as
// releasing; the owner stops its work on it, and Release hands it over. Each change raises the epoch.
package placement

import "github.com/pkg/errors"

var (
	// ErrInvalidMembers says that the list of members contradicts itself.
	ErrInvalidMembers = errors.New("the list of members is invalid: list one living incarnation per node")
	// ErrUnknownPartition says that a released partition isn't in the table.
	ErrUnknownPartition = errors.New("unknown partition: release a partition of the table")
	// ErrStaleEpoch says that a partition was released under another epoch than its current one.
	ErrStaleEpoch = errors.New("stale epoch: fetch the newest table; the partition may be handed over already")
	// ErrInvariant says that a new table broke a rule of this package. The old table stands.
	ErrInvariant = errors.New("the new table breaks an invariant: keep the old one and report this error")
)

// Member is what is known of one incarnation of a node. Several incarnations of a node may be listed, of
// which at most one is alive. An ended member is listed for as long as it owns partitions: the owner of a
// partition whose node isn't listed counts as unknown.
type Member struct {
	Node        string
	Incarnation string
	Zone        string
	Alive       bool // its lease is valid
	Ended       bool // it has certainly ended; where neither is set its state is unknown and it keeps what it owns
	Leaving     bool // it is to own nothing
	Eligible    bool // it may be given partitions
}

// mayOwn reports whether the member may be given partitions.
func (m Member) mayOwn() bool { return m.Alive && m.Eligible && !m.Leaving }

// Partition is one row of the table; its index is its number.
type Partition struct {
	Owner       string // node; empty while the partition has none
	Incarnation string // of the owner
	Epoch       uint64 // rises with each change of the owner or its incarnation
	Releasing   bool   // the owner is asked to release it
	Successor   string // node that is to have it; set while Releasing
}

// assign gives the partition to a member under a new epoch.
func (p *Partition) assign(member Member) {
	*p = Partition{Owner: member.Node, Incarnation: member.Incarnation, Epoch: p.Epoch + 1}
}

// plan asks the owner to release the partition to a successor.
func (p *Partition) plan(successor string) {
	p.Releasing = true
	p.Successor = successor
}

// cancel takes back a planned move.
func (p *Partition) cancel() {
	p.Releasing = false
	p.Successor = ""
}
