package ingest

import (
	"time"
)

// Owners that do not answer, and messages that are given up for it.

// noteSilence notes an owner that lets the time pass, and goes round it where the message allows it.
func (a *acceptance) noteSilence(now time.Time) {
	if a.pending == 0 {
		return
	}
	silence := now.Sub(a.ownerSent)
	if silence >= ownerPatience && !a.lateNoted {
		a.lateNoted = true
		a.dispatcher.health.late(a.owner.store.Address)
		if a.mayGoRound() && a.dispatcher.hedges.spend() {
			a.goRoundOwner()
		}
	}
	if silence >= silenceBound && !a.silentNoted {
		a.silentNoted = true
		a.dispatcher.health.silent(a.owner.store.Address)
		a.goRoundOwner()
	}
}

// hopeless reports whether no store has answered for long, and either most are out of reach or the time is over in which an answer
// may still be had: what is held on then is held in vain.
func (a *acceptance) hopeless(now time.Time) bool {
	if a.unanswered.IsZero() || now.Sub(a.unanswered) < silenceBound {
		return false
	}
	return !now.Before(a.giveUpAt()) || a.dispatcher.health.mostUnreachable(a.view.Stores())
}

// giveUpAt is the moment from which a message is given up that no store answers for. One whose order binds it to its owner waits for the
// next owner; any other goes round silent stores, and what none of them has answered for in a good part of the client's time is lost.
func (a *acceptance) giveUpAt() time.Time {
	if a.message.orderKey != "" {
		return a.atMost(a.unanswered.Add(takeoverMost))
	}
	given := a.message.deadline.Sub(a.message.arrived)
	patient := a.message.arrived.Add(time.Duration(silentPart * float64(given)))
	if silent := a.unanswered.Add(silenceBound); silent.After(patient) {
		return silent
	}
	return patient
}

// nextNote is the next moment at which silence is noted, or the message given up.
func (a *acceptance) nextNote() time.Time {
	switch {
	case a.pending > 0 && !a.lateNoted:
		return a.atMost(a.ownerSent.Add(ownerPatience))
	case a.pending > 0 && !a.silentNoted:
		return a.atMost(a.ownerSent.Add(silenceBound))
	case a.pending > 0:
		return a.atMost(time.Now().Add(hopelessCheck))
	default:
		return a.untilGivenUp()
	}
}

func (a *acceptance) atMost(moment time.Time) time.Time {
	if moment.After(a.message.deadline) {
		return a.message.deadline
	}
	return moment
}

// untilGivenUp is when to look again at a message for which nothing can be done but wait.
func (a *acceptance) untilGivenUp() time.Time {
	if a.unanswered.IsZero() {
		return a.message.deadline
	}
	return a.atMost(a.giveUpAt())
}
