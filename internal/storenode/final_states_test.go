package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// mustKnowStates checks that the final state of every message is found unchanged.
func (w *world) mustKnowStates(messages []*sentMessage, states map[string]rpc.State) {
	unknown := map[string]int{}
	for _, m := range messages {
		reply := w.lookup(m, false)
		if !reply.Found {
			unknown[states[m.name].String()]++
			continue
		}
		must.EqOp(w.t, states[m.name], reply.State, must.Sprintf("%s: %s", m.name, w.describe(m)))
		w.checker.checkState(m, reply)
	}
	must.MapEmpty(w.t, unknown, must.Sprintf("known to no store, of %d messages: %v", len(messages), unknown))
	must.SliceEmpty(w.t, w.checker.violations)
}

// statesOf looks up the state of every message.
func (w *world) statesOf(messages []*sentMessage) map[string]rpc.State {
	states := map[string]rpc.State{}
	for _, m := range messages {
		states[m.name] = w.lookup(m, false).State
	}
	return states
}

// Incident 0007: the final state of a message must be available for statusS. Like the message itself, it must survive the loss of every
// disk that holds it, one after the other.
func TestFinalStatesSurviveLossOfAllDisksInTurn(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendAndAwaitEnd(24)
		states := w.statesOf(messages)
		for range 2 {
			for _, m := range w.machines {
				w.replaceDisk(m)
				w.mustKnowStates(messages, states)
			}
		}
	})
}

// Incident 0007: an owner must not confirm a message before enough disks hold it, even if the message has ended meanwhile and is sent
// again.
func TestRepeatedPutOfAnEndedMessageWaitsForItsCopies(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, other := range w.nonOwners(0) {
			heals = append(heals, other.stallDisk())
		}
		message := w.immediateMessage("m")
		w.checker.messages["m"].outcomeDraw = 1
		must.Eq(t, rpc.PutStatus_FAILED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		must.EqOp(t, rpc.State_COMPLETED, w.lookup(w.checker.messages["m"], false).State)
		must.Eq(t, rpc.PutStatus_FAILED, w.put(owner, rpc.PutMode_OWNER, epoch, message), must.Sprint("one disk knows it"))
		for _, heal := range heals {
			heal()
		}
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		w.replaceDisk(owner)
		must.EqOp(t, rpc.State_COMPLETED, w.lookup(w.checker.messages["m"], false).State)
	})
}

// countKnownEnded counts the messages whose final state a store knows, without asking other stores.
func countKnownEnded(p *process, messages []*sentMessage) int {
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

// underCopiedEnded returns the sum over all stores of the final states that too few stores hold.
func (w *world) underCopiedEnded() int {
	count := 0
	for _, m := range w.machines {
		if p := m.running(); p != nil {
			count += int(metricNamed(w.t, p.node.metricValues(), "foldlb_store_owned_ended_scarce"))
		}
	}
	return count
}

// A final state received at a takeover counts as held by the new owner, so it must be in its log and survive a restart.
func TestFinalStatesGatheredAtTakeoverSurviveRestart(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendAndAwaitEnd(24)
		completed := 0
		for _, state := range w.statesOf(messages) {
			if state == rpc.State_COMPLETED {
				completed++
			}
		}
		owner, _ := w.owner(0)
		w.replaceDisk(owner)
		next, _ := w.owner(0)
		next.stop(shutdown{powerLost: true})
		next.start()
		must.GreaterEq(t, completed, countKnownEnded(next.running(), messages)) // before it has gathered from other stores
	})
}

// A final state that was received long after the message ended is forgotten as early as on the store that first knew it, also after a
// restart.
func TestAgeOfFinalStateSurvivesRestart(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.nonOwners(0)[0]
		const age = 100 * time.Second
		for name, state := range map[string]rpc.State{"completed": rpc.State_COMPLETED, "dead": rpc.State_DEAD} {
			m := w.delayedMessage(name, "")
			m.State, m.EndedMsAgo = state, age.Milliseconds()
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, m))
		}
		holder.stop(shutdown{})
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

