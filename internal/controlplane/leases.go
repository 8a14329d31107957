package controlplane

import (
	"time"

	"foldlb.example/foldlb/coord/lease"
	"foldlb.example/foldlb/internal/rpc"
)

// storeLeases holds the leases of the stores on the clock of a term. An incarnation may renew after its lease
// has ended: the term sees to it that it knows the newest table first.
type storeLeases struct {
	started     time.Time
	maxDuration time.Duration // longest that this process grants
	table       *lease.Table
}

// newStoreLeases takes every recorded store for one that may hold a lease of an earlier leader, of the length that the state tells.
func newStoreLeases(state *rpc.ControlState, maxDuration time.Duration, now time.Time) *storeLeases {
	recorded := recordedStoreLease(state)
	table := lease.New(lease.Options{Length: min(maxDuration, recorded), Former: recorded, Margin: leaseMargin, Reusable: true})
	for _, store := range state.Stores {
		table.Restore(store.Node, store.Incarnation)
	}
	return &storeLeases{started: now, maxDuration: maxDuration, table: table}
}

// follow grants no longer leases than the committed state allows.
func (l *storeLeases) applyRecordedLimit(state *rpc.ControlState) {
	l.table.SetLength(min(l.maxDuration, recordedStoreLease(state)))
}

// length is that of the leases that are granted now.
func (l *storeLeases) duration() time.Duration { return l.table.Length() }

// grant extends the lease of a store that renewed it now. It reports false for an incarnation that is known to
// have ended.
func (l *storeLeases) grant(node, incarnation string, now time.Time) bool {
	return l.table.Renew(node, incarnation, now.Sub(l.started)) == nil
}

// alive reports whether the store's lease is valid.
func (l *storeLeases) alive(node, incarnation string, now time.Time) bool {
	return l.table.Alive(node, incarnation, now.Sub(l.started))
}

// ended reports whether the store certainly holds no lease.
func (l *storeLeases) ended(node, incarnation string, now time.Time) bool {
	return l.table.Ended(node, incarnation, now.Sub(l.started))
}

// nextChange returns the time until a lease ends or is certainly over if nobody renews, but no more than most.
func (l *storeLeases) nextChange(now time.Time, limit time.Duration) time.Duration {
	since := now.Sub(l.started)
	next, ok := l.table.NextChange(since)
	if !ok {
		return limit
	}
	return min(next-since, limit)
}
