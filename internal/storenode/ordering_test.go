package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// Each test of this file interrupts a sequence of two steps whose order matters for durability, and fails if the second step does not wait
// for the first.

// putAsync sends a message and returns a channel that receives the status. It fails the test if no answer comes.
func (w *world) putAsync(m *machine, mode rpc.PutMode, epoch uint64, name string) <-chan rpc.PutStatus {
	outcome := make(chan rpc.PutStatus, 1)
	message := w.delayedMessage(name, "")
	go func() { outcome <- w.put(m, mode, epoch, message) }()
	return outcome
}

// An owner confirms a message once f + 1 disks have synced it, whether its own is among them or not.
func TestOwnerAnswersOnceEnoughDisksHaveSynced(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, other := range w.nonOwners(0) {
			heals = append(heals, other.stallDisk())
		}
		outcome := w.putAsync(owner, rpc.PutMode_OWNER, epoch, "alone")
		time.Sleep(500 * time.Millisecond) // long enough for the owner's own disk to sync
		select {
		case status := <-outcome:
			t.Fatalf("answered %v with one synced copy", status)
		default:
		}
		heals[0]()
		must.Eq(t, rpc.PutStatus_STORED, <-outcome)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("two", "")))
		for _, heal := range heals[1:] {
			heal()
		}
	})
}

// While the owner's disk is stalled, copies on other stores make up the required number.
func TestOwnerAnswersWithCopiesElsewhereWhileItsDiskStalls(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		defer owner.stallDisk()()
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("m", "")))
		owner.stop(shutdown{powerLost: true, loseDisk: true})
		for _, other := range w.nonOwners(0) {
			other.stop(shutdown{powerLost: true})
			other.start()
		}
		must.GreaterEq(t, 2, w.copyCount("m"))
	})
}

// A holder answers only after its own disk has synced the copy.
func TestHolderAnswersOnceItsDiskHasSynced(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.nonOwners(0)[0]
		heal := holder.stallDisk()
		outcome := w.putAsync(holder, rpc.PutMode_HOLDER, epoch, "m")
		time.Sleep(500 * time.Millisecond)
		select {
		case status := <-outcome:
			t.Fatalf("answered %v before the sync", status)
		default:
		}
		heal()
		must.Eq(t, rpc.PutStatus_STORED, <-outcome)
	})
}

// A new owner must not start before its own fences are synced: if it lost power earlier, it would accept writes under the previous owner's
// epoch after its restart.
func TestNewOwnerStartsOnceItsFencesAreSynced(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		owner.stop(shutdown{powerLost: true})
		next, newer := w.owner(0)
		for newer == epoch {
			time.Sleep(100 * time.Microsecond)
			next, newer = w.owner(0)
		}
		heal := next.stallDisk() // the map is in transit to it
		time.Sleep(stalledSyncThreshold)
		must.False(t, isReady(next.running()))
		heal()
		time.Sleep(gatherTimeout)
		must.True(t, isReady(next.running()))
	})
}

// A copy on a retiring store does not count, so no copy is sent there and none is accepted.
func TestRetiringStoreAcceptsNoCopies(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.nonOwners(0)
		leaving := others[0]
		w.control.retire(leaving.name)
		time.Sleep(100 * time.Millisecond)
		for _, other := range others[1:] {
			w.cutLink(owner.name, other.name)
		}
		must.NotEq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.delayedMessage("owners", "")))
		must.Eq(t, rpc.PutStatus_FULL, w.put(leaving, rpc.PutMode_HOLDER, epoch, w.delayedMessage("bypassing", "")))
	})
}

// Copies that a dispatcher wrote bypassing the owner must be reported as too few until the owner knows them. The owner can't restore such a
// copy if it is lost, so no disk may become whole and no store may be retired meanwhile.
func TestCopiesBypassingOwnerAreReportedUntilConfirmed(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holders := w.nonOwners(0)[:2]
		for _, holder := range holders {
			w.cutLink(holder.name, owner.name)
		}
		time.Sleep(1500 * time.Millisecond)
		const count = 5
		for i := range count {
			for _, holder := range holders {
				must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage(fmt.Sprint("m", i), "")))
			}
		}
		for _, holder := range holders {
			must.GreaterEq(t, count, holder.running().node.underCopied.Load())
		}
		time.Sleep(2 * time.Second)
		for _, holder := range holders {
			must.EqOp(t, count, holder.running().node.underCopied.Load())
		}
		w.mutex.Lock()
		clear(w.cuts)
		w.mutex.Unlock()
		time.Sleep(4 * time.Second)
		for _, holder := range holders {
			must.EqOp(t, 0, holder.running().node.underCopied.Load())
		}
		must.MapLen(t, count, tableState(owner.running()))
	})
}

// Only the owner of a partition can confirm that it knows a copy, and only once it has gathered from the other stores.
func TestCopyIsConfirmedOnlyByItsOwner(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holders := w.nonOwners(0)
		for _, holder := range holders[:2] {
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage("m", "")))
		}
		asked := &rpc.ScrubRequest{Caller: "other", Fates: []*rpc.Fate{{Name: "m", Partition: 0}}}
		reply, err := holders[0].running().node.Scrub(t.Context(), asked)
		must.NoError(t, err)
		must.Eq(t, []string{"m"}, reply.Unconfirmed)
		reply, err = owner.running().node.Scrub(t.Context(), asked)
		must.NoError(t, err)
		must.SliceEmpty(t, reply.Unconfirmed)
		must.Eq(t, []string{"m"}, reply.Unknown)
	})
}
