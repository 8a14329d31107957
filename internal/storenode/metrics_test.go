package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/rpc"
)

// metricNamed returns the value of the named metric.
func metricNamed(t *testing.T, values []metrics.Metric, name string) uint64 {
	for _, value := range values {
		if value.Name == name {
			return value.Value
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

func TestMetricsReportFinalStates(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendAndAwaitEnd(8)
		w.checker.add(&sentMessage{name: "unknown", firstSentAt: time.Now()})
		must.False(t, w.lookup(&sentMessage{name: "unknown"}, false).Found)
		owner, _ := w.owner(0)
		values := owner.running().node.metricValues()
		must.EqOp(t, uint64(len(messages)), metricNamed(t, values, "foldlb_store_owned_ended"))
		must.EqOp(t, 0, metricNamed(t, values, "foldlb_store_owned_ended_scarce"))
		must.Positive(t, metricNamed(t, values, "foldlb_store_lookups_total"))
		must.EqOp(t, 2, metricNamed(t, values, "foldlb_store_lookups_unknown_total")) // one from the owner, which is asked first, and one when all stores are asked
		must.EqOp(t, 1, metricNamed(t, values, "foldlb_store_partitions_ready"))
		w.replaceDisk(owner)
		owner, _ = w.owner(0)
		must.EqOp(t, uint64(len(messages)), metricNamed(t, owner.running().node.metricValues(), "foldlb_store_ends_learnt_total"))
	})
}

func TestMetricsCountForgottenFinalStates(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendAndAwaitEnd(4)
		owner, _ := w.owner(0)
		node := owner.running().node
		keep, known := node.endedRetention()
		must.True(t, known)
		time.Sleep(keep + simPropagationTime)
		must.EqOp(t, uint64(len(messages)), metricNamed(t, node.metricValues(), "foldlb_store_ends_forgotten_total"))
		must.EqOp(t, 0, metricNamed(t, node.metricValues(), "foldlb_store_messages_ended"))
		must.EqOp(t, rpc.State_QUEUED, w.lookup(messages[0], false).State)
	})
}
