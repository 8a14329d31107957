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
	takeoverMost  = 3 * time.Second        // from an owner's silence to the next one: its lease, an election, the leader's margin
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
	view := d.cluster.View()
	course := &acceptance{
		dispatcher: d,
		message:    message,
		putter:     putter{dispatcher: d, message: message, under: view.Map.GetVersion(), outcomes: make(chan putOutcome, maxPuts)},
		random:     randomName(),
		view:       view,
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

// tryOwner puts the message to the owner of its partition, moves it to another partition, goes round the owner, or waits.
func (a *acceptance) tryOwner(now time.Time) (wake time.Time, result verdict) {
	owner, epoch, ok := a.view.Owner(a.partition)
	if !ok || a.dispatcher.health.unreachable(owner.Address) {
		switch {
		case a.movable() && a.choosePartition():
			owner, epoch, ok = a.view.Owner(a.partition)
		case ok && a.goRoundUnreachable(target{store: owner, epoch: epoch, mode: rpc.PutMode_OWNER}, now):
			return a.untilGivenUp(), undecided
		case a.failure() == refused:
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
