package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/controlplane"
)

// exampleStatus is a leader's, with one node of each kind behind.
func exampleStatus() *controlplane.Status {
	return &controlplane.Status{
		Address:       "10.0.0.1:1",
		Leader:        true,
		Epoch:         4,
		ConfigVersion: 9,
		MapVersion:    12,
		Voters:        []string{"10.0.0.1:1", "10.0.0.2:1"},
		Stores: []controlplane.StoreStatus{
			{Node: "store-1", Address: "10.0.1.1:1", Whole: true, Lease: true, AgeMs: 200, ConfigVersion: 9, Ready: 2, Backlog: 31},
			{Node: "store-2", Address: "10.0.1.2:1", Lease: true, AgeMs: -1, ConfigVersion: 7, UnderCopied: 5},
			{Node: "store-4", Address: "10.0.1.4:1", Whole: true, AgeMs: 9000, ConfigVersion: 9},
			{Node: "store-3", Leaving: true, AgeMs: -1},
		},
		Dispatchers: []controlplane.DispatcherStatus{{Node: "front-1", ConfigVersion: 8}},
		Partitions:  map[string]int{"store-1": 2},
		Ownerships: []controlplane.OwnershipStatus{
			{Partition: 0, Node: "store-1", Epoch: 3},
			{Partition: 1, Node: "store-1", Epoch: 6, Releasing: true, Successor: "store-2"},
		},
		Retirements: map[string]string{},
	}
}

// printed is the status as people read it.
func printed(status *controlplane.Status) string {
	var out strings.Builder
	printStatus(&out, status)
	return out.String()
}

func TestStatusForPeople(t *testing.T) {
	var out strings.Builder
	printStatus(&out, exampleStatus())
	for _, wanted := range []string{
		"leader 10.0.0.1:1, epoch 4",
		"200 ms ago",
		"never",
		"not whole",
		"given up",
		"store-1 owns 2, newest epoch 6",
		"handed over: 1 from store-1 to store-2",
		"configuration 9 is not yet in force everywhere: store-2 has 7, store-4 holds no lease, front-1 has 8\n",
	} {
		must.StrContains(t, out.String(), wanted)
	}
}

func TestStatusTellsOfPartitionsThatWaitForMoreStoresThanMayBeLost(t *testing.T) {
	status := exampleStatus()
	status.FaultTolerance = 1
	printed := func() string { return printed(status) }
	must.StrNotContains(t, printed(), "taken over")
	status.Partitions["store-1"] = 5
	must.StrContains(t, printed(), "3 are being taken over")
	must.StrNotContains(t, printed(), "WAITING")
	status.Stores[1].Lease = false
	must.StrContains(t, printed(), "WAITING: store-2, store-4 hold no lease, and 1 may be lost")
}

func TestStatusWithoutALeader(t *testing.T) {
	var out strings.Builder
	printStatus(&out, &controlplane.Status{Address: "10.0.0.1:1", ConfigVersion: 2})
	must.StrContains(t, out.String(), "no leader is known to 10.0.0.1:1")
	must.StrContains(t, out.String(), "known to the leader alone")
}

func serveStatus(t *testing.T, status *controlplane.Status) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(writer).Encode(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestTheLeaderIsAsked(t *testing.T) {
	leader := serveStatus(t, &controlplane.Status{Address: "leader", Leader: true})
	follower := serveStatus(t, &controlplane.Status{Address: "follower", LeaderAddress: leader})
	closed := httptest.NewServer(nil)
	closed.Close()
	silent := strings.TrimPrefix(closed.URL, "http://")

	status, err := leaderStatus(context.Background(), []string{silent, follower})
	must.NoError(t, err)
	must.EqOp(t, "leader", status.Address)

	status, err = leaderStatus(context.Background(), []string{serveStatus(t, &controlplane.Status{Address: "alone", LeaderAddress: silent})})
	must.NoError(t, err)
	must.EqOp(t, "alone", status.Address)

	_, err = leaderStatus(context.Background(), []string{silent})
	must.Error(t, err)
}

func TestStatusTellsOfTooFewVotersAndOfAnExchange(t *testing.T) {
	status := exampleStatus()
	status.FaultTolerance = 2
	printed := func() string { return printed(status) }
	status.VotersWanted = 2
	must.StrNotContains(t, printed(), "needed to bear")
	must.StrNotContains(t, printed(), "being exchanged")
	status.VotersWanted = 5
	must.StrContains(t, printed(), "2 voters, but 5 are needed to bear the loss of 2")
	status.VotersChanging = true
	must.StrContains(t, printed(), "voters are being exchanged")
}
