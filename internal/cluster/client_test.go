package cluster

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

func TestViewsArriveAndAreAcknowledgedAfterTheCallbacks(t *testing.T) {
	control := newControl(t)
	client := start(t, Options{Incarnation: "i1"}, control.address())
	must.Eq(t, 0, client.View().Partitions())
	called := make(chan uint64, 10)
	client.OnChange(func(view *View) { called <- view.ConfigVersion })
	control.publish(t, &rpc.View{
		LeaderEpoch: 1,
		Config:      &rpc.ConfigView{Version: 4, Config: configView("4")},
		Map:         &rpc.MapView{Version: 7, Copies: 2},
		Workers:     &rpc.WorkerList{Epoch: 1, Version: 3},
	})
	view := await(t, client, func(view *View) bool { return view.ConfigVersion == 4 })
	must.Eq(t, 4, view.Config.Version)
	must.NotNil(t, view.Table)
	renewal := control.awaitRenewal(t, func(renewal *rpc.RenewRequest) bool { return renewal.ConfigVersion == 4 })
	must.Eq(t, 4, <-called)
	must.Eq(t, "n1", renewal.Node)
	must.Eq(t, "i1", renewal.Incarnation)
	must.Eq(t, 7, renewal.MapVersion)
	must.Eq(t, []uint64{1, 3}, []uint64{renewal.ListEpoch, renewal.ListVersion})
}

func TestCallbackAddedLateSeesThePresentView(t *testing.T) {
	control := newControl(t)
	control.publish(t, &rpc.View{Config: &rpc.ConfigView{Version: 2, Config: configView("2")}})
	client := start(t, Options{}, control.address())
	control.awaitRenewal(t, func(renewal *rpc.RenewRequest) bool { return renewal.ConfigVersion == 2 })
	called := make(chan uint64, 1)
	client.OnChange(func(view *View) { called <- view.ConfigVersion })
	must.Eq(t, 2, <-called)
}

func TestOlderPartsAreNotApplied(t *testing.T) {
	client := &Client{book: newAddressBook(nil)}
	client.view.Store(newView())
	apply := func(update *rpc.View) { must.NoError(t, client.apply(update)) }
	apply(&rpc.View{LeaderEpoch: 2, Config: &rpc.ConfigView{Version: 5, Config: configView("5")},
		Map: &rpc.MapView{Version: 5}, Workers: &rpc.WorkerList{Epoch: 2, Version: 5}})
	held := client.View()
	apply(&rpc.View{LeaderEpoch: 2, Config: &rpc.ConfigView{Version: 4, Config: configView("4")},
		Map: &rpc.MapView{Version: 5, Copies: 9}, Workers: &rpc.WorkerList{Epoch: 1, Version: 9}})
	must.True(t, held == client.View())
	apply(&rpc.View{LeaderEpoch: 3, Workers: &rpc.WorkerList{Epoch: 3, Version: 1}})
	must.Eq(t, 3, client.View().Workers.Epoch)
	must.Eq(t, 5, client.View().ConfigVersion)
	select {
	case <-held.Superseded():
	default:
		t.Fatal("the view before is not superseded")
	}
	err := client.apply(&rpc.View{LeaderEpoch: 2, Map: &rpc.MapView{Version: 9}})
	var stale *StaleLeaderError
	must.True(t, errors.As(err, &stale))
	must.Eq(t, 5, client.View().Map.Version)
}

func TestUnreadableConfigurationLeavesTheOldOneInForce(t *testing.T) {
	control := newControl(t)
	client := start(t, Options{}, control.address())
	control.publish(t, &rpc.View{Config: &rpc.ConfigView{Version: 2, Config: configView("2")}})
	await(t, client, func(view *View) bool { return view.ConfigVersion == 2 })
	control.publish(t, &rpc.View{Config: &rpc.ConfigView{Version: 3, Config: []byte("{")}, Map: &rpc.MapView{Version: 1}})
	view := await(t, client, func(view *View) bool { return view.Map.GetVersion() == 1 })
	must.Eq(t, 2, view.ConfigVersion)
}

func TestLeaderIsFoundThroughOthers(t *testing.T) {
	leader, follower := newControl(t), newControl(t)
	follower.leader = leader.address()
	leader.publish(t, &rpc.View{LeaderEpoch: 1, Map: &rpc.MapView{Version: 1}})
	client := start(t, Options{Role: RoleStore}, closedAddress(t), follower.address())
	leader.awaitRenewal(t, anyRenewal)
	await(t, client, func(view *View) bool { return view.Map.GetVersion() == 1 })
	must.NoError(t, client.Release(t.Context(), []*rpc.PartitionEpoch{{Partition: 3, Epoch: 8}}))
	must.Eq(t, 8, leader.released[0].Partitions[0].Epoch)
}

