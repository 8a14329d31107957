package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// maxFormer is the number of superseded incarnations that are remembered for each node.
const maxFormer = 8

// grant is the lease of the newest incarnation of a node.
type grant struct {
	incarnation string
	renewed     bool          // with this leader; else only an earlier one can have granted the lease
	validUntil  time.Duration // set where renewed
	released    bool          // the holder gave it up
	former      []string      // incarnations that it superseded, oldest first
}

// Table holds the leases of all members. It isn't safe for concurrent use.
type Table struct {
	options Options
	grants  map[string]*grant // by node
}

// New returns the table of a leader that has just begun. All leases that an earlier leader may have granted
// count as held until Grace.
func New(options Options) *Table {
	return &Table{options: options, grants: make(map[string]*grant)}
}

// Grace returns the time until which leases of earlier leaders count as held.
func (t *Table) GraceEnd() time.Duration {
	return t.options.LeaderStartedAt + cmp.Or(t.options.MaxEarlierDuration, t.options.Duration) + t.options.Margin
}

// Length is that of the leases that are granted or renewed now.
func (t *Table) Duration() time.Duration { return t.options.Duration }

// SetDuration sets the length of the leases that are granted or renewed from now on.
func (t *Table) SetDuration(length time.Duration) { t.options.Duration = length }

// Restore tells the table of an incarnation that an earlier leader knew. Its state is Unknown until it renews
// or Grace has come, when it has ended for good. A new leader restores each member that owns anything, before
// the first renewal. A node that the table knows already is left as it is.
func (t *Table) Restore(node, incarnation string) {
	if t.grants[node] == nil {
		t.grants[node] = &grant{incarnation: incarnation}
	}
}

// Renew grants or renews a lease. The first renewal of a new incarnation proves that all others of its node
// have ended. Errors: ErrEnded, ErrSuperseded; the table is then as before.
func (t *Table) Renew(node, incarnation string, now time.Duration) error {
	held := t.grants[node]
	switch {
	case held == nil:
		held = &grant{incarnation: incarnation}
		t.grants[node] = held
	case held.incarnation != incarnation:
		if !t.supersedes(held, incarnation, now) {
			return errors.Wrapf(ErrSuperseded, "node %s, incarnation %s", node, incarnation)
		}
		held.supersede(incarnation)
	case !t.options.AllowRenewalAfterEnd && t.stateOf(held, now) == Ended:
		return errors.Wrapf(ErrEnded, "node %s, incarnation %s", node, incarnation)
	}
	held.renewed = true
	held.released = false
	held.validUntil = max(held.validUntil, now+t.options.Duration)
	return nil
}

// supersedes reports whether an incarnation may take the place of the one that holds the lease.
func (t *Table) supersedes(held *grant, incarnation string, now time.Duration) bool {
	if slices.Contains(held.former, incarnation) {
		return false
	}
	if t.options.IsNewer == nil || t.options.IsNewer(incarnation, held.incarnation) {
		return true
	}
	return t.stateOf(held, now) == Ended
}

// supersede makes an incarnation the newest of its node.
func (g *grant) supersede(incarnation string) {
	former := append(g.former, g.incarnation)
	if len(former) > maxFormer {
		former = former[1:]
	}
	*g = grant{incarnation: incarnation, former: former}
}

// Release ends the lease of an incarnation that has stopped of its own accord.
func (t *Table) Release(node, incarnation string) {
	held := t.grants[node]
	if held == nil {
		held = &grant{incarnation: incarnation}
		t.grants[node] = held
	}
	if held.incarnation == incarnation {
		held.released = true
	}
}

// Alive reports whether the lease of an incarnation is valid.
func (t *Table) Alive(node, incarnation string, now time.Duration) bool {
	return t.State(node, incarnation, now) == Alive
}

// Ended reports whether an incarnation has certainly stopped.
func (t *Table) Ended(node, incarnation string, now time.Duration) bool {
	return t.State(node, incarnation, now) == Ended
}

// State returns what is known of the lease of an incarnation. One that the table was never told of counts as
// ended after Grace, but may still come and renew for the first time.
func (t *Table) State(node, incarnation string, now time.Duration) State {
	held := t.grants[node]
	if held == nil {
		return t.stateAfterGrace(now)
	}
	if held.incarnation == incarnation {
		return t.stateOf(held, now)
	}
	if t.isEarlier(held, incarnation) {
		return Ended
	}
	return t.stateAfterGrace(now)
}

// isEarlier reports whether an incarnation came before the one that holds the lease.
func (t *Table) isEarlier(held *grant, incarnation string) bool {
	if slices.Contains(held.former, incarnation) {
		return true
	}
	if !held.renewed {
		return false // nobody has heard from the holder, so it proves nothing
	}
	return t.options.IsNewer == nil || t.options.IsNewer(held.incarnation, incarnation)
}

// stateOf returns the state of the newest incarnation of a node.
func (t *Table) stateOf(held *grant, now time.Duration) State {
	switch {
	case held.released:
		return Ended
	case !held.renewed:
		return t.stateAfterGrace(now)
	case now < held.validUntil:
		return Alive
	case now < held.validUntil+t.options.Margin:
		return Unknown
	default:
		return Ended
	}
}

// stateAfterGrace returns the state of a lease that only an earlier leader can have granted.
func (t *Table) stateAfterGrace(now time.Duration) State {
	if now < t.GraceEnd() {
		return Unknown
	}
	return Ended
}

// Holders returns the newest incarnation of each node, sorted by node.
func (t *Table) Holders(now time.Duration) []Holder {
	holders := make([]Holder, 0, len(t.grants))
	for node, held := range t.grants {
		holders = append(holders, Holder{Node: node, Incarnation: held.incarnation, State: t.stateOf(held, now)})
	}
	slices.SortFunc(holders, func(a, b Holder) int { return cmp.Compare(a.Node, b.Node) })
	return holders
}

// Expired returns the holders whose lease has ended, sorted by node.
func (t *Table) EndedHolders(now time.Duration) []Holder {
	return slices.DeleteFunc(t.Holders(now), func(holder Holder) bool { return holder.State != Ended })
}

// NextStateChange returns the earliest time after now at which a state changes if nobody renews, or false where
// none will.
func (t *Table) NextStateChange(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	consider := func(at time.Duration) {
		if at > now && (!found || at < next) {
			next, found = at, true
		}
	}
	for _, held := range t.grants {
		switch {
		case held.released:
		case !held.renewed:
			consider(t.GraceEnd())
		default:
			consider(held.validUntil)
			consider(held.validUntil + t.options.Margin)
		}
	}
	return next, found
}

// Forget removes a node whose lease has ended, and reports whether it did. It is for nodes that were removed.
func (t *Table) Remove(node string, now time.Duration) bool {
	held := t.grants[node]
	if held == nil || t.stateOf(held, now) != Ended {
		return false
	}
	delete(t.grants, node)
	return true
}
