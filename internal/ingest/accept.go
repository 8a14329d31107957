package ingest

import (
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// acceptResult is the outcome of accepting one message; it decides the response to the client.
type acceptResult int

const (
	undecided acceptResult = iota
	accepted               // f + 1 stores have synced the message
	refused                // no store has stored the message, and none will
	unknown                // a store may have stored the message
)

const (
	maxPuts               = 24                     // per message, over all stores
	hedgeDelay            = 40 * time.Millisecond  // a Put unanswered for this long is hedged to holders, within the hedge budget
	storeTimeout          = 200 * time.Millisecond // like hedgeDelay, but regardless of the budget; also counts against the store's health
	abandonCheckInterval  = 50 * time.Millisecond  // how often reachability of the other stores is checked while the owner does not respond
	maxUnansweredFraction = 0.45                   // share of the client's deadline after which a message without any store response is abandoned
	maxTakeoverTime       = 3 * time.Second        // from an owner's failure to its successor: lease expiry, election, the leader's margin
	retryDelay            = 100 * time.Millisecond // from the start of a Put to an owner until its retry there
	staleRetryDelay       = 25 * time.Millisecond  // before a retry at an owner that answered NOT_OWNER or STALE_EPOCH
)

// acceptance tracks one message from its receipt to its response. Only the request's goroutine uses it. The
// message may move to another partition, and so get another name, as long as no store can have stored it.
type acceptance struct {
	dispatcher *dispatcher
	message    *request
	putter     putter
	randomPart uint64

	view       *cluster.View
	partition  uint32
	name       string
	avoidNodes []string // nodes whose store rejected a Put or could not be reached

	putsStarted     int       // Puts started, to owners and holders
	pendingPuts     int       // Puts to owners in progress
	ownerTarget     target    // of the newest Put to an owner
	ownerPutAt      time.Time // start of the newest Put to an owner
	lateHandled     bool      // hedgeDelay has been handled for that Put
	timeoutHandled  bool      // storeTimeout has been handled for that Put
	nextOwnerPut    time.Time // earliest retry at the same owner
	unansweredSince time.Time // start of the time without a response from any store; zero before the first Put
	maybeStored     bool
	holders         holderWrite
}

// accept stores a message at f + 1 stores. It returns the message's name and the result.
func (d *dispatcher) accept(message *request) (name string, result acceptResult) {
	view := d.cluster.View()
	operation := &acceptance{
		dispatcher: d,
		message:    message,
		putter:     putter{dispatcher: d, message: message, placedUnder: view.Map.GetVersion(), outcomes: make(chan putOutcome, maxPuts)},
		randomPart: randomID(),
		view:       view,
	}
	if operation.view.Partitions() == 0 || !operation.choosePartition() {
		return "", refused
	}
	return operation.run()
}

// run repeats step and wait until there is a result.
func (a *acceptance) run() (string, acceptResult) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		wakeAt, result := a.step()
		if result == undecided {
			timer.Reset(time.Until(wakeAt))
			result = a.wait(timer)
		}
		if result != undecided {
			return a.name, result
		}
	}
}

// wait returns after a Put outcome, a newer view or the timer, whichever comes first.
func (a *acceptance) wait(timer *time.Timer) acceptResult {
	select {
	case outcome := <-a.putter.outcomes:
		return a.onOutcome(outcome)
	case <-a.view.Superseded():
		a.view = a.dispatcher.cluster.View()
	case <-timer.C:
	}
	return undecided
}

// step does everything that is due now. It returns the time by which it must be called again.
func (a *acceptance) step() (wakeAt time.Time, result acceptResult) {
	now := time.Now()
	if !now.Before(a.message.deadline) {
		return now, a.failureResult()
	}
	a.checkOwnerTimeouts(now)
	if a.shouldAbandon(now) {
		return now, a.failureResult()
	}
	if a.holders.started {
		a.sendToHolders()
	}
	if a.awaitsPut() {
		return a.nextCheck(), undecided
	}
	return a.tryOwner(now)
}

// failureResult returns the result for a message that is not known to be stored.
func (a *acceptance) failureResult() acceptResult {
	if a.maybeStored || a.pendingPuts > 0 || a.holders.pendingPuts > 0 {
		return unknown
	}
	return refused
}

// canMove reports whether the message may still move to another partition.
func (a *acceptance) canMove() bool {
	return a.message.partitionKey == "" && a.failureResult() == refused
}

// awaitsPut reports whether a Put is in progress that a Put to the current owner would merely repeat.
func (a *acceptance) awaitsPut() bool {
	if a.pendingPuts == 0 && a.holders.pendingPuts == 0 {
		return false
	}
	owner, epoch, ok := a.view.Owner(a.partition)
	return !ok || sameOwner(a.ownerTarget, target{store: owner, epoch: epoch})
}

// tryOwner sends the message to the owner of its partition. If the owner is missing or unreachable, the message
// moves to another partition, is written to holders, or waits.
func (a *acceptance) tryOwner(now time.Time) (wakeAt time.Time, result acceptResult) {
	owner, epoch, ok := a.view.Owner(a.partition)
	if !ok || a.dispatcher.health.unreachable(owner.Address) {
		switch {
		case a.canMove() && a.choosePartition():
			owner, epoch, ok = a.view.Owner(a.partition)
		case ok && a.bypassUnreachableOwner(target{store: owner, epoch: epoch, mode: rpc.PutMode_OWNER}, now):
			return a.idleCheck(), undecided
		case a.failureResult() == refused:
			return a.waitForOwner(now)
		}
	}
	if !ok {
		return a.idleCheck(), undecided
	}
	to := target{store: owner, epoch: epoch, mode: rpc.PutMode_OWNER}
	if sameOwner(a.ownerTarget, to) && now.Before(a.nextOwnerPut) {
		return a.capAtDeadline(a.nextOwnerPut), undecided
	}
	if a.putsStarted >= maxPuts {
		return a.idleCheck(), undecided
	}
	a.sendToOwner(to, now)
	return a.nextCheck(), undecided
}

// waitForOwner waits up to ownerWait for a reachable owner and then refuses the message, so that the client has
// time to try another dispatcher.
func (a *acceptance) waitForOwner(now time.Time) (wakeAt time.Time, result acceptResult) {
	end := a.message.receivedAt.Add(a.message.ownerWait)
	if !now.Before(end) {
		return now, refused
	}
	a.dispatcher.requestRenewal()
	return a.capAtDeadline(end), undecided
}

func (a *acceptance) sendToOwner(to target, now time.Time) {
	a.ownerTarget = to
	a.ownerPutAt = now
	a.lateHandled = false
	a.timeoutHandled = false
	a.nextOwnerPut = now.Add(retryDelay)
	a.pendingPuts++
	a.send(to)
}

func (a *acceptance) send(to target) {
	a.putsStarted++
	if a.unansweredSince.IsZero() {
		a.unansweredSince = time.Now()
	}
	a.putter.start(a.name, a.partition, to, a.view.ConfigVersion)
}

// choosePartition sets the partition and the name. It returns false if no partition is available.
func (a *acceptance) choosePartition() bool {
	if key := a.message.partitionKey; key != "" {
		a.partition = message.PartitionForKey(key, a.view.Partitions())
	} else {
		partition, ok := a.dispatcher.chooseFreePartition(a.view, a.avoidNodes)
		if !ok {
			return false
		}
		a.partition = partition
	}
	a.name = messageName(a.partition, a.randomPart)
	a.holders = holderWrite{}
	return true
}
