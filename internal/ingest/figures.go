package ingest

import (
	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/metrics"
)

// lookupCounters count the questions for messages since the start of the process.
type lookupCounters struct {
	asked   atomic.Uint64
	unknown atomic.Uint64 // every store said that it does not know the message
	unsure  atomic.Uint64 // no store knew it, and not all answered
}

// rejectionCounters count the requests that the configuration has no place for: without a route, or with too large a body.
type rejectionCounters struct {
	sure   atomic.Uint64 // answered so
	unsure atomic.Uint64 // answered 503, since the configuration was not confirmed lately
}

// figures are what monitoring sees of a dispatcher.
func (d *dispatcher) figures() []metrics.Figure {
	view := d.cluster.View()
	var mapVersion uint64
	if view.Map != nil {
		mapVersion = view.Map.Version
	}
	silent := uint64(d.cluster.ControlReachable().Milliseconds())
	return []metrics.Figure{
		{Name: "foldlb_dispatcher_config_version", Help: "configuration in force", Value: view.ConfigVersion},
		{Name: "foldlb_dispatcher_map_version", Help: "table of owners in force", Value: mapVersion},
		{Name: "foldlb_dispatcher_control_silent_ms", Help: "since the newest renewal that the leader answered was sent", Value: silent},
		{Name: "foldlb_dispatcher_rejections_total", Help: "requests answered 404 or 413, since the configuration has no place for them", Value: d.rejections.sure.Load()},
		{Name: "foldlb_dispatcher_rejections_unsure_total", Help: "requests that would have been, answered 503 since no leader confirmed the configuration lately", Value: d.rejections.unsure.Load()},
		{Name: "foldlb_dispatcher_lookups_total", Help: "questions for a message's state or body", Value: d.lookups.asked.Load()},
		{Name: "foldlb_dispatcher_lookups_unknown_total", Help: "of these, those answered 404 since no store knew the message", Value: d.lookups.unknown.Load()},
		{Name: "foldlb_dispatcher_lookups_unsure_total", Help: "of these, those answered 503 since not all stores were heard", Value: d.lookups.unsure.Load()},
	}
}
