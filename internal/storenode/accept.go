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
	hedgeAfter   = 25 * time.Millisecond  // without an answer from a holder, another one is asked as well
	acceptWithin = 900 * time.Millisecond // after that the outcome is told as unknown
	readyWithin  = 900 * time.Millisecond // that a message waits for its partition to be taken over
	cachedDelay  = 1500 * time.Millisecond
	cachedBytes  = 16 << 20 // bodies kept in memory
	mostMessages = 400_000
	reservePart  = 20 // one part in so many of the log is for what becomes of messages
)

// Put implements rpc.Store.
func (n *Node) Put(ctx context.Context, request *rpc.PutRequest) (*rpc.PutReply, error) {
	if request.Mode == rpc.PutMode_HOLDER {
		return n.hold(request)
	}
	reply := &rpc.PutReply{Statuses: make([]rpc.PutStatus, len(request.Messages))}
	var waits sync.WaitGroup
	for i, m := range request.Messages {
		waits.Add(1)
		one := func() {
			defer waits.Done()
			reply.Statuses[i] = n.accept(ctx, m, request.Epochs[i], request.ConfigVersion)
		}
		if len(request.Messages) == 1 {
			one()
			continue
		}
		go one()
	}
	waits.Wait()
	return reply, nil
}

// acceptance follows one message until enough copies are synced.
type acceptance struct {
	node    *Node
	message *rpc.Message
	entry   *message.Entry
	epoch   uint64
	result  chan rpc.PutStatus

	mutex   sync.Mutex
	domains map[string]bool // failure domains in which a copy is synced
	needed  int
	tried   map[string]bool
	over    bool
}

// accept numbers a message in an owned partition, and answers when it is synced on as many stores as may not be lost.
func (n *Node) accept(ctx context.Context, m *rpc.Message, epoch, configVersion uint64) rpc.PutStatus {
	deadline := time.Now().Add(readyWithin)
	for {
		var status rpc.PutStatus
		var work *acceptance
		wait := false
		if !n.do(func() { status, work, wait = n.begin(m, epoch, configVersion) }) {
			return rpc.PutStatus_NOT_OWNER
		}
		if work != nil {
			return work.run(ctx)
		}
		if !wait || time.Now().After(deadline) || ctx.Err() != nil {
			return status
		}
		select { // the partition is being taken over
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return status
		}
	}
}

// begin enters the message on the owner goroutine.
func (n *Node) begin(m *rpc.Message, epoch, configVersion uint64) (rpc.PutStatus, *acceptance, bool) {
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
	n.needs = max(n.needs, configVersion)
	entry := n.table.Get(m.Name)
	if entry == nil {
		if n.table.Queued() >= mostMessages {
			return rpc.PutStatus_FULL, nil, false
		}
		entry = message.NewEntry(m, n.now())
		entry.ReadUnder = n.tableVersion()
		n.table.AssignSeq(entry)
		m.Epoch, m.Seq = entry.Epoch, entry.Seq
		if status := n.write(entry, m); status != rpc.PutStatus_STORED {
			return status, nil, false
		}
		if entry.Due-entry.Arrived > cachedDelay || n.table.LiveBytes() > cachedBytes {
			entry.Body = nil
		}
		n.table.Add(entry, n.now())
		n.pumpDue = true
	}
	m = n.current(entry, m)
	if !entry.HasLocalCopy() { // known from another store alone: the sync that is waited for must cover a copy here
		if status := n.write(entry, m); status != rpc.PutStatus_STORED {
			return status, nil, false
		}
	}
	entry.Accepting = n.view.Map.Version
	work := &acceptance{node: n, message: m, entry: entry, epoch: owned, needed: n.holders.wanted,
		result: make(chan rpc.PutStatus, 1), tried: map[string]bool{}, domains: map[string]bool{}}
	return rpc.PutStatus_STORED, work, false
}

// current returns a message as it is to be copied now: with the place that it was given, and with its end where it has ended meanwhile.
func (n *Node) current(entry *message.Entry, m *rpc.Message) *rpc.Message {
	if entry.State == rpc.State_COMPLETED {
		return entry.CompletionMessage(n.now())
	}
	m.Epoch, m.Seq = entry.Epoch, entry.Seq
	if entry.Ended() {
		m.State, m.Attempts, m.EndedMsAgo = entry.State, entry.Attempts, (n.now() - entry.EndedAt).Milliseconds()
	}
	return m
}

// write appends a message to the log.
func (n *Node) write(entry *message.Entry, m *rpc.Message) rpc.PutStatus {
	data, err := encodeRecord(recordMessage, time.Now(), m)
	if err != nil {
		return rpc.PutStatus_FAILED
	}
	if !n.hasRoom(int64(len(data))) {
		return rpc.PutStatus_FULL
	}
	at, err := n.file.Append(data)
	if err != nil {
		if errors.Is(err, applog.ErrFull) {
			return rpc.PutStatus_FULL
		}
		return rpc.PutStatus_FAILED
	}
	entry.SetRecord(at)
	return rpc.PutStatus_STORED
}

