package controlplane

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Times for which all owners must have reported enough copies of every message. A store counts its copies under a map before it
// acknowledges that map, so a single report with the acknowledgement would be sufficient.
const (
	restoreConfirmTime = 300 * time.Millisecond // before a store on a new disk counts as whole
	retireConfirmTime  = time.Second            // before a machine without partitions may be removed: accepting a message takes less time
	removalConfirmTime = 500 * time.Millisecond // before a store without a lease is marked as removed
)

// leaselessTimeout is how long a store must have had no lease before its copies count as missing. The copies of a machine that is
// permanently lost must be restored within syncS after its successor has started.
const leaselessTimeout = 200 * time.Millisecond

// startPoint is the time at which a condition began, and the first map version that reflects it.
type startPoint struct {
	at    time.Time
	table uint64 // map version
}

// firstMapWithDisk returns the first map version that is certain to contain the current disk of a store: the committed one or the next.
func firstMapWithDisk(state *rpc.ControlState, member *rpc.StoreMember) uint64 {
	committed := findStore(state.Stores, member.Node)
	if committed != nil && committed.Disk == member.Disk {
		return state.MapVersion
	}
	return state.MapVersion + 1
}

// markRestoredStores marks stores as whole once their lost copies are restored: for restoreConfirmTime since their disk was first seen, all
// owners have reported that no message has too few copies.
func (t *term) markRestoredStores(state *rpc.ControlState, next *table, now time.Time) {
	for _, member := range activeMembers(next.stores, next.retirements) {
		if member.Whole {
			delete(t.restoringSince, member.Disk)
			continue
		}
		status := t.stores[member.Node]
		if status == nil || status.disk != member.Disk {
			continue
		}
		since, known := t.restoringSince[member.Disk]
		if !known {
			since = startPoint{at: now, table: firstMapWithDisk(state, member)}
			t.restoringSince[member.Disk] = since
		}
		if t.copiesRestoredSince(state, next, since, restoreConfirmTime, now) {
			member.Whole = true
		}
	}
}

// completeRetirements completes the retirement of stores that own no partition once the owners have restored the
// copies that those stores held.
func (t *term) completeRetirements(state *rpc.ControlState, next *table, now time.Time) {
	for _, retirement := range next.retirements {
		if retirement.Completed {
			continue
		}
		if next.ownsAny(retirement.Node) || len(next.partitions) == 0 {
			delete(t.drainedSince, retirement.Node)
			continue
		}
		if !t.hasStoppedAccepting(state, next, retirement.Node, now) {
			delete(t.drainedSince, retirement.Node)
			continue
		}
		since, known := t.drainedSince[retirement.Node]
		if !known {
			since = startPoint{at: now, table: state.MapVersion}
			t.drainedSince[retirement.Node] = since
		}
		if t.copiesRestoredSince(state, next, since, retireConfirmTime, now) {
			retirement.Completed = true
		}
	}
}

// removeSilentStores marks stores that have had no lease for leaselessTimeout as leaving, so that their copies are
// restored elsewhere, and marks them as removed once that is done. Until then they use up the fault tolerance.
// Enough whole stores must remain. A store that renews before its removal counts again.
func (t *term) removeSilentStores(state *rpc.ControlState, next *table, copies int, now time.Time) {
	for _, member := range activeMembers(next.stores, next.retirements) {
		if findRetirement(next.retirements, member.Node) != nil {
			continue
		}
		if !t.leases.ended(member.Node, member.Incarnation, now) || t.isAlive(member, now) {
			delete(t.leaselessSince, member.Node)
			member.Leaving = false
			continue
		}
		since, known := t.leaselessSince[member.Node]
		if !known {
			since = startPoint{at: now}
			t.leaselessSince[member.Node] = since
		}
		if now.Sub(since.at) < leaselessTimeout || next.ownsAny(member.Node) || !t.enoughStoresWithout(next, member.Node, copies, now) {
			continue
		}
		if !member.Leaving {
			member.Leaving = true
			continue
		}
		if since.table == 0 {
			since.table = state.MapVersion // the first map that marks it as leaving
			t.leaselessSince[member.Node] = since
		}
		if t.copiesRestoredSince(state, next, startPoint{at: since.at.Add(leaselessTimeout), table: since.table}, removalConfirmTime, now) {
			markRemoved(member)
			delete(t.leaselessSince, member.Node)
		}
	}
}

// enoughStoresWithout reports whether enough whole stores other than the given one hold a lease.
func (t *term) enoughStoresWithout(next *table, node string, copies int, now time.Time) bool {
	left := 0
	for _, other := range activeMembers(next.stores, next.retirements) {
		alive := t.leases.alive(other.Node, other.Incarnation, now)
		if other.Node != node && other.Whole && !other.Leaving && alive {
			left++
		}
	}
	return left >= copies
}

// hasStoppedAccepting reports whether a retiring store accepts no more copies: it knows the latest map, or its lease
// has certainly ended.
func (t *term) hasStoppedAccepting(state *rpc.ControlState, next *table, node string, now time.Time) bool {
	member := findStore(next.stores, node)
	if member == nil {
		return true
	}
	if status := t.recentStatus(member, now); status != nil {
		return status.mapVersion >= state.MapVersion
	}
	return t.leases.ended(member.Node, member.Incarnation, now)
}

// recentStatus returns what the recorded incarnation of a store reported within the duration of a lease, or nil.
func (t *term) recentStatus(member *rpc.StoreMember, now time.Time) *storeStatus {
	status := t.stores[member.Node]
	if status == nil || status.incarnation != member.Incarnation || now.Sub(status.renewedAt) >= t.leases.duration() {
		return nil
	}
	return status
}

// copiesRestoredSince reports whether every partition has an owner, all owners know the latest map and have reported for
// confirmTime after since that no message has too few copies, and no other store with a recent status has reported a copy
// that the owner may not know of.
func (t *term) copiesRestoredSince(state *rpc.ControlState, next *table, since startPoint, confirmTime time.Duration, now time.Time) bool {
	for _, member := range next.stores {
		if status := t.recentStatus(member, now); status != nil && !status.replicatedFor(since, confirmTime) {
			return false
		}
	}
	for _, ownership := range next.partitions {
		owner := findStore(next.stores, ownership.Node)
		if owner == nil || owner.Incarnation != ownership.Incarnation {
			return false
		}
		status := t.stores[ownership.Node]
		if status == nil || status.incarnation != ownership.Incarnation {
			return false
		}
		if status.mapVersion < state.MapVersion || !status.replicatedFor(since, confirmTime) {
			return false
		}
	}
	return true
}

// replicatedFor reports whether the store has reported for confirmTime after since that every message of its partitions has enough copies,
// not counting unconfirmed ones, and reports no unconfirmed copy that a dispatcher began to place under a map before since.table. A message
// whose placement began under since.table or later has no copy on a disk that was lost by then.
func (s *storeStatus) replicatedFor(since startPoint, confirmTime time.Duration) bool {
	if s.replicatedSince.IsZero() || s.unconfirmed && s.unconfirmedUnder < since.table {
		return false
	}
	from := since.at
	if s.replicatedSince.After(from) {
		from = s.replicatedSince
	}
	return s.renewedAt.Sub(from) >= confirmTime
}
