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
