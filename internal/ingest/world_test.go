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
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// testPatience bounds every wait of the tests; a wait that ends by it has failed.
const testPatience = 10 * time.Second

const testPartitions = 8

const testConfig = `{"version":%d,"routes":[
 {"name":"free","hostname":"h.example","pathPrefix":"/free/","type":"async","timeoutMs":600,"service":"plain"},
 {"name":"keyed","hostname":"h.example","pathPrefix":"/keyed/","type":"async","timeoutMs":600,"targetLatencyMs":80,"service":"plain","fifo":true},
 {"name":"rated","hostname":"h.example","pathPrefix":"/rated/","type":"async","timeoutMs":600,"service":"rated","fifo":true},
 {"name":"sync","hostname":"h.example","pathPrefix":"/sync/","type":"sync","timeoutMs":600,"service":"plain"}],
 "services":[{"name":"plain"},{"name":"rated","ratePerS":10}],"limits":{"maxBodyBytes":1000}}`

// standInControl leads, grants everything, and streams what it is told.
type standInControl struct {
	rpc.Control
	hub    *watch.Hub
	server *httptest.Server
	silent atomic.Bool   // it answers no renewal
	newest atomic.Uint64 // configuration that it names as the newest
}

func newControl(t *testing.T) *standInControl {
	control := &standInControl{hub: watch.NewHub(3, 10)}
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

func (c *standInControl) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Renew grants two seconds.
func (c *standInControl) Renew(context.Context, *rpc.RenewRequest) (*rpc.RenewReply, error) {
	if c.silent.Load() {
		return nil, context.DeadlineExceeded
	}
	return &rpc.RenewReply{Granted: true, Leader: true, LeaseMs: 2000, ConfigVersion: c.newest.Load()}, nil
}

// putFunc answers a Put of one message.
type putFunc func(ctx context.Context, put *rpc.PutRequest) (rpc.PutStatus, error)

// standInStore records what it is asked and answers as it is told.
type standInStore struct {
	rpc.Store
	member *rpc.StoreMember
	server *httptest.Server
	closed chan struct{}

	mutex  sync.Mutex
	put    putFunc
	lookup func() (*rpc.LookupReply, error)
	puts   []*rpc.PutRequest
	arrive chan *rpc.PutRequest
}

func answering(status rpc.PutStatus) putFunc {
	return func(context.Context, *rpc.PutRequest) (rpc.PutStatus, error) { return status, nil }
}

// silence lets a Put wait until its caller gives up.
func (s *standInStore) silence(ctx context.Context, _ *rpc.PutRequest) (rpc.PutStatus, error) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
	return rpc.PutStatus_FAILED, context.Canceled
}

func newStore(t *testing.T, node, zone string) *standInStore {
	store := &standInStore{put: answering(rpc.PutStatus_STORED), closed: make(chan struct{}), arrive: make(chan *rpc.PutRequest, 10000)}
	store.server = httptest.NewServer(rpc.NewStoreServer(store))
	store.member = &rpc.StoreMember{Node: node, Zone: zone, Incarnation: node + "-1", Address: strings.TrimPrefix(store.server.URL, "http://")}
	t.Cleanup(func() {
		close(store.closed)
		store.server.CloseClientConnections()
		store.server.Close()
	})
	return store
}

// Put records the message.
func (s *standInStore) Put(ctx context.Context, put *rpc.PutRequest) (*rpc.PutReply, error) {
	s.mutex.Lock()
	s.puts = append(s.puts, put)
	answer := s.put
	s.mutex.Unlock()
	s.arrive <- put
	status, err := answer(ctx, put)
	if err != nil {
		return nil, err
	}
	return &rpc.PutReply{Statuses: []rpc.PutStatus{status}}, nil
}

