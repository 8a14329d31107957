package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// immediateMessage returns a message that is due at once.
func (w *world) immediateMessage(name string) *rpc.Message {
	m := w.delayedMessage(name, "")
	m.DelayLeftMs = 0
	return m
}

// endedCopies counts the machines whose store holds a message, and those of them that know its final state.
func (w *world) endedCopies(name string, machines []*machine) (held, endedCopies int) {
	for _, m := range machines {
		p := m.running()
		p.node.do(func() {
			if e := p.node.table.Get(name); e != nil && e.Stored {
				held++
				if e.Ended() {
					endedCopies++
				}
			}
		})
	}
	return held, endedCopies
}

// Incident 0001: a message ends before one of its copies is synced. The holder must be notified at once, not only by its own scrub.
func TestHolderThatSyncedAfterFinalStateIsNotified(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.nonOwners(0)
		for _, m := range others {
			m.running().freeze()
		}
		const count = 8
		stored := make(chan rpc.PutStatus, count)
		for i := range count {
			go func() { stored <- w.put(owner, rpc.PutMode_OWNER, epoch, w.immediateMessage(fmt.Sprint("m", i))) }()
		}
		time.Sleep(400 * time.Millisecond)
		for _, m := range others {
			m.running().thaw()
		}
		for range count {
			must.Eq(t, rpc.PutStatus_STORED, <-stored)
		}
		time.Sleep(300 * time.Millisecond) // shorter than the scrub's first interval
		notified := 0
		for i := range count {
			held, ended := w.endedCopies(fmt.Sprint("m", i), others)
			must.Positive(t, held)
			_, done := w.endedCopies(fmt.Sprint("m", i), []*machine{owner})
			if done == 1 { // the attempts of the others failed, and they run again
				must.EqOp(t, held, ended)
				notified++
			}
		}
		must.Positive(t, notified)
	})
}

// Incident 0001: a store that hands over must wait until the new owners have gathered from it, because it may be the only one to know some
// final states.
func TestHandOverWaitsUntilNewOwnersHaveGathered(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, m := range w.nonOwners(0) {
			heals = append(heals, w.cutLink(m.name, owner.name))
		}
		node := owner.running().node
		left := make(chan time.Duration, 1)
		began := time.Now()
		go func() { node.HandOver(); left <- time.Since(began) }()
		time.Sleep(2 * time.Second)
		next, newer := w.owner(0)
		must.True(t, next != nil && next != owner)
		must.Greater(t, epoch, newer)
		must.EqOp(t, 0, len(left))
		for _, heal := range heals {
			heal()
		}
		after := <-left
		must.Less(t, 4*time.Second, after) // well before the grace period ends
		fence := uint64(0)
		node.do(func() { fence = node.table.Fence(0) })
		must.EqOp(t, newer, fence)
	})
}
