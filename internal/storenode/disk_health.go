package storenode

import "time"

const (
	stalledSyncThreshold   = 400 * time.Millisecond // a longer sync means that the disk does not respond
	refusalImpairedFor     = time.Second            // how long a message refused for lack of space makes the store impaired
	maxAcceptBufferedBytes = 256 << 10              // unwritten log bytes above which messages are refused, so that there is room for fates
)

// isImpaired reports whether the disk keeps this store from accepting messages, so that other stores should own its partitions.
func (n *Node) isImpaired() bool {
	refused := n.lastRefusedAt.Load()
	return n.file.OldestSyncWait() >= stalledSyncThreshold || n.file.Full() || refused > 0 && n.now()-time.Duration(refused) < refusalImpairedFor
}

// hasRoom reports whether a message of this size may be written. Part of the log is reserved for fates and fences. Messages are also
// refused while the disk is too slow, because an append to a full buffer would block the event loop.
func (n *Node) hasRoom(bytes int64) bool {
	if bound := n.maxLogBytes(); bound > 0 && n.file.Size()+bytes > bound-bound/reservedLogDivisor {
		n.lastRefusedAt.Store(int64(n.now()))
		return false
	}
	return n.file.BufferedBytes() <= maxAcceptBufferedBytes
}
