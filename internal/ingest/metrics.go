package ingest

import (
	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/metrics"
)

// lookupCounters count queries for messages since the start of the process.
type lookupCounters struct {
	queries atomic.Uint64
	unknown atomic.Uint64 // every store replied that it does not know the message
	unsure  atomic.Uint64 // not found, but not all stores replied
}

// rejectionCounters count requests that the configuration rejects: no route matches, or the body is too large.
type rejectionCounters struct {
	confirmed atomic.Uint64 // answered with 404 or 413
	unsure    atomic.Uint64 // answered with 503, as the configuration was not confirmed recently
}

// collectMetrics returns the dispatcher's metrics.
func (d *dispatcher) collectMetrics() []metrics.Metric {
	view := d.cluster.View()
	var mapVersion uint64
	if view.Map != nil {
		mapVersion = view.Map.Version
	}
	silentMs := uint64(d.cluster.TimeSinceRenewal().Milliseconds())
	return []metrics.Metric{
		{Name: "foldlb_dispatcher_config_version", Help: "configuration in force", Value: view.ConfigVersion},
		{Name: "foldlb_dispatcher_map_version", Help: "table of owners in force", Value: mapVersion},
		{Name: "foldlb_dispatcher_control_silent_ms", Help: "since the newest renewal that the leader answered was sent", Value: silentMs},
		{Name: "foldlb_dispatcher_rejections_total", Help: "requests answered 404 or 413, since the configuration has no place for them", Value: d.rejections.confirmed.Load()},
		{Name: "foldlb_dispatcher_rejections_unsure_total", Help: "requests that would have been, answered 503 since no leader confirmed the configuration lately", Value: d.rejections.unsure.Load()},
		{Name: "foldlb_dispatcher_lookups_total", Help: "questions for a message's state or body", Value: d.lookups.queries.Load()},
		{Name: "foldlb_dispatcher_lookups_unknown_total", Help: "of these, those answered 404 since no store knew the message", Value: d.lookups.unknown.Load()},
		{Name: "foldlb_dispatcher_lookups_unsure_total", Help: "of these, those answered 503 since not all stores were heard", Value: d.lookups.unsure.Load()},
	}
}
