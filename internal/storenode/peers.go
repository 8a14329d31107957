package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/rpc"
)

// errClosed is returned to callers while the process shuts down.
var errClosed = errors.New("storenode: this store is closing; ask another one")

const (
	putTimeout         = 600 * time.Millisecond
	reportTimeout      = time.Second
	reportDelay        = 10 * time.Millisecond  // how long fates are collected before they are sent
	minSuspectDuration = 200 * time.Millisecond // doubles with each consecutive failure, up to maxSuspectDuration
	maxSuspectDuration = 1500 * time.Millisecond
	maxBatchMessages   = 64
	maxBatchFates      = 500
	maxQueuedCopies    = 4096
	maxQueuedFates     = 50_000
	usedDomainPenalty  = 16 // added to the rank of stores in a failure domain that already has a copy
	maxConcurrentSends = 4  // batches of copies in transit to one store
)

// peers tracks the other stores of the current map. It is safe for concurrent use.
type peers struct {
	node   *Node
	mutex  sync.Mutex
	byDisk map[string]*peer
	list   []*peer
}

// newPeers returns the peers of a node, none before the first update.
func newPeers(n *Node) *peers { return &peers{node: n, byDisk: map[string]*peer{}} }

// update sets the members of a new map. Queues to stores whose address and zone are unchanged are kept.
func (p *peers) update(members []*rpc.StoreMember) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := map[string]*peer{}
	p.list = p.list[:0]
	for _, member := range members {
		if member.Disk == p.node.disk {
			continue
		}
		store := p.byDisk[member.Disk]
		if store == nil || store.address != member.Address || store.zone != member.Zone {
			store = &peer{node: p.node, disk: member.Disk, address: member.Address, zone: member.Zone}
		}
		store.leaving = member.Leaving
		known[member.Disk] = store
		p.list = append(p.list, store)
	}
	p.byDisk = known
}

// all returns the other stores.
func (p *peers) all() []*peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]*peer(nil), p.list...)
}

// get returns the store with this disk, or nil.
func (p *peers) get(disk string) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.byDisk[disk]
}

// waitingCopies counts the copies that have not been sent yet.
func (p *peers) waitingCopies() int {
	count := 0
	for _, peer := range p.all() {
		peer.mutex.Lock()
		count += len(peer.copies)
		peer.mutex.Unlock()
	}
	return count
}

// choose selects a store for a copy, or returns nil if there is none. Stores in tried are excluded, as are stores that are being retired,
// because copies there do not count. Healthy stores are preferred; among them a store of another zone for the first copy, so that the
// message survives the loss of a zone, and of this zone for further ones, because traffic between zones is expensive. If copies must be in
// different zones or regions, that takes precedence.
func (p *peers) choose(tried map[string]bool) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var best *peer
	bestRank, ties := 0, 0
	now := time.Now()
	used := p.usedDomains(tried)
	preferSameZone := p.triedOtherZone(tried)
	for _, candidate := range p.list {
		if tried[candidate.disk] || candidate.leaving {
			continue
		}
		rank := candidate.rank(now)
		if isSameZone := candidate.zone == p.node.settings.Zone; isSameZone != preferSameZone {
			rank++
		}
		if used[p.node.failureDomains.domainOf(candidate.disk, candidate.zone)] {
			rank += usedDomainPenalty
		}
		switch {
		case best == nil || rank < bestRank:
			best, bestRank, ties = candidate, rank, 1
		case rank == bestRank:
			ties++
			if p.node.drawRandom(ties) == 0 {
				best = candidate
			}
		}
	}
	return best
}

// usedDomains returns the failure domains of this store and of those in tried. Callers hold the mutex.
func (p *peers) usedDomains(tried map[string]bool) map[string]bool {
	used := map[string]bool{p.node.ownDomain(): true}
	for disk := range tried {
		if peer := p.byDisk[disk]; peer != nil {
			used[p.node.failureDomains.domainOf(disk, peer.zone)] = true
		}
	}
	return used
}

// triedOtherZone reports whether one of the stores in tried is in another zone than this store. Callers hold the mutex.
func (p *peers) triedOtherZone(tried map[string]bool) bool {
	for disk := range tried {
		if peer := p.byDisk[disk]; peer != nil && peer.zone != p.node.settings.Zone {
			return true
		}
	}
	return false
}

// outgoingCopy is a message queued for a holder.
type outgoingCopy struct {
	message *rpc.Message
	epoch   uint64
	done    func(rpc.PutStatus) // called exactly once, by the sending goroutine
}