// run syncs the message here and on other stores.
func (a *acceptance) run(ctx context.Context) rpc.PutStatus {
	defer a.node.post(func() { a.entry.Accepting = 0 })
	a.node.file.RequestSync(func(err error) {
		a.node.noteDisk(err)
		a.outcome("", a.node.ownDomain(), err == nil)
	})
	for range a.needed - 1 {
		a.another()
	}
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	limit := time.NewTimer(acceptWithin)
	defer limit.Stop()
	for {
		select {
		case status := <-a.result:
			return status
		case <-hedge.C:
			if a.another() {
				hedge.Reset(hedgeAfter)
			}
		case <-limit.C:
			return rpc.PutStatus_FAILED
		case <-ctx.Done():
			return rpc.PutStatus_FAILED
		}
	}
}

// another sends the message to one more store. It reports whether there was one.
func (a *acceptance) another() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for !a.over {
		peer := a.node.peers.choose(a.tried)
		if peer == nil {
			return false
		}
		a.tried[peer.disk] = true
		if a.sendTo(peer) {
			return true
		}
	}
	return false
}

// sendTo queues a copy for a store, and reports whether there was room. The mutex is held.
func (a *acceptance) sendTo(holder *peer) bool {
	domain := a.node.domains.of(holder.disk, holder.zone)
	return holder.put(&copyItem{message: a.message, epoch: a.epoch, done: func(status rpc.PutStatus) {
		a.outcome(holder.disk, domain, status == rpc.PutStatus_STORED)
	}})
}

// outcome counts one copy that was synced, or failed.
func (a *acceptance) outcome(disk, domain string, ok bool) {
	if ok && disk != "" {
		a.node.post(func() { a.node.addHolder(a.entry, disk) })
	}
	a.mutex.Lock()
	if ok {
		a.domains[domain] = true
	}
	finished := len(a.domains) >= a.needed && !a.over
	failed := !ok && !a.over
	if finished {
		a.over = true
	}
	a.mutex.Unlock()
	if finished {
		a.result <- rpc.PutStatus_STORED
	}
	if failed {
		a.another()
	}
}

// addHolder notes that another store holds a copy, and tells it what became of the message where that came first.
func (n *Node) addHolder(entry *message.Entry, disk string) {
	entry.AddHolder(disk)
	if !entry.Ended() && entry.Attempts == 0 {
		return
	}
	if one := n.peers.get(disk); one != nil {
		one.report(entry.Fate())
	}
}

// hold stores copies of messages that other stores own.
func (n *Node) hold(request *rpc.PutRequest) (*rpc.PutReply, error) {
	reply := &rpc.PutReply{Statuses: make([]rpc.PutStatus, len(request.Messages))}
	if !n.do(func() {
		for i, m := range request.Messages {
			reply.Statuses[i] = n.holdOne(m, request.Epochs[i], request.PlacedUnder)
		}
	}) {
		return nil, errClosed
	}
	if err := n.file.Wait(); err != nil {
		n.noteDisk(err)
		for i := range reply.Statuses {
			reply.Statuses[i] = rpc.PutStatus_FAILED
		}
	}
	return reply, nil
}

// holdOne stores one copy. placedUnder is the table under which a dispatcher began to place the message, 0 for one of a store.
func (n *Node) holdOne(m *rpc.Message, epoch, placedUnder uint64) rpc.PutStatus {
	if epoch < n.table.Fence(m.Partition) {
		return rpc.PutStatus_STALE_EPOCH
	}
	if n.holders.leaving {
		return rpc.PutStatus_FULL // a copy here counts as gone, and may be by the time that its sender learns it
	}
	if m.State == rpc.State_COMPLETED {
		return n.holdEnd(m)
	}
	known := n.table.Get(m.Name)
	if known != nil && known.HasLocalCopy() {
		n.learn(m)
		return rpc.PutStatus_STORED
	}
	if known == nil && n.table.Queued() >= mostMessages {
		return rpc.PutStatus_FULL
	}
	entry := message.NewEntry(m, n.now())
	entry.ReadUnder = n.tableVersion()
	if status := n.write(entry, m); status != rpc.PutStatus_STORED {
		return status
	}
	if known != nil {
		known.SetRecord(entry.Record)
	}
	entry.Body = nil
	entry.ScrubAt = n.now() + scrubFirst
	entry = n.table.Add(entry, n.now())
	if n.isUnconfirmed(entry) {
		entry.ScrubAt = n.now() + scrubUnconfirmed
		entry.PlacedUnder = placedUnder
		n.underCopied.addUnconfirmed(placedUnder)
	}
	if n.table.IsReady(m.Partition) { // it was sent here by a dispatcher that could not reach this store as the owner
		n.pumpDue = true
	}
	return rpc.PutStatus_STORED
}
