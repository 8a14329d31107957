package storenode

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// The log at the start of a store.

// openLog replays the log, and writes the disk's identity where it has none.
func (n *Node) openLog(aroundSync func(sync func() error) error) error {
	options := applog.Options{MaxBytes: n.logBytes(), AroundSync: aroundSync, OnCorrupt: func(at applog.Position) {
		n.log.Info("a record of the log is corrupt; other stores hold copies", "offset", at.Offset)
	}}
	file, err := applog.Open(n.settings.DataDir, logName, options, n.replay)
	if err != nil {
		return errors.Wrap(err, "storenode: log")
	}
	n.file = file
	if n.disk == "" {
		n.disk = newIdentity()
		if _, err := file.Append(encodeText(recordIdentity, time.Now(), n.disk)); err != nil {
			return errors.Wrap(err, "storenode: identity")
		}
	}
	n.starts++
	n.incarnation = n.startNumber() + "-" + newIdentity()[:8]
	return errors.Wrap(n.recordStart(), "storenode: start")
}

// recordStart makes the number of this start durable. A log without room for it is rewritten, which writes it too.
func (n *Node) recordStart() error {
	_, err := n.file.Append(encodeText(recordStart, time.Now(), n.startNumber()))
	if errors.Is(err, applog.ErrFull) {
		return n.rewrite()
	}
	if err != nil {
		return err
	}
	return n.file.Wait()
}

// startNumber is the number of this start, in a form that sorts.
func (n *Node) startNumber() string { return fmt.Sprintf("%08x", n.starts) }

// logBytes is the size that the log may reach; the rest of the disk is for its rewriting.
func (n *Node) logBytes() int64 { return int64(n.settings.Limits.DiskMb) << 20 * 6 / 10 }

// replay enters one record of the log into the table.
func (n *Node) replay(at applog.Position, data []byte) error {
	r, err := decodeRecord(data)
	if err != nil {
		return err
	}
	elapsed := max(0, time.Since(r.written))
	switch r.kind {
	case recordIdentity:
		n.disk = string(r.payload)
	case recordStart:
		if n.starts, err = strconv.ParseUint(string(r.payload), 16, 64); err != nil {
			return errors.Wrap(err, "storenode: start record")
		}
	case recordMessage:
		m := &rpc.Message{}
		if err := proto.Unmarshal(r.payload, m); err != nil {
			return errors.Wrap(err, "storenode: message record")
		}
		n.replayMessage(at, m, elapsed)
	case recordFate:
		f := &rpc.Fate{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: fate record")
		}
		n.replayFate(f, elapsed)
	case recordFence:
		f := &rpc.PartitionEpoch{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: fence record")
		}
		n.table.RaiseFence(f.Partition, f.Epoch)
	}
	return nil
}

func (n *Node) replayMessage(at applog.Position, m *rpc.Message, elapsed time.Duration) {
	entry := message.NewEntry(m, n.now())
	entry.Arrived -= elapsed
	entry.Due -= elapsed
	entry.EndedAt -= elapsed
	entry.BodyBytes, entry.Body = len(m.Body), nil
	entry = n.table.Add(entry, n.now())
	entry.SetRecord(at)
}

func (n *Node) replayFate(f *rpc.Fate, elapsed time.Duration) {
	entry := n.table.Get(f.Name)
	if entry == nil && f.State != rpc.State_QUEUED { // the message itself was dropped when the log was rewritten
		n.table.Add(&message.Entry{Name: f.Name, Partition: f.Partition, State: f.State, Stamp: f.Stamp,
			EndedAt: n.now() - elapsed}, n.now())
		return
	}
	if entry == nil {
		return
	}
	entry.Attempts = max(entry.Attempts, f.Attempts)
	if f.State != rpc.State_QUEUED {
		n.table.MarkEnded(entry, f.State, f.Stamp, n.now())
		entry.EndedAt -= elapsed
	}
}
