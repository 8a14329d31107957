package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// drawMap draws a map in which some owners are missing or have another incarnation.
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

func TestOwnersMatchMap(t *testing.T) {
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

// configChange returns the change from one configuration to another, as a leader streams it.
func configChange(t must.T, from, to *catalog.Config) *rpc.ConfigChange {
	data, err := json.Marshal(catalog.Difference(from, to))
	must.NoError(t, err)
	return &rpc.ConfigChange{Base: from.Version, Version: to.Version, Change: data, Digest: to.Digest()}
}

// successiveConfigs returns configurations with rising versions.
func successiveConfigs(t must.T) []*catalog.Config {
	var versions []*catalog.Config
	for _, version := range []string{"3", "5", "9"} {
		config, err := catalog.Parse(emptyConfig(version))
		must.NoError(t, err)
		versions = append(versions, config)
	}
	return versions
}

func TestConfigChangesAreAppliedInOrder(t *testing.T) {
	versions := successiveConfigs(t)
	view, _, err := newView().merge(&rpc.View{Config: &rpc.ConfigView{Version: 3, Config: emptyConfig("3")}})
	must.NoError(t, err)
	update := &rpc.View{ConfigChanges: []*rpc.ConfigChange{configChange(t, versions[0], versions[1]), configChange(t, versions[1], versions[2])}}
	view, changed, err := view.merge(update)
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, 9, view.ConfigVersion)
	must.Eq(t, versions[2].Digest(), view.Config.Digest())
	_, changed, err = view.merge(update)
	must.NoError(t, err)
	must.False(t, changed)
}

func TestMismatchedConfigChangeIsNotApplied(t *testing.T) {
	versions := successiveConfigs(t)
	current, _, err := newView().merge(&rpc.View{Config: &rpc.ConfigView{Version: 3, Config: emptyConfig("3")}})
	must.NoError(t, err)
	otherDigest := configChange(t, versions[0], versions[1])
	otherDigest.Digest++
	unreadable := configChange(t, versions[0], versions[1])
	unreadable.Change = unreadable.Change[:3]
	for _, change := range []*rpc.ConfigChange{configChange(t, versions[1], versions[2]), otherDigest, unreadable} {
		view, changed, err := current.merge(&rpc.View{ConfigChanges: []*rpc.ConfigChange{change}})
		mismatch := &ConfigChangeError{}
		must.True(t, errors.As(err, &mismatch))
		must.StrContains(t, mismatch.Error(), "reconnect for the full configuration")
		must.False(t, changed)
		must.Eq(t, 3, view.ConfigVersion)
	}
	_, _, err = newView().merge(&rpc.View{ConfigChanges: []*rpc.ConfigChange{configChange(t, versions[0], versions[1])}})
	must.Error(t, err)
}

func TestStreamEndsAtMismatchedChange(t *testing.T) {
	versions := successiveConfigs(t)
	client := &Client{options: Options{Log: logr.Discard()}, book: newAddressBook(nil)}
	client.view.Store(newView())
	frame, err := rpc.EncodeView(&rpc.View{ConfigChanges: []*rpc.ConfigChange{configChange(t, versions[0], versions[1])}})
	must.NoError(t, err)
	must.Error(t, client.onFrame(frame))
	whole, err := rpc.EncodeView(&rpc.View{Config: &rpc.ConfigView{Version: 5, Config: emptyConfig("5")}})
	must.NoError(t, err)
	must.NoError(t, client.onFrame(whole))
	must.Eq(t, 5, client.view.Load().ConfigVersion)
}

func TestWorkerChangesAreAppliedInOrder(t *testing.T) {
	one, other := &rpc.Worker{Id: "a"}, &rpc.Worker{Id: "b", Draining: true}
	lists := []*rpc.WorkerList{
		workerlist.New(1, 1, []*rpc.Worker{one}),
		workerlist.New(1, 2, []*rpc.Worker{one, other}),
		workerlist.New(1, 4, []*rpc.Worker{other}),
	}
	current, _, err := newView().merge(&rpc.View{Workers: lists[0]})
	must.NoError(t, err)
	both := []*rpc.WorkerChange{workerlist.Difference(lists[0], lists[1]), workerlist.Difference(lists[1], lists[2])}
	view, changed, err := current.merge(&rpc.View{WorkerChanges: both})
	must.NoError(t, err)
	must.True(t, changed)
	must.Eq(t, 4, view.Workers.Version)
	must.Len(t, 1, view.Workers.Workers)
	_, changed, err = view.merge(&rpc.View{WorkerChanges: both})
	must.NoError(t, err)
	must.False(t, changed)
	_, changed, err = current.merge(&rpc.View{WorkerChanges: both[1:]})
	must.True(t, isMismatch(err))
	must.False(t, changed)
	must.False(t, isMismatch(errors.New("other error")))
}
