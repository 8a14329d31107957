package storenode

import (
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	rewriteLeast  = 24 << 20 // a log below this is not rewritten
	rewriteRecord = 400      // bytes that a record costs beside its body, roughly
)

// maybeRewrite rewrites the log when most of it is no longer needed, or had no room for what became of a message.
func (n *Node) maybeRewrite() {
	size := n.file.Size()
	live := int64(n.table.LiveBytes() + rewriteRecord*n.table.Len())
	full := n.logBytes() > 0 && size > n.logBytes()*9/10
	if !n.unwritten && (size < rewriteLeast && !full || live > size/2) {
		return
	}
	if err := n.rewrite(); err != nil {
		n.log.Error(err, "log not rewritten")
		return
	}
	n.unwritten = false
}

// place is where a record stands in the rewritten log.
type place struct {
	entry *message.Entry
	at    applog.Position
}

func (n *Node) rewrite() error {
	var places []place
	err := n.file.Rewrite(func(write func([]byte) (applog.Position, error)) error {
		if _, err := write(encodeText(recordIdentity, time.Now(), n.disk)); err != nil {
			return err
		}
		if _, err := write(encodeText(recordStart, time.Now(), n.startNumber())); err != nil {
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
		var failed error
		n.table.Each(func(e *message.Entry) {
			if failed == nil {
				failed = n.rewriteEntry(e, write, &places)
			}
		})
		return failed
	})
	if err != nil {
		return err
	}
	for _, p := range places {
		p.entry.Record = p.at
	}
	return nil
}

func (n *Node) rewriteEntry(e *message.Entry, write func([]byte) (applog.Position, error), places *[]place) error {
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
		e.Stored = false // lost here; the copies are on other stores
		return nil
	}
	data, err := encodeRecord(recordMessage, time.Now(), withBody(e.Message(now), m.Body))
	if err != nil {
		return err
	}
	at, err := write(data)
	*places = append(*places, place{entry: e, at: at})
	return err
}
