package ingest

import (
	"slices"
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// minCopies is the least number of stores that keep a message, whatever the map says.
const minCopies = 1

// holderWrite is a message's way round a silent owner: f + 1 other stores keep it under the owner's epoch.
type holderWrite struct {
	begun      bool
	ended      bool // a store knows a newer epoch, or there are too few stores
	epoch      uint64
	candidates []*rpc.StoreMember // not asked yet, best first
	needed     int
	stored     int
	pending    int
}

// goRoundOwner begins the write to holders where the message needs no order: that alone is given by the owner. A rate is spent when
// the message is run, by whoever owns it then. It begins once for each epoch of the partition.
func (a *acceptance) goRoundOwner() {
	if a.mayGoRound() {
		a.beginHolders()
	}
}

// goRoundUnreachable has a message that can't move written to holders, as its owner can't be reached. It reports false where the message
// does not allow it, where too few stores can be reached, or where nothing came of it under this epoch.
func (a *acceptance) goRoundUnreachable(owner target, now time.Time) bool {
	if a.holders.begun && owner.epoch <= a.holders.epoch {
		return a.holders.pending > 0
	}
	if a.message.orderKey != "" || a.dispatcher.reachableHolders(a.view, owner.store) < a.copies() {
		return false
	}
	a.owner, a.ownerSent = owner, now
	a.lateNoted, a.silentNoted = true, true
	a.goRoundOwner()
	if a.holders.begun {
		a.sendToHolders()
	}
	return a.holders.pending > 0
}

// copies is how many stores must keep the message.
func (a *acceptance) copies() int { return max(int(a.view.Map.GetCopies()), minCopies) }

// reachableHolders counts the stores other than the owner that answer.
func (d *dispatcher) reachableHolders(view *cluster.View, owner *rpc.StoreMember) int {
	count := 0
	for _, store := range view.Stores() {
		if store.Node != owner.Node && !store.Leaving && !d.health.slow(store.Address) {
			count++
		}
	}
	return count
}

// mayGoRound reports whether a write to holders is of use and has not begun under the owner's epoch.
func (a *acceptance) mayGoRound() bool {
	tolerance := a.dispatcher.settings.FaultTolerance
	if tolerance.Zones > 0 || tolerance.Regions > 0 { // the owner alone sees to it that copies stand apart
		return false
	}
	return a.message.orderKey == "" && (!a.holders.begun || a.owner.epoch > a.holders.epoch)
}

// beginHolders prepares the write to other stores than the owner.
func (a *acceptance) beginHolders() {
	if a.holders.pending > 0 {
		a.maybeStored = true // those of the epoch before are not waited for
	}
	a.holders = holderWrite{
		begun:      true,
		epoch:      a.owner.epoch,
		needed:     a.copies(),
		candidates: a.dispatcher.holderCandidates(a.view, a.owner.store),
	}
}

// sendToHolders asks as many stores as are still needed.
func (a *acceptance) sendToHolders() {
	holders := &a.holders
	for !holders.ended && holders.pending+holders.stored < holders.needed {
		if len(holders.candidates) == 0 || a.sent >= maxPuts {
			holders.ended = true
			return
		}
		store := holders.candidates[0]
		holders.candidates = holders.candidates[1:]
		holders.pending++
		a.send(target{store: store, epoch: holders.epoch, mode: rpc.PutMode_HOLDER})
	}
}

// onHolder takes the outcome of a Put to a holder. It reports whether enough holders have stored.
func (a *acceptance) onHolder(outcome putOutcome) bool {
	holders := &a.holders
	if outcome.target.epoch != holders.epoch {
		return false
	}
	holders.pending--
	switch outcome.result {
	case putStored:
		a.maybeStored = true
		holders.stored++
	case putStale:
		holders.ended = true
		a.dispatcher.kick()
	case putUnknown:
		a.maybeStored = true
	}
	return holders.stored >= holders.needed
}

// holderCandidates lists the stores other than the owner that are not being emptied, as a copy there counts as gone: those
// that answer first, and among them those of other zones than the owner's.
func (d *dispatcher) holderCandidates(view *cluster.View, owner *rpc.StoreMember) []*rpc.StoreMember {
	candidates := make([]*rpc.StoreMember, 0, len(view.Stores()))
	for _, store := range view.Stores() {
		if store.Node != owner.Node && !store.Leaving {
			candidates = append(candidates, store)
		}
	}
	start := int(d.turn.Load() % uint64(max(len(candidates), 1)))
	candidates = append(candidates[start:len(candidates):len(candidates)], candidates[:start]...)
	rank := make(map[*rpc.StoreMember]int, len(candidates))
	for _, store := range candidates {
		rank[store] = d.holderRank(store, owner)
	}
	slices.SortStableFunc(candidates, func(one, other *rpc.StoreMember) int { return rank[one] - rank[other] })
	return candidates
}

// holderRank is lower for better holders.
func (d *dispatcher) holderRank(store, owner *rpc.StoreMember) int {
	const slowPenalty, sameZonePenalty = 2, 1
	rank := 0
	if d.health.slow(store.Address) {
		rank += slowPenalty
	}
	if store.Zone == owner.Zone {
		rank += sameZonePenalty
	}
	return rank
}
