package storenode

import (
	"time"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	repairBatch    = 500                    // copies restored at a time, at least
	repairRounds   = 8                      // within so many times all are restored, however many
	repairAgain    = 600 * time.Millisecond // before a copy that is still missing is sent anew
	repairPause    = 150 * time.Millisecond // between two looks while copies are missing
	statusSlack    = 30 * time.Second
	retentionMost  = 15 * time.Minute // for which states are kept beyond statusS
	retentionSlack = 2 * time.Second
)

// housekeep runs once a second on the owner goroutine.
func (n *Node) housekeep() {
	now := n.now()
	n.backlog.Store(uint64(n.table.Queued()))
	if keep, known := n.keepEnded(); known {
		n.counters.endsForgotten.Add(uint64(n.table.ExpireEnded(keep, now)))
	}
	if n.view == nil || n.view.Map == nil {
		return
	}
	n.releasePaused()
	n.upkeep(now)
	n.maybeRewrite()
	n.verifySome()
	n.checkHeld()
	n.pumpDue = true
}

// keepEnded is how long the state of a message is kept after its end: as long as clients may ask for it, and as long as a store
// that was out of touch may still hold it for one that has not ended. It is not known before the first configuration.
func (n *Node) keepEnded() (keep time.Duration, known bool) {
	if n.view == nil || n.view.Config == nil {
		return 0, false
	}
	keep = time.Duration(n.settings.Bounds.StatusS * float64(time.Second))
	for i := range n.view.Config.Routes {
		retention := time.Duration(n.view.Config.Routes[i].RetentionS * float64(time.Second))
		keep = max(keep, min(retention, retentionMost))
	}
	return keep + statusSlack, true
}

// upkeep looks at every message: those past their retention end, copies that are missing are restored, of messages and of the ends of
// completed ones alike, and owners are asked about copies that are held for them.
func (n *Node) upkeep(now time.Duration) {
	alive, wanted := n.holders.domains, n.holders.wanted
	var expired, missing, scarceEnds, unread, unheld []*message.Entry
	var scarce scarceCopies
	ask := map[string][]*rpc.Fate{}
	n.table.Each(func(e *message.Entry) {
		if e.State == rpc.State_COMPLETED {
			if n.isScarceEnd(e, alive, wanted) {
				scarceEnds = append(scarceEnds, e)
			}
			return
		}
		if n.table.OwnedEpoch(e.Partition) == 0 {
			if !e.Stored && !e.Ended() && !e.Running { // known from the time when this store owned it
				unheld = append(unheld, e)
				return
			}
			if n.isUnconfirmed(e) {
				scarce.addUnconfirmed(e.PlacedUnder)
			}
			n.collectScrub(e, now, ask)
			return
		}
		if !e.Ended() && !e.Running && n.expired(e, now) {
			expired = append(expired, e)
			return
		}
		if e.Accepting == n.view.Map.Version { // its copies are on their way to stores of this map
			return
		}
		if !n.table.IsReady(e.Partition) {
			return
		}
		if e.CountCopies(alive, n.ownDomain()) < wanted {
			missing = append(missing, e)
		} else if n.losses.restsOnUnread(e) {
			unread = append(unread, e)
		}
	})
	for _, e := range expired {
		n.table.MarkEnded(e, rpc.State_DEAD, "", now)
		n.tell(e)
	}
	for _, e := range unheld {
		n.table.Remove(e)
	}
	missing = append(missing, scarceEnds...)
	ready, takenOver := n.ownedPartitions()
	n.readyPartitions.Store(uint32(ready))
	scarce.lacking = uint64(len(missing) + len(unread) + takenOver)
	n.underCopied.store(scarce)
	n.repairAll(missing, now)
	n.readBackAll(unread, now)
	if len(missing)+len(unread) > 0 {
		n.lookAgainSoon()
	}
	for disk, fates := range ask {
		if one := n.peers.get(disk); one != nil {
			go n.scrub(one, fates)
		}
	}
}

