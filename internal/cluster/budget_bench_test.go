package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// The resource budget for the control-plane traffic of one dispatcher, and the load it is planned for.
const (
	budgetBytesPerS      = 6000.0
	budgetCorePercent    = 2.2
	plannedChangesPerDay = 7700.0
	plannedHeartbeatS    = 1.2
	secondsPerDay        = 86400.0
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(count))
	return count, err
}

// benchClient returns a client without running loops, connected to a fake control process that grants every renewal,
// and a counter of the bytes on the wire.
func benchClient(b *testing.B) (*Client, *atomic.Int64) {
	b.Helper()
	control := &fakeControl{hub: watch.NewHub(2, 10), renewals: make(chan *rpc.RenewRequest)}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(control))
	control.server = httptest.NewServer(mux)
	b.Cleanup(control.server.Close)
	client := &Client{
		options: Options{Role: RoleDispatcher, Incarnation: "run-1", Log: logr.Discard(),
			Settings: &settings.Settings{Node: "front-heredia-a-1", Zone: "heredia-a", HeartbeatMs: int(plannedHeartbeatS * 1000)}},
		book:        newAddressBook([]string{control.address()}),
		clientCache: newClientCache(newTransport(sameRegionDialTimeout)),
		lease:       newLease(),
		renewNow:    make(chan struct{}, 1),
		callbacks:   newCallbackList(),
		initialView: newView(),
	}
	client.view.Store(client.initialView)
	client.notifiedView.Store(client.initialView)
	bytes := &atomic.Int64{}
	transport := client.clientCache.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: connection, bytes: bytes}, nil
	}
	b.Cleanup(transport.CloseIdleConnections)
	return client, bytes
}

// BenchmarkRenewal measures one lease renewal of a dispatcher. Time and allocations include both ends.
func BenchmarkRenewal(b *testing.B) {
	client, bytes := benchClient(b)
	client.renew(b.Context()) // opens the connection
	must.True(b, client.LeaseValid())
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		client.renew(b.Context())
	}
	perRenewal := float64(bytes.Load()) / float64(b.N)
	seconds := b.Elapsed().Seconds() / float64(b.N)
	b.ReportMetric(perRenewal, "wire-B/renewal")
	b.ReportMetric(perRenewal/plannedHeartbeatS, "wire-B/s")
	b.ReportMetric(100*perRenewal/plannedHeartbeatS/budgetBytesPerS, "%of-bytes-budget")
	b.ReportMetric(100*100*seconds/plannedHeartbeatS/budgetCorePercent, "%of-core-budget")
}

// BenchmarkConfigurationChange measures applying a new configuration, by number of routes.
func BenchmarkConfigurationChange(b *testing.B) {
	for _, routes := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) { benchConfigurations(b, routes) })
	}
}

func benchConfigurations(b *testing.B, routes int) {
	client, _ := benchClient(b)
	config := benchConfig(b, routes)
	length, version := 0, uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		b.StopTimer()
		frame, err := proto.Marshal(&rpc.View{LeaderEpoch: 1, Config: &rpc.ConfigView{Version: version, Config: config}})
		must.NoError(b, err)
		length = len(frame)
		b.StartTimer()
		must.NoError(b, client.onFrame(frame))
	}
	must.Eq(b, version, client.View().ConfigVersion)
	bytesPerS := float64(length) * plannedChangesPerDay / secondsPerDay
	seconds := b.Elapsed().Seconds() / float64(b.N) * plannedChangesPerDay / secondsPerDay
	b.ReportMetric(float64(length), "wire-B/change")
	b.ReportMetric(100*bytesPerS/budgetBytesPerS, "%of-bytes-budget")
	b.ReportMetric(100*100*seconds/budgetCorePercent, "%of-core-budget")
}

func benchConfig(b *testing.B, routes int) []byte {
	b.Helper()
	config := catalog.Config{Version: 1, Services: []catalog.Service{{Name: "service", HealthPath: "/health", MaxConns: 100, Protocol: "h1"}}}
	for number := range routes {
		config.Routes = append(config.Routes, catalog.Route{Name: fmt.Sprintf("route-%d", number), Hostname: "bench.example",
			PathPrefix: fmt.Sprintf("/prefix-%d/", number), Type: "async", TimeoutMs: 600, TargetLatencyMs: 80,
			ScheduleTargetMs: 600, Priority: 1, Service: "service", Retries: 4, RetentionS: 90})
	}
	encoded, err := json.Marshal(config)
	must.NoError(b, err)
	return encoded
}

// BenchmarkDestinationList measures applying a new worker list, by its length.
func BenchmarkDestinationList(b *testing.B) {
	for _, destinations := range []int{1000, 10000, 220000} {
		b.Run(fmt.Sprintf("destinations=%d", destinations), func(b *testing.B) { benchLists(b, destinations) })
	}
}

func benchLists(b *testing.B, destinations int) {
	client, _ := benchClient(b)
	list := &rpc.WorkerList{Epoch: 1}
	for number := range destinations {
		list.Workers = append(list.Workers, &rpc.Worker{Id: fmt.Sprintf("i-%08x", number), Service: fmt.Sprintf("service-%d", number/100),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", number>>16, number>>8&0xff, number&0xff), Zone: "heredia-a", Capacity: 8})
	}
	length := 0
	before := heapAllocBytes()
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		list.Version++
		frame, err := proto.Marshal(&rpc.View{LeaderEpoch: 1, Workers: list})
		must.NoError(b, err)
		length = len(frame)
		b.StartTimer()
		must.NoError(b, client.onFrame(frame))
	}
	retained := heapAllocBytes() - before
	must.Len(b, destinations, client.View().Workers.Workers)
	b.ReportMetric(float64(length)/float64(destinations), "wire-B/destination")
	b.ReportMetric(float64(retained)/float64(destinations), "heap-B/destination")
	runtime.KeepAlive(list)
}

// heapAllocBytes returns the size of the live heap after a garbage collection.
func heapAllocBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkIdleClient measures the memory of one idle client that follows a control process: connections, buffers and
// goroutines of both ends.
func BenchmarkIdleClient(b *testing.B) {
	const clients = 100
	control := &fakeControl{hub: watch.NewHub(2, clients), renewals: make(chan *rpc.RenewRequest)}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(control))
	mux.HandleFunc(watchPath, control.watch)
	control.server = httptest.NewServer(mux)
	defer control.server.Close()
	defer control.hub.DisconnectAll()
	for b.Loop() {
		before := heapAllocBytes()
		ctx, cancel := context.WithCancel(b.Context())
		var started []*Client
		for index := range clients {
			started = append(started, Start(ctx, Options{Role: RoleDispatcher, Incarnation: "run-1", Log: logr.Discard(),
				Settings: &settings.Settings{Node: fmt.Sprint(index), Zone: "z", Seeds: []string{control.address()}, HeartbeatMs: 60000}}))
		}
		for deadline := time.Now().Add(testTimeout); control.hub.SubscriberCount() < clients && time.Now().Before(deadline); {
			runtime.Gosched()
		}
		must.Eq(b, clients, control.hub.SubscriberCount())
		b.ReportMetric(float64(heapAllocBytes()-before)/clients, "heap-B/client+server-side")
		cancel()
		for _, each := range started {
			each.Wait()
		}
	}
}
