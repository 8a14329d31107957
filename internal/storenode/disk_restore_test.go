package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// A replaced disk becomes whole within timeToRestore, even while slow dispatchers keep writing new messages that bypass the owners.
func TestDiskIsRestoredWhileDispatchersBypassOwners(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		lost := w.nonOwners(0)[0]
		lost.stop(shutdown{powerLost: true, loseDisk: true})
		time.Sleep(time.Second)
		lost.start()
		const interval = 200 * time.Millisecond
		for i := range int(timeToRestore / interval) {
			_, epoch := w.owner(0)
			for _, holder := range w.nonOwners(0)[:2] {
				w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage(fmt.Sprint("bypassing", i), ""))
			}
			time.Sleep(interval)
		}
		must.True(t, w.control.allWhole())
	})
}

// A new owner counts the gathered final states as held by itself, so it must not start before its disk has synced them.
func TestNewOwnerStartsOnceGatheredStatesAreSynced(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		w.sendAndAwaitEnd(8)
		owner, epoch := w.owner(0)
		owner.stop(shutdown{powerLost: true, loseDisk: true})
		next, newer := w.owner(0)
		for newer == epoch {
			time.Sleep(100 * time.Microsecond)
			next, newer = w.owner(0)
		}
		var frozen []*process
		for _, other := range w.nonOwners(0) {
			if p := other.running(); p != nil {
				p.freeze()
				frozen = append(frozen, p)
			}
		}
		time.Sleep(200 * time.Millisecond) // its fences are synced, and it waits for the other stores
		heal := next.stallDisk()
		for _, p := range frozen {
			p.thaw()
		}
		time.Sleep(stalledSyncThreshold)
		must.False(t, isReady(next.running()))
		heal()
		time.Sleep(gatherTimeout)
		must.True(t, isReady(next.running()))
	})
}

// A copy that was placed before a disk was lost may have had its other copy on that disk. The new disk must not become whole before the
// owner knows the remaining copy, even if its holder has restarted and no longer knows when it was placed.
func TestDiskIsNotWholeWhileCopyFromBeforeItsLossIsUnconfirmed(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		lost, holder := w.nonOwners(0)[0], w.nonOwners(0)[1]
		for _, m := range []*machine{lost, holder} {
			w.cutLink(m.name, owner.name)
			w.cutLink(owner.name, m.name)
		}
		for _, m := range []*machine{lost, holder} {
			must.Eq(t, rpc.PutStatus_STORED, w.put(m, rpc.PutMode_HOLDER, epoch, w.delayedMessage("bypassing", "")))
		}
		lost.stop(shutdown{powerLost: true, loseDisk: true})
		lost.start()
		time.Sleep(timeToRestore)
		must.False(t, w.control.allWhole())
		holder.stop(shutdown{})
		holder.start()
		time.Sleep(timeToRestore)
		must.False(t, w.control.allWhole())
		w.mutex.Lock()
		clear(w.cuts)
		w.mutex.Unlock()
		time.Sleep(timeToRestore)
		must.True(t, w.control.allWhole())
		must.GreaterEq(t, 2, w.copyCount("bypassing"))
	})
}
