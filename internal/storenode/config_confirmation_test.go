package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// runCount returns the number of runs of a message.
func (w *world) runCount(name string) int {
	w.checker.mutex.Lock()
	defer w.checker.mutex.Unlock()
	return w.checker.messages[name].runs
}

// A store whose lease is renewed but whose stream delivers nothing must stop sending to workers once a change that it does not know may be
// in force. That applies to all routes, because it can't know which ones the change concerns.
func TestStoreDeliversNothingUnderUnconfirmedConfiguration(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.control.muted.Store(true)
		w.dropRoute()
		time.Sleep(cluster.ConfirmationTTL(owner.settings))
		late := w.immediateMessage("late")
		late.Route, late.Path = "dropped", "/dropped"
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, late))
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.immediateMessage("other")))
		time.Sleep(5 * time.Second)
		must.True(t, owner.running().cluster.LeaseValid())
		must.EqOp(t, 0, w.runCount("late"))
		must.EqOp(t, 0, w.runCount("other"))
		w.control.muted.Store(false)
		time.Sleep(2 * time.Second) // enough for a renewal and for retries of a failed attempt
		must.Positive(t, w.runCount("other"))
		must.EqOp(t, 0, w.runCount("late"))
	})
}
