package storenode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// What became of messages: it is written, told to the stores that hold a copy, and kept on as many disks as the messages themselves.

// tell writes what became of a message to the log, and reports it to the stores that hold a copy and to the partition's owner.
func (n *Node) tell(entry *message.Entry) {
	n.appendFate(entry)
	fate := entry.Fate()
	for _, disk := range entry.Holders {
		if one := n.peers.get(disk); one != nil {
			one.report(fate)
		}
	}
	if n.table.OwnedEpoch(entry.Partition) > 0 || n.view == nil {
		return
	}
	if owner, _, ok := n.view.Owner(entry.Partition); ok && owner.Disk != n.disk {
		if one := n.peers.get(owner.Disk); one != nil {
			one.report(fate)
		}
	}
}

// appendFate writes what became of a message, and has it synced together with what else is written.
func (n *Node) appendFate(entry *message.Entry) {
	if n.writeFate(entry) == nil {
		n.file.RequestSync(n.noteDisk)
	}
}

// writeFate appends what became of a message to the log. A log without room for it is rewritten soon, which writes it too.
func (n *Node) writeFate(entry *message.Entry) error {
	written := time.Now()
	if entry.Ended() {
		written = written.Add(entry.EndedAt - n.now()) // its age is taken from here when the log is replayed
	}
	data, err := encodeRecord(recordFate, written, entry.Fate())
	if err != nil {
		return err
	}
	_, err = n.file.Append(data)
	switch {
	case errors.Is(err, applog.ErrFull):
		n.unwritten = true
	case err != nil:
		n.log.Error(err, "fate not written", "message", entry.Name)
	}
	return err
}

// learn enters what another store knows of a message. The end of a completed message is written to the log, though not synced yet: it is
// owed for a time, and whoever knows it counts as one that keeps it. A dead letter is written with its body, when that is copied here.
func (n *Node) learn(m *rpc.Message) *message.Entry {
	now := n.now()
	known := n.table.Get(m.Name)
	before := rpc.State_QUEUED
	if known != nil {
		before = known.State
	}
	entry := n.table.Add(message.NewEntry(m, now), now)
	if entry.State == before {
		return entry
	}
	if known == nil {
		n.counters.endsLearnt.Add(1)
	}
	if known != nil || entry.State == rpc.State_COMPLETED {
		_ = n.writeFate(entry) // an error is logged, or has the log rewritten
	}
	return entry
}

// holdEnd keeps the end of a completed message for its owner. The caller waits for the sync.
func (n *Node) holdEnd(m *rpc.Message) rpc.PutStatus {
	known := n.table.Get(m.Name)
	if known != nil && known.State == rpc.State_COMPLETED {
		return rpc.PutStatus_STORED
	}
	entry := n.table.Add(message.NewEntry(m, n.now()), n.now())
	if n.writeFate(entry) != nil {
		return rpc.PutStatus_FAILED // the end is known here, but may not be kept
	}
	return rpc.PutStatus_STORED
}

// Report implements rpc.Store: it takes what became of messages that this store holds.
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
		n.appendFate(entry)
		n.pumpDue = true
	}
}
