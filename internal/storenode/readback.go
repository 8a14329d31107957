package storenode

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// maxReadBackBatch is the number of messages whose copies are read back at a time. The next batch follows after upkeepRetryDelay.
const maxReadBackBatch = 400

// maxUnansweredReads is how many reads in a row a holder may leave unanswered before its copy no longer counts.
const maxUnansweredReads = 3

// diskLosses tracks the disks that no longer count. The remaining copies of messages that had copies there are read back before the control
// plane is told that there are enough of them, since a copy that is counted may turn out unreadable.
type diskLosses struct {
	lostAtVersion map[string]uint64 // by disk: map version under which it ceased to count
	formerOwner   map[uint32]string // by partition: disk of the latest owner other than this store
}

// update compares the disks that count under a new map with those of the previous one.
func (l *diskLosses) update(previous, current map[string]string, version uint64) {
	if l.lostAtVersion == nil {
		l.lostAtVersion, l.formerOwner = map[string]uint64{}, map[uint32]string{}
	}
	for disk := range previous {
		if _, counts := current[disk]; !counts {
			l.lostAtVersion[disk] = version
		}
	}
	for disk := range current {
		delete(l.lostAtVersion, disk)
	}
}

// needsReadBack reports whether a message had a copy on a disk that no longer counts and the remaining copies have not all been read since.
func (l *diskLosses) needsReadBack(e *message.Entry) bool {
	if len(l.lostAtVersion) == 0 {
		return false
	}
	for _, disk := range e.Holders {
		if l.lostAtVersion[disk] > e.ReadUnder {
			return true
		}
	}
	former, isKnown := l.formerOwner[e.Partition]
	return isKnown && l.lostAtVersion[former] > e.ReadUnder
}

// noteFormerOwners records which other stores own partitions under the newest map.
func (n *Node) noteFormerOwners(view *cluster.View) {
	for id := range view.Map.Partitions {
		partition := uint32(id)
		if owner, _, ok := view.Owner(partition); ok && owner.Disk != n.disk {
			n.diskLosses.formerOwner[partition] = owner.Disk
		}
	}
}

// mapVersion returns the version of the newest partition map, 0 before the first. Copies written under it need not be read back for earlier
// losses.
func (n *Node) mapVersion() uint64 {
	if n.view == nil || n.view.Map == nil {
		return 0
	}
	return n.view.Map.Version
}

// readBack reads the copies of a batch of messages, here and on other stores.
type readBack struct {
	node         *Node
	mapVersion   uint64              // partition map in force at the start
	localRecords []recordRef         // copies in this store's log
	namesByDisk  map[string][]string // names of messages, by disk of the holder

	mutex             sync.Mutex
	readableDomains   map[string][]string // by name: failure domains of the copies that were read
	unresponsiveDisks []string            // disks of holders that did not answer
}

// startReadBack starts to read the copies of messages, a bounded number at a time.
func (n *Node) startReadBack(unread []*message.Entry, now time.Duration) {
	batch := &readBack{node: n, mapVersion: n.view.Map.Version, namesByDisk: map[string][]string{}, readableDomains: map[string][]string{}}
	started := 0
	for _, e := range unread {
		if started == maxReadBackBatch {
			break
		}
		if now < e.RepairAt {
			continue
		}
		e.RepairAt = now + repairRetryDelay
		batch.add(e)
		started++
	}
	if started > 0 {
		go batch.run(n.replicaPolicy.failureDomains)
	}
}

// add adds the copies of a message to the batch.
func (r *readBack) add(e *message.Entry) {
	if e.Stored {
		r.localRecords = append(r.localRecords, recordRef{entry: e, record: e.Record})
	}
	for _, disk := range e.Holders {
		if _, counts := r.node.replicaPolicy.failureDomains[disk]; counts {
			r.namesByDisk[disk] = append(r.namesByDisk[disk], e.Name)
		}
	}
}

// run reads the local copies while other stores read theirs, then posts the result to the event loop.
func (r *readBack) run(domains map[string]string) {
	var remoteReads sync.WaitGroup
	for disk, names := range r.namesByDisk {
		source := r.node.peers.get(disk)
		if source == nil {
			continue
		}
		remoteReads.Go(func() { r.readRemote(source, names, domains[disk]) })
	}
	for _, source := range r.localRecords {
		if _, err := r.node.readCopy(source); err == nil {
			r.addReadable(source.entry.Name, r.node.ownDomain())
		}
	}
	remoteReads.Wait()
	r.node.post(r.apply)
}

// readRemote makes another store read its copies.
func (r *readBack) readRemote(target *peer, names []string, domain string) {
	missing, err := r.node.findMissingCopies(target, &rpc.HeldRequest{Names: names, Read: true})
	var refused twirp.Error
	if errors.As(err, &refused) && refused.Code() == twirp.BadRoute {
		err = nil // an older version that can't read copies on request: the copies that it acknowledged count
	}
	if err != nil {
		r.mutex.Lock()
		r.unresponsiveDisks = append(r.unresponsiveDisks, target.disk)
		r.mutex.Unlock()
		return
	}
	for _, name := range names {
		if !missing[name] {
			r.addReadable(name, domain)
		}
	}
}

// addReadable records a copy that was read without error.
func (r *readBack) addReadable(name, domain string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.readableDomains[name] = append(r.readableDomains[name], domain)
}

// apply marks the messages whose copies in enough failure domains were read. For the others, a holder that has left maxUnansweredReads
// reads in a row unanswered no longer counts, so that copies are made elsewhere.
func (r *readBack) apply() {
	for name, domains := range r.readableDomains {
		entry := r.node.table.Get(name)
		if entry != nil && countDistinct(domains) >= r.node.replicaPolicy.requiredCopies {
			entry.ReadUnder = max(entry.ReadUnder, r.mapVersion)
			entry.SilentReads = 0
		}
	}
	for _, disk := range r.unresponsiveDisks {
		for _, name := range r.namesByDisk[disk] {
			entry := r.node.table.Get(name)
			if entry == nil || entry.ReadUnder >= r.mapVersion {
				continue
			}
			entry.SilentReads++
			if entry.SilentReads >= maxUnansweredReads {
				entry.SilentReads = 0
				r.node.removeHolder(entry, disk)
			}
		}
	}
}

// countDistinct returns the number of different values.
func countDistinct(values []string) int {
	distinct := make(map[string]bool, len(values))
	for _, value := range values {
		distinct[value] = true
	}
	return len(distinct)
}
