package controlplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"

	clusterclient "foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

const (
	simStores      = 3
	simDispatchers = 2
	simHeartbeatMs = 1200
	simApplyMs     = 3000
	streamPath     = "/internal/watch"
)

// TestMain starts the goroutine that delivers signals, which never ends, outside of the synctest bubbles.
func TestMain(m *testing.M) {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	m.Run()
}

// simMember is a store or dispatcher machine reduced to the real client of the control plane, without messages.
type simMember struct {
	network *simNetwork
	role    string
	name    string
	starts  int
	client  *clusterclient.Client // nil while it is not running
	cancel  context.CancelFunc
	dead    chan struct{} // closed when the process ends
}

// addMembers adds the usual number of members without starting them.
func (n *simNetwork) addMembers() { n.addManyMembers(simStores, simDispatchers) }

// addManyMembers is like addMembers for the given numbers of stores and dispatchers.
func (n *simNetwork) addManyMembers(stores, dispatchers int) {
	for number := range stores {
		n.members = append(n.members, &simMember{network: n, role: clusterclient.RoleStore, name: fmt.Sprintf("store-%d", number)})
	}
	for number := range dispatchers {
		n.members = append(n.members, &simMember{network: n, role: clusterclient.RoleDispatcher, name: fmt.Sprintf("front-%d", number)})
	}
}

// startMembers starts the members, stores and dispatchers that are not running.
func (n *simNetwork) startMembers() {
	for _, store := range n.stores {
		store.start()
	}
	for _, dispatcher := range n.dispatchers {
		dispatcher.start()
	}
	for _, member := range n.members {
		if member.client == nil {
			member.start()
		}
	}
}

// stopMembers ends all members, stores and dispatchers at the same time, with or without a power loss.
func (n *simNetwork) stopMembers(powerLoss bool) {
	for _, store := range n.stores {
		store.kill(powerLoss)
	}
	for _, dispatcher := range n.dispatchers {
		dispatcher.kill()
	}
	for _, member := range n.members {
		member.kill()
	}
}

func (m *simMember) incarnation() string { return fmt.Sprintf("%08x-%s", m.starts, m.name) }

// start starts a process, which initially knows only its settings.
func (m *simMember) start() {
	m.starts++
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel, m.dead = cancel, make(chan struct{})
	options := clusterclient.Options{
		Settings: &settings.Settings{
			Node: m.name, Zone: m.name, Seeds: m.network.seeds, HeartbeatMs: simHeartbeatMs,
			Bounds: settings.Bounds{ConfigApplyMs: simApplyMs},
		},
		Role: m.role, Incarnation: m.incarnation(), Log: logr.Discard(), RoundTripper: &simMemberTransport{network: m.network, from: m.name, dead: m.dead},
	}
	if m.role == clusterclient.RoleStore {
		options.Disk, options.Address = "disk-"+m.name, m.name
	}
	m.client = clusterclient.Start(ctx, options)
}

func (m *simMember) kill() {
	if m.client == nil {
		return
	}
	close(m.dead)
	m.cancel()
	m.client.Wait()
	m.client = nil
}

// isServed reports whether the member holds the latest committed configuration and map, a valid lease, and a confirmation
// of that configuration.
func (m *simMember) isServed(state *rpc.ControlState) bool {
	view := m.client.View()
	if view.ConfigVersion != state.ConfigVersion || view.Map.GetVersion() != state.MapVersion {
		return false
	}
	return m.client.LeaseValid() && m.client.ConfigConfirmed(view.ConfigVersion)
}

// ownsAsItRuns reports whether every ownership of the member names its running incarnation.
func (m *simMember) ownsAsItRuns(state *rpc.ControlState) bool {
	return !slices.ContainsFunc(state.Partitions, func(owned *rpc.Ownership) bool {
		return owned.Node == m.name && owned.Incarnation != m.incarnation()
	})
}

