package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	hedgeDelay          = 25 * time.Millisecond   // a further store is sent a copy if no holder has answered within this time
	acceptTimeout       = 900 * time.Millisecond  // after this time the outcome is reported as unknown
	takeoverWaitTimeout = 900 * time.Millisecond  // how long a message waits while its partition is being taken over
	maxCachedDelay      = 1500 * time.Millisecond // bodies of messages due later than this are not cached
	maxCachedBodyBytes  = 16 << 20                // bound on the bodies cached in memory
	maxQueuedMessages   = 400_000
	reservedLogDivisor  = 20 // one part in this many of the log is reserved for fates and fences
)

// Put implements rpc.Store. In mode OWNER it accepts messages for partitions that this store owns, in mode HOLDER it stores copies for
// other owners.
func (n *Node) Put(ctx context.Context, request *rpc.PutRequest) (*rpc.PutReply, error) {
	if request.Mode == rpc.PutMode_HOLDER {
		return n.storeCopies(request)
	}
	reply := &rpc.PutReply{Statuses: make([]rpc.PutStatus, len(request.Messages))}
	var pending sync.WaitGroup
	for i, m := range request.Messages {
		pending.Add(1)
		acceptOne := func() {
			defer pending.Done()
			reply.Statuses[i] = n.accept(ctx, m, request.Epochs[i], request.ConfigVersion)
		}
		if len(request.Messages) == 1 {
			acceptOne()
			continue
		}
		go acceptOne()
	}
	pending.Wait()
	return reply, nil
}

// acceptance tracks one message until enough copies are synced.
type acceptance struct {
	node    *Node
	message *rpc.Message
	entry   *message.Entry
	epoch   uint64
	result  chan rpc.PutStatus

	mutex          sync.Mutex
	syncedDomains  map[string]bool // failure domains in which a copy is synced
	requiredCopies int
	triedDisks     map[string]bool
	finished       bool
}

// accept assigns a message its sequence number in an owned partition and returns once as many failure domains as required have synced it.
func (n *Node) accept(ctx context.Context, m *rpc.Message, epoch, configVersion uint64) rpc.PutStatus {
	deadline := time.Now().Add(takeoverWaitTimeout)
	for {
		var status rpc.PutStatus
		var pending *acceptance
		takingOver := false
		if !n.do(func() { status, pending, takingOver = n.beginAccept(m, epoch, configVersion) }) {
			return rpc.PutStatus_NOT_OWNER
		}
		if pending != nil {
			return pending.run(ctx)
		}
		if !takingOver || time.Now().After(deadline) || ctx.Err() != nil {
			return status
		}
		select { // the partition is being taken over
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return status
		}
	}
}

// beginAccept adds the message to the table and the log. It must run on the event loop goroutine. If takingOver is true, the partition is
// being taken over and the caller may retry.
func (n *Node) beginAccept(m *rpc.Message, epoch, configVersion uint64) (rpc.PutStatus, *acceptance, bool) {
	owned := n.table.OwnedEpoch(m.Partition)
	if owned == 0 {
		return rpc.PutStatus_NOT_OWNER, nil, false
	}
	if epoch < owned || n.table.Fence(m.Partition) > owned {
		return rpc.PutStatus_STALE_EPOCH, nil, false
	}
	if epoch > owned || !n.cluster.LeaseValid() {
		return rpc.PutStatus_NOT_OWNER, nil, false
	}
	if !n.table.IsReady(m.Partition) {
		return rpc.PutStatus_NOT_OWNER, nil, true
	}
	if n.table.Get(m.Name) == nil && n.isMisplaced(m) {
		return rpc.PutStatus_NOT_OWNER, nil, false
	}
	n.table.RequireConfig(configVersion)
	setConfigVersion(m, configVersion)
	entry := n.table.Get(m.Name)
	if entry == nil {
		if n.table.Queued() >= maxQueuedMessages {
			return rpc.PutStatus_FULL, nil, false
		}
		entry = message.NewEntry(m, n.now())
		entry.ReadUnder = n.mapVersion()
		n.table.AssignSeq(entry)
		m.Epoch, m.Seq = entry.Epoch, entry.Seq
		if status := n.appendMessage(entry, m); status != rpc.PutStatus_STORED {
			return status, nil, false
		}
		if entry.Due-entry.Arrived > maxCachedDelay || n.table.LiveBytes() > maxCachedBodyBytes {
			entry.Body = nil
		}
		n.table.Add(entry, n.now())
		n.schedulePending = true
	}
	m = n.currentCopy(entry, m)
	if !entry.HasLocalCopy() { // known only from another store: the awaited sync must cover a copy in this log
		if status := n.appendMessage(entry, m); status != rpc.PutStatus_STORED {
			return status, nil, false
		}
	}
	entry.Accepting = n.view.Map.Version
	pending := &acceptance{node: n, message: m, entry: entry, epoch: owned, requiredCopies: n.replicaPolicy.requiredCopies,
		result: make(chan rpc.PutStatus, 1), triedDisks: map[string]bool{}, syncedDomains: map[string]bool{}}
	return rpc.PutStatus_STORED, pending, false
}