func TestAnotherLeaderIsFollowedWhenTheFirstFallsSilent(t *testing.T) {
	first, second := newControl(t), newControl(t)
	second.leader = first.address()
	first.publish(t, &rpc.View{LeaderEpoch: 1, Map: &rpc.MapView{Version: 1}, ControlAddresses: []string{second.address()}})
	client := start(t, Options{Role: RoleStore}, first.address())
	await(t, client, func(view *View) bool { return view.Map.GetVersion() == 1 })
	first.awaitRenewal(t, anyRenewal)
	first.set(func(control *standInControl) { control.silent = true })
	second.set(func(control *standInControl) { control.leader = "" })
	second.publish(t, &rpc.View{LeaderEpoch: 2, Map: &rpc.MapView{Version: 2}})
	second.awaitRenewal(t, anyRenewal)
	await(t, client, func(view *View) bool { return view.Map.GetVersion() == 2 })
}

// A leader that lost power and leads again at its old address says nothing on the streams of its former life, and ends none of them.
func TestStreamOfAFormerLifeIsLeftAtTheNextRenewal(t *testing.T) {
	control := newControl(t)
	control.set(func(c *standInControl) { c.epoch = 1 })
	control.publish(t, &rpc.View{LeaderEpoch: 1, Map: &rpc.MapView{Version: 1}})
	client := start(t, Options{Role: RoleStore}, control.address())
	await(t, client, func(view *View) bool { return view.Map.GetVersion() == 1 })
	former := control.hub
	t.Cleanup(former.DisconnectAll)
	control.set(func(c *standInControl) { c.hub, c.epoch = watch.NewHub(2, 10), 2 })
	control.publish(t, &rpc.View{LeaderEpoch: 2, Map: &rpc.MapView{Version: 2}})
	client.Kick()
	await(t, client, func(view *View) bool { return view.Map.GetVersion() == 2 })
	for former.SubscriberCount() > 0 { // the client has hung up; the hub notices in its own time
		runtime.Gosched()
	}
	must.Eq(t, 1, control.hub.SubscriberCount())
}

func TestLeaseIsValidOnceGranted(t *testing.T) {
	control := newControl(t)
	control.refuse = true
	client := start(t, Options{Role: RoleStore, Disk: "d", Address: "a", FreshDisk: true,
		Status: func(request *rpc.RenewRequest) { request.Backlog = 12 }}, control.address())
	renewal := control.awaitRenewal(t, anyRenewal)
	must.Eq(t, "d", renewal.Disk)
	must.Eq(t, "a", renewal.Address)
	must.Eq(t, 12, renewal.Backlog)
	must.True(t, renewal.FreshDisk)
	must.False(t, client.LeaseValid())
	control.set(func(control *standInControl) { control.refuse = false })
	client.Kick()
	control.awaitRenewal(t, anyRenewal)
	control.awaitRenewal(t, anyRenewal) // the one before has been taken by now
	must.True(t, client.LeaseValid())
	must.Less(t, testPatience, client.ControlReachable())
}

func TestLeaseEndsByTheTimeOfSending(t *testing.T) {
	lease := newLease()
	must.False(t, lease.valid())
	lease.start = time.Now().Add(-time.Minute)
	lease.renew(time.Now().Add(-2*time.Second), 2*time.Second+leaseMargin/2)
	must.False(t, lease.valid())
	lease.renew(time.Now(), time.Minute)
	must.True(t, lease.valid())
	lease.renew(time.Now(), time.Millisecond)
	must.True(t, lease.valid())
}

func TestReleaseSaysThatItFailed(t *testing.T) {
	client := start(t, Options{}, closedAddress(t))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := client.Release(ctx, []*rpc.PartitionEpoch{{}})
	var failed *ReleaseError
	must.True(t, errors.As(err, &failed))
	must.Eq(t, 1, failed.Partitions)
}

func TestSeedsAreReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	must.NoError(t, os.WriteFile(path, []byte("node: n\nzone: z\nip: 10.0.0.1\nportRange: [1, 2]\nseeds: ['10.0.0.9:82']\n"), 0o600))
	client := &Client{book: newAddressBook([]string{"10.0.0.8:82"}), options: Options{Settings: &settings.Settings{Path: path}}}
	client.reload()
	must.Eq(t, []string{"10.0.0.8:82", "10.0.0.9:82"}, client.book.addresses)
	must.Eq(t, "n", client.Settings().Node)
	must.NoError(t, os.WriteFile(path, []byte("node: [half"), 0o600))
	client.reload()
	must.Eq(t, "n", client.Settings().Node)
}

func TestStoreClientsAreShared(t *testing.T) {
	client := start(t, Options{}, closedAddress(t))
	must.True(t, client.Store("10.0.0.1:1") == client.Store("10.0.0.1:1"))
	must.False(t, client.Store("10.0.0.1:1") == client.Store("10.0.0.2:1"))
}

// closedAddress is an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Unused()
	must.NoError(t, err)
	return address.String()
}
