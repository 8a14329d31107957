package main

import (
	"context"
	"fmt"
	"sync"

	"github.com/go-logr/logr"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/settings"
)

// arrivals notes when versions came into force at the hollow dispatchers of one process.
type arrivals struct {
	mutex   sync.Mutex
	Configs map[uint64][]moment `json:"configs"` // by version
	Lists   map[uint64][]moment `json:"lists"`
	Tables  map[uint64][]moment `json:"tables"`
}

func newArrivals() *arrivals {
	return &arrivals{Configs: map[uint64][]moment{}, Lists: map[uint64][]moment{}, Tables: map[uint64][]moment{}}
}

// hollowDispatcher is the membership, lease and update client of a dispatcher, without traffic.
type hollowDispatcher struct {
	client                        *cluster.Client
	lastConfig, lastList, lastMap uint64
}

// startHollow joins one hollow dispatcher to the control plane of the settings.
func startHollow(ctx context.Context, base settings.Settings, index int, noted *arrivals) *hollowDispatcher {
	base.Node = fmt.Sprintf("hollow-%d", index)
	base.Zone = zoneNames[index%len(zoneNames)]
	hollow := &hollowDispatcher{}
	hollow.client = cluster.Start(ctx, cluster.Options{
		Settings:    &base,
		Role:        cluster.RoleDispatcher,
		Incarnation: fmt.Sprintf("hollow-%d-%d", index, now()),
		Log:         logr.Discard(),
	})
	hollow.client.OnChange(func(view *cluster.View) { hollow.note(view, noted) })
	return hollow
}

// note records the versions that have come into force with a view.
func (h *hollowDispatcher) note(view *cluster.View, noted *arrivals) {
	at := now()
	noted.mutex.Lock()
	defer noted.mutex.Unlock()
	noteVersion(noted.Configs, &h.lastConfig, view.ConfigVersion, at)
	noteVersion(noted.Lists, &h.lastList, view.Workers.GetVersion(), at)
	noteVersion(noted.Tables, &h.lastMap, view.Map.GetVersion(), at)
}

// noteVersion notes that a version is in force, and with it those that it came in place of.
func noteVersion(moments map[uint64][]moment, last *uint64, version uint64, at moment) {
	if version == *last {
		return
	}
	first := version
	if *last > 0 && *last < version {
		first = *last + 1
	}
	for known := first; known <= version; known++ {
		moments[known] = append(moments[known], at)
	}
	*last = version
}