// Lookup answers as it is told, by default that nothing is found.
func (s *standInStore) Lookup(ctx context.Context, _ *rpc.LookupRequest) (*rpc.LookupReply, error) {
	s.mutex.Lock()
	answer := s.lookup
	s.mutex.Unlock()
	if answer == nil {
		return &rpc.LookupReply{}, nil
	}
	return answer()
}

func (s *standInStore) onPut(answer putFunc) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.put = answer
}

func (s *standInStore) onLookup(reply *rpc.LookupReply, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lookup = func() (*rpc.LookupReply, error) { return reply, err }
}

func (s *standInStore) received() []*rpc.PutRequest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]*rpc.PutRequest(nil), s.puts...)
}

// awaitPut waits for the next Put.
func (s *standInStore) awaitPut(t *testing.T) *rpc.PutRequest {
	t.Helper()
	select {
	case put := <-s.arrive:
		return put
	case <-time.After(testPatience):
		t.Fatal("no Put came")
		return nil
	}
}

// world is a dispatcher in zone z1 with stand-in stores and control. Partition p is owned by store
// p modulo their number, under epoch 10 at first.
type world struct {
	t          *testing.T
	control    *standInControl
	stores     []*standInStore
	client     *cluster.Client
	dispatcher *dispatcher
	listener   *fasthttputil.InmemoryListener
	mapVersion uint64
}

// newWorld has four stores, the first in the dispatcher's zone.
func newWorld(t *testing.T) *world {
	t.Helper()
	return newWorldWith(t, func(*settings.Settings) {})
}

// newWorldWith is newWorld with other settings of the dispatcher.
func newWorldWith(t *testing.T, change func(*settings.Settings)) *world {
	t.Helper()
	w := emptyWorldWith(t, change)
	for i := range 4 {
		w.stores = append(w.stores, newStore(t, fmt.Sprint("n", i), fmt.Sprint("z", i+1)))
	}
	w.publishMap(10, w.ownerAtFirst)
	w.publishConfig(1)
	w.awaitConfirmed(1)
	return w
}

// awaitConfirmed waits until the answer to a renewal has confirmed a version.
func (w *world) awaitConfirmed(version uint64) {
	w.t.Helper()
	must.Wait(w.t, wait.InitialSuccess(wait.BoolFunc(func() bool { return w.client.ConfigConfirmed(version) }),
		wait.Timeout(testPatience), wait.Gap(time.Millisecond)))
}

// emptyWorld has neither a map nor a configuration.
func emptyWorld(t *testing.T) *world {
	t.Helper()
	return emptyWorldWith(t, func(*settings.Settings) {})
}

// emptyWorldWith has the settings of the dispatcher changed before it starts.
func emptyWorldWith(t *testing.T, change func(*settings.Settings)) *world {
	t.Helper()
	w := &world{t: t, control: newControl(t), listener: fasthttputil.NewInmemoryListener()}
	ctx, cancel := context.WithCancel(t.Context())
	settings := &settings.Settings{Node: "d1", Zone: "z1", Seeds: []string{w.control.address()}, HeartbeatMs: 60000,
		Limits: settings.Limits{MemoryMb: 100, MaxFds: 2000}}
	change(settings)
	w.client = cluster.Start(ctx, cluster.Options{Settings: settings, Role: cluster.RoleDispatcher, Log: logr.Discard()})
	w.dispatcher = newDispatcher(settings, w.client)
	server := newFrontServer(w.dispatcher, catalogLimits)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(w.listener)
	}()
	t.Cleanup(func() {
		_ = w.listener.Close()
		<-done
		cancel()
		w.client.Wait()
	})
	return w
}

// publishMap streams a new map and waits until it is in force.
func (w *world) publishMap(epoch uint64, owner func(int) *standInStore) {
	w.t.Helper()
	w.mapVersion++
	view := &rpc.MapView{Version: w.mapVersion, Copies: 2}
	for _, store := range w.stores {
		view.Stores = append(view.Stores, store.member)
	}
	for partition := range testPartitions {
		ownership := &rpc.Ownership{Epoch: epoch}
		if store := owner(partition); store != nil {
			ownership.Node, ownership.Incarnation = store.member.Node, store.member.Incarnation
		}
		view.Partitions = append(view.Partitions, ownership)
	}
	w.publish(1, &rpc.View{Map: view})
	w.await(func(held *cluster.View) bool { return held.Map.GetVersion() == view.Version })
}

