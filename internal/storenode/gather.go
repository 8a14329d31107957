package storenode

import (
	"context"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// Gathering: what a new owner asks the other stores before it begins.

// Gather implements rpc.Store: it raises the epochs, and lists what this store holds of the partitions. Both are durable when it
// returns: the caller counts the copies that are listed.
func (n *Node) Gather(_ context.Context, request *rpc.GatherRequest) (*rpc.GatherReply, error) {
	reply := &rpc.GatherReply{Store: n.disk}
	if !n.do(func() {
		for _, p := range request.Partitions {
			if p.Epoch < n.table.Fence(p.Partition) {
				reply.Stale = true
				return
			}
		}
		for _, p := range request.Partitions {
			n.raiseFence(p)
		}
		reply.Messages = n.list(request.Partitions)
	}) {
		return nil, errClosed
	}
	if reply.Stale {
		return reply, nil
	}
	if err := n.file.Wait(); err != nil {
		return nil, err
	}
	return reply, nil
}

// raiseFence refuses writes of older epochs. An ownership under one of them begins no further attempts.
func (n *Node) raiseFence(p *rpc.PartitionEpoch) {
	if !n.table.RaiseFence(p.Partition, p.Epoch) {
		return
	}
	n.appendFence(p.Partition, p.Epoch)
	if n.table.OwnedEpoch(p.Partition) > 0 {
		n.owned[p.Partition].Store(0)
		n.table.Pause(p.Partition)
	}
}

// list returns the messages of partitions, without bodies. Those that this store only knows by name are left out.
func (n *Node) list(partitions []*rpc.PartitionEpoch) []*rpc.Message {
	now := n.now()
	var messages []*rpc.Message
	for _, p := range partitions {
		n.table.Partition(p.Partition, func(e *message.Entry) {
			if e.State == rpc.State_COMPLETED {
				messages = append(messages, e.CompletionMessage(now))
				return
			}
			if e.Stored {
				m := e.Message(now)
				m.Unreadable = e.Unreadable
				messages = append(messages, m)
			}
		})
	}
	return messages
}

// gathering collects the answers of the other stores for partitions that were taken over together.
type gathering struct {
	request  *rpc.GatherRequest
	mutex    sync.Mutex
	answered map[string]bool // by disk
	replaced map[string]bool // by disk: another one answers at its address
	asked    map[string]bool // by disk: being asked
	changed  chan struct{}
}

// note marks a disk in one of the sets, and has the wait for the answers look again.
func (g *gathering) note(disks map[string]bool, disk string) {
	g.mutex.Lock()
	disks[disk] = true
	g.mutex.Unlock()
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// gather learns what other stores hold of partitions, then lets them run.
func (n *Node) gather(partitions []*rpc.PartitionEpoch) {
	if err := n.file.Wait(); err != nil { // the fences of this store
		n.log.Error(err, "fences not synced")
		return
	}
	g := &gathering{request: &rpc.GatherRequest{Caller: n.settings.Node, Partitions: partitions},
		answered: map[string]bool{}, replaced: map[string]bool{}, asked: map[string]bool{}, changed: make(chan struct{}, 1)}
	n.awaitGathered(g)
}

// askMissing asks the stores that have not answered and are not being asked.
func (n *Node) askMissing(g *gathering) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, one := range n.peers.all() {
		if g.answered[one.disk] || g.asked[one.disk] {
			continue
		}
		g.asked[one.disk] = true
		go n.gatherFrom(one, g)
	}
}

// gatherFrom asks one store until it answers, for a time.
func (n *Node) gatherFrom(one *peer, g *gathering) {
	ctx, cancel := context.WithTimeout(context.Background(), gatherMost)
	defer cancel()
	defer func() {
		g.mutex.Lock()
		delete(g.asked, one.disk)
		g.mutex.Unlock()
	}()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, gatherWithin)
		reply, err := n.cluster.Store(one.address).Gather(call, g.request)
		cancel()
		if err == nil && reply.Stale {
			return // a newer owner exists; the map that says so is under way
		}
		if err == nil && reply.Store != one.disk {
			g.note(g.replaced, one.disk) // it is gone, and what it held with it; the map that says so is under way
			return
		}
		if err == nil {
			one.answered()
			n.do(func() { n.merge(one.disk, reply.Messages, g.request.Partitions) })
			g.note(g.answered, one.disk)
			return
		}
		select {
		case <-time.After(gatherPause):
		case <-ctx.Done():
		case <-n.closed:
			return
		}
	}
}

