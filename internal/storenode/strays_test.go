package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

var strayScale = scale{stores: 4, tolerance: 1, partitions: 4, diskMb: 64}

// keyedMessage returns a message of an order key that runs after a delay.
func (w *world) keyedMessage(name, key string, delay time.Duration) *rpc.Message {
	m := w.delayedMessage(name, key)
	m.DelayLeftMs = delay.Milliseconds()
	return m
}

// A message that an earlier build stored in the partition of its service runs before later ones of its key, whose partition another store
// owns (ORDER over an upgrade of the stored logs).
func TestKeyWaitsForMessageThatAnEarlierBuildPlacedElsewhere(t *testing.T) {
	runScenario(t, strayScale, func(t *testing.T, w *world) {
		const key = "k"
		home := message.PartitionForKey(key, uint32(strayScale.partitions))
		elsewhere := (home + 2) % uint32(strayScale.partitions)
		_, epoch := w.owner(elsewhere)
		stray := w.keyedMessage("stray", key, 8*time.Second)
		stray.Partition = elsewhere
		for _, holder := range w.nonOwners(elsewhere)[:2] { // as its log had it
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, stray))
		}
		time.Sleep(2 * time.Second) // its owner learns of it
		owner, homeEpoch := w.owner(home)
		owner.stop(shutdown{})
		owner.start()
		for newer := homeEpoch; newer == homeEpoch || owner == nil; {
			time.Sleep(10 * time.Millisecond)
			owner, newer = w.owner(home)
		}
		time.Sleep(500 * time.Millisecond)
		owner, homeEpoch = w.owner(home)
		later := w.keyedMessage("later", key, 0)
		later.Partition = home
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, homeEpoch, later))
		for w.runCount("stray") == 0 {
			must.EqOp(t, 0, w.runCount("later"))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		must.Positive(t, w.runCount("later"))
	})
}

// A dispatcher of an earlier build may still place a key by its service: the owner of that partition takes no such message.
func TestMisplacedKeyIsRefused(t *testing.T) {
	runScenario(t, strayScale, func(t *testing.T, w *world) {
		misplaced := w.keyedMessage("m", "k", 0)
		misplaced.Partition = (message.PartitionForKey("k", uint32(strayScale.partitions)) + 2) % uint32(strayScale.partitions)
		owner, epoch := w.owner(misplaced.Partition)
		must.Eq(t, rpc.PutStatus_NOT_OWNER, w.put(owner, rpc.PutMode_OWNER, epoch, misplaced))
		must.EqOp(t, 0, w.copyCount("m"))
	})
}
