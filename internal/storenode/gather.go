package storenode

import (
	"context"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// Gathering: a new owner asks the other stores for their messages before it starts partitions.

// Gather implements rpc.Store: it raises the fences of the partitions to the given epochs and lists the messages that this store holds of
// them. Both are durable when it returns, because the caller counts the listed copies. If a fence is already higher, it changes nothing and
// sets Stale.
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
		reply.Messages = n.listMessages(request.Partitions)
		reply.Strays = n.listStrays(request.Partitions, request.PartitionCount)
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

// raiseFence makes the store refuse writes under older epochs. If the partition is owned under one of them, no further attempts start.
func (n *Node) raiseFence(p *rpc.PartitionEpoch) {
	if !n.table.RaiseFence(p.Partition, p.Epoch) {
		return
	}
	n.appendFence(p.Partition, p.Epoch)
	if n.table.OwnedEpoch(p.Partition) > 0 {
		n.attemptEpochs[p.Partition].Store(0)
		n.table.Pause(p.Partition)
	}
}

// listMessages returns the messages of partitions, without bodies. Messages that this store knows but whose copy it does not hold are left
// out.
func (n *Node) listMessages(partitions []*rpc.PartitionEpoch) []*rpc.Message {
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

// gatherRound collects the answers of the other stores for partitions that are taken over together.
type gatherRound struct {
	request  *rpc.GatherRequest
	mutex    sync.Mutex
	answered map[string]bool // by disk
	replaced map[string]bool // by disk: a store with another disk answers at its address
	inFlight map[string]bool // by disk: a goroutine is querying it
	changed  chan struct{}   // signals awaitAnswers
}

// mark adds a disk to one of the sets and wakes awaitAnswers.
func (g *gatherRound) mark(set map[string]bool, disk string) {
	g.mutex.Lock()
	set[disk] = true
	g.mutex.Unlock()
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// takeOver collects what the other stores hold of partitions, then starts the partitions.
func (n *Node) takeOver(partitions []*rpc.PartitionEpoch) {
	if err := n.file.Wait(); err != nil { // the fences appended by acquirePartition
		n.log.Error(err, "fences not synced; partitions are not started")
		return
	}
	round := &gatherRound{request: &rpc.GatherRequest{Caller: n.settings.Node, Partitions: partitions, PartitionCount: n.cluster.View().Partitions()},
		answered: map[string]bool{}, replaced: map[string]bool{}, inFlight: map[string]bool{}, changed: make(chan struct{}, 1)}
	n.do(func() { n.awaitStrays(n.listStrays(partitions, round.request.PartitionCount), round.request) })
	n.awaitAnswers(round)
}

// queryMissing queries the stores that have not answered and are not being queried.
func (n *Node) queryMissing(round *gatherRound) {
	round.mutex.Lock()
	defer round.mutex.Unlock()
	for _, peer := range n.peers.all() {
		if round.answered[peer.disk] || round.inFlight[peer.disk] {
			continue
		}
		round.inFlight[peer.disk] = true
		go n.queryPeer(peer, round)
	}
}

// queryPeer queries one store until it answers, for gatherMaxDuration at most.
func (n *Node) queryPeer(target *peer, round *gatherRound) {
	ctx, cancel := context.WithTimeout(context.Background(), gatherMaxDuration)
	defer cancel()
	defer func() {
		round.mutex.Lock()
		delete(round.inFlight, target.disk)
		round.mutex.Unlock()
	}()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, gatherTimeout)
		reply, err := n.cluster.Store(target.address).Gather(callCtx, round.request)
		cancel()
		if err == nil && reply.Stale {
			return // a newer owner exists; this store will receive the map that says so
		}
		if err == nil && reply.Store != target.disk {
			round.mark(round.replaced, target.disk) // the disk is gone with everything on it; this store will receive the map that says so
			return
		}
		if err == nil {
			target.answered()
			n.do(func() {
				n.mergeGathered(target.disk, reply.Messages, round.request.Partitions)
				n.awaitStrays(reply.Strays, round.request)
			})
			round.mark(round.answered, target.disk)
			return
		}
		select {
		case <-time.After(gatherRetryDelay):
		case <-ctx.Done():
		case <-n.closed:
			return
		}
	}
}

// mergeGathered merges the messages that another store holds, for partitions that are still owned under the epochs of the request.
func (n *Node) mergeGathered(disk string, messages []*rpc.Message, partitions []*rpc.PartitionEpoch) {
	current := map[uint32]bool{}
	for _, p := range partitions {
		current[p.Partition] = n.table.OwnedEpoch(p.Partition) == p.Epoch
	}
	for _, m := range messages {
		if !current[m.Partition] {
			continue
		}
		entry := n.mergeRemote(m)
		if !m.Unreadable {
			entry.AddHolder(disk)
		}
	}
	n.file.RequestSync(n.reportDiskError)
	n.schedulePending = true
}

// awaitAnswers starts the partitions once all stores have answered, or once enough have and the others have not answered within
// gatherGracePeriod. Enough means that the missing stores, and those whose disks are not whole (new disks whose copies are still being
// restored), are no more than may be lost. A replaced disk counts as missing but is not waited for, because it can't answer any more.
func (n *Node) awaitAnswers(round *gatherRound) {
	check := time.NewTicker(gatherCheckInterval)
	defer check.Stop()
	var graceEnded <-chan time.Time
	n.queryMissing(round)
	for {
		all, pending, enough := n.countAnswers(round, n.cluster.View().Map)
		if all || enough && pending == 0 {
			break
		}
		if enough && graceEnded == nil {
			timer := time.NewTimer(gatherGracePeriod)
			defer timer.Stop()
			graceEnded = timer.C
		}
		select {
		case <-round.changed:
			continue
		case <-check.C:
			if !n.ownsAny(round.request.Partitions) {
				return
			}
			n.queryMissing(round)
			continue
		case <-graceEnded:
		case <-n.closed:
			return
		}
		break
	}
	if err := n.file.Wait(); err != nil { // the gathered final states count as held by this store
		n.reportDiskError(err)
		n.log.Error(err, "gathered messages not synced; free space on the disk or replace it")
	}
	n.do(func() { n.startPartitions(round.request.Partitions) })
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

// countAnswers reports whether all stores of a map have answered, how many of the others may still do so, and whether enough have.
func (n *Node) countAnswers(round *gatherRound, partitionMap *rpc.MapView) (all bool, pending int, enough bool) {
	round.mutex.Lock()
	defer round.mutex.Unlock()
	all = true
	var missing []*rpc.StoreMember
	for _, member := range partitionMap.Stores {
		answered := member.Disk == n.disk || round.answered[member.Disk]
		all = all && answered
		if !answered && !round.replaced[member.Disk] {
			pending++
		}
		if !answered || !member.Whole {
			missing = append(missing, member)
		}
	}
	return all, pending, n.failureDomains.tolerates(missing)
}

// startPartitions allows attempts for partitions whose messages were gathered.
func (n *Node) startPartitions(partitions []*rpc.PartitionEpoch) {
	now := n.now()
	for _, p := range partitions {
		if n.table.OwnedEpoch(p.Partition) != p.Epoch {
			continue
		}
		n.table.MarkReady(p.Partition, now)
		n.attemptEpochs[p.Partition].Store(p.Epoch)
	}
	n.log.Info("partitions taken over", "partitions", len(partitions), "queued", n.table.Queued(),
		"ended", n.table.Len()-n.table.Queued(), "learnt", n.counters.endsLearnt.Load())
	n.schedulePending = true
	if n.view != nil && n.view.Map != nil { // apply what was requested of these partitions during the takeover
		n.applyMap(n.view.Map)
	}
}