// isScarceEnd reports whether fewer disks than wanted keep the end of a completed message that this store has to answer for. A disk that
// holds the message as queued counts: it is told, and until then the message can't be unknown. Which disks keep an end only grows
// in number under one map, so one look for each map is enough.
func (n *Node) isScarceEnd(e *message.Entry, alive map[string]string, wanted int) bool {
	version := n.view.Map.Version
	if e.EnoughAt == version || e.Accepting == version || !n.table.IsReady(e.Partition) {
		return false
	}
	if e.CountCopies(alive, n.ownDomain()) < wanted {
		return true
	}
	e.EnoughAt = version
	return false
}

// repairAll restores copies, a bounded number at a time.
func (n *Node) repairAll(missing []*message.Entry, now time.Duration) {
	begun, most := 0, max(repairBatch, len(missing)/repairRounds)
	for _, e := range missing {
		if begun == most {
			break
		}
		if now < e.RepairAt {
			continue
		}
		e.RepairAt = now + repairAgain
		n.repair(e)
		begun++
	}
}

// lookAgainSoon looks at every message anew after a short pause.
func (n *Node) lookAgainSoon() {
	if n.repairing {
		return
	}
	n.repairing = true
	time.AfterFunc(repairPause, func() {
		n.post(func() {
			n.repairing = false
			n.upkeep(n.now())
		})
	})
}

// ownedPartitions counts the owned partitions that are ready, and those of which it is not yet known what other stores hold: each of
// the latter may have a message with too few copies.
func (n *Node) ownedPartitions() (ready, takenOver int) {
	for id := range n.view.Map.Partitions {
		switch {
		case n.table.OwnedEpoch(uint32(id)) == 0:
		case n.table.IsReady(uint32(id)):
			ready++
		default:
			takenOver++
		}
	}
	return ready, takenOver
}

// expired reports whether a message's route is gone or its retention has passed.
func (n *Node) expired(e *message.Entry, now time.Duration) bool {
	if n.view.Config == nil || n.view.ConfigVersion < n.needs {
		return false
	}
	route := n.routeNamed(e.Route)
	if route == nil {
		return true
	}
	return route.RetentionS > 0 && now-e.Arrived > time.Duration(route.RetentionS*float64(time.Second))+retentionSlack
}

// repair restores one copy of a message that has too few.
func (n *Node) repair(e *message.Entry) {
	alive := n.holders.domains
	if !e.HasLocalCopy() {
		name, holders := e.Name, append([]string(nil), e.Holders...)
		go func() {
			if m := n.fetch(name, holders); m != nil {
				n.post(func() { n.keepFetched(e, m) })
			}
		}()
		return
	}
	tried := map[string]bool{}
	for _, disk := range e.Holders {
		if _, counts := alive[disk]; counts {
			tried[disk] = true
		}
	}
	one := n.peers.choose(tried)
	if one == nil {
		return
	}
	epoch := n.table.OwnedEpoch(e.Partition)
	if e.State == rpc.State_COMPLETED {
		n.sendCopy(one, epoch, e.CompletionMessage(n.now()), func() { e.AddHolder(one.disk) })
		return
	}
	at := e.Record
	current := e.Message(n.now())
	go func() {
		m, err := n.readCopy(verified{entry: e, record: at})
		if err != nil {
			return
		}
		n.sendCopy(one, epoch, withBody(current, m.Body), func() { n.addHolder(e, one.disk) })
	}()
}

// sendCopy sends a copy of a message, or its end alone, to another store. held is called on the owner goroutine once it is synced there.
func (n *Node) sendCopy(one *peer, epoch uint64, m *rpc.Message, held func()) {
	one.put(&copyItem{message: m, epoch: epoch, done: func(status rpc.PutStatus) {
		if status == rpc.PutStatus_STORED {
			n.post(held)
		}
	}})
}
