package ingest

import (
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// verdict is the answer to a message.
type verdict int

const (
	undecided verdict = iota
	accepted          // f + 1 stores have synced it
	refused           // nothing was stored, and nothing will be
	unknown           // it may have been stored
)

const (
	maxPuts       = 24                     // of one message, over all stores
	ownerPatience = 40 * time.Millisecond  // after it a silent owner is gone round, within the hedge budget
	silenceBound  = 200 * time.Millisecond // after it a silent owner is gone round in any case, and counts as unreachable
	hopelessCheck = 50 * time.Millisecond  // between looks at whether other stores answer, while the owner is silent
	silentPart    = 0.45                   // of the time a client gives, after which a message that nobody answers for is given up
	repeatDelay   = 100 * time.Millisecond // before a repeat at an owner that failed
	staleDelay    = 25 * time.Millisecond  // before a repeat at an owner that disowned the partition
)

// acceptance is the course of one message until its answer. It belongs to the goroutine of the request. The
// message may move to another partition, and so get another name, while nothing of it may be stored.
type acceptance struct {
	dispatcher *dispatcher
	message    *request
	putter     putter
	random     uint64

	view      *cluster.View
	partition uint32
	name      string
	avoid     []string // nodes of stores that refused or could not be reached

	sent        int       // Puts begun
	pending     int       // Puts to owners under way
	owner       target    // of the newest Put to an owner
	ownerSent   time.Time // of that Put
	lateNoted   bool      // that Put was noted as late
	silentNoted bool      // that Put was noted as silent
	nextTry     time.Time // not before this is the same owner tried again
	unanswered  time.Time // since when Puts have been sent without an answer of any store; zero before the first
	maybeStored bool
	holders     holderWrite
}

// accept has a message stored. It returns the name the message got, and the answer to give.
func (d *dispatcher) accept(message *request) (name string, result verdict) {
	course := &acceptance{
		dispatcher: d,
		message:    message,
		putter:     putter{dispatcher: d, message: message, outcomes: make(chan putOutcome, maxPuts)},
		random:     randomName(),
		view:       d.cluster.View(),
	}
	if course.view.Partitions() == 0 || !course.choosePartition() {
		return "", refused
	}
	return course.run()
}

// run acts on every outcome, newer view and moment to act until there is an answer.
func (a *acceptance) run() (string, verdict) {
	timer := time.NewTimer(ownerPatience)
	defer timer.Stop()
	for {
		wake, result := a.act()
		if result == undecided {
			timer.Reset(time.Until(wake))
			result = a.wait(timer)
		}
		if result != undecided {
			return a.name, result
		}
	}
}

// wait returns after an outcome, a newer view, or the timer, whichever comes first.
func (a *acceptance) wait(timer *time.Timer) verdict {
	select {
	case outcome := <-a.putter.outcomes:
		return a.onOutcome(outcome)
	case <-a.view.Superseded():
		a.view = a.dispatcher.cluster.View()
	case <-timer.C:
	}
	return undecided
}

// act does what is due now, and returns when to act again at the latest.
func (a *acceptance) act() (wake time.Time, result verdict) {
	now := time.Now()
	if !now.Before(a.message.deadline) {
		return now, a.failure()
	}
	a.noteSilence(now)
	if a.hopeless(now) {
		return now, a.failure()
	}
	if a.holders.begun {
		a.sendToHolders()
	}
	if a.waitsForPut() {
		return a.nextNote(), undecided
	}
	return a.tryOwner(now)
}

// failure is the answer to a message that is not known to be stored.
func (a *acceptance) failure() verdict {
	if a.maybeStored || a.pending > 0 || a.holders.pending > 0 {
		return unknown
	}
	return refused
}

// movable reports whether the message may still go to another partition.
func (a *acceptance) movable() bool {
	return a.message.pinnedTo == "" && a.failure() == refused
}

// waitsForPut reports whether a Put is under way that a new one to the present owner would only repeat.
func (a *acceptance) waitsForPut() bool {
	if a.pending == 0 && a.holders.pending == 0 {
		return false
	}
	owner, epoch, ok := a.view.Owner(a.partition)
	return !ok || sameOwner(a.owner, target{store: owner, epoch: epoch})
}

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

// hopeless reports whether no store has answered for long, and either most are out of reach or a good part of the client's time
// has gone by: what is held on then is held in vain. An owner that died is replaced seconds later.
func (a *acceptance) hopeless(now time.Time) bool {
	if a.unanswered.IsZero() || now.Sub(a.unanswered) < silenceBound {
		return false
	}
	return !now.Before(a.giveUpAt()) || a.dispatcher.health.mostUnreachable(a.view.Stores())
}

// giveUpAt is the moment from which a message is given up that no store answers for.
func (a *acceptance) giveUpAt() time.Time {
	given := a.message.deadline.Sub(a.message.arrived)
	patient := a.message.arrived.Add(time.Duration(silentPart * float64(given)))
	if silent := a.unanswered.Add(silenceBound); silent.After(patient) {
		return silent
	}
	return patient
}

// nextNote is the next moment at which silence is noted, or the deadline.
func (a *acceptance) nextNote() time.Time {
	switch {
	case a.pending > 0 && !a.lateNoted:
		return a.atMost(a.ownerSent.Add(ownerPatience))
	case a.pending > 0 && !a.silentNoted:
		return a.atMost(a.ownerSent.Add(silenceBound))
	case a.pending > 0:
		return a.atMost(time.Now().Add(hopelessCheck))
	default:
		return a.message.deadline
	}
}

func (a *acceptance) atMost(moment time.Time) time.Time {
	if moment.After(a.message.deadline) {
		return a.message.deadline
	}
	return moment
}

// tryOwner puts the message to the owner of its partition, moves it to another partition, or waits.
func (a *acceptance) tryOwner(now time.Time) (wake time.Time, result verdict) {
	owner, epoch, ok := a.view.Owner(a.partition)
	if !ok || a.dispatcher.health.unreachable(owner.Address) {
		if a.movable() && a.choosePartition() {
			owner, epoch, ok = a.view.Owner(a.partition)
		} else if a.failure() == refused {
			return a.waitForOwner(now)
		}
	}
	if !ok {
		return a.untilGivenUp(), undecided
	}
	to := target{store: owner, epoch: epoch, mode: rpc.PutMode_OWNER}
	if sameOwner(a.owner, to) && now.Before(a.nextTry) {
		return a.atMost(a.nextTry), undecided
	}
	if a.sent >= maxPuts {
		return a.untilGivenUp(), undecided
	}
	a.sendToOwner(to, now)
	return a.nextNote(), undecided
}

// untilGivenUp is when to look again at a message for which nothing can be done but wait.
func (a *acceptance) untilGivenUp() time.Time {
	if a.unanswered.IsZero() {
		return a.message.deadline
	}
	return a.atMost(a.giveUpAt())
}

// waitForOwner waits a little for an owner that can be reached, and then refuses, so that the client may try
// another dispatcher in time.
func (a *acceptance) waitForOwner(now time.Time) (wake time.Time, result verdict) {
	end := a.message.arrived.Add(a.message.patience)
	if !now.Before(end) {
		return now, refused
	}
	a.dispatcher.kick()
	return a.atMost(end), undecided
}

func (a *acceptance) sendToOwner(to target, now time.Time) {
	a.owner = to
	a.ownerSent = now
	a.lateNoted = false
	a.silentNoted = false
	a.nextTry = now.Add(repeatDelay)
	a.pending++
	a.send(to)
}

func (a *acceptance) send(to target) {
	a.sent++
	if a.unanswered.IsZero() {
		a.unanswered = time.Now()
	}
	a.putter.start(a.name, a.partition, to, a.view.ConfigVersion)
}

// choosePartition sets partition and name. It reports false where there is no partition to try.
func (a *acceptance) choosePartition() bool {
	if key := a.message.pinnedTo; key != "" {
		a.partition = hashPartition(key, a.view.Partitions())
	} else {
		partition, ok := a.dispatcher.freePartition(a.view, a.avoid)
		if !ok {
			return false
		}
		a.partition = partition
	}
	a.name = messageName(a.partition, a.random)
	a.holders = holderWrite{}
	return true
}

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
