package storenode

import (
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	minRewriteBytes     = 24 << 20 // a shorter log is not rewritten unless it is nearly full
	recordOverheadBytes = 400      // approximate size of a record without the body
)

// rewriteIfNeeded rewrites the log if at least half of it is obsolete, or if it had no space for a fate or a fence.
func (n *Node) rewriteIfNeeded() {
	size := n.file.Size()
	live := int64(n.table.LiveBytes() + recordOverheadBytes*n.table.Len())
	full := n.maxLogBytes() > 0 && size > n.maxLogBytes()*9/10
	if !n.rewriteNeeded && (size < minRewriteBytes && !full || live > size/2) {
		return
	}
	if err := n.rewrite(); err != nil {
		n.log.Error(err, "log not rewritten")
		return
	}
	n.rewriteNeeded = false
}

// rewrittenRecord is the position of an entry's record in the rewritten log.
type rewrittenRecord struct {
	entry    *message.Entry
	position applog.Position
}

// rewrite replaces the log by one that holds only the current state.
func (n *Node) rewrite() error {
	var rewritten []rewrittenRecord
	err := n.file.Rewrite(func(write func([]byte) (applog.Position, error)) error {
		if _, err := write(encodeText(recordIdentity, time.Now(), n.disk)); err != nil {
			return err
		}
		if _, err := write(encodeText(recordStart, time.Now(), n.startNumberText())); err != nil {
			return err
		}
		for id, epoch := range n.table.Fences() {
			data, err := encodeRecord(recordFence, time.Now(), &rpc.PartitionEpoch{Partition: id, Epoch: epoch})
			if err != nil {
				return err
			}
			if _, err := write(data); err != nil {
				return err
			}
		}
		var firstErr error
		n.table.Each(func(e *message.Entry) {
			if firstErr == nil {
				firstErr = n.rewriteEntry(e, write, &rewritten)
			}
		})
		return firstErr
	})
	if err != nil {
		return err
	}
	for _, p := range rewritten {
		p.entry.Record = p.position
	}
	return nil
}

// rewriteEntry writes the record of one entry: the message with its body, or only the fate if the message is completed, or has ended and is not
// stored here. A queued message that is not stored here needs no record.
func (n *Node) rewriteEntry(e *message.Entry, write func([]byte) (applog.Position, error), rewritten *[]rewrittenRecord) error {
	now := n.now()
	if e.State == rpc.State_COMPLETED || !e.Stored {
		if !e.Ended() {
			return nil
		}
		data, err := encodeRecord(recordFate, time.Now().Add(e.EndedAt-now), e.Fate())
		if err != nil {
			return err
		}
		_, err = write(data)
		return err
	}
	m, err := n.readMessage(e.Record, e.Name)
	if err != nil {
		e.Stored = false // unreadable here; other stores hold copies
		return nil
	}
	data, err := encodeRecord(recordMessage, time.Now(), withBody(e.Message(now), m.Body))
	if err != nil {
		return err
	}
	position, err := write(data)
	*rewritten = append(*rewritten, rewrittenRecord{entry: e, position: position})
	return err
}