// peer is one other store, with its queues of copies and fates.
type peer struct {
	node    *Node
	disk    string
	address string
	zone    string
	leaving bool // guarded by the mutex of peers

	mutex        sync.Mutex
	copies       []*outgoingCopy // not sent yet
	senders      int             // goroutines in sendCopies
	fates        []*rpc.Fate     // not reported yet
	reporting    bool            // sendFates is scheduled or running
	suspectUntil time.Time
	suspectFor   time.Duration // length of the latest suspicion
}

// rank is lower for stores that are more likely to store a copy.
func (p *peer) rank(now time.Time) int {
	rank := 0
	p.mutex.Lock()
	if now.Before(p.suspectUntil) {
		rank += 8
	}
	p.mutex.Unlock()
	return rank
}

// failed marks the store as suspect for a time.
func (p *peer) failed() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspectFor = min(max(minSuspectDuration, 2*p.suspectFor), maxSuspectDuration)
	p.suspectUntil = time.Now().Add(p.suspectFor)
}

// answered ends the suspicion against the store.
func (p *peer) answered() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspectFor, p.suspectUntil = 0, time.Time{}
}

// enqueueCopy queues a copy and reports whether the queue had room. Copies that are queued while others are in transit are sent as one
// batch. The callback of the copy never runs on the caller's goroutine.
func (p *peer) enqueueCopy(item *outgoingCopy) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.copies) >= maxQueuedCopies {
		return false
	}
	p.copies = append(p.copies, item)
	if p.senders < maxConcurrentSends {
		p.senders++
		go p.sendCopies()
	}
	return true
}

// sendCopies sends queued copies in batches until the queue is empty.
func (p *peer) sendCopies() {
	for {
		p.mutex.Lock()
		if len(p.copies) == 0 {
			p.senders--
			p.mutex.Unlock()
			return
		}
		count := min(maxBatchMessages, len(p.copies))
		batch := p.copies[:count:count]
		p.copies = p.copies[count:]
		p.mutex.Unlock()
		p.sendBatch(batch)
	}
}

// sendBatch sends one batch of copies and calls their callbacks.
func (p *peer) sendBatch(batch []*outgoingCopy) {
	request := &rpc.PutRequest{Mode: rpc.PutMode_HOLDER}
	for _, item := range batch {
		request.Messages = append(request.Messages, item.message)
		request.Epochs = append(request.Epochs, item.epoch)
	}
	ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
	defer cancel()
	reply, err := p.node.cluster.Store(p.address).Put(ctx, request)
	if err != nil || len(reply.Statuses) != len(batch) {
		p.failed()
		for _, item := range batch {
			item.done(rpc.PutStatus_FAILED)
		}
		return
	}
	p.answered()
	for i, item := range batch {
		item.done(reply.Statuses[i])
	}
}

// enqueueFate queues a message's fate for this store.
func (p *peer) enqueueFate(fate *rpc.Fate) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.fates) >= maxQueuedFates {
		return // the holder's next scrub asks for it
	}
	p.fates = append(p.fates, fate)
	if !p.reporting {
		p.reporting = true
		time.AfterFunc(reportDelay, p.sendFates)
	}
}

// sendFates sends queued fates in batches until the queue is empty. After more than 20 failures in a row it drops the queue.
func (p *peer) sendFates() {
	failures := 0
	for {
		p.mutex.Lock()
		if len(p.fates) == 0 {
			p.reporting = false
			p.mutex.Unlock()
			return
		}
		count := min(maxBatchFates, len(p.fates))
		batch := append([]*rpc.Fate(nil), p.fates[:count]...)
		p.mutex.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		_, err := p.node.cluster.Store(p.address).Report(ctx, &rpc.ReportRequest{Fates: batch})
		cancel()
		p.mutex.Lock()
		if err == nil {
			failures = 0
			p.fates = p.fates[count:]
		} else if failures++; failures > 20 {
			p.fates = nil // the holder's next scrub asks for them
		}
		p.mutex.Unlock()
		if err != nil {
			p.failed()
			time.Sleep(min(time.Duration(failures)*50*time.Millisecond, 500*time.Millisecond))
		}
	}
}

// isIdle reports whether all fates were sent, or the store is suspect so that waiting for it is pointless.
func (p *peer) isIdle() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return !p.reporting || time.Now().Before(p.suspectUntil)
}
