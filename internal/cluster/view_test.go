package cluster

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foldlb.example/foldlb/internal/rpc"
)

// drawMap draws a map some of whose owners have gone or been replaced.
func drawMap(t *rapid.T) *rpc.MapView {
	drawn := &rpc.MapView{Version: 1}
	for i := range rapid.IntRange(0, 4).Draw(t, "stores") {
		drawn.Stores = append(drawn.Stores, &rpc.StoreMember{
			Node:        fmt.Sprint("n", i),
			Incarnation: rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "incarnation"),
			Zone:        rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		})
	}
	for range rapid.IntRange(0, 64).Draw(t, "partitions") {
		drawn.Partitions = append(drawn.Partitions, &rpc.Ownership{
			Node:        fmt.Sprint("n", rapid.IntRange(0, 5).Draw(t, "node")),
			Incarnation: rapid.SampledFrom([]string{"i1", "i2"}).Draw(t, "owner"),
			Epoch:       rapid.Uint64().Draw(t, "epoch"),
		})
	}
	return drawn
}

func TestOwnersAreThoseOfTheMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawMap(t)
		view, changed, err := newView().merge(&rpc.View{Map: drawn})
		must.NoError(t, err)
		must.True(t, changed)
		owned := 0
		for partition, ownership := range drawn.Partitions {
			store, known := view.StoreByNode(ownership.Node)
			owner, epoch, ok := view.Owner(uint32(partition))
			must.Eq(t, known && store.Incarnation == ownership.Incarnation, ok)
			must.Eq(t, ownership.Epoch, epoch)
			if ok {
				owned++
				must.Eq(t, ownership.Node, owner.Node)
				must.SliceContains(t, view.PartitionsOwnedInZone(owner.Zone), uint32(partition))
			}
		}
		must.Eq(t, owned, len(view.PartitionsOwnedInZone("z1"))+len(view.PartitionsOwnedInZone("z2")))
		must.Eq(t, owned > 0, view.HasOwners())
		_, _, ok := view.Owner(uint32(len(drawn.Partitions)))
		must.False(t, ok)
	})
}
