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

// openLog opens and replays the log. It writes the disk's identity if the log is new, and the number of this start.
func (n *Node) openLog(aroundSync func(sync func() error) error) error {
	options := applog.Options{MaxBytes: n.maxLogBytes(), AroundSync: aroundSync, OnCorrupt: func(at applog.Position) {
		n.log.Info("log record is corrupt; other stores hold copies", "offset", at.Offset)
	}}
	file, err := applog.Open(n.settings.DataDir, logFileName, options, n.replay)
	if err != nil {
		return errors.Wrap(err, "storenode: open log")
	}
	n.file = file
	if n.disk == "" {
		n.disk = newRandomID()
		if _, err := file.Append(encodeText(recordIdentity, time.Now(), n.disk)); err != nil {
			return errors.Wrap(err, "storenode: write disk identity")
		}
	}
	n.startCount++
	n.incarnation = n.startNumberText() + "-" + newRandomID()[:8]
	return errors.Wrap(n.recordStart(), "storenode: write start number")
}

// recordStart writes the number of this start durably. If the log has no space for it, the log is rewritten, which includes the number.
func (n *Node) recordStart() error {
	_, err := n.file.Append(encodeText(recordStart, time.Now(), n.startNumberText()))
	if errors.Is(err, applog.ErrFull) {
		return n.rewrite()
	}
	if err != nil {
		return err
	}
	return n.file.Wait()
}

// startNumberText returns the number of this start in a form whose lexical order is the numeric one.
func (n *Node) startNumberText() string { return fmt.Sprintf("%08x", n.startCount) }

// maxLogBytes returns the size that the log may reach. The rest of the disk is left for rewriting the log.
func (n *Node) maxLogBytes() int64 { return int64(n.settings.Limits.DiskMb) << 20 * 6 / 10 }

// replay applies one record of the log to the table.
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
		if n.startCount, err = strconv.ParseUint(string(r.payload), 16, 64); err != nil {
			return errors.Wrap(err, "storenode: decode start record")
		}
	case recordMessage:
		m := &rpc.Message{}
		if err := proto.Unmarshal(r.payload, m); err != nil {
			return errors.Wrap(err, "storenode: decode message record")
		}
		n.replayMessage(at, m, elapsed)
	case recordFate:
		f := &rpc.Fate{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: decode fate record")
		}
		n.replayFate(f, elapsed)
	case recordFence:
		f := &rpc.PartitionEpoch{}
		if err := proto.Unmarshal(r.payload, f); err != nil {
			return errors.Wrap(err, "storenode: decode fence record")
		}
		n.table.RaiseFence(f.Partition, f.Epoch)
	}
	return nil
}

// replayMessage adds a message to the table. elapsed is the age of its record.
func (n *Node) replayMessage(at applog.Position, m *rpc.Message, elapsed time.Duration) {
	entry := message.NewEntry(m, n.now())
	entry.Arrived -= elapsed
	entry.Due -= elapsed
	entry.EndedAt -= elapsed
	entry.BodyBytes, entry.Body = len(m.Body), nil
	entry = n.table.Add(entry, n.now())
	entry.SetRecord(at)
}

// replayFate applies a fate to the table. elapsed is the age of its record.
func (n *Node) replayFate(f *rpc.Fate, elapsed time.Duration) {
	entry := n.table.Get(f.Name)
	if entry == nil && f.State != rpc.State_QUEUED { // a rewrite of the log kept the final state but not the message
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
