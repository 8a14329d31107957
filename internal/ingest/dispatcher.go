package ingest

import (
	"time"

	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// clusterClient is the part of cluster.Client that the dispatcher uses.
type clusterClient interface {
	View() *cluster.View
	Store(address string) rpc.Store
	Kick()
	TimeSinceRenewal() time.Duration
	ConfigConfirmed(version uint64) bool
}

// dispatcher is the state shared by all requests of a process. It is safe for concurrent use.
type dispatcher struct {
	settings           *settings.Settings
	cluster            clusterClient
	health             *health
	limiter            *limiter
	hedges             *hedgeBudget
	lastRenewalRequest atomic.Int64 // time of the last requestRenewal that was not throttled, in nanoseconds since started
	started            time.Time
	lookups            lookupCounters
	rejections         rejectionCounters
	messageCount       atomic.Uint64 // messages that needed a free partition; the round-robin offset
	serving            atomic.Bool   // the front address accepts connections
	stopping           atomic.Bool   // shutdown has begun; not ready for new connections
	closing            atomic.Bool   // every response closes its connection
}

func newDispatcher(settings *settings.Settings, cluster clusterClient) *dispatcher {
	return &dispatcher{
		settings: settings,
		cluster:  cluster,
		health:   newHealth(),
		limiter:  newLimiter(settings.Limits.MemoryMb),
		hedges:   newHedgeBudget(),
		started:  time.Now(),
	}
}

// minRenewalInterval is the least time between two requested renewals: many messages may wait for the same new
// map.
const minRenewalInterval = 250 * time.Millisecond

// requestRenewal asks for a lease renewal ahead of schedule, which detects a new control-plane leader early.
func (d *dispatcher) requestRenewal() {
	now := int64(time.Since(d.started))
	last := d.lastRenewalRequest.Load()
	if now-last >= int64(minRenewalInterval) && d.lastRenewalRequest.CompareAndSwap(last, now) {
		d.cluster.Kick()
	}
}