// manyFinalStates is more than one upkeep run restores.
const manyFinalStates = 40_000

// Final states on a lost disk are restored elsewhere within timeToRestore, however many there are, because the next disk may be lost after
// that.
func TestFinalStatesAreRestoredInTime(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		others := w.nonOwners(0)
		w.addFinalStates(manyFinalStates)
		w.replaceDisk(others[0])
		must.EqOp(t, 0, w.underCopiedEnded())
		must.True(t, w.control.allWhole())
	})
}

// addFinalStates adds final states to the owner of the only partition, each held by one other store too.
func (w *world) addFinalStates(count int) {
	owner, _ := w.owner(0)
	others := w.nonOwners(0)
	node := owner.running().node
	for i, holder := range others[:2] { // they hold what the owner counts on
		holding := holder.running().node
		holding.do(func() {
			for number := i; number < count; number += 2 {
				holding.mergeRemote(finalState(number))
			}
		})
	}
	node.do(func() {
		for i := range count {
			node.mergeRemote(finalState(i)).AddHolder(others[i%2].running().node.disk)
		}
	})
}

func finalState(number int) *rpc.Message {
	return &rpc.Message{Name: fmt.Sprint("end", number), State: rpc.State_COMPLETED, Stamp: "s"}
}

// The final states on a retiring store must be copied elsewhere before it may be removed. Removing it does not count as a loss, so another
// disk may be lost at the same time.
func TestStoreIsRetiredOnceItsFinalStatesAreCopied(t *testing.T) {
	five := scale{stores: 5, tolerance: 1, partitions: 1, diskMb: 64}
	runScenario(t, five, func(t *testing.T, w *world) {
		messages := w.sendAndAwaitEnd(24)
		states := w.statesOf(messages)
		w.addFinalStates(manyFinalStates)
		leaving := w.nonOwners(0)[0]
		w.control.retire(leaving.name)
		for !w.control.hasRetired() {
			time.Sleep(10 * time.Millisecond)
		}
		must.EqOp(t, 0, w.underCopiedEnded())
		leaving.removed = true
		leaving.stop(shutdown{powerLost: true, loseDisk: true})
		owner, _ := w.owner(0)
		w.replaceDisk(owner)
		w.mustKnowStates(messages, states)
	})
}

// A final state received for a message that this store holds as queued must be written to the log, so that the message does not run again
// after a restart.
func TestFinalStateMergedIntoQueuedMessageSurvivesRestart(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		_, epoch := w.owner(0)
		holder := w.nonOwners(0)[0]
		for _, name := range []string{"completed", "dead"} {
			must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage(name, "")))
		}
		node := holder.running().node
		node.do(func() {
			node.mergeRemote(&rpc.Message{Name: "completed", State: rpc.State_COMPLETED, Stamp: "s"})
			node.mergeRemote(&rpc.Message{Name: "dead", State: rpc.State_DEAD})
		})
		must.NoError(t, node.file.Wait())
		holder.stop(shutdown{powerLost: true})
		holder.start()
		must.EqOp(t, 2, countKnownEnded(holder.running(), []*sentMessage{{name: "completed"}, {name: "dead"}}))
	})
}

// The body of a dead letter may be held only by a store that the owner does not know as a holder. The owner learns of it through that
// store's scrub.
func TestOwnerLearnsOfHoldersOfEndedMessages(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		holder := w.nonOwners(0)[0]
		must.Eq(t, rpc.PutStatus_STORED, w.put(holder, rpc.PutMode_HOLDER, epoch, w.delayedMessage("m", "")))
		node := owner.running().node
		node.do(func() { node.mergeRemote(&rpc.Message{Name: "m", Route: "plain", State: rpc.State_DEAD}) })
		time.Sleep(timeToRestore)
		must.EqOp(t, 2, w.copyCount("m"))
		w.replaceDisk(holder)
		reply := w.lookup(w.checker.messages["m"], true)
		must.EqOp(t, rpc.State_DEAD, reply.State)
		must.Eq(t, "body of m", string(reply.Body))
	})
}