// merge enters what another store holds of partitions that are still owned under the epochs asked for.
func (n *Node) merge(disk string, messages []*rpc.Message, partitions []*rpc.PartitionEpoch) {
	current := map[uint32]bool{}
	for _, p := range partitions {
		current[p.Partition] = n.table.OwnedEpoch(p.Partition) == p.Epoch
	}
	for _, m := range messages {
		if !current[m.Partition] {
			continue
		}
		entry := n.learn(m)
		if !m.Unreadable {
			entry.AddHolder(disk)
		}
	}
	n.file.RequestSync(n.noteDisk)
	n.pumpDue = true
}

// awaitGathered makes the partitions ready once all stores have answered, or enough have and the rest stayed silent for a
// moment. Enough is all but as many as may be lost, counted without those whose disks are not whole. A disk that was replaced is
// not among those that have answered, but nothing more is to be heard from it either.
func (n *Node) awaitGathered(g *gathering) {
	check := time.NewTicker(gatherCheck)
	defer check.Stop()
	var graceOver <-chan time.Time
	n.askMissing(g)
	for {
		all, silent, enough := n.gathered(g, n.cluster.View().Map)
		if all || enough && silent == 0 {
			break
		}
		if enough && graceOver == nil {
			timer := time.NewTimer(gatherGrace)
			defer timer.Stop()
			graceOver = timer.C
		}
		select {
		case <-g.changed:
			continue
		case <-check.C:
			if !n.ownsAny(g.request.Partitions) {
				return
			}
			n.askMissing(g)
			continue
		case <-graceOver:
		case <-n.closed:
			return
		}
		break
	}
	if err := n.file.Wait(); err != nil { // the ends that were learnt: they count as kept here
		n.noteDisk(err)
		n.log.Error(err, "what other stores told is not synced; free space on the disk, or replace it")
	}
	n.do(func() { n.begun(g.request.Partitions) })
}

// ownsAny reports whether any of the partitions is still owned under its epoch.
func (n *Node) ownsAny(partitions []*rpc.PartitionEpoch) bool {
	owns := false
	n.do(func() {
		for _, p := range partitions {
			owns = owns || n.table.OwnedEpoch(p.Partition) == p.Epoch
		}
	})
	return owns
}

// gathered reports whether all stores of a map have answered, how many of the others may still do so, and whether enough have.
func (n *Node) gathered(g *gathering, view *rpc.MapView) (all bool, silent int, enough bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	all = true
	var missing []*rpc.StoreMember
	for _, member := range view.Stores {
		answered := member.Disk == n.disk || g.answered[member.Disk]
		all = all && answered
		if !answered && !g.replaced[member.Disk] {
			silent++
		}
		if !answered || !member.Whole {
			missing = append(missing, member)
		}
	}
	return all, silent, n.domains.bears(missing)
}

// begun lets partitions run whose state is known.
func (n *Node) begun(partitions []*rpc.PartitionEpoch) {
	now := n.now()
	for _, p := range partitions {
		if n.table.OwnedEpoch(p.Partition) != p.Epoch {
			continue
		}
		n.table.MarkReady(p.Partition, now)
		n.owned[p.Partition].Store(p.Epoch)
	}
	n.log.Info("partitions taken over", "partitions", len(partitions), "queued", n.table.Queued(),
		"ended", n.table.Len()-n.table.Queued(), "learnt", n.counters.endsLearnt.Load())
	n.pumpDue = true
	if n.view != nil && n.view.Map != nil { // what was asked for while the partitions were taken over
		n.applyMap(n.view.Map)
	}
}
