package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxSupersededPerNode is the number of superseded incarnations that are remembered per node.
const maxSupersededPerNode = 8

// grant is the lease of the current, most recently accepted incarnation of a node.
type grant struct {
	incarnation         string
	renewedByThisLeader bool          // if false, only an earlier leader can have granted the lease
	validUntil          time.Duration // set if renewedByThisLeader
	released            bool          // the holder has released the lease
	superseded          []string      // earlier incarnations of the node, oldest first
}

// Table holds the leases of all members. It is not safe for concurrent use.
type Table struct {
	options Options
	grants  map[string]*grant // by node
}

// New returns the table of a leader whose term has just started. Leases that earlier leaders may have granted
// have the state Unknown until GraceEnd.
func New(options Options) *Table {
	return &Table{options: options, grants: make(map[string]*grant)}
}

// GraceEnd returns the time from which all leases granted by earlier leaders count as ended.
func (t *Table) GraceEnd() time.Duration {
	return t.options.LeaderStartedAt + cmp.Or(t.options.MaxEarlierDuration, t.options.Duration) + t.options.Margin
}

// Duration returns the duration of the leases that are granted or renewed now.
func (t *Table) Duration() time.Duration { return t.options.Duration }

// SetDuration sets the duration of the leases that are granted or renewed from now on.
func (t *Table) SetDuration(duration time.Duration) { t.options.Duration = duration }

// Restore adds an incarnation that an earlier leader knew. Its state is Unknown until it renews or, if it does
// not, until GraceEnd, when it becomes Ended. A new leader must restore every member that owns anything before
// the first renewal. Restore does not change a node that is already in the table.
func (t *Table) Restore(node, incarnation string) {
	if t.grants[node] == nil {
		t.grants[node] = &grant{incarnation: incarnation}
	}
}

// Renew grants or renews a lease. The first renewal by a new incarnation proves that the earlier incarnations
// of its node have ended. Errors: ErrEnded, ErrSuperseded; in both cases the table is unchanged.
func (t *Table) Renew(node, incarnation string, now time.Duration) error {
	current := t.grants[node]
	switch {
	case current == nil:
		current = &grant{incarnation: incarnation}
		t.grants[node] = current
	case current.incarnation != incarnation:
		if !t.maySupersede(current, incarnation, now) {
			return errors.Wrapf(ErrSuperseded, "node %s, incarnation %s", node, incarnation)
		}
		current.replaceIncarnation(incarnation)
	case !t.options.AllowRenewalAfterEnd && t.currentState(current, now) == Ended:
		return errors.Wrapf(ErrEnded, "node %s, incarnation %s", node, incarnation)
	}
	current.renewedByThisLeader = true
	current.released = false
	current.validUntil = max(current.validUntil, now+t.options.Duration)
	return nil
}

// maySupersede reports whether an incarnation may replace the current one of its node.
func (t *Table) maySupersede(current *grant, incarnation string, now time.Duration) bool {
	if slices.Contains(current.superseded, incarnation) {
		return false
	}
	if t.options.IsNewer == nil || t.options.IsNewer(incarnation, current.incarnation) {
		return true
	}
	return t.currentState(current, now) == Ended
}

// replaceIncarnation makes an incarnation the current one of its node and records the previous one as superseded.
func (g *grant) replaceIncarnation(incarnation string) {
	superseded := append(g.superseded, g.incarnation)
	if len(superseded) > maxSupersededPerNode {
		superseded = superseded[1:]
	}
	*g = grant{incarnation: incarnation, superseded: superseded}
}

// Release ends the lease of an incarnation that has stopped its work. It has no effect if another incarnation
// of the node holds the lease.
func (t *Table) Release(node, incarnation string) {
	current := t.grants[node]
	if current == nil {
		current = &grant{incarnation: incarnation}
		t.grants[node] = current
	}
	if current.incarnation == incarnation {
		current.released = true
	}
}

// Alive reports whether the lease of an incarnation is valid.
func (t *Table) Alive(node, incarnation string, now time.Duration) bool {
	return t.State(node, incarnation, now) == Alive
}

// Ended reports whether the lease of an incarnation has ended.
func (t *Table) Ended(node, incarnation string, now time.Duration) bool {
	return t.State(node, incarnation, now) == Ended
}

// State returns the state of the lease of an incarnation. An incarnation that the table does not know counts as
// ended from GraceEnd on, but may still renew for the first time.
func (t *Table) State(node, incarnation string, now time.Duration) State {
	current := t.grants[node]
	if current == nil {
		return t.stateWithoutRenewal(now)
	}
	if current.incarnation == incarnation {
		return t.currentState(current, now)
	}
	if t.isKnownEarlier(current, incarnation) {
		return Ended
	}
	return t.stateWithoutRenewal(now)
}

// isKnownEarlier reports whether an incarnation is known to be earlier than the current one of its node.
func (t *Table) isKnownEarlier(current *grant, incarnation string) bool {
	if slices.Contains(current.superseded, incarnation) {
		return true
	}
	if !current.renewedByThisLeader {
		return false // without a renewal by the current incarnation, another one may still hold the lease
	}
	return t.options.IsNewer == nil || t.options.IsNewer(current.incarnation, incarnation)
}

// currentState returns the state of the current incarnation of a node.
func (t *Table) currentState(current *grant, now time.Duration) State {
	switch {
	case current.released:
		return Ended
	case !current.renewedByThisLeader:
		return t.stateWithoutRenewal(now)
	case now < current.validUntil:
		return Alive
	case now < current.validUntil+t.options.Margin:
		return Unknown
	default:
		return Ended
	}
}

// stateWithoutRenewal returns the state of an incarnation that has not renewed with this leader: an earlier
// leader may have granted it a lease that is valid until GraceEnd.
func (t *Table) stateWithoutRenewal(now time.Duration) State {
	if now < t.GraceEnd() {
		return Unknown
	}
	return Ended
}

// Holders returns the current incarnation of each node, sorted by node.
func (t *Table) Holders(now time.Duration) []Holder {
	holders := make([]Holder, 0, len(t.grants))
	for node, current := range t.grants {
		holders = append(holders, Holder{Node: node, Incarnation: current.incarnation, State: t.currentState(current, now)})
	}
	slices.SortFunc(holders, func(a, b Holder) int { return cmp.Compare(a.Node, b.Node) })
	return holders
}

// EndedHolders returns the holders whose lease has ended, sorted by node.
func (t *Table) EndedHolders(now time.Duration) []Holder {
	return slices.DeleteFunc(t.Holders(now), func(holder Holder) bool { return holder.State != Ended })
}

// NextStateChange returns the earliest time after now at which the state of a holder changes if nobody renews
// or releases a lease, or false if there is none.
func (t *Table) NextStateChange(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	consider := func(at time.Duration) {
		if at > now && (!found || at < next) {
			next, found = at, true
		}
	}
	for _, current := range t.grants {
		switch {
		case current.released:
		case !current.renewedByThisLeader:
			consider(t.GraceEnd())
		default:
			consider(current.validUntil)
			consider(current.validUntil + t.options.Margin)
		}
	}
	return next, found
}

// Remove deletes a node whose lease has ended and reports whether it did. It is meant for nodes that have left
// the deployment.
func (t *Table) Remove(node string, now time.Duration) bool {
	current := t.grants[node]
	if current == nil || t.currentState(current, now) != Ended {
		return false
	}
	delete(t.grants, node)
	return true
}
