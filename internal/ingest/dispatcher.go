package ingest

import (
	"time"

	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// members is what the dispatcher needs of a cluster.Client.
type members interface {
	View() *cluster.View
	Store(address string) rpc.Store
	Kick()
	ControlReachable() time.Duration
	ConfigConfirmed(version uint64) bool
}

// dispatcher holds what the requests of one process share. It is safe for concurrent use.
type dispatcher struct {
	settings   *settings.Settings
	cluster    members
	health     *health
	load       *load
	hedges     *hedgeBudget
	kicked     atomic.Int64 // when control was last asked out of turn, nanoseconds since started
	started    time.Time
	lookups    lookupCounters
	rejections rejectionCounters
	turn       atomic.Uint64 // counts messages, to spread them over partitions
	serving    atomic.Bool   // the front address is listened on
	stopping   atomic.Bool   // no new connections are wanted
	closing    atomic.Bool   // connections end with their next answer
}

func newDispatcher(settings *settings.Settings, cluster members) *dispatcher {
	return &dispatcher{
		settings: settings,
		cluster:  cluster,
		health:   newHealth(),
		load:     newLoad(settings.Limits.MemoryMb),
		hedges:   newHedgeBudget(),
		started:  time.Now(),
	}
}

// kickInterval is the least time between two renewals out of turn: many messages may wait for one new map.
const kickInterval = 250 * time.Millisecond

// kick asks for a renewal, which finds out soon whether control has another leader.
func (d *dispatcher) kick() {
	now := int64(time.Since(d.started))
	last := d.kicked.Load()
	if now-last >= int64(kickInterval) && d.kicked.CompareAndSwap(last, now) {
		d.cluster.Kick()
	}
}
