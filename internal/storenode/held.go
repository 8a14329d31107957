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
	heldSteady    = 128  // copies asked for each second on one other store, and on the next one after all that it holds
	heldRestarted = 4000 // copies asked for each second on stores that have started anew: records may turn out lost at a start
	heldWithin    = time.Second
)

// heldChecks is what an owner has still to ask about the copies that it counts on other stores for.
type heldChecks struct {
	starts    map[string]string // by disk: the newest start of its store
	restarted map[string]bool   // disks whose store has started anew, until the messages that it holds are listed
	urgent    []heldCopy        // copies on stores that have started anew
	disk      string            // of the store that is asked now in turn
	steady    []*message.Entry  // messages of owned partitions that it holds and was not asked for yet
}

// heldCopy is a copy on another store.
type heldCopy struct {
	entry *message.Entry
	disk  string
}

// noteStarts notes which stores have started anew with the disk that they had.
func (c *heldChecks) noteStarts(stores []*rpc.StoreMember) {
	if c.starts == nil {
		c.starts, c.restarted = map[string]string{}, map[string]bool{}
	}
	starts := make(map[string]string, len(stores))
	for _, member := range stores {
		starts[member.Disk] = member.Incarnation
		if before, known := c.starts[member.Disk]; known && before != member.Incarnation {
			c.restarted[member.Disk] = true
		}
	}
	c.starts = starts
}

// checkHeld asks other stores for copies that this owner counts on: soon where the holder has started anew, else one store after the other.
func (n *Node) checkHeld() {
	n.listRestarted()
	n.listSteady()
	ask := map[string][]string{}
	add := func(entry *message.Entry, disk string) {
		if n.mayCheckHeld(entry) && slices.Contains(entry.Holders, disk) {
			ask[disk] = append(ask[disk], entry.Name)
		}
	}
	checks := &n.heldChecks
	urgent := min(heldRestarted, len(checks.urgent))
	for _, one := range checks.urgent[:urgent] {
		add(one.entry, one.disk)
	}
	checks.urgent = checks.urgent[urgent:]
	steady := min(heldSteady, len(checks.steady))
	for _, entry := range checks.steady[:steady] {
		add(entry, checks.disk)
	}
	checks.steady = checks.steady[steady:]
	for disk, names := range ask {
		if one := n.peers.get(disk); one != nil {
			go func() { _, _ = n.lackingAt(one, &rpc.HeldRequest{Names: names}) }() // what brings no answer is asked in its turn again
		}
	}
}

// listRestarted lists the copies on stores that have started anew.
func (n *Node) listRestarted() {
	checks := &n.heldChecks
	if len(checks.restarted) == 0 {
		return
	}
	n.table.Each(func(e *message.Entry) {
		for _, disk := range e.Holders {
			if checks.restarted[disk] && n.mayCheckHeld(e) {
				checks.urgent = append(checks.urgent, heldCopy{entry: e, disk: disk})
			}
		}
	})
	clear(checks.restarted)
}

// listSteady goes on to the next store once one was asked for all that it holds.
func (n *Node) listSteady() {
	checks := &n.heldChecks
	if len(checks.steady) > 0 {
		return
	}
	checks.disk = nextDisk(n.holders.domains, checks.disk)
	n.table.Each(func(e *message.Entry) {
		if slices.Contains(e.Holders, checks.disk) && n.mayCheckHeld(e) {
			checks.steady = append(checks.steady, e)
		}
	})
}

// nextDisk returns the disk that follows one in the order of names, and "" after the last one, which all others follow.
func nextDisk(domains map[string]string, after string) string {
	next := ""
	for disk := range domains {
		if disk > after && (next == "" || disk < next) {
			next = disk
		}
	}
	return next
}

// mayCheckHeld reports whether this store answers for a message.
func (n *Node) mayCheckHeld(e *message.Entry) bool {
	return n.table.IsReady(e.Partition) && n.table.Get(e.Name) == e
}

// lackingAt asks a store which copies it lacks, and has those restored.
func (n *Node) lackingAt(one *peer, request *rpc.HeldRequest) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), heldWithin)
	defer cancel()
	reply, err := n.cluster.Store(one.address).Held(ctx, request)
	if err != nil {
		return nil, err
	}
	if reply.Store != one.disk {
		return nil, errors.Errorf("storenode: another disk answers at %s", one.address)
	}
	lacking := make(map[string]bool, len(reply.Lacking))
	for _, name := range reply.Lacking {
		lacking[name] = true
	}
	if len(lacking) > 0 {
		n.log.Info("copies are missing or unreadable on another store; they are restored", "disk", one.disk, "copies", len(lacking))
		n.post(func() { n.dropLacking(one.disk, lacking) })
	}
	return lacking, nil
}

// dropLacking counts copies no longer that a store turned out to lack, and has them restored.
func (n *Node) dropLacking(disk string, lacking map[string]bool) {
	for name := range lacking {
		if entry := n.table.Get(name); entry != nil {
			n.dropHolder(entry, disk)
		}
	}
	n.upkeep(n.now())
}

// dropHolder counts a copy no longer that another store lacks or can't read.
func (n *Node) dropHolder(entry *message.Entry, disk string) {
	if !entry.RemoveHolder(disk) {
		return
	}
	entry.EnoughAt = 0
	n.log.V(1).Info("a copy is missing or unreadable on another store; it is restored", "message", entry.Name, "disk", disk)
	n.counters.copiesLacking.Add(1)
	if n.table.OwnedEpoch(entry.Partition) > 0 {
		n.underCopied.addLacking(1)
	}
}

// Held implements rpc.Store: it tells which of the messages this store does not keep or can't read. It fails where the disk does not
// answer, which proves nothing.
func (n *Node) Held(_ context.Context, request *rpc.HeldRequest) (*rpc.HeldReply, error) {
	reply := &rpc.HeldReply{}
	var kept []verified
	if !n.do(func() {
		reply.Store = n.disk
		for _, name := range request.Names {
			entry := n.table.Get(name)
			if entry == nil || !entry.HasLocalCopy() {
				reply.Lacking = append(reply.Lacking, name)
			} else if request.Read && entry.Stored {
				kept = append(kept, verified{entry: entry, record: entry.Record})
			}
		}
	}) {
		return nil, errClosed
	}
	for _, one := range kept {
		_, err := n.readCopy(one)
		if isBroken(err) {
			reply.Lacking = append(reply.Lacking, one.entry.Name)
		} else if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	return reply, nil
}