// setConfigVersion sets the configuration under which a message was accepted, if its dispatcher is of a build that tells only the newest one
// that it acted on.
func setConfigVersion(m *rpc.Message, newest uint64) {
	if m.ConfigVersion == 0 {
		m.ConfigVersion, m.Ordered = newest, m.OrderKey != ""
	}
}

// currentCopy returns a message as it must be replicated now: with its epoch and sequence number, and with its final state if it has ended
// meanwhile.
func (n *Node) currentCopy(entry *message.Entry, m *rpc.Message) *rpc.Message {
	if entry.State == rpc.State_COMPLETED {
		return entry.CompletionMessage(n.now())
	}
	m.Epoch, m.Seq = entry.Epoch, entry.Seq
	if entry.Ended() {
		m.State, m.Attempts, m.EndedMsAgo = entry.State, entry.Attempts, (n.now() - entry.EndedAt).Milliseconds()
	}
	return m
}

// appendMessage appends a message to the log.
func (n *Node) appendMessage(entry *message.Entry, m *rpc.Message) rpc.PutStatus {
	data, err := encodeRecord(recordMessage, time.Now(), m)
	if err != nil {
		return rpc.PutStatus_FAILED
	}
	if !n.hasRoom(int64(len(data))) {
		return rpc.PutStatus_FULL
	}
	position, err := n.file.Append(data)
	if err != nil {
		if errors.Is(err, applog.ErrFull) {
			return rpc.PutStatus_FULL
		}
		return rpc.PutStatus_FAILED
	}
	entry.SetRecord(position)
	return rpc.PutStatus_STORED
}

// run waits until the message is synced in this log and on other stores.
func (a *acceptance) run(ctx context.Context) rpc.PutStatus {
	defer a.node.post(func() { a.entry.Accepting = 0 })
	a.node.file.RequestSync(func(err error) {
		a.node.reportDiskError(err)
		a.recordCopy("", a.node.ownDomain(), err == nil)
	})
	for range a.requiredCopies - 1 {
		a.sendToNextPeer()
	}
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	limit := time.NewTimer(acceptTimeout)
	defer limit.Stop()
	for {
		select {
		case status := <-a.result:
			return status
		case <-hedge.C:
			if a.sendToNextPeer() {
				hedge.Reset(hedgeDelay)
			}
		case <-limit.C:
			return rpc.PutStatus_FAILED
		case <-ctx.Done():
			return rpc.PutStatus_FAILED
		}
	}
}

// sendToNextPeer sends the message to one more store. It returns false if there is none left.
func (a *acceptance) sendToNextPeer() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.finished {
		peer := a.node.peers.choose(a.triedDisks)
		if peer == nil {
			return false
		}
		a.triedDisks[peer.disk] = true
		if a.sendTo(peer) {
			return true
		}
	}
	return false
}

