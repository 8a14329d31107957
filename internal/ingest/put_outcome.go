package ingest

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// Handling of Put outcomes.

// onOutcome handles the outcome of a Put.
func (a *acceptance) onOutcome(outcome putOutcome) acceptResult {
	if outcome.result.answered() {
		a.unansweredSince = time.Now()
	}
	if outcome.target.mode == rpc.PutMode_HOLDER {
		if a.onHolderOutcome(outcome) {
			return accepted
		}
		return undecided
	}
	a.pendingPuts--
	if sameOwner(a.ownerTarget, outcome.target) {
		a.lateHandled, a.timeoutHandled = true, true
	}
	switch outcome.result {
	case putStored:
		a.dispatcher.hedges.earn()
		return accepted
	case putStale:
		a.onStale(outcome)
		return undecided
	case putFull:
		return a.onFull(outcome)
	case putNotSent:
		a.moveAwayFrom(outcome)
		return undecided
	default:
		a.onUnknown()
		return undecided
	}
}

// onStale handles a Put that was rejected for its owner or epoch: it moves the message if it may move, and
// otherwise retries later.
func (a *acceptance) onStale(outcome putOutcome) {
	a.dispatcher.requestRenewal()
	if sameOwner(a.ownerTarget, outcome.target) {
		a.nextOwnerPut = time.Now().Add(staleRetryDelay)
	}
	a.moveAwayFrom(outcome)
}

// onFull moves the message if it may move, and refuses it if no store can have stored it.
func (a *acceptance) onFull(outcome putOutcome) acceptResult {
	if a.moveAwayFrom(outcome) || a.failureResult() == unknown {
		return undecided
	}
	return refused
}

// onUnknown writes the message to holders if its order allows that; otherwise the owner is retried later.
func (a *acceptance) onUnknown() {
	a.maybeStored = true
	a.bypassOwner()
}

// moveAwayFrom moves a message that no store can have stored to a partition of another store than the one that
// did not accept it. It reports whether there was such a partition.
func (a *acceptance) moveAwayFrom(outcome putOutcome) bool {
	if !a.canMove() {
		return false
	}
	a.avoidNodes = append(a.avoidNodes, outcome.target.store.Node)
	return a.choosePartition()
}

// sameOwner reports whether two targets are the same store process under the same epoch.
func sameOwner(a, b target) bool {
	return a.store != nil && b.store != nil && a.epoch == b.epoch &&
		a.store.Node == b.store.Node && a.store.Incarnation == b.store.Incarnation
}
