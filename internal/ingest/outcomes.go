package ingest

import (
	"time"

	"foldlb.example/foldlb/internal/rpc"
)

// What follows from the outcome of a Put.

// onOutcome takes the outcome of a Put.
func (a *acceptance) onOutcome(outcome putOutcome) verdict {
	if outcome.result.answered() {
		a.unanswered = time.Now()
	}
	if outcome.target.mode == rpc.PutMode_HOLDER {
		if a.onHolder(outcome) {
			return accepted
		}
		return undecided
	}
	a.pending--
	if sameOwner(a.owner, outcome.target) {
		a.lateNoted, a.silentNoted = true, true
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
		a.moveFrom(outcome)
		return undecided
	default:
		a.onUnknown()
		return undecided
	}
}

// onStale waits for a newer map, or moves where the message may.
func (a *acceptance) onStale(outcome putOutcome) {
	a.dispatcher.kick()
	if sameOwner(a.owner, outcome.target) {
		a.nextTry = time.Now().Add(staleDelay)
	}
	a.moveFrom(outcome)
}

// onFull moves where the message may, and refuses where nothing is stored.
func (a *acceptance) onFull(outcome putOutcome) verdict {
	if a.moveFrom(outcome) || a.failure() == unknown {
		return undecided
	}
	return refused
}

// onUnknown goes round the owner where the message allows it; else the owner is tried again later.
func (a *acceptance) onUnknown() {
	a.maybeStored = true
	a.goRoundOwner()
}

// moveFrom moves a message, nothing of which is stored, away from the store that did not take it. It reports
// whether there was a place to move to.
func (a *acceptance) moveFrom(outcome putOutcome) bool {
	if !a.movable() {
		return false
	}
	a.avoid = append(a.avoid, outcome.target.store.Node)
	return a.choosePartition()
}

// sameOwner reports whether two targets are one process under one epoch.
func sameOwner(one, other target) bool {
	return one.store != nil && other.store != nil && one.epoch == other.epoch &&
		one.store.Node == other.store.Node && one.store.Incarnation == other.store.Incarnation
}
