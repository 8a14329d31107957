package ingest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/watch"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// testTimeout bounds every wait in the tests; a wait that reaches it fails the test.
const testTimeout = 10 * time.Second

const testPartitions = 8

const testConfig = `{"version":%d,"routes":[
 {"name":"free","hostname":"h.example","pathPrefix":"/free/","type":"async","timeoutMs":600,"service":"plain"},
 {"name":"keyed","hostname":"h.example","pathPrefix":"/keyed/","type":"async","timeoutMs":600,"targetLatencyMs":80,"service":"plain","fifo":true},
 {"name":"rated","hostname":"h.example","pathPrefix":"/rated/","type":"async","timeoutMs":600,"service":"rated","fifo":true},
 {"name":"sync","hostname":"h.example","pathPrefix":"/sync/","type":"sync","timeoutMs":600,"service":"plain"}],
 "services":[{"name":"plain"},{"name":"rated","ratePerS":10}],"limits":{"maxBodyBytes":1000}}`

// fakeControl is a control process that always leads, grants every renewal and streams what is published to its hub.
type fakeControl struct {
	rpc.Control
	hub          *watch.Hub
	server       *httptest.Server
	silent       atomic.Bool   // fail all renewals
	newestConfig atomic.Uint64 // configuration version named as the newest
}

func newFakeControl(t *testing.T) *fakeControl {
	control := &fakeControl{hub: watch.NewHub(3, 10)}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", rpc.NewControlServer(control))
	mux.Handle("/internal/watch", control.hub)
	control.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		control.hub.DisconnectAll()
		control.server.CloseClientConnections()
		control.server.Close()
	})
	return control
}

func (c *fakeControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Renew grants a lease of 2 s.
func (c *fakeControl) Renew(context.Context, *rpc.RenewRequest) (*rpc.RenewReply, error) {
	if c.silent.Load() {
		return nil, context.DeadlineExceeded
	}
	return &rpc.RenewReply{Granted: true, Leader: true, LeaseMs: 2000, ConfigVersion: c.newestConfig.Load()}, nil
}

// putFunc responds to a Put of one message.
type putFunc func(ctx context.Context, put *rpc.PutRequest) (rpc.PutStatus, error)

// fakeStore records its calls and responds as configured.
type fakeStore struct {
	rpc.Store
	member *rpc.StoreMember
	server *httptest.Server
	closed chan struct{}

	mutex    sync.Mutex
	put      putFunc
	lookup   func() (*rpc.LookupReply, error)
	puts     []*rpc.PutRequest
	arrivals chan *rpc.PutRequest
}

func answering(status rpc.PutStatus) putFunc {
	return func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) { return status, nil }
}

// blockPut is a putFunc that does not respond until its caller gives up.
func (s *fakeStore) blockPut(ctx context.Context, _ *rpc.PutRequest) (rpc.PutStatus, error) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
	return rpc.PutStatus_FAILED, context.Canceled
}

func newFakeStore(t *testing.T, node, zone string) *fakeStore {
	store := &fakeStore{put: answering(rpc.PutStatus_STORED), closed: make(chan struct{}), arrivals: make(chan *rpc.PutRequest, 10000)}
	store.server = httptest.NewServer(rpc.NewStoreServer(store))
	store.member = &rpc.StoreMember{Node: node, Zone: zone, Incarnation: node + "-1", Address: strings.TrimPrefix(store.server.URL, "http://")}
	t.Cleanup(func() {
		close(store.closed)
		store.server.CloseClientConnections()
		store.server.Close()
	})
	return store
}

// Put records the request and responds as set by onPut.
func (s *fakeStore) Put(ctx context.Context, put *rpc.PutRequest) (*rpc.PutReply, error) {
	s.mutex.Lock()
	s.puts = append(s.puts, put)
	answer := s.put
	s.mutex.Unlock()
	s.arrivals <- put
	status, err := answer(ctx, put)
	if err != nil {
		return nil, err
	}
	return &rpc.PutReply{Statuses: []rpc.PutStatus{status}}, nil
}

