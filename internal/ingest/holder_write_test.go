package ingest

import (
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// A copy at a store that is being drained counts as lost, so it must not be a holder.
func TestHoldersExcludeDrainingStores(t *testing.T) {
	stores := []*rpc.StoreMember{
		{Node: "owner", Address: "10.0.0.1:1", Zone: "a"},
		{Node: "leaving", Address: "10.0.0.2:1", Zone: "b", Leaving: true},
		{Node: "stays", Address: "10.0.0.3:1", Zone: "a"},
	}
	view := &cluster.View{Map: &rpc.MapView{Stores: stores}}
	d := &dispatcher{health: newHealth()}
	must.Eq(t, stores[2:], d.holderCandidates(view, stores[0]))
	must.EqOp(t, 1, d.reachableHolders(view, stores[0]))
}
