package controlplane

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/platformapi"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/workerlist"
)

// planDispatchers and planDestinations are the sizes in the operators' capacity plan.
const (
	planDispatchers  = 1800
	planDestinations = 220_000
)

// budgetHeap returns the size of the heap after a garbage collection, in bytes.
func budgetHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func budgetRenewal(number int, role string) *rpc.RenewRequest {
	return &rpc.RenewRequest{Node: fmt.Sprintf("%s-heredia-a-%d", role, number), Incarnation: fmt.Sprintf("%s-%016x", role, number),
		Zone: "heredia-a", Role: role, Disk: fmt.Sprintf("%016x", number), Address: fmt.Sprintf("10.0.%d.%d:7240", number>>8, number&0xff)}
}

// BenchmarkDispatcherLease measures the memory of a dispatcher's lease at the leader, and the time of a renewal without
// its transport.
func BenchmarkDispatcherLease(b *testing.B) {
	requests := make([]*rpc.RenewRequest, planDispatchers)
	for number := range requests {
		requests[number] = budgetRenewal(number, roleDispatcher)
	}
	before := budgetHeap()
	held := newTerm(1, &rpc.ControlState{}, defaultStoreLease, time.Now())
	defer held.cancel()
	for _, request := range requests {
		held.renewDispatcher(request, time.Now())
	}
	perLease := float64(budgetHeap()-before) / planDispatchers
	next := 0
	for b.Loop() {
		held.renewDispatcher(requests[next], time.Now())
		next = (next + 1) % planDispatchers
	}
	b.ReportMetric(perLease, "heap-B/lease") // after the loop, whose start clears reported metrics
	must.MapLen(b, planDispatchers, held.dispatchers)
}

// BenchmarkStoreLease measures the same for a store.
func BenchmarkStoreLease(b *testing.B) {
	const stores = 200
	state := &rpc.ControlState{}
	requests := make([]*rpc.RenewRequest, stores)
	for number := range requests {
		requests[number] = budgetRenewal(number, roleStore)
		state.Stores = append(state.Stores, &rpc.StoreMember{Node: requests[number].Node, Disk: requests[number].Disk,
			Incarnation: requests[number].Incarnation})
	}
	before := budgetHeap()
	held := newTerm(1, state, defaultStoreLease, time.Now())
	defer held.cancel()
	for _, request := range requests {
		must.True(b, held.renewStore(state, request, time.Now()).granted)
	}
	perLease := float64(budgetHeap()-before) / stores
	next := 0
	for b.Loop() {
		held.renewStore(state, requests[next], time.Now())
		next = (next + 1) % stores
	}
	b.ReportMetric(perLease, "heap-B/lease")
}

// BenchmarkDestination measures the cost of a worker in the platform's list at the leader, with planDestinations workers:
// decoding the pages, comparing with the previous list, and encoding for the stream.
func BenchmarkDestination(b *testing.B) {
	const perPage = 1000
	var pages [][]byte
	for first := 0; first < planDestinations; first += perPage {
		answer := platformapi.Page{}
		for number := first; number < first+perPage; number++ {
			answer.Instances = append(answer.Instances, platformapi.Instance{ID: fmt.Sprintf("i-%08x", number), Service: fmt.Sprintf("service-%d", number/100),
				Address: fmt.Sprintf("10.%d.%d.%d:8080", number>>16, number>>8&0xff, number&0xff), Zone: "heredia-a", Capacity: 8, State: platformapi.StateReady})
		}
		encoded, err := json.Marshal(answer)
		must.NoError(b, err)
		pages = append(pages, encoded)
	}
	before := budgetHeap()
	var workers []*rpc.Worker
	decoding := time.Duration(0)
	for b.Loop() {
		started := time.Now()
		workers = readPages(b, pages)
		decoding += time.Since(started)
	}
	b.ReportMetric(float64(decoding.Nanoseconds())/float64(b.N)/planDestinations, "read-ns/destination")
	b.ReportMetric(float64(budgetHeap()-before)/planDestinations, "heap-B/destination")
	reportListCosts(b, workers, readPages(b, pages))
}

// readPages decodes the pages of a list as discovery does.
func readPages(b *testing.B, pages [][]byte) []*rpc.Worker {
	var workers []*rpc.Worker
	for _, data := range pages {
		answer := &platformapi.Page{}
		must.NoError(b, json.Unmarshal(data, answer))
		for _, entry := range answer.Instances {
			workers = append(workers, workerOf(&entry))
		}
	}
	return sortedWorkers(workers)
}

// reportListCosts measures comparing two lists and encoding one.
func reportListCosts(b *testing.B, workers, again []*rpc.Worker) {
	started := time.Now()
	must.True(b, sameWorkers(workers, again))
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/planDestinations, "compare-ns/destination")
	started = time.Now()
	part := workersPart(nil, workerlist.New(1, 1, workers))
	b.ReportMetric(float64(time.Since(started).Nanoseconds())/planDestinations, "encode-ns/destination")
	b.ReportMetric(float64(len(part.Data))/planDestinations, "wire-B/destination")
	view, err := rpc.DecodeView(part.Data)
	must.NoError(b, err)
	must.Len(b, planDestinations, view.Workers.Workers)
}
