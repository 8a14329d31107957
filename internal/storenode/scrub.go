package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	scrubFirst       = 1500 * time.Millisecond // after a copy came, its holder asks the owner what became of it
	scrubAgain       = 4 * time.Second
	scrubUnconfirmed = 400 * time.Millisecond // in place of both where the owner may not know of the copy
	scrubBatch       = 500
	scrubWithin      = time.Second
)

// isUnconfirmed reports whether a copy may be unknown to the owner of its partition: a dispatcher wrote it round the owner,
// which has not said since that it knows it. The owner can't count it or make up for one that is lost, so this store counts it as
// one of a message with too few copies.
func (n *Node) isUnconfirmed(e *message.Entry) bool {
	return e.Stored && !e.Ended() && e.Seq == 0 && !e.OwnerKnows && n.table.OwnedEpoch(e.Partition) == 0
}

// collectScrub adds a copy that is held for another store to what its owner is asked about.
func (n *Node) collectScrub(e *message.Entry, now time.Duration, ask map[string][]*rpc.Fate) {
	if e.Ended() || now < e.ScrubAt {
		return
	}
	owner, _, ok := n.view.Owner(e.Partition)
	if !ok || owner.Disk == n.disk || len(ask[owner.Disk]) >= scrubBatch {
		return
	}
	e.ScrubAt = now + scrubAgain
	if n.isUnconfirmed(e) {
		e.ScrubAt = now + scrubUnconfirmed
	}
	fate := e.Fate()
	fate.Unreadable = e.Unreadable
	ask[owner.Disk] = append(ask[owner.Disk], fate)
}

// scrub asks an owner what became of copies, and offers it those that it does not know.
func (n *Node) scrub(owner *peer, fates []*rpc.Fate) {
	ctx, cancel := context.WithTimeout(context.Background(), scrubWithin)
	defer cancel()
	reply, err := n.cluster.Store(owner.address).Scrub(ctx, &rpc.ScrubRequest{Caller: n.disk, Fates: fates})
	if err != nil {
		return
	}
	n.do(func() {
		for _, fate := range reply.Fates {
			n.applyFate(fate)
		}
		n.confirm(fates, reply)
	})
}

// confirm notes which of the copies that an owner was asked about it knows.
func (n *Node) confirm(asked []*rpc.Fate, reply *rpc.ScrubReply) {
	open := map[string]bool{}
	for _, name := range reply.Unknown {
		open[name] = true
	}
	for _, name := range reply.Unconfirmed {
		open[name] = true
	}
	for _, fate := range asked {
		if e := n.table.Get(fate.Name); e != nil && !open[fate.Name] {
			e.OwnerKnows = true
		}
	}
}

// Scrub implements rpc.Store: it answers a holder, and takes messages that this owner does not know.
func (n *Node) Scrub(_ context.Context, request *rpc.ScrubRequest) (*rpc.ScrubReply, error) {
	reply := &rpc.ScrubReply{}
	if !n.do(func() {
		for _, fate := range request.Fates {
			n.scrubOne(request.Caller, fate, reply)
		}
	}) {
		return nil, errClosed
	}
	if len(reply.Unknown) > 0 {
		go n.take(request.Caller, reply.Unknown)
	}
	return reply, nil
}

func (n *Node) scrubOne(caller string, fate *rpc.Fate, reply *rpc.ScrubReply) {
	entry := n.table.Get(fate.Name)
	isReady := n.table.IsReady(fate.Partition)
	if entry == nil && isReady {
		reply.Unknown = append(reply.Unknown, fate.Name)
		return
	}
	if !isReady {
		reply.Unconfirmed = append(reply.Unconfirmed, fate.Name)
	}
	if entry == nil {
		return
	}
	if fate.Unreadable {
		n.dropHolder(entry, caller)
	} else {
		entry.AddHolder(caller) // also of one that has ended: what is owed for it may have to be restored from there
	}
	if entry.Ended() {
		reply.Fates = append(reply.Fates, entry.Fate())
	}
}

// take fetches messages that a holder has for a partition owned here.
func (n *Node) take(holder string, names []string) {
	one := n.peers.get(holder)
	if one == nil {
		return
	}
	for len(names) > 0 {
		count := min(batchMessages, len(names))
		ctx, cancel := context.WithTimeout(context.Background(), scrubWithin)
		reply, err := n.cluster.Store(one.address).Fetch(ctx, &rpc.FetchRequest{Names: names[:count]})
		cancel()
		if err != nil {
			return
		}
		names = names[count:]
		n.do(func() {
			for _, m := range reply.Messages {
				n.takeOne(holder, m)
			}
		})
	}
}

func (n *Node) takeOne(holder string, m *rpc.Message) {
	if n.table.Get(m.Name) != nil || !n.table.IsReady(m.Partition) {
		return
	}
	now := n.now()
	entry := message.NewEntry(m, now)
	entry.ReadUnder = n.tableVersion()
	if entry.OrderKey != "" && entry.Seq == 0 {
		n.table.AssignSeq(entry)
	}
	if n.write(entry, m) != rpc.PutStatus_STORED {
		return
	}
	entry.Body = nil
	entry = n.table.Add(entry, now)
	entry.AddHolder(holder)
	if !entry.Ended() && n.expired(entry, now) { // the holder can't tell whether it was run, so it is never begun here
		n.table.MarkEnded(entry, rpc.State_DEAD, "", now)
		n.tell(entry)
	}
	n.pumpDue = true
}
