package failover

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// saveRetryDelay is the delay before a failed save is retried.
const saveRetryDelay = 200 * time.Millisecond

// saver holds the newest record to be saved. A record that is superseded while another one is being synced is never
// written.
type saver struct {
	storage Storage
	log     logr.Logger
	wake    chan struct{}
	mutex   sync.Mutex
	newest  *persist // nil if there is nothing to save
}

func newSaver(storage Storage, log logr.Logger) *saver {
	return &saver{storage: storage, log: log, wake: make(chan struct{}, 1)}
}

// save requests a save and returns at once.
func (saver *saver) save(requested persist) {
	saver.mutex.Lock()
	saver.newest = &requested
	saver.mutex.Unlock()
	select {
	case saver.wake <- struct{}{}:
	default:
	}
}

func (saver *saver) takeNewest() *persist {
	saver.mutex.Lock()
	defer saver.mutex.Unlock()
	requested := saver.newest
	saver.newest = nil
	return requested
}

// runSaver saves on a separate goroutine from the one that owns the machine, so that a slow disk doesn't delay heartbeats.
func (node *Node) runSaver() {
	defer node.done.Done()
	for {
		select {
		case <-node.ctx.Done():
			return
		case <-node.saver.wake:
			node.saveNewest()
		}
	}
}

// saveNewest saves until there is no newer record.
func (node *Node) saveNewest() {
	for requested := node.saver.takeNewest(); requested != nil; requested = node.saver.takeNewest() {
		if !node.saveUntilSynced(*requested) {
			return
		}
	}
}

// saveUntilSynced retries until the record is synced. It returns false if the node was closed before that.
func (node *Node) saveUntilSynced(requested persist) bool {
	encoded := requested.record.Encode()
	for err := node.saver.storage.Save(encoded); err != nil; err = node.saver.storage.Save(encoded) {
		node.saver.log.Error(err, "failed to save the member record; votes and acknowledgements are withheld until it is saved")
		select {
		case <-node.ctx.Done():
			return false
		case <-time.After(saveRetryDelay):
		}
	}
	return node.enqueue(node.ctx, command{input: persisted{point: requested.point}}) == nil
}
