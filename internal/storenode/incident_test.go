package storenode

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// brief makes a message that runs at once.
func (w *world) brief(name string) *rpc.Message {
	m := w.idle(name, "")
	m.DelayLeftMs = 0
	return m
}

// ended counts the machines of which the store holds a message and knows its end.
func (w *world) ended(name string, machines []*machine) (held, ended int) {
	for _, m := range machines {
		p := m.running()
		p.node.do(func() {
			if e := p.node.table.Get(name); e != nil && e.Stored {
				held++
				if e.Ended() {
					ended++
				}
			}
		})
	}
	return held, ended
}

// Incident 0001: a message that ends before its copy was synced. The holder is told at once, not by its scrub.
func TestHolderThatSyncedAfterTheEndIsTold(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		others := w.others(0)
		for _, m := range others {
			m.running().freeze()
		}
		const count = 8
		stored := make(chan rpc.PutStatus, count)
		for i := range count {
			go func() { stored <- w.put(owner, rpc.PutMode_OWNER, epoch, w.brief(fmt.Sprint("m", i))) }()
		}
		time.Sleep(400 * time.Millisecond)
		for _, m := range others {
			m.running().thaw()
		}
		for range count {
			must.Eq(t, rpc.PutStatus_STORED, <-stored)
		}
		time.Sleep(300 * time.Millisecond) // the scrub comes later
		told := 0
		for i := range count {
			held, ended := w.ended(fmt.Sprint("m", i), others)
			must.Positive(t, held)
			_, done := w.ended(fmt.Sprint("m", i), []*machine{owner})
			if done == 1 { // others were answered with a failure, and run again
				must.EqOp(t, held, ended)
				told++
			}
		}
		must.Positive(t, told)
	})
}

// Incident 0001: a store that leaves waits until the new owners have asked what it holds: its ends may be known to it alone.
func TestHandOverWaitsUntilSuccessorsHaveAsked(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		var heals []func()
		for _, m := range w.others(0) {
			heals = append(heals, w.cut(m.name, owner.name))
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
		asked := uint64(0)
		node.do(func() { asked = node.table.Fence(0) })
		must.EqOp(t, newer, asked)
	})
}
