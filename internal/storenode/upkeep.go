package storenode

import (
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	minRepairBatch        = 500                    // minimum number of copies restored in one upkeep run
	repairRounds          = 8                      // all missing copies are sent within this many runs
	repairRetryDelay      = 600 * time.Millisecond // before a copy that is still missing is sent again
	upkeepRetryDelay      = 150 * time.Millisecond // between two runs while copies are missing
	statusRetentionMargin = 30 * time.Second       // see endedRetention
	maxEndedRetention     = 15 * time.Minute       // bound on the route retention that extends statusS
	expiryMargin          = 2 * time.Second        // added to a route's retention before its messages expire
)

// housekeep runs every housekeepingInterval on the event loop goroutine.
func (n *Node) housekeep() {
	now := n.now()
	n.backlog.Store(uint64(n.table.Queued()))
	if retention, known := n.endedRetention(); known {
		n.counters.endsForgotten.Add(uint64(n.table.ExpireEnded(retention, now)))
	}
	if n.view == nil || n.view.Map == nil {
		return
	}
	n.releasePaused()
	n.forgetLostConfig(time.Now())
	n.checkStrays()
	n.upkeep(now)
	n.rewriteIfNeeded()
	n.verifyNextBatch()
	n.checkRemoteCopies()
	n.schedulePending = true
}

// endedRetention returns how long the final state of a message is kept: as long as clients may ask for it, and as long as a store that was
// disconnected may still hold the message as queued. It is unknown before the first configuration.
func (n *Node) endedRetention() (keepFor time.Duration, known bool) {
	if n.view == nil || n.view.Config == nil {
		return 0, false
	}
	keepFor = time.Duration(n.settings.Bounds.StatusS * float64(time.Second))
	keepFor = max(keepFor, min(n.table.Retention(), maxEndedRetention))
	for i := range n.view.Config.Routes {
		retention := time.Duration(n.view.Config.Routes[i].RetentionS * float64(time.Second))
		keepFor = max(keepFor, min(retention, maxEndedRetention))
	}
	return keepFor + statusRetentionMargin, true
}

// upkeep checks all messages: it expires messages past their retention, restores missing copies of messages and of final states, reads
// copies back after the loss of a disk, and scrubs the copies held for other owners. It updates the counts that are reported to the control
// plane.
func (n *Node) upkeep(now time.Duration) {
	failureDomains, required := n.replicaPolicy.failureDomains, n.replicaPolicy.requiredCopies
	var expired, missing, underCopiedEnded, unread, notStored []*message.Entry
	var underCopied underCopiedCount
	checkUnrouted := n.unroutedCheckPending && n.hasRequiredConfig()
	if checkUnrouted { // messages whose route is dropped later, or that arrive here later, end when they are due
		n.unroutedCheckPending = false
	}
	fatesByOwner := map[string][]*rpc.Fate{}
	n.table.Each(func(e *message.Entry) {
		if e.State == rpc.State_COMPLETED {
			if n.isFinalStateUnderCopied(e, failureDomains, required) {
				underCopiedEnded = append(underCopiedEnded, e)
			}
			return
		}
		if n.table.OwnedEpoch(e.Partition) == 0 {
			if !e.Stored && !e.Ended() && !e.Running { // left over from when this store owned the partition
				notStored = append(notStored, e)
				return
			}
			if n.isUnconfirmed(e) {
				underCopied.addUnconfirmed(e.PlacedUnder)
			}
			n.collectScrub(e, now, fatesByOwner)
			return
		}
		if !e.Ended() && !e.Running && (n.isExpired(e, now) || checkUnrouted && n.isUnrouted(e)) {
			expired = append(expired, e)
			return
		}
		if e.Accepting == n.view.Map.Version { // its copies are being sent to stores of this map
			return
		}
		if !n.table.IsReady(e.Partition) {
			return
		}
		if e.CountCopies(failureDomains, n.ownDomain()) < required {
			missing = append(missing, e)
		} else if n.diskLosses.needsReadBack(e) {
			unread = append(unread, e)
		}
	})
	for _, e := range expired {
		n.table.MarkEnded(e, rpc.State_DEAD, "", now)
		n.publishFate(e)
	}
	for _, e := range notStored {
		n.table.Remove(e)
	}
	missing = append(missing, underCopiedEnded...)
	ready, pending := n.countOwnedPartitions()
	n.readyPartitions.Store(uint32(ready))
	underCopied.missing = uint64(len(missing) + len(unread) + pending)
	n.underCopied.set(underCopied)
	n.repairAll(missing, now)
	n.startReadBack(unread, now)
	if len(missing)+len(unread) > 0 {
		n.scheduleUpkeep()
	}
	for disk, fates := range fatesByOwner {
		if peer := n.peers.get(disk); peer != nil {
			go n.scrub(peer, fates)
		}
	}
}

