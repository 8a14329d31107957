package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// The tests of this file strike on purpose at the moment between two steps that a guard orders: without the guard, they fail.

// outcomeOf puts a message and returns a channel that gets the status, or FAILED where no answer comes.
func (w *world) outcomeOf(m *machine, mode rpc.PutMode, epoch uint64, name string) <-chan rpc.PutStatus {
	outcome := make(chan rpc.PutStatus, 1)
	message := w.idle(name, "")
	go func() { outcome <- w.put(m, mode, epoch, message) }()
	return outcome
}

// An owner answers once f + 1 disks have synced the message, its own among them or not.
func TestOwnerAnswersOnceEnoughDisksHaveSynced(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, other := range w.others(0) {
			heals = append(heals, other.stall())
		}
		outcome := w.outcomeOf(owner, rpc.PutMode_OWNER, epoch, "alone")
		time.Sleep(500 * time.Millisecond) // the owner's own disk has synced long since
		select {
		case status := <-outcome:
			t.Fatalf("answered %v with one synced copy", status)
		default:
		}
		heals[0]()
		must.Eq(t, rpc.PutStatus_STORED, <-outcome)
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("two", "")))
		for _, heal := range heals[1:] {
			heal()
		}
	})
}

// Where the owner's disk alone stalls, others make up the number.
func TestOwnerAnswersWithCopiesElsewhereWhileItsDiskStalls(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		defer owner.stall()()
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("m", "")))
		owner.stop(end{off: true, loseDisk: true})
		for _, other := range w.others(0) {
			other.stop(end{off: true})
			other.start()
		}
		must.GreaterEq(t, 2, w.copies("m"))
	})
}

// A holder answers once its own disk has synced the copy.
func TestHolderAnswersOnceItsDiskHasSynced(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.others(0)[0]
		heal := holder.stall()
		outcome := w.outcomeOf(holder, rpc.PutMode_HOLDER, epoch, "m")
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

// A new owner begins once its own fences are synced: if it lost power before, it would take writes of the former owner's epoch
// after its start.
func TestNewOwnerBeginsOnceItsFencesAreSynced(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		owner.stop(end{off: true})
		next, newer := w.owner(0)
		for newer == epoch {
			time.Sleep(100 * time.Microsecond)
			next, newer = w.owner(0)
		}
		heal := next.stall() // the map is on its way there
		time.Sleep(stalledAfter)
		must.False(t, isReady(next.running()))
		heal()
		time.Sleep(gatherWithin)
		must.True(t, isReady(next.running()))
	})
}

// A copy on a store that is being emptied counts as gone, so none is put there and none is taken.
func TestStoreBeingEmptiedTakesNoCopies(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.others(0)
		leaving := others[0]
		w.control.retire(leaving.name)
		time.Sleep(100 * time.Millisecond)
		for _, other := range others[1:] {
			w.cut(owner.name, other.name)
		}
		must.NotEq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, w.idle("owners", "")))
		must.Eq(t, rpc.PutStatus_FULL, w.put(leaving, rpc.PutMode_HOLDER, epoch, w.idle("round", "")))
	})
}

// Copies that a dispatcher wrote round the owner are told as too few until the owner knows them: it can't make up for one of them
// that is lost, and no store may count as whole or emptied meanwhile.
func TestCopiesWrittenRoundTheOwnerAreToldUntilItKnowsThem(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holders := w.others(0)[:2]
		for _, holder := range holders {
			w.cut(holder.name, owner.name)
		}
		time.Sleep(1500 * time.Millisecond)
		const count = 5
		for i := range count {
			for _, holder := range holders {
				must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle(fmt.Sprint("m", i), "")))
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
		must.MapLen(t, count, tableOf(owner.running()))
	})
}

// Only the owner of a partition, once it knows what others hold, can say that it knows a copy.
func TestCopyIsConfirmedByItsOwnerAlone(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holders := w.others(0)
		for _, holder := range holders[:2] {
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle("m", "")))
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
