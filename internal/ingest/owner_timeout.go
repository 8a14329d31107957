package ingest

import (
	"time"
)

// Owners that do not respond, and messages that are abandoned because of it.

// checkOwnerTimeouts records an owner that exceeds hedgeDelay or storeTimeout, and writes to holders instead if
// the message allows it.
func (a *acceptance) checkOwnerTimeouts(now time.Time) {
	if a.pendingPuts == 0 {
		return
	}
	elapsed := now.Sub(a.ownerPutAt)
	if elapsed >= hedgeDelay && !a.lateHandled {
		a.lateHandled = true
		a.dispatcher.health.recordLate(a.ownerTarget.store.Address)
		if a.canBypassOwner() && a.dispatcher.hedges.spend() {
			a.bypassOwner()
		}
	}
	if elapsed >= storeTimeout && !a.timeoutHandled {
		a.timeoutHandled = true
		a.dispatcher.health.recordTimeout(a.ownerTarget.store.Address)
		a.bypassOwner()
	}
}

// shouldAbandon reports whether no store has responded for storeTimeout and either abandonAt has passed or most
// stores are unreachable, so that waiting longer would only occupy resources.
func (a *acceptance) shouldAbandon(now time.Time) bool {
	if a.unansweredSince.IsZero() || now.Sub(a.unansweredSince) < storeTimeout {
		return false
	}
	return !now.Before(a.abandonAt()) || a.dispatcher.health.majorityUnreachable(a.view.Stores())
}

// abandonAt returns when a message without any store response is abandoned. A message with an order key needs
// its owner, so it waits for the next owner. Any other message is written to holders; if they do not respond
// within maxUnansweredFraction of the client's deadline either, and at least for storeTimeout, it is abandoned.
func (a *acceptance) abandonAt() time.Time {
	if a.message.orderKey != "" {
		return a.capAtDeadline(a.unansweredSince.Add(maxTakeoverTime))
	}
	budget := a.message.deadline.Sub(a.message.receivedAt)
	earliest := a.message.receivedAt.Add(time.Duration(maxUnansweredFraction * float64(budget)))
	if timedOut := a.unansweredSince.Add(storeTimeout); timedOut.After(earliest) {
		return timedOut
	}
	return earliest
}

// nextCheck returns when checkOwnerTimeouts or shouldAbandon has to run next.
func (a *acceptance) nextCheck() time.Time {
	switch {
	case a.pendingPuts > 0 && !a.lateHandled:
		return a.capAtDeadline(a.ownerPutAt.Add(hedgeDelay))
	case a.pendingPuts > 0 && !a.timeoutHandled:
		return a.capAtDeadline(a.ownerPutAt.Add(storeTimeout))
	case a.pendingPuts > 0:
		return a.capAtDeadline(time.Now().Add(abandonCheckInterval))
	default:
		return a.idleCheck()
	}
}

// capAtDeadline returns the earlier of a moment and the message's deadline.
func (a *acceptance) capAtDeadline(moment time.Time) time.Time {
	if moment.After(a.message.deadline) {
		return a.message.deadline
	}
	return moment
}

// idleCheck returns when to check a message again that can only wait.
func (a *acceptance) idleCheck() time.Time {
	if a.unansweredSince.IsZero() {
		return a.message.deadline
	}
	return a.capAtDeadline(a.abandonAt())
}