// isFinalStateUnderCopied reports whether fewer disks than required keep the final state of a completed message in an owned partition. A
// disk that holds the message as queued counts: it will be sent the final state, and until then the message can't be unknown. Under one map
// the number of disks that keep a final state only grows, so the result is cached per map version once there are enough.
func (n *Node) isFinalStateUnderCopied(e *message.Entry, failureDomains map[string]string, required int) bool {
	version := n.view.Map.Version
	if e.EnoughAt == version || e.Accepting == version || !n.table.IsReady(e.Partition) {
		return false
	}
	if e.CountCopies(failureDomains, n.ownDomain()) < required {
		return true
	}
	e.EnoughAt = version
	return false
}

// repairAll starts to restore copies, a bounded number per run.
func (n *Node) repairAll(missing []*message.Entry, now time.Duration) {
	started, limit := 0, max(minRepairBatch, len(missing)/repairRounds)
	for _, e := range missing {
		if started == limit {
			break
		}
		if now < e.RepairAt {
			continue
		}
		e.RepairAt = now + repairRetryDelay
		n.repairCopy(e)
		started++
	}
}

// scheduleUpkeep schedules another upkeep run after a short delay.
func (n *Node) scheduleUpkeep() {
	if n.upkeepScheduled {
		return
	}
	n.upkeepScheduled = true
	time.AfterFunc(upkeepRetryDelay, func() {
		n.post(func() {
			n.upkeepScheduled = false
			n.upkeep(n.now())
		})
	})
}

// countOwnedPartitions counts the owned partitions that are ready, and the pending ones, for which other stores have not been gathered yet.
// Each pending partition may have a message with too few copies.
func (n *Node) countOwnedPartitions() (ready, pending int) {
	for id := range n.view.Map.Partitions {
		switch {
		case n.table.OwnedEpoch(uint32(id)) == 0:
		case n.table.IsReady(uint32(id)):
			ready++
		default:
			pending++
		}
	}
	return ready, pending
}

// repairCopy restores one copy of a message that has too few: this store's own if it has none, else one on another store.
func (n *Node) repairCopy(e *message.Entry) {
	failureDomains := n.replicaPolicy.failureDomains
	if !e.HasLocalCopy() {
		name, holders := e.Name, append([]string(nil), e.Holders...)
		go func() {
			if m := n.fetchFromHolders(name, holders); m != nil {
				n.post(func() { n.appendFetched(e, m) })
			}
		}()
		return
	}
	tried := map[string]bool{}
	for _, disk := range e.Holders {
		if _, counts := failureDomains[disk]; counts {
			tried[disk] = true
		}
	}
	peer := n.peers.choose(tried)
	if peer == nil {
		return
	}
	epoch := n.table.OwnedEpoch(e.Partition)
	if e.State == rpc.State_COMPLETED {
		n.sendCopy(peer, epoch, e.CompletionMessage(n.now()), func() { e.AddHolder(peer.disk) })
		return
	}
	position := e.Record
	current := e.Message(n.now())
	go func() {
		m, err := n.readCopy(recordRef{entry: e, record: position})
		if err != nil {
			return
		}
		n.sendCopy(peer, epoch, withBody(current, m.Body), func() { n.addHolder(e, peer.disk) })
	}()
}

// sendCopy sends a message, or its final state alone, to another store. onStored is called on the event loop goroutine once the copy is
// synced there.
func (n *Node) sendCopy(target *peer, epoch uint64, m *rpc.Message, onStored func()) {
	target.enqueueCopy(&outgoingCopy{message: m, epoch: epoch, done: func(status rpc.PutStatus) {
		if status == rpc.PutStatus_STORED {
			n.post(onStored)
		}
	}})
}
