package storenode

import (
	"fmt"
	"testing"
	"time"

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

// endsKnown counts the messages whose end a store knows, without asking any other.
func endsKnown(p *process, messages []*sent) int {
	count := 0
	p.node.do(func() {
		for _, m := range messages {
			if e := p.node.table.Get(m.name); e != nil && e.Ended() {
				count++
			}
		}
	})
	return count
}

// scarceEnds sums what all stores tell of ends that too few of them know.
func (w *world) scarceEnds() int {
	count := 0
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			count += int(figureNamed(w.t, p.node.figures(), "foldlb_store_owned_ended_scarce"))
		}
	}
	return count
}

// What a store learns at a takeover counts as kept there, so it is in its log: a restart finds it.
func TestEndsLearntAtATakeoverOutlastARestart(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendEnded(24)
		completed := 0
		for _, state := range w.endsOf(messages) {
			if state == rpc.State_COMPLETED {
				completed++
			}
		}
		owner, _ := w.owner(0)
		w.replaceDisk(owner)
		next, _ := w.owner(0)
		next.stop(end{off: true})
		next.start()
		must.GreaterEq(t, completed, endsKnown(next.running(), messages)) // before it has asked anybody
	})
}

// An end that was learnt long after it came is forgotten as early as where it was first known, also after a restart.
func TestAgeOfAnEndOutlastsARestart(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.others(0)[0]
		const age = 100 * time.Second
		for name, state := range map[string]rpc.State{"completed": rpc.State_COMPLETED, "dead": rpc.State_DEAD} {
			m := w.idle(name, "")
			m.State, m.EndedMsAgo = state, age.Milliseconds()
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, m))
		}
		holder.stop(end{})
		time.Sleep(5 * time.Second)
		holder.start()
		node := holder.running().node
		ages := map[string]time.Duration{}
		node.do(func() {
			node.table.Each(func(e *messageEntry) { ages[e.Name] = node.now() - e.EndedAt })
		})
		must.MapLen(t, 2, ages)
		for name, found := range ages {
			must.GreaterEq(t, age+4*time.Second, found, must.Sprint(name))
		}
	})
}

// manyEnds are so many that they are not restored within one look.
const manyEnds = 40_000

// Ends on a disk that was lost are made up for within the time that its successor is given, however many there are: only then may the
// next disk be lost.
func TestEndsAreRestoredInTime(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		others := w.others(0)
		w.learnEnds(manyEnds)
		w.replaceDisk(others[0])
		must.EqOp(t, 0, w.scarceEnds())
		must.True(t, w.control.allWhole())
	})
}

// learnEnds has the owner of the only partition know many ends, each of which one of the others keeps too.
func (w *world) learnEnds(count int) {
	owner, _ := w.owner(0)
	others := w.others(0)
	node := owner.running().node
	node.do(func() {
		for i := range count {
			m := &rpc.Message{Name: fmt.Sprint("end", i), State: rpc.State_COMPLETED, Stamp: "s"}
			node.learn(m).AddHolder(others[i%2].running().node.disk)
		}
	})
}

// A machine that is emptied holds the ends of messages too: they are made up for before it may be taken away, which is no loss, so that
// another disk may be lost at that moment.
func TestStoreIsEmptiedOnceItsEndsAreElsewhere(t *testing.T) {
	five := scale{stores: 5, tolerance: 1, partitions: 1, diskMb: 64}
	simulated(t, five, func(t *testing.T, w *world) {
		messages := w.sendEnded(24)
		ends := w.endsOf(messages)
		w.learnEnds(manyEnds)
		leaving := w.others(0)[0]
		w.control.retire(leaving.name)
		for !w.control.hasRetired() {
			time.Sleep(10 * time.Millisecond)
		}
		must.EqOp(t, 0, w.scarceEnds())
		leaving.gone = true
		leaving.stop(end{off: true, loseDisk: true})
		owner, _ := w.owner(0)
		w.replaceDisk(owner)
		w.mustKnowEnds(messages, ends)
	})
}

// An end that is learnt of a message which stood here as queued is written too: a restart does not run the message again.
func TestEndLearntOfAQueuedMessageOutlastsARestart(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.others(0)[0]
		for _, name := range []string{"completed", "dead"} {
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle(name, "")))
		}
		node := holder.running().node
		node.do(func() {
			node.learn(&rpc.Message{Name: "completed", State: rpc.State_COMPLETED, Stamp: "s"})
			node.learn(&rpc.Message{Name: "dead", State: rpc.State_DEAD})
		})
		must.NoError(t, node.file.Wait())
		holder.stop(end{off: true})
		holder.start()
		must.EqOp(t, 2, endsKnown(holder.running(), []*sent{{name: "completed"}, {name: "dead"}}))
	})
}

// The body of a dead letter may be with a store alone that its owner did not know as a holder: it learns it when that store asks.
func TestOwnerLearnsOfHoldersOfEndedMessages(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holder := w.others(0)[0]
		must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.idle("m", "")))
		node := owner.running().node
		node.do(func() { node.learn(&rpc.Message{Name: "m", Route: "plain", State: rpc.State_DEAD}) })
		time.Sleep(timeToRestore)
		must.EqOp(t, 2, w.copies("m"))
		w.replaceDisk(holder)
		reply := w.lookup(w.ledger.messages["m"], true)
		must.EqOp(t, rpc.State_DEAD, reply.State)
		must.Eq(t, "body of m", string(reply.Body))
	})
}
