package failover

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// saveRetryDelay is the pause after a save that failed.
const saveRetryDelay = 200 * time.Millisecond

// saver keeps the newest record that is to be saved. A record that is overtaken while another one is being synced is
// never written.
type saver struct {
	storage Storage
	log     logr.Logger
	wake    chan struct{}
	mutex   sync.Mutex
	newest  *persist // nil where nothing is to be saved
}

func newSaver(storage Storage, log logr.Logger) *saver {
	return &saver{storage: storage, log: log, wake: make(chan struct{}, 1)}
}

// save asks for a save and does not wait.
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

// runSaver saves off the goroutine that owns the machine, so that a slow disk does not hold up heartbeats.
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

// saveNewest saves until nothing newer is wanted.
func (node *Node) saveNewest() {
	for requested := node.saver.takeNewest(); requested != nil; requested = node.saver.takeNewest() {
		if !node.saveUntilSynced(*requested) {
			return
		}
	}
}

// saveUntilSynced tries until the record is synced; it returns false where the node was closed before that.
func (node *Node) saveUntilSynced(requested persist) bool {
	encoded := requested.record.Encode()
	for err := node.saver.storage.Save(encoded); err != nil; err = node.saver.storage.Save(encoded) {
		node.saver.log.Error(err, "the record was not saved; no vote and no acknowledgement until it is")
		select {
		case <-node.ctx.Done():
			return false
		case <-time.After(saveRetryDelay):
		}
	}
	return node.enqueue(node.ctx, command{input: persisted{point: requested.point}}) == nil
}
