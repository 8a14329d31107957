package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// A flipped bit on one disk is detected although no one requests the message, and repaired from another store.
func TestFlippedBitIsFoundAndRestored(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		time.Sleep(time.Second)
		must.Eq(t, 2, w.copyCount("m"))
		for _, m := range w.machines {
			p := m.running()
			if !holds(p, "m") {
				continue
			}
			flipBit(t, p, "m")
			must.Nil(t, p.node.readStored("m"))
			time.Sleep(5 * time.Second)
			restored := p.node.readStored("m")
			must.NotNil(t, restored, must.Sprint("on ", p.node.settings.Node))
			must.Eq(t, "body of m", string(restored.Body))
			must.Eq(t, 2, owner.countedCopies("m"))
		}
	})
}

func holds(p *process, name string) bool {
	stored := false
	p.node.do(func() {
		entry := p.node.table.Get(name)
		stored = entry != nil && entry.Stored
	})
	return stored
}

// flipBit flips one bit in the record of a message on the disk.
func flipBit(t *testing.T, p *process, name string) {
	t.Helper()
	flipBitAt(t, p.node.settings.DataDir, recordOffset(p, name))
}