// AcquirePermits grants nothing.
func (s *fakeStore) AcquirePermits(context.Context, *rpc.AcquirePermitsRequest) (*rpc.AcquirePermitsReply, error) {
	return &rpc.AcquirePermitsReply{}, nil
}

// Lookup responds as set by onLookup; by default the message is not found.
func (s *fakeStore) Lookup(ctx context.Context, _ *rpc.LookupRequest) (*rpc.LookupReply, error) {
	s.mutex.Lock()
	answer := s.lookup
	s.mutex.Unlock()
	if answer == nil {
		return &rpc.LookupReply{}, nil
	}
	return answer()
}

func (s *fakeStore) onPut(answer putFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put = answer
}

func (s *fakeStore) onLookup(reply *rpc.LookupReply, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lookup = func() (*rpc.LookupReply, error) { return reply, err }
}

func (s *fakeStore) received() []*rpc.PutRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*rpc.PutRequest(nil), s.puts...)
}

// awaitPut waits for the next Put.
func (s *fakeStore) awaitPut(t *testing.T) *rpc.PutRequest {
	t.Helper()
	select {
	case put := <-s.arrivals:
		return put
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a Put")
		return nil
	}
}

// harness is a dispatcher in zone z1 with fake stores and a fake control process. initialOwner gives the owners,
// under epoch 10 at first.
type harness struct {
	t          *testing.T
	control    *fakeControl
	stores     []*fakeStore
	client     *cluster.Client
	dispatcher *dispatcher
	listener   *fasthttputil.InmemoryListener
	mapVersion uint64
}

// newHarness has four stores, the first in the dispatcher's zone.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return newHarnessWith(t, func(*settings.Settings) {})
}

// newHarnessWith is like newHarness, with changed settings of the dispatcher.
func newHarnessWith(t *testing.T, change func(*settings.Settings)) *harness {
	t.Helper()
	h := newEmptyHarnessWith(t, change)
	for i := range 4 {
		h.stores = append(h.stores, newFakeStore(t, fmt.Sprint("n", i), fmt.Sprint("z", i+1)))
	}
	h.publishMap(10, h.initialOwner)
	h.publishConfig(1)
	h.awaitConfirmed(1)
	return h
}

// awaitConfirmed waits until the reply to a renewal has confirmed a configuration version.
func (h *harness) awaitConfirmed(version uint64) {
	h.t.Helper()
	must.Wait(h.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return h.client.ConfigConfirmed(version) }),
		wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
}

// newEmptyHarness has neither a map nor a configuration.
func newEmptyHarness(t *testing.T) *harness {
	t.Helper()
	return newEmptyHarnessWith(t, func(*settings.Settings) {})
}

// newEmptyHarnessWith is like newEmptyHarness, with changed settings of the dispatcher.
func newEmptyHarnessWith(t *testing.T, change func(*settings.Settings)) *harness {
	t.Helper()
	h := &harness{t: t, control: newFakeControl(t), listener: fasthttputil.NewInmemoryListener()}
	ctx, cancel := context.WithCancel(t.Context())
	settings := &settings.Settings{Node: "d1", Zone: "z1", Seeds: []string{h.control.address()}, HeartbeatMs: 60000,
		Limits: settings.Limits{MemoryMb: 100, MaxFds: 2000}}
	change(settings)
	h.client = cluster.Start(ctx, cluster.Options{Settings: settings, Role: cluster.RoleDispatcher, Log: logr.Discard()})
	h.dispatcher = newDispatcher(settings, h.client)
	server := newFrontServer(h.dispatcher, catalogLimits)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(h.listener)
	}()
	t.Cleanup(func() {
		_ = h.listener.Close()
		<-done
		cancel()
		h.client.Wait()
	})
	return h
}

