// Package lease implements the table of leases that a leader grants to members. It does not read a clock:
// callers pass the current time as the duration since an origin of the leader's choice. It must not decrease.
//
// The holder counts its lease from the time at which it sent the renewal; the table counts from the time at
// which the renewal arrived, which is later. The table regards a lease as ended only a safety margin after its
// expiry. As long as both clocks run at nearly the same rate, the holder has stopped by then. Between expiry
// and the end of the margin the state is Unknown.
//
// An incarnation is one run of a member's process. By default an incarnation cannot renew once its lease has
// ended, because its resources may have been reassigned: the process must continue under a new incarnation.
package lease

import (
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrEnded is returned for a renewal by an incarnation whose lease has ended permanently.
	ErrEnded = errors.New("lease of this incarnation ended: stop the work it covered and renew under a new incarnation")
	// ErrSuperseded is returned for a renewal by an incarnation that must not replace the current one of its node.
	ErrSuperseded = errors.New("lease held by another incarnation of this node: stop this process, or retry after it ends")
)

// State is the state of an incarnation's lease, as far as the table knows it.
type State int

const (
	// Unknown means that the holder may still regard its lease as valid, so its resources must not be reassigned.
	Unknown State = iota
	// Alive means that the lease is valid.
	Alive
	// Ended means that the holder has released the lease, was superseded, or must have stopped by now.
	Ended
)

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

// Options configures the leases of a table.
type Options struct {
	Duration           time.Duration // of a lease, from the renewal's arrival
	MaxEarlierDuration time.Duration // longest lease that earlier leaders may have granted; 0 means Duration
	Margin             time.Duration // from the expiry of a lease until it counts as ended
	LeaderStartedAt    time.Duration // start of this leader's term; earlier leaders may have granted leases until then
	// IsNewer reports whether candidate is a later incarnation of a node than current. Otherwise candidate gets
	// a lease only after that of current has ended, so that a renewal delayed by the network cannot displace a
	// live process. If nil, every incarnation that has not been superseded yet counts as newer.
	IsNewer func(candidate, current string) bool
	// AllowRenewalAfterEnd lets an incarnation renew after its lease has ended. This is safe for members that
	// own nothing. If members own resources, the caller must ensure before each renewal that the member knows
	// which of them were reassigned.
	AllowRenewalAfterEnd bool
}

// Holder is the current incarnation of a node and the state of its lease.
type Holder struct {
	Node        string
	Incarnation string
	State       State
}
