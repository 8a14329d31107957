package ingest

import (
	"slices"
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// minCopies is the least number of stores that must keep a message, even if the map asks for none.
const minCopies = 1

// holderWrite is a write to f + 1 stores other than the owner, under the owner's epoch, because the owner does
// not respond.
type holderWrite struct {
	started     bool
	stopped     bool // a store knows a newer epoch, or there are too few stores
	epoch       uint64
	candidates  []*rpc.StoreMember // not tried yet, best first
	needed      int
	stored      int
	pendingPuts int
}

// bypassOwner starts the write to holders if the message has no order key: only the owner can order messages. A
// rate limit does not matter here, as it is applied when the message is delivered, by its owner at that time.
// The write starts once per epoch of the partition.
func (a *acceptance) bypassOwner() {
	if a.canBypassOwner() {
		a.startHolderWrite()
	}
}

// bypassUnreachableOwner writes a message that can't move to holders, because its owner is unreachable. It
// returns false if the message does not allow it, if too few stores are reachable, or if the write under this
// epoch has already ended.
func (a *acceptance) bypassUnreachableOwner(owner target, now time.Time) bool {
	if a.holders.started && owner.epoch <= a.holders.epoch {
		return a.holders.pendingPuts > 0
	}
	if a.message.orderKey != "" || a.dispatcher.reachableHolders(a.view, owner.store) < a.copies() {
		return false
	}
	a.ownerTarget, a.ownerPutAt = owner, now
	a.lateHandled, a.timeoutHandled = true, true
	a.bypassOwner()
	if a.holders.started {
		a.sendToHolders()
	}
	return a.holders.pendingPuts > 0
}

// copies returns how many stores must keep the message.
func (a *acceptance) copies() int { return max(int(a.view.Map.GetCopies()), minCopies) }

// reachableHolders counts the responding stores other than the owner, without those that are being drained.
func (d *dispatcher) reachableHolders(view *cluster.View, owner *rpc.StoreMember) int {
	count := 0
	for _, store := range view.Stores() {
		if store.Node != owner.Node && !store.Leaving && !d.health.slow(store.Address) {
			count++
		}
	}
	return count
}

// canBypassOwner reports whether a write to holders is allowed and has not started under the owner's epoch.
func (a *acceptance) canBypassOwner() bool {
	tolerance := a.dispatcher.settings.FaultTolerance
	if tolerance.Zones > 0 || tolerance.Regions > 0 { // only the owner places copies in different zones or regions
		return false
	}
	return a.message.orderKey == "" && (!a.holders.started || a.ownerTarget.epoch > a.holders.epoch)
}

// startHolderWrite prepares the write to stores other than the owner.
func (a *acceptance) startHolderWrite() {
	if a.holders.pendingPuts > 0 {
		a.maybeStored = true // pending Puts of the previous epoch are not awaited
	}
	a.holders = holderWrite{
		started:    true,
		epoch:      a.ownerTarget.epoch,
		needed:     a.copies(),
		candidates: a.dispatcher.holderCandidates(a.view, a.ownerTarget.store),
	}
}

// sendToHolders sends the message to as many candidates as are still needed.
func (a *acceptance) sendToHolders() {
	holders := &a.holders
	for !holders.stopped && holders.pendingPuts+holders.stored < holders.needed {
		if len(holders.candidates) == 0 || a.putsStarted >= maxPuts {
			holders.stopped = true
			return
		}
		store := holders.candidates[0]
		holders.candidates = holders.candidates[1:]
		holders.pendingPuts++
		a.send(target{store: store, epoch: holders.epoch, mode: rpc.PutMode_HOLDER})
	}
}

// onHolderOutcome handles the outcome of a Put to a holder. It reports whether enough holders have stored the
// message.
func (a *acceptance) onHolderOutcome(outcome putOutcome) bool {
	holders := &a.holders
	if outcome.target.epoch != holders.epoch {
		return false
	}
	holders.pendingPuts--
	switch outcome.result {
	case putStored:
		a.maybeStored = true
		holders.stored++
	case putStale:
		holders.stopped = true
		a.dispatcher.requestRenewal()
	case putUnknown:
		a.maybeStored = true
	}
	return holders.stored >= holders.needed
}

// holderCandidates returns the stores other than the owner, best first: responding stores before slow ones, and
// among these other zones than the owner's first. Stores that are being drained are left out, as a copy there
// counts as lost.
func (d *dispatcher) holderCandidates(view *cluster.View, owner *rpc.StoreMember) []*rpc.StoreMember {
	candidates := make([]*rpc.StoreMember, 0, len(view.Stores()))
	for _, store := range view.Stores() {
		if store.Node != owner.Node && !store.Leaving {
			candidates = append(candidates, store)
		}
	}
	start := int(d.messageCount.Load() % uint64(max(len(candidates), 1)))
	candidates = append(candidates[start:len(candidates):len(candidates)], candidates[:start]...)
	rank := make(map[*rpc.StoreMember]int, len(candidates))
	for _, store := range candidates {
		rank[store] = d.holderRank(store, owner)
	}
	slices.SortStableFunc(candidates, func(one, other *rpc.StoreMember) int { return rank[one] - rank[other] })
	return candidates
}

// holderRank returns the rank of a store as a holder; lower is better.
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
