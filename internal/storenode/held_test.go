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

// oneTurn is how long an owner of few messages needs to ask every other store, and to restore what is missing.
const oneTurn = 8 * time.Second

// Records that go bad while their store is off are not among what the store reads at its start. The owner must not count them for ever,
// and learns of them before it has asked for all other messages in their turn.
func TestCopiesLostWhileTheirStoreWasOffAreRestored(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		const ended, others, lost = "ended", 8 * heldSteady, 12
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(ended, "")))
		for i := range others {
			must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle(fmt.Sprint("m", i), "")))
		}
		node := owner.running().node
		node.do(func() {
			entry := node.table.Get(ended)
			node.table.MarkEnded(entry, rpc.State_DEAD, "", node.now())
			node.tell(entry)
		})
		time.Sleep(time.Second)
		holder := w.holderOf(ended, owner)
		offsets := map[string]int64{ended: recordOffset(holder.running(), ended)}
		for i := 0; len(offsets) < lost; i++ {
			if name := fmt.Sprint("m", i); holds(holder.running(), name) {
				offsets[name] = recordOffset(holder.running(), name)
			}
		}
		holder.stop(end{})
		for _, offset := range offsets {
			flipBitAt(t, holder.settings.DataDir, offset)
		}
		holder.start()
		time.Sleep(3 * time.Second)
		for name := range offsets {
			must.Eq(t, 2, w.copies(name), must.Sprint(name))
		}
	})
}

// A copy that can't be read counts neither where it is nor at the owner, and is told of to a later owner.
func TestUnreadableCopiesDoNotCount(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("m", "")))
		time.Sleep(time.Second)
		holder := w.holderOf("m", owner)
		flipBit(t, owner.running(), "m")
		flipBit(t, holder.running(), "m")
		time.Sleep(scrubAgain)
		for range 20 { // the holder goes on asking what became of the message
			time.Sleep(scrubAgain / 8)
			must.Eq(t, 0, owner.countedCopies("m"))
			must.Eq(t, 1, owner.running().node.underCopied.Load())
		}
		reply, err := holder.running().node.Held(t.Context(), &rpc.HeldRequest{Names: []string{"m", "unknown"}})
		must.NoError(t, err)
		must.Eq(t, []string{"m", "unknown"}, reply.Lacking)

		owner.stop(end{loseDisk: true})
		for newer := epoch; newer == epoch; {
			time.Sleep(10 * time.Millisecond)
			owner, newer = w.owner(0)
		}
		for owner.countedCopies("m") < 0 { // until it has learnt of the message
			time.Sleep(time.Millisecond)
		}
		must.Eq(t, 0, owner.countedCopies("m"))
	})
}

// A copy that vanishes while its store runs is found in its turn.
func TestCopyThatAStoreLacksIsFoundInItsTurn(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("m", "")))
		time.Sleep(time.Second)
		holder := w.holderOf("m", owner).running()
		holder.node.do(func() { holder.node.table.Get("m").Stored = false })
		time.Sleep(oneTurn)
		must.Eq(t, 2, w.copies("m"))
	})
}

// The end of a completed message that its holder has lost is made up for, though the owner had found enough under this table of owners.
func TestEndThatAStoreLacksIsFoundInItsTurn(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("m", "")))
		node := owner.running().node
		node.do(func() {
			entry := node.table.Get("m")
			node.table.MarkEnded(entry, rpc.State_COMPLETED, "stamp", node.now())
			node.tell(entry)
		})
		time.Sleep(2 * time.Second)
		holder := w.holderOf("m", owner).running()
		holder.node.do(func() { holder.node.table.ExpireEnded(0, holder.node.now()) })
		time.Sleep(oneTurn)
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

// holderOf returns a machine beside the owner whose store holds a message.
func (w *world) holderOf(name string, owner *machine) *machine {
	for _, m := range w.machines {
		if m != owner && m.running() != nil && holds(m.running(), name) {
			return m
		}
	}
	w.t.Fatal("nobody holds ", name)
	return nil
}

// countedCopies returns how many copies of a message the store on a machine counts, -1 where it does not know the message.
func (m *machine) countedCopies(name string) int {
	node := m.running().node
	counted := -1
	node.do(func() {
		if entry := node.table.Get(name); entry != nil {
			counted = entry.CountCopies(node.holders.domains, node.ownDomain())
		}
	})
	return counted
}

// recordOffset returns where the log of a store holds a message.
func recordOffset(p *process, name string) int64 {
	var offset int64
	p.node.do(func() { offset = p.node.table.Get(name).Record.Offset })
	return offset
}

// flipBitAt changes one bit of a record on the disk.
func flipBitAt(t *testing.T, folder string, offset int64) {
	t.Helper()
	file, err := os.OpenFile(filepath.Join(folder, logName), os.O_RDWR, 0)
	must.NoError(t, err)
	defer file.Close()
	one := make([]byte, 1)
	_, err = file.ReadAt(one, offset+recordHeader+2)
	must.NoError(t, err)
	one[0] ^= 4
	_, err = file.WriteAt(one, offset+recordHeader+2)
	must.NoError(t, err)
}
