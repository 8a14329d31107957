package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/metrics"
	"foldlb.example/foldlb/internal/rpc"
)

// figureNamed returns the value that a store tells under a name.
func figureNamed(t *testing.T, figures []metrics.Figure, name string) uint64 {
	for _, figure := range figures {
		if figure.Name == name {
			return figure.Value
		}
	}
	t.Fatalf("no figure %s", name)
	return 0
}

func TestFiguresTellWhatAStoreKnowsOfEnds(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendEnded(8)
		w.ledger.add(&sent{name: "stranger", first: time.Now()})
		must.False(t, w.lookup(&sent{name: "stranger"}, false).Found)
		owner, _ := w.owner(0)
		told := owner.running().node.figures()
		must.EqOp(t, uint64(len(messages)), figureNamed(t, told, "foldlb_store_owned_ended"))
		must.EqOp(t, 0, figureNamed(t, told, "foldlb_store_owned_ended_scarce"))
		must.Positive(t, figureNamed(t, told, "foldlb_store_lookups_total"))
		must.EqOp(t, 2, figureNamed(t, told, "foldlb_store_lookups_unknown_total")) // the owner is asked first, and once more with all
		must.EqOp(t, 1, figureNamed(t, told, "foldlb_store_partitions_ready"))
		w.replaceDisk(owner)
		owner, _ = w.owner(0)
		must.EqOp(t, uint64(len(messages)), figureNamed(t, owner.running().node.figures(), "foldlb_store_ends_learnt_total"))
	})
}

func TestFiguresCountForgottenEnds(t *testing.T) {
	simulated(t, smallScale, func(t *testing.T, w *world) {
		messages := w.sendEnded(4)
		owner, _ := w.owner(0)
		node := owner.running().node
		keep, known := node.keepEnded()
		must.True(t, known)
		time.Sleep(keep + simForgetSlack)
		must.EqOp(t, uint64(len(messages)), figureNamed(t, node.figures(), "foldlb_store_ends_forgotten_total"))
		must.EqOp(t, 0, figureNamed(t, node.figures(), "foldlb_store_messages_ended"))
		must.EqOp(t, rpc.State_QUEUED, w.lookup(messages[0], false).State)
	})
}
