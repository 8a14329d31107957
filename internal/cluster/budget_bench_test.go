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

// The plan of the operators for the control part of one dispatcher, and the size that it is meant for.
const (
	planBytesPerS     = 6000.0
	planCorePercent   = 2.2
	planChangesPerDay = 7700.0
	planHeartbeatS    = 1.2
	secondsPerDay     = 86400.0
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

// benchClient returns a client that runs no loops, of a control process that grants everything.
func benchClient(b *testing.B) (*Client, *atomic.Int64) {
	b.Helper()
	control := &standInControl{hub: watch.NewHub(2, 10), renewals: make(chan *rpc.RenewRequest)}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(control))
	control.server = httptest.NewServer(mux)
	b.Cleanup(control.server.Close)
	client := &Client{
		options: Options{Role: RoleDispatcher, Incarnation: "run-1", Log: logr.Discard(),
			Settings: &settings.Settings{Node: "front-heredia-a-1", Zone: "heredia-a", HeartbeatMs: int(planHeartbeatS * 1000)}},
		book:      newAddressBook([]string{control.address()}),
		clients:   newClients(newTransport(nearDialTimeout)),
		lease:     newLease(),
		kicks:     make(chan struct{}, 1),
		callbacks: newCallbackList(),
		first:     newView(),
	}
	client.view.Store(client.first)
	client.inForce.Store(client.first)
	bytes := &atomic.Int64{}
	transport := client.clients.http.Transport.(*http.Transport)
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

// BenchmarkRenewal is one renewal of a dispatcher's lease. The time and the allocations are those of both ends.
func BenchmarkRenewal(b *testing.B) {
	client, bytes := benchClient(b)
	client.renew(b.Context()) // connects
	must.True(b, client.LeaseValid())
	bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		client.renew(b.Context())
	}
	perRenewal := float64(bytes.Load()) / float64(b.N)
	seconds := b.Elapsed().Seconds() / float64(b.N)
	b.ReportMetric(perRenewal, "wire-B/renewal")
	b.ReportMetric(perRenewal/planHeartbeatS, "wire-B/s")
	b.ReportMetric(100*perRenewal/planHeartbeatS/planBytesPerS, "%of-bytes-budget")
	b.ReportMetric(100*100*seconds/planHeartbeatS/planCorePercent, "%of-core-budget")
}

// BenchmarkConfigurationChange is one new configuration at one subscriber, by number of routes.
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
	bytesPerS := float64(length) * planChangesPerDay / secondsPerDay
	seconds := b.Elapsed().Seconds() / float64(b.N) * planChangesPerDay / secondsPerDay
	b.ReportMetric(float64(length), "wire-B/change")
	b.ReportMetric(100*bytesPerS/planBytesPerS, "%of-bytes-budget")
	b.ReportMetric(100*100*seconds/planCorePercent, "%of-core-budget")
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

// BenchmarkDestinationList is one new list of destinations at one subscriber, by its length.
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
	before := benchHeap()
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
	held := benchHeap() - before
	must.Len(b, destinations, client.View().Workers.Workers)
	b.ReportMetric(float64(length)/float64(destinations), "wire-B/destination")
	b.ReportMetric(float64(held)/float64(destinations), "heap-B/destination")
	runtime.KeepAlive(list)
}

// benchHeap is what the heap holds after a collection.
func benchHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkIdleClient is the memory of one client that follows a control process: connections, buffers, goroutines.
func BenchmarkIdleClient(b *testing.B) {
	const clients = 100
	control := &standInControl{hub: watch.NewHub(2, clients), renewals: make(chan *rpc.RenewRequest)}
	mux := http.NewServeMux()
	mux.Handle(rpc.ControlPathPrefix, rpc.NewControlServer(control))
	mux.HandleFunc(watchPath, control.watch)
	control.server = httptest.NewServer(mux)
	defer control.server.Close()
	defer control.hub.DisconnectAll()
	for b.Loop() {
		before := benchHeap()
		ctx, cancel := context.WithCancel(b.Context())
		var started []*Client
		for index := range clients {
			started = append(started, Start(ctx, Options{Role: RoleDispatcher, Incarnation: "run-1", Log: logr.Discard(),
				Settings: &settings.Settings{Node: fmt.Sprint(index), Zone: "z", Seeds: []string{control.address()}, HeartbeatMs: 60000}}))
		}
		for deadline := time.Now().Add(testPatience); control.hub.SubscriberCount() < clients && time.Now().Before(deadline); {
			runtime.Gosched()
		}
		must.Eq(b, clients, control.hub.SubscriberCount())
		b.ReportMetric(float64(benchHeap()-before)/clients, "heap-B/client+server-side")
		cancel()
		for _, each := range started {
			each.Wait()
		}
	}
}
