package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	scrubInitialDelay        = 1500 * time.Millisecond // a holder asks the owner about a new copy after this time
	scrubInterval            = 4 * time.Second         // and then at this interval
	unconfirmedScrubInterval = 400 * time.Millisecond  // replaces both if the owner may not know of the copy
	maxScrubBatch            = 500                     // copies per request
	scrubTimeout             = time.Second
)

// isUnconfirmed reports whether a copy may be unknown to the owner of its partition: a dispatcher wrote it bypassing the owner, which has
// not confirmed it since. The owner can neither count nor restore such a copy, so this store reports the message as having too few copies.
func (n *Node) isUnconfirmed(e *message.Entry) bool {
	return e.Stored && !e.Ended() && e.Seq == 0 && !e.OwnerKnows && n.table.OwnedEpoch(e.Partition) == 0
}

// collectScrub adds a copy held for another store to the request to its owner, if its scrub is due.
func (n *Node) collectScrub(e *message.Entry, now time.Duration, fatesByOwner map[string][]*rpc.Fate) {
	if e.Ended() || now < e.ScrubAt {
		return
	}
	owner, _, ok := n.view.Owner(e.Partition)
	if !ok || owner.Disk == n.disk || len(fatesByOwner[owner.Disk]) >= maxScrubBatch {
		return
	}
	e.ScrubAt = now + scrubInterval
	if n.isUnconfirmed(e) {
		e.ScrubAt = now + unconfirmedScrubInterval
	}
	fate := e.Fate()
	fate.Unreadable = e.Unreadable
	fatesByOwner[owner.Disk] = append(fatesByOwner[owner.Disk], fate)
}

// scrub asks an owner for the fates of copies. The owner fetches the messages that it does not know.
func (n *Node) scrub(owner *peer, fates []*rpc.Fate) {
	ctx, cancel := context.WithTimeout(context.Background(), scrubTimeout)
	defer cancel()
	reply, err := n.cluster.Store(owner.address).Scrub(ctx, &rpc.ScrubRequest{Caller: n.disk, Fates: fates})
	if err != nil {
		return
	}
	n.do(func() {
		for _, fate := range reply.Fates {
			n.applyFate(fate)
		}
		n.markConfirmed(fates, reply)
	})
}

// markConfirmed marks the copies that the owner knows.
func (n *Node) markConfirmed(asked []*rpc.Fate, reply *rpc.ScrubReply) {
	unconfirmed := map[string]bool{}
	for _, name := range reply.Unknown {
		unconfirmed[name] = true
	}
	for _, name := range reply.Unconfirmed {
		unconfirmed[name] = true
	}
	for _, fate := range asked {
		if e := n.table.Get(fate.Name); e != nil && !unconfirmed[fate.Name] {
			e.OwnerKnows = true
		}
	}
}

// Scrub implements rpc.Store: it returns the final states of messages that a holder asks about, and fetches the messages that this owner
// does not know.
func (n *Node) Scrub(_ context.Context, request *rpc.ScrubRequest) (*rpc.ScrubReply, error) {
	reply := &rpc.ScrubReply{}
	if !n.do(func() {
		for _, fate := range request.Fates {
			n.answerScrub(request.Caller, fate, reply)
		}
	}) {
		return nil, errClosed
	}
	if len(reply.Unknown) > 0 {
		go n.fetchUnknown(request.Caller, reply.Unknown)
	}
	return reply, nil
}

// answerScrub adds the answer for one copy to the reply.
func (n *Node) answerScrub(caller string, fate *rpc.Fate, reply *rpc.ScrubReply) {
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
		n.removeHolder(entry, caller)
	} else {
		entry.AddHolder(caller) // ended messages too: their copies may be needed to restore others
	}
	if entry.Ended() {
		reply.Fates = append(reply.Fates, entry.Fate())
	}
}

// fetchUnknown fetches messages from a holder for a partition owned here.
func (n *Node) fetchUnknown(holder string, names []string) {
	peer := n.peers.get(holder)
	if peer == nil {
		return
	}
	for len(names) > 0 {
		count := min(maxBatchMessages, len(names))
		ctx, cancel := context.WithTimeout(context.Background(), scrubTimeout)
		reply, err := n.cluster.Store(peer.address).Fetch(ctx, &rpc.FetchRequest{Names: names[:count]})
		cancel()
		if err != nil {
			return
		}
		names = names[count:]
		n.do(func() {
			for _, m := range reply.Messages {
				n.addFetched(holder, m)
			}
		})
	}
}

// addFetched adds a fetched message to the table and the log.
func (n *Node) addFetched(holder string, m *rpc.Message) {
	if n.table.Get(m.Name) != nil || !n.table.IsReady(m.Partition) {
		return
	}
	now := n.now()
	entry := message.NewEntry(m, now)
	entry.ReadUnder = n.mapVersion()
	if entry.OrderKey != "" && entry.Seq == 0 {
		n.table.AssignSeq(entry)
	}
	if n.appendMessage(entry, m) != rpc.PutStatus_STORED {
		return
	}
	entry.Body = nil
	entry = n.table.Add(entry, now)
	entry.AddHolder(holder)
	if !entry.Ended() && (n.isExpired(entry, now) || n.isUnrouted(entry)) { // the holder does not know whether it has run, so it must not run here
		n.table.MarkEnded(entry, rpc.State_DEAD, "", now)
		n.publishFate(entry)
	}
	n.schedulePending = true
}