// publishMap streams a new map and waits until the client has applied it.
func (h *harness) publishMap(epoch uint64, owner func(int) *fakeStore) {
	h.t.Helper()
	h.mapVersion++
	view := &rpc.MapView{Version: h.mapVersion, Copies: 2}
	for _, store := range h.stores {
		view.Stores = append(view.Stores, store.member)
	}
	for partition := range testPartitions {
		ownership := &rpc.Ownership{Epoch: epoch}
		if store := owner(partition); store != nil {
			ownership.Node, ownership.Incarnation = store.member.Node, store.member.Incarnation
		}
		view.Partitions = append(view.Partitions, ownership)
	}
	h.publish(1, &rpc.View{Map: view})
	h.awaitView(func(current *cluster.View) bool { return current.Map.GetVersion() == view.Version })
}

func (h *harness) publishConfig(version uint64) {
	h.t.Helper()
	h.publish(2, &rpc.View{Config: &rpc.ConfigView{Version: version, Config: fmt.Appendf(nil, testConfig, version)}})
	h.awaitView(func(current *cluster.View) bool { return current.ConfigVersion == version })
}

func (h *harness) publish(part int, update *rpc.View) {
	h.t.Helper()
	data, err := proto.Marshal(update)
	must.NoError(h.t, err)
	h.control.hub.Publish(watch.Part{Index: part, Data: data})
}

func (h *harness) awaitView(wanted func(*cluster.View) bool) {
	h.t.Helper()
	timeout := time.After(testTimeout)
	for !wanted(h.client.View()) {
		select {
		case <-h.client.View().Superseded():
		case <-timeout:
			h.t.Fatal("timed out waiting for the view")
		}
	}
}

// reply is an HTTP response.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool // the server closes the connection
}

// send sends a request on a new connection.
func (h *harness) send(method, path, body string, headers ...string) reply {
	h.t.Helper()
	connection, err := h.listener.Dial()
	must.NoError(h.t, err)
	defer connection.Close()
	return exchange(h.t, connection, newRequest(h.t, method, path, body, headers...))
}

// newRequest creates a request; headers are alternating names and values.
func newRequest(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://h.example"+path, bytes.NewBufferString(body))
	must.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// exchange writes a request and reads the response.
func exchange(t *testing.T, connection net.Conn, request *http.Request) reply {
	t.Helper()
	must.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	written := make(chan error, 1)
	go func() { written <- request.Write(connection) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	must.NoError(t, err)
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge { // which comes before the end of the header, and closes the connection
		must.NoError(t, <-written)
	}
	defer response.Body.Close()
	body := &bytes.Buffer{}
	_, err = body.ReadFrom(response.Body)
	must.NoError(t, err)
	return reply{status: response.StatusCode, header: response.Header, body: body.String(), close: response.Close}
}

// sendAsync sends a request and returns a channel for the response.
func (h *harness) sendAsync(method, path, body string, headers ...string) <-chan reply {
	answers := make(chan reply, 1)
	go func() { answers <- h.send(method, path, body, headers...) }()
	return answers
}

// puts counts the Puts of a mode over all stores.
func (h *harness) puts(mode rpc.PutMode) int {
	count := 0
	for _, store := range h.stores {
		for _, put := range store.received() {
			if put.Mode == mode {
				count++
			}
		}
	}
	return count
}

// ownerOf returns the store that owns the partition of a message name.
func (h *harness) ownerOf(name string) *fakeStore {
	h.t.Helper()
	partition, ok := partitionOf(name)
	must.True(h.t, ok)
	return h.initialOwner(int(partition))
}

// initialOwner gives each store an even partition, for messages with a partition key, and an odd, free one.
func (h *harness) initialOwner(partition int) *fakeStore { return h.stores[partition/2%len(h.stores)] }

// keyOwnedBy returns an order key whose partition the store owns.
func (h *harness) keyOwnedBy(store *fakeStore) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key", i)
		if h.initialOwner(int(message.PartitionForKey(key, testPartitions))) == store {
			return key
		}
	}
}

// mustBeUnavailable checks that the response is a 503 that invites a retry.
func mustBeUnavailable(t *testing.T, answer reply) {
	t.Helper()
	must.Eq(t, fasthttp.StatusServiceUnavailable, answer.status)
	must.Eq(t, "1", answer.header.Get("Retry-After"))
}
