package controlplane

import (
	"time"

	"foldlb.example/foldlb/coord/lease"
	"foldlb.example/foldlb/internal/rpc"
)

// storeLeases holds the leases of the stores, timed from the start of a term. An incarnation may renew after its
// lease has ended: term.mayGrant requires that it knows the latest map first.
type storeLeases struct {
	started     time.Time
	maxDuration time.Duration // longest lease that this process grants
	table       *lease.Table
}

// newStoreLeases assumes that every recorded store may hold a lease of the recorded duration from an earlier leader.
func newStoreLeases(state *rpc.ControlState, maxDuration time.Duration, now time.Time) *storeLeases {
	recorded := recordedStoreLease(state)
	table := lease.New(lease.Options{Duration: min(maxDuration, recorded), MaxEarlierDuration: recorded, Margin: leaseMargin, AllowRenewalAfterEnd: true})
	for _, store := range state.Stores {
		table.Restore(store.Node, store.Incarnation)
	}
	return &storeLeases{started: now, maxDuration: maxDuration, table: table}
}

// applyRecordedLimit limits the duration of further leases to the one recorded in a committed state.
func (l *storeLeases) applyRecordedLimit(state *rpc.ControlState) {
	l.table.SetDuration(min(l.maxDuration, recordedStoreLease(state)))
}

// duration returns the duration of newly granted leases.
func (l *storeLeases) duration() time.Duration { return l.table.Duration() }

// grant grants or extends the lease of a store. It returns false for an incarnation that is known to have ended.
func (l *storeLeases) grant(node, incarnation string, now time.Time) bool {
	return l.table.Renew(node, incarnation, now.Sub(l.started)) == nil
}

// alive reports whether the store holds a lease that the leader counts as valid.
func (l *storeLeases) alive(node, incarnation string, now time.Time) bool {
	return l.table.Alive(node, incarnation, now.Sub(l.started))
}

// ended reports whether the store certainly holds no lease.
func (l *storeLeases) ended(node, incarnation string, now time.Time) bool {
	return l.table.Ended(node, incarnation, now.Sub(l.started))
}

// nextChange returns the time until the next lease ends, or is certainly over, unless it is renewed, but at most limit.
func (l *storeLeases) nextChange(now time.Time, limit time.Duration) time.Duration {
	since := now.Sub(l.started)
	next, ok := l.table.NextStateChange(since)
	if !ok {
		return limit
	}
	return min(next-since, limit)
}
