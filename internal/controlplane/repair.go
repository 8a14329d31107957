package controlplane

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Times for which all owners must have reported enough copies of every message. A store counts its copies by a map before it
// acknowledges that map, so one report beside the acknowledgement would do.
const (
	restoreConfirmTime = 300 * time.Millisecond // before a disk that was lost counts as whole again
	retireConfirmTime  = time.Second            // before a machine that owns nothing may be taken away: no message is being accepted for so long
	removalConfirmTime = 500 * time.Millisecond // before a store that has been away for long is given up
)

// leaselessTimeout is how long a store must have been without a lease until its copies count as missing. A machine that is gone for good
// must have been made up for within the time that its successor is given (syncS).
const leaselessTimeout = 200 * time.Millisecond

// moment is a point in time, and the first table of owners by which what began then is known.
type startPoint struct {
	at         time.Time
	mapVersion uint64 // version
}

// firstMapWithDisk returns the version of the first table that surely names the present disk of a store: the committed one does, or the next.
func firstMapWithDisk(state *rpc.ControlState, member *rpc.StoreMember) uint64 {
	committed := findStore(state.Stores, member.Node)
	if committed != nil && committed.Disk == member.Disk {
		return state.MapVersion
	}
	return state.MapVersion + 1
}

// markRestoredStores marks the stores whole whose lost copies have been restored: all owners have reported for restoreConfirmTime since they
// joined that no message has too few copies.
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
			since = startPoint{at: now, mapVersion: firstMapWithDisk(state, member)}
			t.restoringSince[member.Disk] = since
		}
		if t.copiesRestoredSince(state, next, since, restoreConfirmTime, now) {
			member.Whole = true
		}
	}
}

// completeRetirements ends the retirement of the stores that own nothing while the owners have restored the
// copies that they held.
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
			since = startPoint{at: now, mapVersion: state.MapVersion}
			t.drainedSince[retirement.Node] = since
		}
		if t.copiesRestoredSince(state, next, since, retireConfirmTime, now) {
			retirement.Completed = true
		}
	}
}

// removeSilentStores has the copies of stores restored elsewhere that have been away for long, and gives the stores
// up once that is done: while they count, another machine may not be lost. Enough stores must be left. One that
// comes back before counts again.
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
		if since.mapVersion == 0 {
			since.mapVersion = state.MapVersion // whose stores take it for leaving
			t.leaselessSince[member.Node] = since
		}
		if t.copiesRestoredSince(state, next, startPoint{at: since.at.Add(leaselessTimeout), mapVersion: since.mapVersion}, removalConfirmTime, now) {
			markRemoved(member)
			delete(t.leaselessSince, member.Node)
		}
	}
}

// enoughStoresWithout reports whether enough whole stores hold a lease beside one.
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

// hasStoppedAccepting reports whether a store that is being emptied takes no copies any longer: it knows the newest table, or it
// has been silent until its lease ended.
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

// recentStatus returns what the recorded incarnation of a store told within the length of a lease, nil for nothing.
func (t *term) recentStatus(member *rpc.StoreMember, now time.Time) *storeStatus {
	status := t.stores[member.Node]
	if status == nil || status.incarnation != member.Incarnation || now.Sub(status.renewedAt) >= t.leases.duration() {
		return nil
	}
	return status
}

// copiesRestoredSince reports whether every partition has an owner, all owners know the newest table and have reported for so long
// since a moment that no message has too few copies, and no other store that was heard lately has told of a copy that its
// owner may not know.
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

// replicatedFor reports whether the store has reported for so long since a moment that it has enough copies of every message of its partitions,
// and tells of no copy that a dispatcher began to place under an earlier table and its owner may not know: one that was begun later has
// no copy on a disk that was gone by then.
func (s *storeStatus) replicatedFor(since startPoint, confirmTime time.Duration) bool {
	if s.replicatedSince.IsZero() || s.unconfirmed && s.unconfirmedUnder < since.mapVersion {
		return false
	}
	from := since.at
	if s.replicatedSince.After(from) {
		from = s.replicatedSince
	}
	return s.renewedAt.Sub(from) >= confirmTime
}
