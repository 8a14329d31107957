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

// testPatience bounds every wait of the tests; a wait that ends by it has failed.
const testPatience = 10 * time.Second

// standInControl is a control process that leads or names the leader, as it is told.
type standInControl struct {
	rpc.Control
	server *httptest.Server
	hub    *watch.Hub

	mutex    sync.Mutex
	leader   string // address of another process that leads; empty if this one does
	epoch    uint64 // under which this process leads
	newest   uint64 // configuration that it names as the newest
	silent   bool
	refuse   bool
	renewals chan *rpc.RenewRequest
	released []*rpc.ReleaseRequest
}

func newControl(t *testing.T) *standInControl {
	t.Helper()
	control := &standInControl{hub: watch.NewHub(2, 10), renewals: make(chan *rpc.RenewRequest, 1000)}
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

func (c *standInControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *standInControl) set(change func(*standInControl)) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	change(c)
}

func (c *standInControl) watch(writer http.ResponseWriter, request *http.Request) {
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

// Renew grants two seconds, where this process leads.
func (c *standInControl) Renew(ctx context.Context, request *rpc.RenewRequest) (*rpc.RenewReply, error) {
	c.mutex.Lock()
	leader, epoch, newest, silent, refuse := c.leader, c.epoch, c.newest, c.silent, c.refuse
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

// Release takes any release, where this process leads.
func (c *standInControl) Release(_ context.Context, request *rpc.ReleaseRequest) (*rpc.ReleaseReply, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leader != "" {
		return &rpc.ReleaseReply{}, nil
	}
	c.released = append(c.released, request)
	return &rpc.ReleaseReply{Ok: true}, nil
}

// publish streams an update. It replaces the one before for those that connect later.
func (c *standInControl) publish(t *testing.T, update *rpc.View) {
	t.Helper()
	header, err := proto.Marshal(&rpc.View{LeaderEpoch: update.LeaderEpoch, ControlAddresses: update.ControlAddresses})
	must.NoError(t, err)
	rest := proto.CloneOf(update)
	rest.LeaderEpoch, rest.ControlAddresses = 0, nil
	data, err := proto.Marshal(rest)
	must.NoError(t, err)
	c.hub.Publish(watch.Part{Index: 0, Data: header}, watch.Part{Index: 1, Data: data})
}

// start starts a client that ends with the test.
func start(t *testing.T, options Options, seeds ...string) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	if options.Settings == nil {
		options.Settings = &settings.Settings{}
	}
	options.Settings.Node, options.Settings.Zone, options.Settings.Seeds = "n1", "z1", seeds
	options.Settings.HeartbeatMs = 60000 // renewals come of kicks alone
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

// await waits until the view is as wanted.
func await(t *testing.T, client *Client, wanted func(*View) bool) *View {
	t.Helper()
	timeout := time.After(testPatience)
	for {
		view := client.View()
		if wanted(view) {
			return view
		}
		select {
		case <-view.Superseded():
		case <-timeout:
			t.Fatal("the view did not come")
		}
	}
}

// awaitRenewal waits until a renewal is as wanted.
func (c *standInControl) awaitRenewal(t *testing.T, wanted func(*rpc.RenewRequest) bool) *rpc.RenewRequest {
	t.Helper()
	timeout := time.After(testPatience)
	for {
		select {
		case renewal := <-c.renewals:
			if wanted(renewal) {
				return renewal
			}
		case <-timeout:
			t.Fatal("the renewal did not come")
		}
	}
}

func anyRenewal(*rpc.RenewRequest) bool { return true }

// configView is a small configuration of a version.
func configView(version string) []byte {
	return []byte(`{"version":` + version + `,"routes":[],"services":[]}`)
}
