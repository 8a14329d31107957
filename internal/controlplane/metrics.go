package controlplane

import (
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/metrics"
)

// callCounters count the received calls since the start of the process.
type callCounters struct {
	renewals atomic.Uint64
	joins    atomic.Uint64
}

// Figures returns the metrics of this process. Only the leader counts dispatchers.
func (s *Server) Figures() []metrics.Metric {
	status := s.Status()
	leader := uint64(0)
	if status.Leader {
		leader = 1
	}
	leaderKnown := uint64(0)
	if status.LeaderAddress != "" {
		leaderKnown = 1
	}
	return []metrics.Metric{
		{Name: "foldlb_control_leader", Help: "1 where this process leads", Value: leader},
		{Name: "foldlb_control_epoch", Help: "newest epoch that this process voted in or accepted", Value: status.Epoch},
		{Name: "foldlb_control_config_version", Help: "configuration that is committed as far as is known here", Value: status.ConfigVersion},
		{Name: "foldlb_control_map_version", Help: "table of owners that is committed as far as is known here", Value: status.MapVersion},
		{Name: "foldlb_control_voters", Help: "voters of the newest committed state known here", Value: uint64(len(status.Voters))},
		{Name: "foldlb_control_voters_wanted", Help: "voters that the fault tolerance of the settings needs", Value: uint64(status.VotersWanted)},
		{Name: "foldlb_control_stores", Help: "stores in the state", Value: uint64(len(status.Stores))},
		{Name: "foldlb_control_dispatchers", Help: "dispatchers heard in this term", Value: uint64(len(status.Dispatchers))},
		{Name: "foldlb_control_leader_known", Help: "1 where this process can tell callers who leads", Value: leaderKnown},
		{Name: "foldlb_control_peers", Help: "control processes that announced themselves here lately", Value: uint64(len(s.peers.recent(time.Now())))},
		{Name: "foldlb_control_joins_total", Help: "announcements of control processes that came", Value: s.callCounts.joins.Load()},
		{Name: "foldlb_control_renewals_total", Help: "renewals of stores and dispatchers that came", Value: s.callCounts.renewals.Load()},
		{Name: "foldlb_control_streams", Help: "streams of updates that are open here", Value: uint64(status.Streams)},
	}
}
