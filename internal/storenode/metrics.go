package storenode

import (
	"sync/atomic"

	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/metrics"
)

// counters hold totals since the start of the process.
type counters struct {
	endsLearnt     atomic.Uint64 // final states received from other stores during takeovers
	endsForgotten  atomic.Uint64
	lookups        atomic.Uint64
	lookupsUnknown atomic.Uint64 // for messages unknown to this store

	copiesUnreadable atomic.Uint64 // records of this store's log that could not be read
	permitsGranted   atomic.Uint64 // to other stores, for services whose rate this store owns
	permitsReceived  atomic.Uint64 // from the owners of rates

	copiesLacking atomic.Uint64 // copies that this store counted on other stores but that turned out to be missing there
}

// metricValues returns the metrics of this store.
func (n *Node) metricValues() []metrics.Metric {
	var known, queued, ownedEnded, underCopiedEnded, bytes uint64
	n.do(func() {
		known, queued = uint64(n.table.Len()), uint64(n.table.Queued())
		ownedEnded, underCopiedEnded = n.countEnded()
		bytes = uint64(n.file.Size())
	})
	return []metrics.Metric{
		{Name: "foldlb_store_messages_queued", Help: "messages known here that have not ended", Value: queued},
		{Name: "foldlb_store_messages_ended", Help: "messages known here whose end is remembered", Value: known - queued},
		{Name: "foldlb_store_owned_ended", Help: "ended messages of partitions that this store owns", Value: ownedEnded},
		{Name: "foldlb_store_owned_ended_scarce", Help: "of these, those known to fewer stores than shall hold a message", Value: underCopiedEnded},
		{Name: "foldlb_store_messages_under_copied", Help: "messages with too few copies, as told to the control plane", Value: n.underCopied.Load()},
		{Name: "foldlb_store_partitions_ready", Help: "partitions owned and ready", Value: uint64(n.readyPartitions.Load())},
		{Name: "foldlb_store_ends_learnt_total", Help: "ends of messages learnt from other stores at takeovers", Value: n.counters.endsLearnt.Load()},
		{Name: "foldlb_store_ends_forgotten_total", Help: "ended messages forgotten since their time was over", Value: n.counters.endsForgotten.Load()},
		{Name: "foldlb_store_lookups_total", Help: "questions for a message's state or body", Value: n.counters.lookups.Load()},
		{Name: "foldlb_store_lookups_unknown_total", Help: "of these, those for messages not known here", Value: n.counters.lookupsUnknown.Load()},
		{Name: "foldlb_store_copies_unreadable_total", Help: "copies here whose records could not be read", Value: n.counters.copiesUnreadable.Load()},
		{Name: "foldlb_store_copies_lacking_total", Help: "copies on other stores that turned out to be missing or unreadable there", Value: n.counters.copiesLacking.Load()},
		{Name: "foldlb_store_permits_granted_total", Help: "permits given to other stores from the rates that this store owns", Value: n.counters.permitsGranted.Load()},
		{Name: "foldlb_store_permits_received_total", Help: "permits got from the stores that own the rates", Value: n.counters.permitsReceived.Load()},
		{Name: "foldlb_store_log_bytes", Help: "length of the log", Value: bytes},
		{Name: "foldlb_store_sync_waiting_ms", Help: "for how long the oldest request for a sync of the log has waited", Value: uint64(n.file.OldestSyncWait().Milliseconds())},
		{Name: "foldlb_store_copies_waiting", Help: "copies that wait to be sent to other stores", Value: uint64(n.peers.waitingCopies())},
	}
}

// countEnded counts the ended messages of owned partitions, and those of them whose final state fewer stores have than required.
func (n *Node) countEnded() (owned, underCopied uint64) {
	if n.view == nil || n.view.Map == nil {
		return 0, 0
	}
	n.table.Each(func(e *message.Entry) {
		if !e.Ended() || n.table.OwnedEpoch(e.Partition) == 0 {
			return
		}
		owned++
		if e.CountCopies(n.replicaPolicy.failureDomains, n.ownDomain()) < n.replicaPolicy.requiredCopies {
			underCopied++
		}
	})
	return owned, underCopied
}
