package cluster

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// testTimeout bounds every wait in the tests; a wait that reaches it fails the test.
const testTimeout = 10 * time.Second

// fakeControl is a control process that either leads or redirects to the leader.
type fakeControl struct {
	rpc.Control
	server *httptest.Server
	hub    *watch.Hub

	mutex        sync.Mutex
	leader       string // address of the leading process; empty if this one leads
	epoch        uint64 // epoch in which this process leads
	newestConfig uint64 // configuration version named as the newest
	silent       bool
	denyLease    bool
	renewals     chan *rpc.RenewRequest
	released     []*rpc.ReleaseRequest
}

func newFakeControl(t *testing.T) *fakeControl {
	t.Helper()
	control := &fakeControl{hub: watch.NewHub(2, 10), renewals: make(chan *rpc.RenewRequest, 1000)}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", rpc.NewControlServer(control))
	mux.HandleFunc(watchPath, control.watch)
	control.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		control.hub.DisconnectAll()
		control.server.CloseClientConnections()
		control.server.Close()
	})
	return control
}

func (c *fakeControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *fakeControl) set(change func(*fakeControl)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(c)
}

func (c *fakeControl) watch(writer http.ResponseWriter, request *http.Request) {
	c.mutex.Lock()
	leader, silent, hub := c.leader, c.silent, c.hub
	c.mutex.Unlock()
	switch {
	case silent:
		<-request.Context().Done()
	case leader != "":
		writer.Header().Set("Location", "http://"+leader+watchPath)
		writer.WriteHeader(http.StatusTemporaryRedirect)
	default:
		hub.ServeHTTP(writer, request)
	}
}

// Renew grants a lease of 2 s if this process leads and denyLease is not set.
func (c *fakeControl) Renew(ctx context.Context, request *rpc.RenewRequest) (*rpc.RenewReply, error) {
	c.mutex.Lock()
	leader, epoch, newest, silent, refuse := c.leader, c.epoch, c.newestConfig, c.silent, c.denyLease
	c.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if leader != "" {
		return &rpc.RenewReply{LeaderAddress: leader}, nil
	}
	select {
	case c.renewals <- request:
	default:
	}
	return &rpc.RenewReply{Granted: !refuse, Leader: true, LeaderEpoch: epoch, LeaseMs: 2000, ConfigVersion: newest}, nil
}

// Release accepts every release if this process leads.
func (c *fakeControl) Release(_ context.Context, request *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		return &rpc.ReleaseReply{}, nil
	}
	c.released = append(c.released, request)
	return &rpc.ReleaseReply{Ok: true}, nil
}

// publish streams an update. Later subscribers get only the latest update.
func (c *fakeControl) publish(t *testing.T, update *rpc.View) {
	t.Helper()
	header, err := proto.Marshal(&rpc.View{LeaderEpoch: update.LeaderEpoch, ControlAddresses: update.ControlAddresses})
	must.NoError(t, err)
	rest := proto.CloneOf(update)
	rest.LeaderEpoch, rest.ControlAddresses = 0, nil
	data, err := proto.Marshal(rest)
	must.NoError(t, err)
	c.hub.Publish(watch.Part{Index: 0, Data: header}, watch.Part{Index: 1, Data: data})
}

// startClient starts a client that stops at the end of the test.
func startClient(t *testing.T, options Options, seeds ...string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	if options.Settings == nil {
		options.Settings = &settings.Settings{}
	}
	options.Settings.Node, options.Settings.Zone, options.Settings.Seeds = "n1", "z1", seeds
	options.Settings.HeartbeatMs = 60000 // so that only Kick causes further renewals
	options.Log = logr.Discard()
	if options.Role == "" {
		options.Role = RoleDispatcher
	}
	client := Start(ctx, options)
	t.Cleanup(func() {
		cancel()
		client.Wait()
	})
	return client
}

// awaitView waits for a view with the wanted property.
func awaitView(t *testing.T, client *Client, wanted func(*View) bool) *View {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		view := client.View()
		if wanted(view) {
			return view
		}
		select {
		case <-view.Superseded():
		case <-timeout:
			t.Fatal("timed out waiting for the view")
		}
	}
}

// awaitRenewal waits for a renewal with the wanted property.
func (c *fakeControl) awaitRenewal(t *testing.T, wanted func(*rpc.RenewRequest) bool) *rpc.RenewRequest {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case renewal := <-c.renewals:
			if wanted(renewal) {
				return renewal
			}
		case <-timeout:
			t.Fatal("timed out waiting for a renewal")
		}
	}
}

func anyRenewal(*rpc.RenewRequest) bool { return true }

// emptyConfig returns a configuration of the given version without routes and services.
func emptyConfig(version string) []byte {
	return []byte(`{"version":` + version + `,"routes":[],"services":[]}`)
}
