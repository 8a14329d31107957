package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// A new leader sends the whole view to every process at the same time. Sending it must take much less time than the duration of the
// leader's lease, or heartbeats are queued behind it.
func TestConfigurationTravelsInAFifthOfItsBytes(t *testing.T) {
	config := &catalog.Config{Version: 1}
	for i := range 60 {
		service := fmt.Sprintf("service-%04x", i*7919%65536)
		config.Services = append(config.Services, catalog.Service{Name: service, HealthPath: "/health", MaxConns: 43})
		config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprintf("r-%05x", i*104729%1048576), Hostname: "host.example",
			PathPrefix: fmt.Sprintf("/path%d/", i), Type: "async", TimeoutMs: 800, Service: service, Retries: 4, RetentionS: 90})
	}
	encoded, err := json.Marshal(config)
	must.NoError(t, err)
	part := configPart(&rpc.ControlState{ConfigVersion: 1, Config: encoded})
	must.Less(t, len(encoded)/5, len(part.Data))
	view, err := rpc.DecodeView(part.Data)
	must.NoError(t, err)
	must.Eq(t, encoded, view.Config.Config)
}

// The size of a change is independent of the number of routes in the configuration.
func TestChangeTravelsAsADifference(t *testing.T) {
	from := &catalog.Config{Version: 1, Services: []catalog.Service{{Name: "s"}}}
	for i := range 900 {
		from.Routes = append(from.Routes, catalog.Route{Name: fmt.Sprintf("r-%05x", i*104729%1048576), Hostname: "host.example",
			PathPrefix: fmt.Sprintf("/path%d/", i), Type: "async", TimeoutMs: 800, Service: "s"})
	}
	to := from.With(&catalog.Change{Version: 2, RemovedRoutes: []string{from.Routes[4].Name}})
	hub := watch.NewHub(partCount, 1)
	server := httptest.NewServer(hub)
	defer server.Close()
	publishOne := func(config, before *catalog.Config) {
		encoded, err := json.Marshal(config)
		must.NoError(t, err)
		part := configPart(&rpc.ControlState{ConfigVersion: config.Version, Config: encoded})
		if before != nil {
			part.Delta = configDelta(before, config)
		}
		hub.Publish(part)
	}
	publishOne(from, nil)
	var sizes []int
	var last *rpc.View
	err := (&watch.Client{}).Follow(context.Background(), server.URL+watch.Subscription{AcceptDeltas: true}.Query(), func(frame []byte) error {
		view, err := rpc.DecodeView(frame)
		must.NoError(t, err)
		sizes, last = append(sizes, len(frame)), view
		if len(sizes) == 1 {
			publishOne(to, from)
			return nil
		}
		return errors.New("enough")
	})
	must.Error(t, err)
	must.Less(t, sizes[0]/20, sizes[1])
	must.Nil(t, last.Config)
	must.Eq(t, 1, last.ConfigChanges[0].Base)
	must.Eq(t, to.Digest(), last.ConfigChanges[0].Digest)
}

// Subscribers receive only the changes of the list; the first list of a term is sent whole.
func TestListOfWorkersTravelsAsADifference(t *testing.T) {
	var workers []*rpc.Worker
	for i := range 300 {
		workers = append(workers, &rpc.Worker{Id: fmt.Sprintf("i-%04x", i*104729%65536), Service: "s", Address: "10.128.0.9:8080", Capacity: 9})
	}
	before, after := workerlist.New(3, 1, workers), workerlist.New(3, 2, workers[:299])
	must.SliceEmpty(t, workersPart(nil, before).Delta)
	part := workersPart(before, after)
	must.Less(t, len(part.Data)/10, len(part.Delta))
	view, err := rpc.DecodeView(part.Delta)
	must.NoError(t, err)
	reached, err := workerlist.Apply(before, view.WorkerChanges[0])
	must.NoError(t, err)
	must.Eq(t, after.Digest, reached.Digest)
	must.SliceEmpty(t, workersPart(before, workerlist.New(4, 1, workers)).Delta)
}

// TCP retransmits a lost SYN after 1 s; a dial must time out long before.
func TestPeerDialEndsBeforeTheOpeningPacketIsRepeated(t *testing.T) {
	must.LessEq(t, time.Second/4, peerDialTimeout)
}
