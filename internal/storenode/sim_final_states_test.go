package storenode

import (
	"fmt"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// timeToRestore is how long a machine whose disk was lost still counts as lost after its return (syncS). The other stores must have
// restored all copies by then.
const timeToRestore = 4400 * time.Millisecond

// replaceDisk cuts the power of a machine, replaces its disk, and starts it a second later with the empty disk.
func (w *world) replaceDisk(m *machine) {
	m.stop(shutdown{powerLost: true, loseDisk: true})
	time.Sleep(time.Second)
	m.start()
	time.Sleep(timeToRestore)
}

// sendAndAwaitEnd sends messages that run at once and waits until all have ended: every fourth one becomes a dead letter, the others are
// completed.
func (w *world) sendAndAwaitEnd(count int) []*sentMessage {
	owner, epoch := w.owner(0)
	messages := make([]*sentMessage, count)
	for i := range messages {
		message := w.immediateMessage(fmt.Sprint("m", i))
		if i%4 > 0 {
			w.checker.messages[message.Name].outcomeDraw = 1
		}
		must.Eq(w.t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		messages[i] = w.checker.messages[message.Name]
	}
	for _, m := range messages {
		for w.lookup(m, false).State == rpc.State_QUEUED {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return messages
}
