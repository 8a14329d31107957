package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"foldlb.example/foldlb/internal/rpc"
)

// errClosed is returned to callers while the process ends.
var errClosed = errors.New("storenode: this store is closing; ask another one")

const (
	putWithin      = 600 * time.Millisecond
	reportWithin   = time.Second
	reportPause    = 10 * time.Millisecond // fates are collected for so long
	suspectFirst   = 200 * time.Millisecond
	suspectMost    = 1500 * time.Millisecond
	batchMessages  = 64
	batchFates     = 500
	queuedCopies   = 4096
	queuedFates    = 50_000
	usedDomainRank = 16 // added to stores in whose failure domain there is a copy
	sendersMost    = 4  // batches of copies under way at one store
)

// peers are the other stores.
type peers struct {
	node  *Node
	mutex sync.Mutex
	byKey map[string]*peer // by disk
	list  []*peer
}

func newPeers(n *Node) *peers { return &peers{node: n, byKey: map[string]*peer{}} }

// update takes the members of a new map.
func (p *peers) update(members []*rpc.StoreMember) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := map[string]*peer{}
	p.list = p.list[:0]
	for _, member := range members {
		if member.Disk == p.node.disk {
			continue
		}
		one := p.byKey[member.Disk]
		if one == nil || one.address != member.Address || one.zone != member.Zone {
			one = &peer{node: p.node, disk: member.Disk, address: member.Address, zone: member.Zone}
		}
		one.leaving = member.Leaving
		known[member.Disk] = one
		p.list = append(p.list, one)
	}
	p.byKey = known
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
	return p.byKey[disk]
}

// waiting counts the copies that have not been sent yet.
func (p *peers) waiting() int {
	count := 0
	for _, one := range p.all() {
		one.mutex.Lock()
		count += len(one.copies)
		one.mutex.Unlock()
	}
	return count
}

// choose draws a store for a copy that is not in tried and is not being emptied, as a copy there counts as gone: healthy ones
// before others, and among them one of another zone for the first copy, so that a zone may be lost, and of this zone for further ones, since bytes between zones are dear. Where copies must
// stand in different zones or regions, that goes before.
func (p *peers) choose(tried map[string]bool) *peer {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var best *peer
	bestRank, same := 0, 0
	now := time.Now()
	used := p.usedDomains(tried)
	apart := p.triedElsewhere(tried)
	for _, one := range p.list {
		if tried[one.disk] || one.leaving {
			continue
		}
		rank := one.rank(now)
		if near := one.zone == p.node.settings.Zone; near != apart {
			rank++
		}
		if used[p.node.domains.of(one.disk, one.zone)] {
			rank += usedDomainRank
		}
		switch {
		case best == nil || rank < bestRank:
			best, bestRank, same = one, rank, 1
		case rank == bestRank:
			same++
			if p.node.draw(same) == 0 {
				best = one
			}
		}
	}
	return best
}

// usedDomains are the failure domains of this store and of those in tried. The mutex is held.
func (p *peers) usedDomains(tried map[string]bool) map[string]bool {
	used := map[string]bool{p.node.ownDomain(): true}
	for disk := range tried {
		if one := p.byKey[disk]; one != nil {
			used[p.node.domains.of(disk, one.zone)] = true
		}
	}
	return used
}

// triedElsewhere reports whether one of the stores in tried is of another zone than this one. The mutex is held.
func (p *peers) triedElsewhere(tried map[string]bool) bool {
	for disk := range tried {
		if one := p.byKey[disk]; one != nil && one.zone != p.node.settings.Zone {
			return true
		}
	}
	return false
}

// copyItem is a message on its way to a holder.
type copyItem struct {
	message *rpc.Message
	epoch   uint64
	done    func(rpc.PutStatus) // called once, by the goroutine that sent it
}

// peer is one other store.
type peer struct {
	node    *Node
	disk    string
	address string
	zone    string
	leaving bool // guarded by the mutex of peers

	mutex        sync.Mutex
	copies       []*copyItem
	senders      int
	fates        []*rpc.Fate
	reporting    bool
	suspectUntil time.Time
	suspectFor   time.Duration
}

// rank is lower for stores that are likely to take a copy.
func (one *peer) rank(now time.Time) int {
	rank := 0
	one.mutex.Lock()
	if now.Before(one.suspectUntil) {
		rank += 8
	}
	one.mutex.Unlock()
	return rank
}

func (one *peer) failed() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.suspectFor = min(max(suspectFirst, 2*one.suspectFor), suspectMost)
	one.suspectUntil = time.Now().Add(one.suspectFor)
}

func (one *peer) answered() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.suspectFor, one.suspectUntil = 0, time.Time{}
}

// put queues a copy, and reports false where the queue is full. What is queued while others are under way travels together. The callback
// of the copy runs on another goroutine than the caller's.
func (one *peer) put(item *copyItem) bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if len(one.copies) >= queuedCopies {
		return false
	}
	one.copies = append(one.copies, item)
	if one.senders < sendersMost {
		one.senders++
		go one.sendCopies()
	}
	return true
}

func (one *peer) sendCopies() {
	for {
		one.mutex.Lock()
		if len(one.copies) == 0 {
			one.senders--
			one.mutex.Unlock()
			return
		}
		count := min(batchMessages, len(one.copies))
		batch := one.copies[:count:count]
		one.copies = one.copies[count:]
		one.mutex.Unlock()
		one.sendBatch(batch)
	}
}

func (one *peer) sendBatch(batch []*copyItem) {
	request := &rpc.PutRequest{Mode: rpc.PutMode_HOLDER}
	for _, item := range batch {
		request.Messages = append(request.Messages, item.message)
		request.Epochs = append(request.Epochs, item.epoch)
	}
	ctx, cancel := context.WithTimeout(context.Background(), putWithin)
	defer cancel()
	reply, err := one.node.cluster.Store(one.address).Put(ctx, request)
	if err != nil || len(reply.Statuses) != len(batch) {
		one.failed()
		for _, item := range batch {
			item.done(rpc.PutStatus_FAILED)
		}
		return
	}
	one.answered()
	for i, item := range batch {
		item.done(reply.Statuses[i])
	}
}

// report queues what became of a message for this store.
func (one *peer) report(fate *rpc.Fate) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if len(one.fates) >= queuedFates {
		return // the scrub will ask for it
	}
	one.fates = append(one.fates, fate)
	if !one.reporting {
		one.reporting = true
		time.AfterFunc(reportPause, one.sendFates)
	}
}

func (one *peer) sendFates() {
	failures := 0
	for {
		one.mutex.Lock()
		if len(one.fates) == 0 {
			one.reporting = false
			one.mutex.Unlock()
			return
		}
		count := min(batchFates, len(one.fates))
		batch := append([]*rpc.Fate(nil), one.fates[:count]...)
		one.mutex.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), reportWithin)
		_, err := one.node.cluster.Store(one.address).Report(ctx, &rpc.ReportRequest{Fates: batch})
		cancel()
		one.mutex.Lock()
		if err == nil {
			failures = 0
			one.fates = one.fates[count:]
		} else if failures++; failures > 20 {
			one.fates = nil // the scrub will ask for them
		}
		one.mutex.Unlock()
		if err != nil {
			one.failed()
			time.Sleep(min(time.Duration(failures)*50*time.Millisecond, 500*time.Millisecond))
		}
	}
}

// idle reports whether all fates were handed over.
func (one *peer) idle() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return !one.reporting || time.Now().Before(one.suspectUntil)
}
