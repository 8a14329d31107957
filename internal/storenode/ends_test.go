package storenode

import (
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// mustKnowEnds checks that the end of every message is told as it was.
func (w *world) mustKnowEnds(messages []*sent, ends map[string]rpc.State) {
	unknown := map[string]int{}
	for _, m := range messages {
		reply := w.lookup(m, false)
		if !reply.Found {
			unknown[ends[m.name].String()]++
			continue
		}
		must.EqOp(w.t, ends[m.name], reply.State, must.Sprintf("%s: %s", m.name, w.where(m)))
		w.ledger.checkState(m, reply)
	}
	must.MapEmpty(w.t, unknown, must.Sprintf("known to no store, of %d messages: %v", len(messages), unknown))
	must.SliceEmpty(w.t, w.ledger.violations)
}

// endsOf asks for the state of every message.
func (w *world) endsOf(messages []*sent) map[string]rpc.State {
	ends := map[string]rpc.State{}
	for _, m := range messages {
		ends[m.name] = w.lookup(m, false).State
	}
	return ends
}

// Incident 0007: the end of a message is owed for statusS. It outlasts the loss of every disk that knew it, one after the other, as the
// message itself does.
func TestEndsOutlastTheLossOfAllDisksInTurn(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendEnded(24)
		ends := w.endsOf(messages)
		for range 2 {
			for _, m := range w.machines {
				w.replaceDisk(m)
				w.mustKnowEnds(messages, ends)
			}
		}
	})
}

// Incident 0007: an acceptance is told once the message is on enough disks, also where it has ended meanwhile and is put again.
func TestRepeatedPutOfAnEndedMessageWaitsForItsCopies(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, other := range w.others(0) {
			heals = append(heals, other.stall())
		}
		message := w.brief("m")
		w.ledger.messages["m"].nature = 1
		must.Eq(t, rpc.PutStatus_FAILED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		must.EqOp(t, rpc.State_COMPLETED, w.lookup(w.ledger.messages["m"], false).State)
		must.Eq(t, rpc.PutStatus_FAILED, w.put(owner, rpc.PutMode_OWNER, epoch, message), must.Sprint("one disk knows it"))
		for _, heal := range heals {
			heal()
		}
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		w.replaceDisk(owner)
		must.EqOp(t, rpc.State_COMPLETED, w.lookup(w.ledger.messages["m"], false).State)
	})
}
