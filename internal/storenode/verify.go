package storenode

import (
	"github.com/pkg/errors"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// verifyPerSecond is the number of records read and checked per second. All records of a store with N messages are read about every
// N/verifyPerSecond seconds.
const verifyPerSecond = 32

// recordRef identifies the record of a message, at its position when the reference was made.
type recordRef struct {
	entry  *message.Entry
	record applog.Position
}

// verifyNextBatch reads the next records of messages whose bodies are still needed. Corrupt ones are restored from another store.
func (n *Node) verifyNextBatch() {
	if n.verifyRunning {
		return
	}
	if len(n.verifyQueue) == 0 {
		n.table.Each(func(e *message.Entry) {
			if e.Stored && e.State != rpc.State_COMPLETED {
				n.verifyQueue = append(n.verifyQueue, e)
			}
		})
	}
	count := min(verifyPerSecond, len(n.verifyQueue))
	if count == 0 {
		return
	}
	batch := make([]recordRef, 0, count)
	for _, e := range n.verifyQueue[:count] {
		if e.Stored && e.State != rpc.State_COMPLETED {
			batch = append(batch, recordRef{entry: e, record: e.Record})
		}
	}
	n.verifyQueue = n.verifyQueue[count:]
	n.verifyRunning = true
	go n.verifyRecords(batch)
}

// verifyRecords reads a batch of records; readCopy starts to restore corrupt ones.
func (n *Node) verifyRecords(batch []recordRef) {
	for _, ref := range batch {
		_, _ = n.readCopy(ref)
	}
	n.post(func() { n.verifyRunning = false })
}

// readCopy reads a message from the log. If its record is corrupt, it is restored from another store. If the record has been moved by a
// rewrite meanwhile, the error is one for which isCorrupt returns false.
func (n *Node) readCopy(ref recordRef) (*rpc.Message, error) {
	m, err := n.readMessage(ref.record, ref.entry.Name)
	if !isCorrupt(err) {
		return m, err
	}
	isMoved := false
	n.do(func() {
		isMoved = ref.entry.Record != ref.record
		n.restoreRecord(ref)
	})
	if isMoved {
		return nil, errors.New("storenode: the log was rewritten during the read")
	}
	return nil, err
}

// isCorrupt reports whether a record turned out not to be the message that was written there. Errors of a disk that does not answer prove
// nothing.
func isCorrupt(err error) bool { return errors.Is(err, applog.ErrCorrupt) }

// markUnreadable stops counting a copy whose record is corrupt, here and at the owner of its partition. It returns false if the copy did
// not count before.
func (n *Node) markUnreadable(ref recordRef) bool {
	entry := ref.entry
	isCurrent := entry.Stored && entry.Record == ref.record
	if !isCurrent || entry.Unreadable {
		return false
	}
	n.log.Info("a record is corrupt; restoring it from another store", "message", entry.Name, "offset", ref.record.Offset)
	n.counters.copiesUnreadable.Add(1)
	entry.Unreadable = true
	entry.ScrubAt = n.now()
	if n.table.OwnedEpoch(entry.Partition) > 0 {
		n.underCopied.addMissing(1)
	}
	return true
}

// restoreRecord restores a message whose record is corrupt from another store that holds it. It tries only once; after that the owner
// restores the copy.
func (n *Node) restoreRecord(ref recordRef) {
	if !n.markUnreadable(ref) {
		return
	}
	sources := append([]string(nil), ref.entry.Holders...)
	if n.view != nil {
		if owner, _, ok := n.view.Owner(ref.entry.Partition); ok && owner.Disk != n.disk {
			sources = append(sources, owner.Disk)
		}
	}
	go func() {
		if m := n.fetchFromHolders(ref.entry.Name, sources); m != nil {
			n.post(func() { n.appendFetched(ref.entry, m) })
		}
	}()
}