// sendTo queues a copy for a store and reports whether its queue had room. Callers hold the mutex.
func (a *acceptance) sendTo(holder *peer) bool {
	domain := a.node.failureDomains.domainOf(holder.disk, holder.zone)
	return holder.enqueueCopy(&outgoingCopy{message: a.message, epoch: a.epoch, done: func(status rpc.PutStatus) {
		a.recordCopy(holder.disk, domain, status == rpc.PutStatus_STORED)
	}})
}

// recordCopy records that one copy was synced, or failed. disk is empty for this store's own copy.
func (a *acceptance) recordCopy(disk, domain string, ok bool) {
	if ok && disk != "" {
		a.node.post(func() { a.node.addHolder(a.entry, disk) })
	}
	a.mutex.Lock()
	if ok {
		a.syncedDomains[domain] = true
	}
	finished := len(a.syncedDomains) >= a.requiredCopies && !a.finished
	failed := !ok && !a.finished
	if finished {
		a.finished = true
	}
	a.mutex.Unlock()
	if finished {
		a.result <- rpc.PutStatus_STORED
	}
	if failed {
		a.sendToNextPeer()
	}
}

// addHolder records that another store holds a copy. If the message has ended or failed meanwhile, the store is sent its fate.
func (n *Node) addHolder(entry *message.Entry, disk string) {
	entry.AddHolder(disk)
	if !entry.Ended() && entry.Attempts == 0 {
		return
	}
	if peer := n.peers.get(disk); peer != nil {
		peer.enqueueFate(entry.Fate())
	}
}

// storeCopies stores copies of messages that other stores own. It returns once they are synced.
func (n *Node) storeCopies(request *rpc.PutRequest) (*rpc.PutReply, error) {
	reply := &rpc.PutReply{Statuses: make([]rpc.PutStatus, len(request.Messages))}
	if !n.do(func() {
		for i, m := range request.Messages {
			setConfigVersion(m, request.ConfigVersion)
			reply.Statuses[i] = n.storeCopy(m, request.Epochs[i], request.PlacedUnder)
		}
	}) {
		return nil, errClosed
	}
	if err := n.file.Wait(); err != nil {
		n.reportDiskError(err)
		for i := range reply.Statuses {
			reply.Statuses[i] = rpc.PutStatus_FAILED
		}
	}
	return reply, nil
}

// storeCopy stores one copy. placedUnder is the map version under which a dispatcher started to place the message, 0 for a copy sent by a
// store.
func (n *Node) storeCopy(m *rpc.Message, epoch, placedUnder uint64) rpc.PutStatus {
	if epoch < n.table.Fence(m.Partition) {
		return rpc.PutStatus_STALE_EPOCH
	}
	if n.replicaPolicy.leaving {
		return rpc.PutStatus_FULL // a copy here does not count, and this store may be gone by the time its sender learns that
	}
	if m.State == rpc.State_COMPLETED {
		return n.storeFinalState(m)
	}
	known := n.table.Get(m.Name)
	if known != nil && known.HasLocalCopy() {
		n.mergeRemote(m)
		return rpc.PutStatus_STORED
	}
	if known == nil && n.table.Queued() >= maxQueuedMessages {
		return rpc.PutStatus_FULL
	}
	entry := message.NewEntry(m, n.now())
	entry.ReadUnder = n.mapVersion()
	if status := n.appendMessage(entry, m); status != rpc.PutStatus_STORED {
		return status
	}
	if known != nil {
		known.SetRecord(entry.Record)
	}
	entry.Body = nil
	entry.ScrubAt = n.now() + scrubInitialDelay
	entry = n.table.Add(entry, n.now())
	if n.isUnconfirmed(entry) {
		entry.ScrubAt = n.now() + unconfirmedScrubInterval
		entry.PlacedUnder = placedUnder
		n.underCopied.addUnconfirmed(placedUnder)
	}
	if n.table.IsReady(m.Partition) { // a dispatcher that could not reach this store as the owner sent it as a copy
		n.schedulePending = true
	}
	return rpc.PutStatus_STORED
}
