package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// fakePlatform serves a list in pages.
type fakePlatform struct {
	mutex  sync.Mutex
	pages  map[string]string // by token
	status int               // of all responses; 0 for 200
	calls  int
}

func (f *fakePlatform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.calls++
	page, known := f.pages[request.URL.Query().Get("pageToken")]
	if f.status != 0 || !known {
		writer.WriteHeader(max(f.status, http.StatusServiceUnavailable))
		return
	}
	fmt.Fprint(writer, page)
}

func (f *fakePlatform) set(status int, pages map[string]string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.status = status
	f.pages = pages
}

func entry(id, state string, coldMs int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","capacity":9,"state":%q,"coldRemainingMs":%d,"id":%q}`,
		state, coldMs, id)
}

func newTestDiscovery(t *testing.T, platform *fakePlatform) *discovery {
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	configured := func() settings.Cloud { return settings.Cloud{Address: server.Listener.Addr().String()} }
	return newDiscovery(configured, nil, nil, logr.Discard())
}

func TestAllPagesAreRead(t *testing.T) {
	platform := &fakePlatform{pages: map[string]string{
		"":    `{"instances":[` + entry("b", "ready", 5) + `],"nextToken":"p 1"}`,
		"p 1": `{"instances":[` + entry("a", "draining", 0) + `,` + entry("b", "draining", 0) + `],"nextToken":null}`,
	}}
	workers, err := newTestDiscovery(t, platform).readAll(context.Background())
	must.NoError(t, err)
	must.Len(t, 2, workers)
	must.EqOp(t, "a", workers[0].Id)
	must.True(t, workers[0].Draining)
	must.EqOp(t, "b", workers[1].Id)
	must.True(t, workers[1].Draining)
	must.EqOp(t, 9, workers[0].Capacity)
}

func TestNoPartOfAListIsReturned(t *testing.T) {
	platform := &fakePlatform{pages: map[string]string{
		"": `{"instances":[` + entry("a", "ready", 0) + `],"nextToken":"gone"}`,
	}}
	workers, err := newTestDiscovery(t, platform).readAll(context.Background())
	fault := &PlatformError{}
	must.True(t, errors.As(err, &fault))
	must.EqOp(t, http.StatusServiceUnavailable, fault.Status)
	must.Nil(t, workers)

	platform.set(0, map[string]string{"": `{"instances":[` + entry("a", "ready", 0)})
	workers, err = newTestDiscovery(t, platform).readAll(context.Background())
	must.Error(t, err)
	must.Nil(t, workers)
}

func TestEndlessListIsRefused(t *testing.T) {
	platform := &fakePlatform{pages: map[string]string{"": `{"instances":[],"nextToken":"p"}`, "p": `{"instances":[],"nextToken":"p"}`}}
	_, err := newTestDiscovery(t, platform).readAll(context.Background())
	must.Error(t, err)
	must.EqOp(t, maxPages, platform.calls)
}

func TestOnlyChangesOfTheListAreNew(t *testing.T) {
	cold := []*rpc.Worker{{Id: "a", ColdMs: 900}}
	warm := []*rpc.Worker{{Id: "a", ColdMs: 100}}
	draining := []*rpc.Worker{{Id: "a", Draining: true}}
	var filter listFilter
	must.True(t, filter.isNew(nil))
	must.False(t, filter.isNew(nil))
	must.True(t, filter.isNew(cold))
	must.False(t, filter.isNew(warm))
	must.EqOp(t, 900, cold[0].ColdMs)
	must.True(t, filter.isNew(draining))
	must.True(t, filter.isNew(nil))
}
