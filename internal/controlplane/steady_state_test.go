package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// receivedView is the View that a subscriber has received.
type receivedView struct {
	mutex sync.Mutex
	view  *rpc.View
}

func (n *receivedView) apply(frame []byte) error {
	update, err := rpc.DecodeView(frame)
	if err != nil {
		return err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if update.Config != nil {
		n.view.Config = update.Config
	}
	if update.Map != nil {
		n.view.Map = update.Map
	}
	if update.Workers != nil {
		n.view.Workers = update.Workers
	}
	if len(update.ControlAddresses) > 0 {
		n.view.ControlAddresses = update.ControlAddresses
	}
	return nil
}

func (n *receivedView) check(check func(*rpc.View) error) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return check(n.view)
}

// follow subscribes to a process until the test ends.
func follow(t *testing.T, server *testServer) *receivedView {
	t.Helper()
	newest := &receivedView{view: &rpc.View{}}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client := &watch.Client{}
		_ = client.Follow(ctx, "http://"+server.address+"/internal/watch", newest.apply)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return newest
}

// renew renews a store once, and acknowledges the latest received map.
func (s *testStore) renew(newest *receivedView) *rpc.RenewReply {
	_ = newest.check(func(view *rpc.View) error {
		s.request.MapVersion = view.Map.GetVersion()
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := s.control().Renew(ctx, s.request)
	if err != nil {
		return &rpc.RenewReply{}
	}
	return reply
}

func TestStartWithoutFaultsServesConfigurationStoresAndWorkers(t *testing.T) {
	platform := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(writer, `{"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":9,"state":"draining","coldRemainingMs":0,"id":"i-1"}],"nextToken":null}`)
	}))
	defer platform.Close()
	c := newCluster(t, 4, func(wanted *settings.Settings) {
		wanted.Cloud = settings.Cloud{Address: platform.Listener.Addr().String(), RatePerS: 100}
	})
	first := configWith(5, "a", "b")
	must.Eq(t, http.StatusOK, c.callUntilDefinite(c.servers[3], http.MethodPost, "/api/config/replace", "0", first).status)
	must.Eq(t, first, c.callUntilDefinite(c.servers[3], http.MethodGet, "/api/config/read", "", "").body)

	newest := follow(t, c.leader())
	stores := []*testStore{newTestStore(c, 0), newTestStore(c, 1), newTestStore(c, 2), newTestStore(c, 3)}
	eventually(t, func() error {
		granted := 0
		for _, store := range stores {
			if store.renew(newest).Granted {
				granted++
			}
		}
		return newest.check(func(view *rpc.View) error { return checkSteadyState(view, granted, len(stores)) })
	})
	eventually(t, func() error {
		if voters := len(c.leader().node.Status().Members); voters != minVoters {
			return fmt.Errorf("%d voters", voters)
		}
		return nil
	})
}

func checkSteadyState(view *rpc.View, granted, stores int) error {
	owned := make(map[string]int)
	for _, ownership := range view.Map.GetPartitions() {
		owned[ownership.Node]++
	}
	switch {
	case granted != stores:
		return fmt.Errorf("%d leases granted", granted)
	case view.Config.GetVersion() != 5:
		return fmt.Errorf("configuration %d streamed", view.Config.GetVersion())
	case len(view.Workers.GetWorkers()) != 1 || !view.Workers.Workers[0].Draining:
		return fmt.Errorf("workers %v streamed", view.Workers)
	case len(view.Map.GetPartitions()) != partitionCount:
		return fmt.Errorf("%d partitions assigned", len(view.Map.GetPartitions()))
	case len(view.ControlAddresses) < minVoters:
		return fmt.Errorf("control processes %v streamed", view.ControlAddresses)
	}
	for node, count := range owned {
		if count != partitionCount/stores {
			return fmt.Errorf("%s owns %d partitions", node, count)
		}
	}
	for _, store := range view.Map.Stores {
		if !store.Whole {
			return fmt.Errorf("%s is not whole", store.Node)
		}
	}
	return nil
}
