package storenode

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	copyChecksPerSecond        = 128  // copies checked per second on one store at a time, in the order of disks
	restartCopyChecksPerSecond = 4000 // copies checked per second on restarted stores, where a restart may have revealed lost records
	heldTimeout                = time.Second
)

// copyChecks holds the checks still to be made by an owner: whether other stores really hold the copies that it counts on them.
type copyChecks struct {
	incarnations   map[string]string // by disk: newest incarnation of its store
	restartedDisks map[string]bool   // disks whose store has restarted, until their copies are queued
	urgent         []remoteCopy      // copies on restarted stores
	disk           string            // disk of the store that is being checked
	pending        []*message.Entry  // messages of owned partitions with a copy on disk that are not checked yet
}

// remoteCopy is a copy on another store.
type remoteCopy struct {
	entry *message.Entry
	disk  string
}

// noteIncarnations records which stores have restarted on the disk that they had.
func (c *copyChecks) noteIncarnations(stores []*rpc.StoreMember) {
	if c.incarnations == nil {
		c.incarnations, c.restartedDisks = map[string]string{}, map[string]bool{}
	}
	current := make(map[string]string, len(stores))
	for _, member := range stores {
		current[member.Disk] = member.Incarnation
		if previous, known := c.incarnations[member.Disk]; known && previous != member.Incarnation {
			c.restartedDisks[member.Disk] = true
		}
	}
	c.incarnations = current
}

// checkRemoteCopies asks other stores whether they hold the copies that this owner counts: copies on restarted stores first, otherwise one
// store after the other.
func (n *Node) checkRemoteCopies() {
	n.queueRestartedDisks()
	n.queueNextDisk()
	namesByDisk := map[string][]string{}
	add := func(entry *message.Entry, disk string) {
		if n.isResponsibleFor(entry) && slices.Contains(entry.Holders, disk) {
			namesByDisk[disk] = append(namesByDisk[disk], entry.Name)
		}
	}
	checks := &n.copyChecks
	urgent := min(restartCopyChecksPerSecond, len(checks.urgent))
	for _, target := range checks.urgent[:urgent] {
		add(target.entry, target.disk)
	}
	checks.urgent = checks.urgent[urgent:]
	pending := min(copyChecksPerSecond, len(checks.pending))
	for _, entry := range checks.pending[:pending] {
		add(entry, checks.disk)
	}
	checks.pending = checks.pending[pending:]
	for disk, names := range namesByDisk {
		if target := n.peers.get(disk); target != nil {
			go func() { _, _ = n.findMissingCopies(target, &rpc.HeldRequest{Names: names}) }() // a failed check is repeated in the next cycle
		}
	}
}

// queueRestartedDisks queues the copies on restarted stores.
func (n *Node) queueRestartedDisks() {
	checks := &n.copyChecks
	if len(checks.restartedDisks) == 0 {
		return
	}
	n.table.Each(func(e *message.Entry) {
		for _, disk := range e.Holders {
			if checks.restartedDisks[disk] && n.isResponsibleFor(e) {
				checks.urgent = append(checks.urgent, remoteCopy{entry: e, disk: disk})
			}
		}
	})
	clear(checks.restartedDisks)
}

// queueNextDisk moves on to the next store once all copies on the current one were checked.
func (n *Node) queueNextDisk() {
	checks := &n.copyChecks
	if len(checks.pending) > 0 {
		return
	}
	checks.disk = nextDisk(n.replicaPolicy.failureDomains, checks.disk)
	n.table.Each(func(e *message.Entry) {
		if slices.Contains(e.Holders, checks.disk) && n.isResponsibleFor(e) {
			checks.pending = append(checks.pending, e)
		}
	})
}

// nextDisk returns the disk that follows after in lexical order, or "", which precedes all disks, if after is the last one.
func nextDisk(domains map[string]string, after string) string {
	next := ""
	for disk := range domains {
		if disk > after && (next == "" || disk < next) {
			next = disk
		}
	}
	return next
}

// isResponsibleFor reports whether this store is the ready owner of a message that is still in the table.
func (n *Node) isResponsibleFor(e *message.Entry) bool {
	return n.table.IsReady(e.Partition) && n.table.Get(e.Name) == e
}

// findMissingCopies asks a store which of the copies in a request it lacks, and removes it as a holder of these, so that they are restored.
func (n *Node) findMissingCopies(target *peer, request *rpc.HeldRequest) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), heldTimeout)
	defer cancel()
	reply, err := n.cluster.Store(target.address).Held(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.Store != target.disk {
		return nil, errors.Errorf("storenode: a store with another disk answers at %s", target.address)
	}
	missing := make(map[string]bool, len(reply.Lacking))
	for _, name := range reply.Lacking {
		missing[name] = true
	}
	if len(missing) > 0 {
		n.log.Info("copies are missing or unreadable on another store; restoring them", "disk", target.disk, "copies", len(missing))
		n.post(func() { n.dropMissingCopies(target.disk, missing) })
	}
	return missing, nil
}

// dropMissingCopies removes a store as a holder of messages whose copies it lacks, and starts to restore these.
func (n *Node) dropMissingCopies(disk string, missing map[string]bool) {
	for name := range missing {
		if entry := n.table.Get(name); entry != nil {
			n.removeHolder(entry, disk)
		}
	}
	n.upkeep(n.now())
}

// removeHolder stops counting a copy that another store lacks or can't read.
func (n *Node) removeHolder(entry *message.Entry, disk string) {
	if !entry.RemoveHolder(disk) {
		return
	}
	entry.EnoughAt = 0
	n.log.V(1).Info("a copy is missing or unreadable on another store; restoring it", "message", entry.Name, "disk", disk)
	n.counters.copiesLacking.Add(1)
	if n.table.OwnedEpoch(entry.Partition) > 0 {
		n.underCopied.addMissing(1)
	}
}

// Held implements rpc.Store: it returns which of the named messages this store does not hold or can't read. It returns an error if the disk
// does not answer, because that proves nothing about the copies.
func (n *Node) Held(_ context.Context, request *rpc.HeldRequest) (*rpc.HeldReply, error) {
	reply := &rpc.HeldReply{}
	var toRead []recordRef
	if !n.do(func() {
		reply.Store = n.disk
		for _, name := range request.Names {
			entry := n.table.Get(name)
			if entry == nil || !entry.HasLocalCopy() {
				reply.Lacking = append(reply.Lacking, name)
			} else if request.Read && entry.Stored {
				toRead = append(toRead, recordRef{entry: entry, record: entry.Record})
			}
		}
	}) {
		return nil, errClosed
	}
	for _, ref := range toRead {
		_, err := n.readCopy(ref)
		if isCorrupt(err) {
			reply.Lacking = append(reply.Lacking, ref.entry.Name)
		} else if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	return reply, nil
}
