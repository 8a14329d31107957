package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// A disk that was lost is whole within the time that its successor is given, also while slow dispatchers write new messages round their
// owners all the time.
func TestDiskIsWholeWhileOwnersAreGoneRound(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		lost := w.others(0)[0]
		lost.stop(end{off: true, loseDisk: true})
		time.Sleep(time.Second)
		lost.start()
		const every = 200 * time.Millisecond
		for i := range int(timeToRestore / every) {
			_, epoch := w.owner(0)
			for _, holder := range w.others(0)[:2] {
				w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle(fmt.Sprint("round", i), ""))
			}
			time.Sleep(every)
		}
		must.True(t, w.control.allWhole())
	})
}

// A new owner counts the ends that it learnt as kept by itself, so it begins once its disk has synced them.
func TestNewOwnerBeginsOnceWhatItLearntIsSynced(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		w.sendEnded(8)
		owner, epoch := w.owner(0)
		owner.stop(end{off: true, loseDisk: true})
		next, newer := w.owner(0)
		for newer == epoch {
			time.Sleep(100 * time.Microsecond)
			next, newer = w.owner(0)
		}
		var frozen []*process
		for _, other := range w.others(0) {
			if p := other.running(); p != nil {
				p.freeze()
				frozen = append(frozen, p)
			}
		}
		time.Sleep(200 * time.Millisecond) // its fences are synced, and it waits for the others
		heal := next.stall()
		for _, p := range frozen {
			p.thaw()
		}
		time.Sleep(stalledAfter)
		must.False(t, isReady(next.running()))
		heal()
		time.Sleep(gatherWithin)
		must.True(t, isReady(next.running()))
	})
}

// A copy that was placed before the disk was lost may have had its other copy there, so its owner must know it first; also where its
// holder has restarted since and can't say when it was placed.
func TestDiskIsNotWholeWhileACopyOfBeforeItsLossIsUnconfirmed(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		lost, holder := w.others(0)[0], w.others(0)[1]
		for _, m := range []*machine{lost, holder} {
			w.cut(m.name, owner.name)
			w.cut(owner.name, m.name)
		}
		for _, m := range []*machine{lost, holder} {
			must.Eq(t, rpc.PutStatus_STORED, w.put(m, rpc.PutMode_HOLDER, epoch, w.idle("round", "")))
		}
		lost.stop(end{off: true, loseDisk: true})
		lost.start()
		time.Sleep(timeToRestore)
		must.False(t, w.control.allWhole())
		holder.stop(end{})
		holder.start()
		time.Sleep(timeToRestore)
		must.False(t, w.control.allWhole())
		w.mutex.Lock()
		clear(w.cuts)
		w.mutex.Unlock()
		time.Sleep(timeToRestore)
		must.True(t, w.control.allWhole())
		must.GreaterEq(t, 2, w.copies("round"))
	})
}