// unserved describes the running members that are not served, except retired stores, and the lack of partition owners.
func (n *simNetwork) unserved() []string {
	leader := n.leader()
	if leader == nil {
		return []string{"nobody leads"}
	}
	state := leader.running().server.state.committed()
	var lines []string
	for _, member := range n.members {
		if member.client == nil || isRetired(state.Retirements, member.name) || member.isServed(state) && member.ownsAsItRuns(state) {
			continue
		}
		view := member.client.View()
		lines = append(lines, fmt.Sprintf("%s, start %d, has configuration %d of %d, map %d of %d, lease %t", member.name, member.starts,
			view.ConfigVersion, state.ConfigVersion, view.Map.GetVersion(), state.MapVersion, member.client.LeaseValid()))
	}
	if len(state.Partitions) != partitionCount {
		lines = append(lines, fmt.Sprintf("%d partitions have owners", len(state.Partitions)))
	}
	return lines
}

// awaitService waits until every member is served. After the timeout it returns a description of those that are not.
func (n *simNetwork) awaitService(within time.Duration) []string {
	var unserved []string
	for end := time.Now().Add(within); time.Now().Before(end); {
		time.Sleep(simPollInterval)
		unserved = n.unserved()
		if len(unserved) == 0 {
			return nil
		}
	}
	return append(unserved, n.describe()...)
}

// simMemberTransport carries the calls of a member to the control processes. It implements http.RoundTripper.
type simMemberTransport struct {
	network *simNetwork
	from    string
	dead    <-chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (t *simMemberTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if isClosed(t.dead) {
		return nil, errSimReset // a process that has ended sends nothing
	}
	if request.URL.Path == streamPath {
		return t.network.stream(t.from, t.dead, request)
	}
	return t.network.carry(t.from, t.dead, request)
}

// stream opens a streaming response.
func (n *simNetwork) stream(from string, callerDead <-chan struct{}, request *http.Request) (*http.Response, error) {
	target, err := n.connect(from, callerDead, request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(request.Context())
	body, pipe := io.Pipe()
	writer := &simStreamWriter{ResponseRecorder: httptest.NewRecorder(), network: n, from: request.URL.Host, to: from, pipe: pipe, ctx: ctx, begun: make(chan struct{})}
	arrived := httptest.NewRequest(request.Method, request.URL.RequestURI(), nil).WithContext(ctx)
	go func() {
		defer cancel()
		target.handler.ServeHTTP(writer, arrived)
		writer.begin()
		_, isSilent := n.serviceAt(request.URL.Host)
		if !target.hasEnded() {
			pipe.Close()
		} else if !isSilent {
			pipe.CloseWithError(errSimReset)
		}
	}()
	context.AfterFunc(request.Context(), func() { body.CloseWithError(errSimReset) })
	select {
	case <-writer.begun:
	case <-request.Context().Done():
		return nil, request.Context().Err()
	case <-callerDead:
		return nil, errSimReset
	}
	response := writer.Result()
	response.Body = body
	return response, nil
}

// simStreamWriter receives what a control process streams. Data sent while the link is cut is never delivered.
type simStreamWriter struct {
	*httptest.ResponseRecorder
	network  *simNetwork
	from, to string
	pipe     *io.PipeWriter
	ctx      context.Context // of the caller
	begun    chan struct{}   // closed once the response headers are written
	hasBegun bool
}

func (w *simStreamWriter) begin() {
	if !w.hasBegun {
		w.hasBegun = true
		close(w.begun)
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *simStreamWriter) WriteHeader(status int) {
	w.ResponseRecorder.WriteHeader(status)
	w.begin()
}

// Write implements http.ResponseWriter.
func (w *simStreamWriter) Write(data []byte) (int, error) {
	w.begin()
	time.Sleep(w.network.delay())
	if w.network.isCut(w.from, w.to) {
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	if err := w.network.awaitStallEnd(w.ctx, w.from, w.to); err != nil {
		return 0, err
	}
	w.network.links.send(w.from, streamPath, len(data))
	return w.pipe.Write(data)
}

// SetWriteDeadline exists for http.ResponseController; a write to a cut link ends with the caller's context instead.
func (w *simStreamWriter) SetWriteDeadline(time.Time) error { return nil }
