package storenode

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// fullCheckTime is how long an owner of few messages needs to check the copies on all other stores and to restore missing ones.
const fullCheckTime = 8 * time.Second

// Records that become corrupt while their store is down are missing after its restart. The owner must stop counting them, and must check
// the copies on a restarted store before all others.
func TestCopiesLostWhileTheirStoreWasDownAreRestored(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		const ended, others, lost = "ended", 8 * copyChecksPerSecond, 12
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(ended, "")))
		for i := range others {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage(fmt.Sprint("m", i), "")))
		}
		node := owner.running().node
		node.do(func() {
			entry := node.table.Get(ended)
			node.table.MarkEnded(entry, rpc.State_DEAD, "", node.now())
			node.publishFate(entry)
		})
		time.Sleep(time.Second)
		holder := w.holderOf(ended, owner)
		offsets := map[string]int64{ended: recordOffset(holder.running(), ended)}
		for i := 0; len(offsets) < lost; i++ {
			if name := fmt.Sprint("m", i); holds(holder.running(), name) {
				offsets[name] = recordOffset(holder.running(), name)
			}
		}
		holder.stop(shutdown{})
		for _, offset := range offsets {
			flipBitAt(t, holder.settings.DataDir, offset)
		}
		holder.start()
		time.Sleep(3 * time.Second)
		for name := range offsets {
			must.Eq(t, 2, w.copyCount(name), must.Sprint(name))
		}
	})
}

// An unreadable copy counts neither at its holder nor at the owner, and is reported to later owners.
func TestUnreadableCopiesDoNotCount(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		time.Sleep(time.Second)
		holder := w.holderOf("m", owner)
		flipBit(t, owner.running(), "m")
		flipBit(t, holder.running(), "m")
		time.Sleep(scrubInterval)
		for range 20 { // the holder's scrubs continue and must not add it as a holder again
			time.Sleep(scrubInterval / 8)
			must.Eq(t, 0, owner.countedCopies("m"))
			must.Eq(t, 1, owner.running().node.underCopied.Load())
		}
		reply, err := holder.running().node.Held(t.Context(), &rpc.HeldRequest{Names: []string{"m", "unknown"}})
		must.NoError(t, err)
		must.Eq(t, []string{"m", "unknown"}, reply.Lacking)

		owner.stop(shutdown{loseDisk: true})
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			owner, newer = w.owner(0)
		}
		for owner.countedCopies("m") < 0 { // until it has gathered the message
			time.Sleep(time.Millisecond)
		}
		must.Eq(t, 0, owner.countedCopies("m"))
	})
}

// A copy that disappears while its store is running is found by the periodic check.
func TestMissingCopyIsFoundByPeriodicCheck(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		time.Sleep(time.Second)
		holder := w.holderOf("m", owner).running()
		holder.node.do(func() { holder.node.table.Get("m").Stored = false })
		time.Sleep(fullCheckTime)
		must.Eq(t, 2, w.copyCount("m"))
	})
}

// A final state that its holder has lost is restored, even if the owner has already found enough copies under the current map.
func TestMissingFinalStateIsFoundByPeriodicCheck(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		node := owner.running().node
		node.do(func() {
			entry := node.table.Get("m")
			node.table.MarkEnded(entry, rpc.State_COMPLETED, "stamp", node.now())
			node.publishFate(entry)
		})
		time.Sleep(2 * time.Second)
		holder := w.holderOf("m", owner).running()
		holder.node.do(func() { holder.node.table.ExpireEnded(0, holder.node.now()) })
		time.Sleep(fullCheckTime)
		known := 0
		for _, m := range w.machines {
			p := m.running()
			p.node.do(func() {
				if p.node.table.Get("m") != nil {
					known++
				}
			})
		}
		must.Eq(t, 2, known)
	})
}

// holderOf returns a machine other than the owner whose store holds a message.
func (w *world) holderOf(name string, owner *machine) *machine {
	for _, m := range w.machines {
		if m != owner && m.running() != nil && holds(m.running(), name) {
			return m
		}
	}
	w.t.Fatal("no other store holds ", name)
	return nil
}

// countedCopies returns how many copies of a message the store on a machine counts, or -1 if it does not know the message.
func (m *machine) countedCopies(name string) int {
	node := m.running().node
	counted := -1
	node.do(func() {
		if entry := node.table.Get(name); entry != nil {
			counted = entry.CountCopies(node.replicaPolicy.failureDomains, node.ownDomain())
		}
	})
	return counted
}

// recordOffset returns the offset of a message's record in the log of a store.
func recordOffset(p *process, name string) int64 {
	var offset int64
	p.node.do(func() { offset = p.node.table.Get(name).Record.Offset })
	return offset
}

// flipBitAt flips one bit of the record at an offset of the log.
func flipBitAt(t *testing.T, folder string, offset int64) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(folder, logFileName), os.O_RDWR, 0)
	must.NoError(t, err)
	defer file.Close()
	buffer := make([]byte, 1)
	_, err = file.ReadAt(buffer, offset+recordHeaderBytes+2)
	must.NoError(t, err)
	buffer[0] ^= 4
	_, err = file.WriteAt(buffer, offset+recordHeaderBytes+2)
	must.NoError(t, err)
}
