package storenode

import "time"

const (
	stalledAfter   = 400 * time.Millisecond // a sync that takes longer shows a disk that does not answer
	refusalLasts   = time.Second            // that a message refused for want of room counts for
	acceptBuffered = 256 << 10              // bytes waiting for the disk above which no message is taken: room is kept for fates
)

// impaired reports whether the disk keeps this store from accepting messages, so that other stores should own its partitions.
func (n *Node) impaired() bool {
	refused := n.refusedAt.Load()
	return n.file.OldestSyncWait() >= stalledAfter || n.file.Full() || refused > 0 && n.now()-time.Duration(refused) < refusalLasts
}

// hasRoom reports whether a message of so many bytes may be written. A part of the log is kept for what becomes of messages. A disk
// that does not keep up takes none either, rather than hold this store up.
func (n *Node) hasRoom(bytes int64) bool {
	if bound := n.logBytes(); bound > 0 && n.file.Size()+bytes > bound-bound/reservePart {
		n.refusedAt.Store(int64(n.now()))
		return false
	}
	return n.file.BufferedBytes() <= acceptBuffered
}
