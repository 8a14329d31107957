package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// backgroundMessages is large enough that verifyNextBatch hardly reaches a given message within a test.
const backgroundMessages = 40 * verifyPerSecond

// storeManyMessages stores background messages and one named m, with copies of m on the owner and on two other stores.
func storeManyMessages(w *world) (owner, holder, spare *machine) {
	w.t.Helper()
	owner, epoch := w.owner(0)
	must.Eq(w.t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
	for i := range backgroundMessages {
		must.Eq(w.t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("other", i), "")))
	}
	holder = w.holderOf("m", owner)
	for _, m := range w.machines {
		if m != owner && m != holder {
			spare = m
		}
	}
	must.Eq(w.t, rpc.PutStatus_STORED, w.put(spare, rpc.PutMode_HOLDER, epoch, w.delayedMessage("m", "")))
	time.Sleep(2 * scrubInitialDelay) // the owner learns of the third copy
	must.Eq(w.t, 3, owner.countedCopies("m"))
	return owner, holder, spare
}

// readableCopies returns the number of stores that can read a message.
func (w *world) readableCopies(name string) int {
	count := 0
	for _, m := range w.machines {
		if p := m.running(); p != nil && p.node.readStored(name) != nil {
			count++
		}
	}
	return count
}

// The retirement of a store must not complete before the remaining copies were read.
func TestRetirementWaitsForCopiesToBeReadBack(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		_, holder, leaving := storeManyMessages(w)
		flipBit(t, holder.running(), "m")
		w.control.retire(leaving.settings.Node)
		for !w.control.hasRetired() {
			time.Sleep(10 * time.Millisecond)
		}
		leaving.stop(shutdown{loseDisk: true})
		must.Eq(t, 2, w.readableCopies("m"))
	})
}

// If a disk is lost, the next owner must read the remaining copies before it counts them.
func TestNextOwnerReadsRemainingCopies(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, holder, spare := storeManyMessages(w)
		flipBit(t, holder.running(), "m")
		flipBit(t, spare.running(), "m")
		_, epoch := w.owner(0)
		owner.stop(shutdown{loseDisk: true})
		owner.start()
		next := owner
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			next, newer = w.owner(0)
		}
		for next.countedCopies("m") < 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second) // 1,280 messages need five batches
		must.Eq(t, 0, next.countedCopies("m"))
		must.Eq(t, 1, next.running().node.underCopied.Load())
	})
}

// A holder that does not answer read requests must not block a retirement: the owner makes other copies.
func TestUnresponsiveHolderIsReplacedDuringRetirement(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, holder, leaving := storeManyMessages(w)
		defer w.cutLink(owner.name, holder.name)()
		w.control.retire(leaving.settings.Node)
		began := time.Now()
		for !w.control.hasRetired() {
			must.Less(t, 30*time.Second, time.Since(began))
			time.Sleep(10 * time.Millisecond)
		}
		must.Greater(t, maxUnansweredReads*heldTimeout, time.Since(began)) // it was waited for first
		must.GreaterEq(t, 3, w.readableCopies("m"))                        // the unresponsive store still has its copy
	})
}

// Held reports all corrupt records in one answer.
func TestHeldReportsAllCorruptRecords(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _, _ := storeManyMessages(w)
		names := []string{"other0", "other1", "other2"}
		for _, name := range names {
			flipBit(t, owner.running(), name)
		}
		reply, err := owner.running().node.Held(t.Context(), &rpc.HeldRequest{Names: append(names, "m"), Read: true})
		must.NoError(t, err)
		must.Eq(t, names, reply.Lacking)
	})
}

// A record that a rewrite moved while it was read proves nothing about the copy.
func TestRecordMovedDuringReadIsNotCorrupt(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _, _ := storeManyMessages(w)
		node := owner.running().node
		var before recordRef
		node.do(func() { before.entry = node.table.Get("m") })
		before.record = before.entry.Record
		before.record.Offset++
		_, err := node.readCopy(before)
		must.Error(t, err)
		must.False(t, isCorrupt(err))
		must.Eq(t, 3, owner.countedCopies("m"))
	})
}

// A disk that counts again needs no read-back for the time in which it did not count.
func TestDiskThatCountsAgainIsNotLost(t *testing.T) {
	var lost diskLosses
	entry := &message.Entry{Holders: []string{"a", "b"}}
	both, reduced := map[string]string{"a": "zone-1", "b": "zone-2"}, map[string]string{"a": "zone-1"}
	lost.update(nil, both, 1)
	must.False(t, lost.needsReadBack(entry))
	lost.update(both, reduced, 2)
	must.True(t, lost.needsReadBack(entry))
	lost.update(reduced, both, 3)
	must.False(t, lost.needsReadBack(entry))
}

// Messages accepted after a loss are newly written, so their copies are not read back, however long the lost disk is away.
func TestMessagesAcceptedAfterLossAreNotReadBack(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _, _ := storeManyMessages(w)
		_, epoch := w.owner(0)
		owner.stop(shutdown{loseDisk: true})
		owner.start()
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			_, newer = w.owner(0)
		}
		time.Sleep(10 * time.Second) // enough to read back the earlier messages
		next, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(next, rpc.PutMode_OWNER, epoch, w.delayedMessage("accepted", "")))
		must.False(t, next.needsReadBack("accepted"))
		other := w.holderOf("m", next)
		must.Eq(t, rpc.PutStatus_STORED, w.put(other, rpc.PutMode_HOLDER, epoch, w.delayedMessage("bypassing", "")))
		must.False(t, other.needsReadBack("bypassing"))
		for next.countedCopies("bypassing") < 0 { // until the owner has fetched it from its holder
			time.Sleep(time.Millisecond)
		}
		must.False(t, next.needsReadBack("bypassing"))
	})
}

// needsReadBack reports whether the store on a machine would read the copies of a message back because of a loss under the newest map.
func (m *machine) needsReadBack(name string) bool {
	node := m.running().node
	isOld := false
	node.do(func() { isOld = node.table.Get(name).ReadUnder < node.diskLosses.newestLoss() })
	return isOld
}

// newestLoss returns the newest map version under which a disk ceased to count.
func (l *diskLosses) newestLoss() uint64 {
	newestLoss := uint64(0)
	for _, version := range l.lostAtVersion {
		newestLoss = max(newestLoss, version)
	}
	return newestLoss
}

// Copies are read back in batches of at most maxReadBackBatch messages, and only once.
func TestCopiesAreReadBackOnce(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, _, leaving := storeManyMessages(w)
		w.control.retire(leaving.settings.Node)
		for !w.control.hasRetired() {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		node := owner.running().node
		unread := 0
		node.do(func() {
			for _, name := range []string{"m", "other0"} {
				if node.diskLosses.needsReadBack(node.table.Get(name)) {
					unread++
				}
			}
		})
		must.Eq(t, 0, unread)
		must.Eq(t, 0, node.underCopied.Load())
	})
}
