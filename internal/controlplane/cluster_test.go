package controlplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

const (
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 10 * time.Millisecond
)

// cluster is a group of control processes on the loopback interface.
type cluster struct {
	t       *testing.T
	servers []*testServer
	caller  *http.Client
}

// testServer is one control process.
type testServer struct {
	*Server
	options  Options
	listener net.Listener
	stop     context.CancelFunc
	ended    chan error
}

// newCluster starts size processes, of which the first three are the seeds. change may modify the settings of each.
func newCluster(t *testing.T, size int, change func(*settings.Settings)) *cluster {
	t.Helper()
	c := &cluster{t: t, caller: &http.Client{Timeout: 5 * time.Second}}
	var listeners []net.Listener
	var seeds []string
	for index := range size {
		listener, err := loopback.Listen()
		must.NoError(t, err)
		listeners = append(listeners, listener)
		if index < minVoters {
			seeds = append(seeds, listener.Addr().String())
		}
	}
	for index, listener := range listeners {
		configured := &settings.Settings{
			Node:           fmt.Sprintf("front-%d", index),
			Zone:           fmt.Sprintf("zone-%d", index),
			Listen:         settings.Listen{Control: listener.Addr().String()},
			Seeds:          seeds,
			Bootstrap:      true,
			DataDir:        t.TempDir(),
			FaultTolerance: settings.FaultTolerance{Machines: 1},
		}
		if change != nil {
			change(configured)
		}
		c.servers = append(c.servers, startServer(t, configured, listener))
	}
	t.Cleanup(c.close)
	return c
}

func startServer(t *testing.T, configured *settings.Settings, listener net.Listener) *testServer {
	t.Helper()
	options := Options{Settings: configured, Log: logr.Discard()}
	server, err := New(options)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	started := &testServer{Server: server, options: options, listener: listener, stop: cancel, ended: make(chan error, 1)}
	go func() { started.ended <- server.Serve(ctx, listener) }()
	return started
}

// end stops a process and waits until it has ended.
func (s *testServer) end() {
	s.stop()
	<-s.ended
	s.ended <- nil
}

func (c *cluster) close() {
	for _, server := range c.servers {
		server.end()
	}
	c.caller.CloseIdleConnections()
}

// eventually waits until holds returns nil.
func eventually(t *testing.T, holds func() error) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.ErrorFunc(holds), wait.Timeout(eventuallyTimeout), wait.Gap(pollInterval)))
}

// leader waits until a process leads that is not excluded, and returns it.
func (c *cluster) leader(except ...*testServer) *testServer {
	c.t.Helper()
	var found *testServer
	eventually(c.t, func() error {
		for _, server := range c.servers {
			if server.currentTerm() != nil && server.state.leading() && !contains(except, server) {
				found = server
				return nil
			}
		}
		return fmt.Errorf("no leader")
	})
	return found
}

func contains(servers []*testServer, wanted *testServer) bool {
	for _, server := range servers {
		if server == wanted {
			return true
		}
	}
	return false
}

// apiResponse is the outcome of a call to the operator's API; status is 0 if there was no response.
type apiResponse struct {
	status int
	body   string
}

// call calls the operator's API of a process, and follows redirects.
func (c *cluster) call(server *testServer, method, path, ifVersion, body string) apiResponse {
	request, err := http.NewRequest(method, "http://"+server.address+path, strings.NewReader(body))
	must.NoError(c.t, err)
	if ifVersion != "" {
		request.Header.Set(headerIfVersion, ifVersion)
	}
	response, err := c.caller.Do(request)
	if err != nil {
		return apiResponse{body: err.Error()}
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	return apiResponse{status: response.StatusCode, body: string(content)}
}

// callUntilDefinite repeats a request until the outcome is definite, as an operator does.
func (c *cluster) callUntilDefinite(server *testServer, method, path, ifVersion, body string) apiResponse {
	c.t.Helper()
	var answer apiResponse
	eventually(c.t, func() error {
		answer = c.call(server, method, path, ifVersion, body)
		if answer.status == 0 || answer.status >= http.StatusInternalServerError {
			return fmt.Errorf("no clear answer: %d %s", answer.status, answer.body)
		}
		return nil
	})
	return answer
}

// testStore renews as a store process does.
type testStore struct {
	t       *testing.T
	request *rpc.RenewRequest
	control func() rpc.Control
}

func newTestStore(c *cluster, index int) *testStore {
	return &testStore{
		t: c.t,
		control: func() rpc.Control {
			return rpc.NewControlProtobufClient("http://"+c.leader().address, c.caller)
		},
		request: &rpc.RenewRequest{
			Node:        fmt.Sprintf("store-%d", index),
			Incarnation: fmt.Sprintf("store-%d/1", index),
			Zone:        fmt.Sprintf("zone-%d", index),
			Role:        roleStore,
			Disk:        fmt.Sprintf("disk-%d", index),
			Address:     fmt.Sprintf("10.0.0.%d:7240", index),
		},
	}
}

func configWith(version int, routes ...string) string {
	var items []string
	for _, name := range routes {
		items = append(items, routeItem(name))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		version, strings.Join(items, ","), serviceItem)
}

const serviceItem = `{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false,"ratePerS":0.0,"dedup":false,"pullMode":false,"staticEndpoint":null}`

func routeItem(name string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h.example","pathPrefix":"/%s/","type":"async","timeoutMs":600,"targetLatencyMs":80,"priority":1,"service":"s","retries":6,"fifo":true,"retentionS":90.0,"callbackUrl":false,"scheduleTargetMs":600}`, name, name)
}
