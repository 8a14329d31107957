package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// starts counts the runs of a message.
func (w *world) starts(name string) int {
	w.ledger.mutex.Lock()
	defer w.ledger.mutex.Unlock()
	return w.ledger.messages[name].starts
}

// A store whose lease goes on, and whose stream brings nothing, sends nothing to workers once a change that it doesn't know may have to be
// in force: not by a route that was dropped, and by no other either, since it can't tell which routes the change is about.
func TestStoreDeliversNothingByAConfigurationThatIsNotConfirmed(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.control.muted.Store(true)
		w.dropRoute()
		time.Sleep(cluster.ConfirmationTTL(owner.settings))
		late := w.brief("late")
		late.Route = "dropped"
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, late))
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.brief("other")))
		time.Sleep(5 * time.Second)
		must.True(t, owner.running().cluster.LeaseValid())
		must.EqOp(t, 0, w.starts("late"))
		must.EqOp(t, 0, w.starts("other"))
		w.control.muted.Store(false)
		time.Sleep(2 * time.Second) // a renewal, and the attempts of a message that may fail at first
		must.Positive(t, w.starts("other"))
		must.EqOp(t, 0, w.starts("late"))
	})
}