func (w *world) publishConfig(version uint64) {
	w.t.Helper()
	w.publish(2, &rpc.View{Config: &rpc.ConfigView{Version: version, Config: fmt.Appendf(nil, testConfig, version)}})
	w.await(func(held *cluster.View) bool { return held.ConfigVersion == version })
}

func (w *world) publish(part int, update *rpc.View) {
	w.t.Helper()
	data, err := proto.Marshal(update)
	must.NoError(w.t, err)
	w.control.hub.Publish(watch.Part{Index: part, Data: data})
}

func (w *world) await(wanted func(*cluster.View) bool) {
	w.t.Helper()
	timeout := time.After(testPatience)
	for !wanted(w.client.View()) {
		select {
		case <-w.client.View().Superseded():
		case <-timeout:
			w.t.Fatal("the view did not come")
		}
	}
}

// reply is an answer to a client.
type reply struct {
	status int
	header http.Header
	body   string
	close  bool // the server closes the connection
}

// send sends a request as a client does.
func (w *world) send(method, path, body string, headers ...string) reply {
	w.t.Helper()
	connection, err := w.listener.Dial()
	must.NoError(w.t, err)
	defer connection.Close()
	return exchange(w.t, connection, newRequest(w.t, method, path, body, headers...))
}

// newRequest makes a request; headers are names and values in turn.
func newRequest(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://h.example"+path, bytes.NewBufferString(body))
	must.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return request
}

// exchange writes a request and reads its answer.
func exchange(t *testing.T, connection net.Conn, request *http.Request) reply {
	t.Helper()
	must.NoError(t, connection.SetDeadline(time.Now().Add(testPatience)))
	must.NoError(t, request.Write(connection))
	response, err := http.ReadResponse(bufio.NewReader(connection), request)
	must.NoError(t, err)
	defer response.Body.Close()
	body := &bytes.Buffer{}
	_, err = body.ReadFrom(response.Body)
	must.NoError(t, err)
	return reply{status: response.StatusCode, header: response.Header, body: body.String(), close: response.Close}
}

// sendAsync sends a request and hands its answer over later.
func (w *world) sendAsync(method, path, body string, headers ...string) <-chan reply {
	answers := make(chan reply, 1)
	go func() { answers <- w.send(method, path, body, headers...) }()
	return answers
}

// puts counts the Puts of a mode over all stores.
func (w *world) puts(mode rpc.PutMode) int {
	count := 0
	for _, store := range w.stores {
		for _, put := range store.received() {
			if put.Mode == mode {
				count++
			}
		}
	}
	return count
}

// ownerOf is the store that owns the partition in a message's name.
func (w *world) ownerOf(name string) *standInStore {
	w.t.Helper()
	partition, ok := partitionOf(name)
	must.True(w.t, ok)
	return w.ownerAtFirst(int(partition))
}

// ownerAtFirst gives each store an even partition, for pinned messages, and an odd one, for free ones.
func (w *world) ownerAtFirst(partition int) *standInStore { return w.stores[partition/2%len(w.stores)] }

// keyOwnedBy finds an order key whose partition a store owns.
func (w *world) keyOwnedBy(store *standInStore) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key", i)
		if w.ownerAtFirst(int(hashPartition(key, testPartitions))) == store {
			return key
		}
	}
}

// mustRefuse checks an answer that promises that the message was not taken.
func mustRefuse(t *testing.T, answer reply) {
	t.Helper()
	must.Eq(t, fasthttp.StatusServiceUnavailable, answer.status)
	must.Eq(t, "1", answer.header.Get("Retry-After"))
}
