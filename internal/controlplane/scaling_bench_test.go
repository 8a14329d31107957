package controlplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// scalingMachines are fleet sizes. One machine in membersPerStore is a store.
var scalingMachines = []int{30, 300, 3000}

const (
	scalingCopies  = 3
	scalingWorkers = 2 // for each machine
)

// scalingState returns the replicated state of a fleet whose stores own the partitions in turn.
func scalingState(machines int) *rpc.ControlState {
	state := &rpc.ControlState{MapVersion: 1}
	stores := machines / membersPerStore
	random := rand.New(rand.NewPCG(1, 1)) // random names compress as badly as real ones
	for number := range stores {
		renewal := budgetRenewal(number, roleStore)
		renewal.Incarnation, renewal.Disk = fmt.Sprintf("%016x", random.Uint64()), fmt.Sprintf("%016x", random.Uint64())
		state.Stores = append(state.Stores, &rpc.StoreMember{Node: renewal.Node, Zone: renewal.Zone, Disk: renewal.Disk,
			Incarnation: renewal.Incarnation, Address: renewal.Address, Whole: true})
	}
	for partition := range partitionCount {
		owner := state.Stores[partition%stores]
		state.Partitions = append(state.Partitions, &rpc.Ownership{Node: owner.Node, Incarnation: owner.Incarnation, Epoch: 1})
	}
	return state
}

// scalingList returns a list of workers. If changed, the last one has another capacity.
func scalingList(machines int, changed bool) *rpc.WorkerList {
	list := &rpc.WorkerList{Epoch: 1, Version: 1}
	random := rand.New(rand.NewPCG(1, 2))
	for number := range scalingWorkers * machines {
		list.Workers = append(list.Workers, &rpc.Worker{Id: fmt.Sprintf("i-%08x", random.Uint32()), Service: "service",
			Address: fmt.Sprintf("10.0.%d.%d:8080", number>>8, number&0xff), Capacity: 8})
	}
	if changed {
		list.Version++
		list.Workers[len(list.Workers)-1].Capacity++
	}
	return list
}

// BenchmarkFleetSlopes measures what grows with the size of a fleet: the bytes that a new member needs, the bytes of a change, the time to
// encode a map, and the time in which the leader handles the renewals of all members.
func BenchmarkFleetSlopes(b *testing.B) {
	for _, machines := range scalingMachines {
		state, list := scalingState(machines), scalingList(machines, false)
		change := workersPart(list, scalingList(machines, true)).Delta
		b.Run(fmt.Sprintf("table/%d", machines), func(b *testing.B) {
			for b.Loop() {
				mapPart(state, scalingCopies)
			}
			b.ReportMetric(float64(len(mapPart(state, scalingCopies).Data)), "table-B")
			b.ReportMetric(float64(len(workersPart(nil, list).Data)), "list-B")
			b.ReportMetric(float64(len(change)), "list-change-B")
		})
		b.Run(fmt.Sprintf("renewals/%d", machines), func(b *testing.B) { benchmarkRenewals(b, state.Stores, machines) })
	}
}

func benchmarkRenewals(b *testing.B, members []*rpc.StoreMember, machines int) {
	state := &rpc.ControlState{Stores: members}
	held := newTerm(1, state, defaultStoreLease, time.Now())
	defer held.cancel()
	var stores, dispatchers []*rpc.RenewRequest
	for number, store := range members {
		renewal := budgetRenewal(number, roleStore)
		renewal.Incarnation, renewal.Disk = store.Incarnation, store.Disk
		stores = append(stores, renewal)
	}
	for number := len(stores); number < machines; number++ {
		dispatchers = append(dispatchers, budgetRenewal(number, roleDispatcher))
	}
	for b.Loop() {
		for _, renewal := range stores {
			must.True(b, held.renewStore(state, renewal, time.Now()).granted)
		}
		for _, renewal := range dispatchers {
			held.renewDispatcher(renewal, time.Now())
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(machines), "ns/renewal")
}
