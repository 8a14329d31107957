package storenode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// Fates: the state that a message has reached. A fate is written to the log, reported to the stores that hold a copy, and, once final, kept
// on as many disks as the message itself.

// publishFate writes a message's fate to the log and reports it to the stores that hold a copy and to the partition's owner.
func (n *Node) publishFate(entry *message.Entry) {
	n.writeAndSyncFate(entry)
	fate := entry.Fate()
	for _, disk := range entry.Holders {
		if peer := n.peers.get(disk); peer != nil {
			peer.enqueueFate(fate)
		}
	}
	if n.table.OwnedEpoch(entry.Partition) > 0 || n.view == nil {
		return
	}
	if owner, _, ok := n.view.Owner(entry.Partition); ok && owner.Disk != n.disk {
		if peer := n.peers.get(owner.Disk); peer != nil {
			peer.enqueueFate(fate)
		}
	}
}

// writeAndSyncFate writes a message's fate to the log and requests a sync.
func (n *Node) writeAndSyncFate(entry *message.Entry) {
	if n.writeFate(entry) == nil {
		n.file.RequestSync(n.reportDiskError)
	}
}

// writeFate appends a message's fate to the log. If the log has no space for it, the log is rewritten soon, which includes the fate.
func (n *Node) writeFate(entry *message.Entry) error {
	writtenAt := time.Now()
	if entry.Ended() {
		writtenAt = writtenAt.Add(entry.EndedAt - n.now()) // replay computes the age of the final state from this time
	}
	data, err := encodeRecord(recordFate, writtenAt, entry.Fate())
	if err != nil {
		return err
	}
	_, err = n.file.Append(data)
	switch {
	case errors.Is(err, applog.ErrFull):
		n.rewriteNeeded = true
	case err != nil:
		n.log.Error(err, "fate not written", "message", entry.Name)
	}
	return err
}

// mergeRemote merges a message as another store knows it into the table. The final state of a completed message is appended to the log
// without a sync: it must be kept for its retention time, and every store that knows it counts as holding it. A dead letter is written with
// its body when that is copied here.
func (n *Node) mergeRemote(m *rpc.Message) *message.Entry {
	now := n.now()
	known := n.table.Get(m.Name)
	previous := rpc.State_QUEUED
	if known != nil {
		previous = known.State
	}
	entry := n.table.Add(message.NewEntry(m, now), now)
	if entry.State == previous {
		return entry
	}
	if known == nil {
		n.counters.endsLearnt.Add(1)
	}
	if known != nil || entry.State == rpc.State_COMPLETED {
		_ = n.writeFate(entry) // an error is logged, or causes a rewrite of the log
	}
	return entry
}

// storeFinalState stores the final state of a completed message for its owner. The caller must wait for the sync.
func (n *Node) storeFinalState(m *rpc.Message) rpc.PutStatus {
	known := n.table.Get(m.Name)
	if known != nil && known.State == rpc.State_COMPLETED {
		return rpc.PutStatus_STORED
	}
	entry := n.table.Add(message.NewEntry(m, n.now()), n.now())
	if n.writeFate(entry) != nil {
		return rpc.PutStatus_FAILED // the state is known here but may not be durable
	}
	return rpc.PutStatus_STORED
}

// Report implements rpc.Store: it applies the fates of messages that this store holds.
func (n *Node) Report(_ context.Context, request *rpc.ReportRequest) (*rpc.ReportReply, error) {
	if !n.do(func() {
		for _, fate := range request.Fates {
			n.applyFate(fate)
		}
	}) {
		return nil, errClosed
	}
	return &rpc.ReportReply{}, nil
}

// applyFate merges a reported fate into the table, and writes it to the log if it is new.
func (n *Node) applyFate(fate *rpc.Fate) {
	entry := n.table.Get(fate.Name)
	if entry == nil {
		return
	}
	changed := fate.Attempts > entry.Attempts
	entry.Attempts = max(entry.Attempts, fate.Attempts)
	if fate.State != rpc.State_QUEUED {
		changed = n.table.MarkEnded(entry, fate.State, fate.Stamp, n.now()) || changed
	}
	if changed {
		n.writeAndSyncFate(entry)
		n.schedulePending = true
	}
}
