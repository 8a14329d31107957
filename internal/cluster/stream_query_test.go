package cluster

import (
	"net/url"
	"strconv"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

func TestOnlyStoresSubscribeToWorkers(t *testing.T) {
	dispatcher := &Client{options: Options{Role: RoleDispatcher}}
	store := &Client{options: Options{Role: RoleStore}}
	dispatcher.view.Store(newView())
	store.view.Store(newView())
	must.Eq(t, "?deltas=true&without=3", dispatcher.streamQuery())
	must.Eq(t, "?deltas=true&urgent=true", store.streamQuery())
}

// After a mismatched change the next stream must request complete parts; the streams after it request changes again.
func TestStreamQueryRequestsSnapshotAfterMismatch(t *testing.T) {
	client := &Client{options: Options{Role: RoleStore, Log: logr.Discard()}, book: newAddressBook(nil)}
	current := newView()
	current.ConfigVersion, current.Map = 4, &rpc.MapView{Version: 9}
	current.Workers = &rpc.WorkerList{Epoch: 2, Version: 3}
	client.view.Store(current)
	const deltaQuery = "?deltas=true&held="
	must.StrHasPrefix(t, deltaQuery, client.streamQuery())
	for part, version := range map[int]string{rpc.StreamConfig: "4", rpc.StreamMap: "9", rpc.StreamWorkers: "2.3"} {
		must.StrContains(t, client.streamQuery(), url.QueryEscape(strconv.Itoa(part)+":"+version))
	}
	change := &rpc.ConfigChange{Base: 6, Version: 7}
	must.Error(t, client.apply(&rpc.View{ConfigChanges: []*rpc.ConfigChange{change}}))
	must.Eq(t, "?deltas=true&urgent=true", client.streamQuery())
	must.StrHasPrefix(t, deltaQuery, client.streamQuery())
}

func TestDialTimeoutDependsOnRegions(t *testing.T) {
	must.Eq(t, sameRegionDialTimeout, dialTimeoutFor(map[string]string{"a": "north", "b": "north"}))
	must.Eq(t, crossRegionDialTimeout, dialTimeoutFor(map[string]string{"a": "north", "b": "south"}))
	must.Less(t, renewTimeout, crossRegionDialTimeout)
}
