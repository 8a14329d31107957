package ingest

import (
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
}

// dispatcher holds what the requests of one process share. It is safe for concurrent use.
type dispatcher struct {
	settings *settings.Settings
	cluster  members
	health   *health
	load     *load
	turn     atomic.Uint64 // counts messages, to spread them over partitions
	stopping atomic.Bool   // no new connections are wanted
	closing  atomic.Bool   // connections end with their next answer
}

func newDispatcher(settings *settings.Settings, cluster members) *dispatcher {
	return &dispatcher{
		settings: settings,
		cluster:  cluster,
		health:   newHealth(),
		load:     newLoad(settings.Limits.MemoryMb),
	}
}
