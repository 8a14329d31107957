package controlplane

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// restoreWhole marks the stores whole whose lost copies have been restored: each says so itself, or all others
// have reported since it joined that no message has too few copies.
func (t *term) restoreWhole(next *table, now time.Time) {
	for _, member := range takingPart(next.stores, next.retirements) {
		if member.Whole {
			delete(t.joined, member.Disk)
			continue
		}
		status := t.stores[member.Node]
		if status == nil || status.disk != member.Disk {
			continue
		}
		since, known := t.joined[member.Disk]
		if !known {
			since = now
			t.joined[member.Disk] = now
		}
		if status.whole || t.othersClean(next, member.Node, since) {
			member.Whole = true
		}
	}
}

// othersClean reports whether all other stores have had enough copies of every message at some time after
// since plus settleTime. A store that owns nothing and doesn't renew has nothing to say.
func (t *term) othersClean(next *table, node string, since time.Time) bool {
	for _, other := range takingPart(next.stores, next.retirements) {
		if other.Node == node {
			continue
		}
		status := t.stores[other.Node]
		speaks := status != nil && status.incarnation == other.Incarnation && status.renewedAt.Sub(since) >= settleTime
		if !speaks && !next.ownsAny(other.Node) {
			continue
		}
		if !speaks || status.cleanSince.IsZero() {
			return false
		}
	}
	return true
}

// completeRetirements ends the retirement of the stores that own nothing while all others have restored the
// copies that they held.
func (t *term) completeRetirements(state *rpc.ControlState, next *table, now time.Time) {
	for _, retirement := range next.retirements {
		if retirement.Completed {
			continue
		}
		if next.ownsAny(retirement.Node) || len(next.partitions) == 0 {
			delete(t.emptySince, retirement.Node)
			continue
		}
		since, known := t.emptySince[retirement.Node]
		if !known {
			since = now
			t.emptySince[retirement.Node] = now
		}
		if t.othersSettled(state, next, retirement.Node, since) {
			retirement.Completed = true
		}
	}
}

// othersSettled reports whether the other stores know the table and have had enough copies of every message for
// settleTime since a machine owned nothing.
func (t *term) othersSettled(state *rpc.ControlState, next *table, node string, since time.Time) bool {
	for _, other := range takingPart(next.stores, next.retirements) {
		if other.Node == node || !next.ownsAny(other.Node) {
			continue
		}
		status := t.stores[other.Node]
		if status == nil || status.incarnation != other.Incarnation || status.cleanSince.IsZero() {
			return false
		}
		from := since
		if status.cleanSince.After(from) {
			from = status.cleanSince
		}
		if status.mapVersion < state.MapVersion || status.renewedAt.Sub(from) < settleTime {
			return false
		}
	}
	return true
}
