// Package lease keeps the leases that a leader grants to members. It reads no clock: each call is passed the
// time since some start of the leader's choice, which must not run backwards.
//
// A holder counts its lease from the moment it sent the renewal, the table from the moment the renewal came,
// which is later. The table counts a lease as ended only a margin after that, so the holder has stopped before,
// as long as the clocks run at nearly the same speed. In between the state is Unknown.
//
// An incarnation is one run of a member's process. Once it has ended it stays so: what it held may have been
// given away. Its process draws a new incarnation to hold a lease again.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrEnded says that the lease of an incarnation is over for good.
	ErrEnded = errors.New("the lease of this incarnation has ended: stop what it covered and renew under a new incarnation")
	// ErrSuperseded says that a renewal came from an incarnation that isn't the newest of its node.
	ErrSuperseded = errors.New("another incarnation of this node holds the lease: end this process, or try again after that lease")
)

// State says what the table knows of the lease of an incarnation.
type State int

const (
	// Unknown: the holder may still count the lease as valid. Nothing is taken from it.
	Unknown State = iota
	// Alive: the lease is valid.
	Alive
	// Ended: the holder has certainly stopped.
	Ended
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}

// Options set the terms of all leases of a table.
type Options struct {
	Duration           time.Duration // of a lease, from its renewal
	MaxEarlierDuration time.Duration // the longest length under which earlier leaders may have granted leases; 0 for Length
	Margin             time.Duration // after which a lease that has run out counts as ended
	LeaderStartedAt    time.Duration // when this leader began; earlier leaders may have granted leases until then
	// Newer reports whether candidate is a later incarnation of a node than current. Where it isn't, candidate
	// gets a lease only after the one of current has ended; this keeps a renewal that the network held up
	// from displacing a living process. If nil, an incarnation that the table hasn't seen counts as newer.
	IsNewer func(candidate, current string) bool
	// Reusable lets an ended incarnation renew. It is for members that own nothing.
	AllowRenewalAfterEnd bool
}

// Holder is the newest incarnation of a node and the state of its lease.
type Holder struct {
	Node        string
	Incarnation string
	State       State
}
