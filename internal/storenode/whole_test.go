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
