package storenode

import (
	"fmt"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// timeToRestore is how long after its return a machine whose disk was lost still counts as lost (syncS). Until then the others have to make
// up for what it held.
const timeToRestore = 4400 * time.Millisecond

// replaceDisk has a machine lose its power and its disk, and come back empty a second later.
func (w *world) replaceDisk(m *machine) {
	m.stop(end{off: true, loseDisk: true})
	time.Sleep(time.Second)
	m.start()
	time.Sleep(timeToRestore)
}

// sendEnded puts messages that run at once, and waits until all have ended: most of them completed, every fourth one as a dead letter.
func (w *world) sendEnded(count int) []*sent {
	owner, epoch := w.owner(0)
	messages := make([]*sent, count)
	for i := range messages {
		message := w.brief(fmt.Sprint("m", i))
		if i%4 > 0 {
			w.ledger.messages[message.Name].nature = 1
		}
		must.Eq(w.t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, message))
		messages[i] = w.ledger.messages[message.Name]
	}
	for _, m := range messages {
		for w.lookup(m, false).State == rpc.State_QUEUED {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return messages
}
