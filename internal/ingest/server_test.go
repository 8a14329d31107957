package ingest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

var discardLog = log.New(io.Discard, "", 0)

func TestChunkedBodyArrivesWhole(t *testing.T) {
	h := newHarness(t)
	connection, err := h.listener.Dial()
	must.NoError(t, err)
	defer connection.Close()
	request := newRequest(t, "POST", "/free/x", "")
	request.Body = io.NopCloser(strings.NewReader(strings.Repeat("ab", 300)))
	request.ContentLength = -1
	must.Eq(t, fasthttp.StatusAccepted, exchange(t, connection, request).status)
	must.Eq(t, strings.Repeat("ab", 300), string(h.stores[0].received()[0].Messages[0].Body))
}

func TestMultipartBodyIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t)
	body := "--b\r\nContent-Disposition: form-data; name=\"f\"\r\n\r\nv\r\n--b--\r\n"
	answer := h.send("POST", "/free/x", body, "Content-Type", "multipart/form-data; boundary=b")
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	message := h.stores[0].received()[0].Messages[0]
	must.Eq(t, body, string(message.Body))
	must.Eq(t, "multipart/form-data; boundary=b", message.ContentType)
}

func TestBodyOfGetIsPartOfMessage(t *testing.T) {
	h := newHarness(t)
	smuggled := "GET /free/smuggled HTTP/1.1\r\nHost: h.example\r\n\r\n"
	must.Eq(t, fasthttp.StatusAccepted, h.send("GET", "/free/x", smuggled).status)
	must.SliceLen(t, 1, h.stores[0].received())
	must.Eq(t, smuggled, string(h.stores[0].received()[0].Messages[0].Body))
}

func TestBodyLimitFollowsConfiguration(t *testing.T) {
	h := newHarness(t)
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", strings.Repeat("a", 1000)).status)
	must.Eq(t, fasthttp.StatusRequestEntityTooLarge, h.send("POST", "/free/x", strings.Repeat("a", 1001)).status)
	answer := h.sendRaw(fmt.Sprintf("POST /free/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", 1000+bodySlack+1))
	must.StrHasPrefix(t, "HTTP/1.1 413 ", answer)
	must.Eq(t, 1, h.puts(rpc.PutMode_OWNER))
}

func TestHeadersAreBounded(t *testing.T) {
	h := newHarness(t)
	answer := h.send("POST", "/free/x", "", "X-Long", strings.Repeat("a", 20000))
	must.Eq(t, fasthttp.StatusRequestHeaderFieldsTooLarge, answer.status)
}

func TestConnectionIsKeptForTheNextMessage(t *testing.T) {
	h := newHarness(t)
	connection, err := h.listener.Dial()
	must.NoError(t, err)
	defer connection.Close()
	for i := range 3 {
		must.Eq(t, fasthttp.StatusAccepted, exchange(t, connection, newRequest(t, "POST", "/free/x", fmt.Sprint("body", i))).status)
	}
	h.dispatcher.closing.Store(true)
	answer := exchange(t, connection, newRequest(t, "POST", "/free/x", "last"))
	must.Eq(t, fasthttp.StatusAccepted, answer.status)
	must.True(t, answer.close)
	_, err = connection.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func TestMessagesAboveConcurrencyLimitAreRefused(t *testing.T) {
	h := newHarness(t)
	for range maxInFlight {
		must.True(t, h.dispatcher.limiter.acquire(0))
	}
	mustBeUnavailable(t, h.send("POST", "/free/x", ""))
	h.dispatcher.limiter.release(0)
	must.Eq(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "").status)
}

func TestLimiterBoundsBytes(t *testing.T) {
	load := newLimiter(12)
	must.Eq(t, bytesPerMegabyte, load.maxBytes)
	must.True(t, load.acquire(bytesPerMegabyte-1))
	must.False(t, load.acquire(2))
	must.True(t, load.acquire(1))
	load.release(1)
	load.release(bytesPerMegabyte - 1)
	must.Eq(t, 0, load.requests)
}

// fixedControl is a control plane whose last granted renewal was sent this long ago.
type fixedControl time.Duration

func (f fixedControl) TimeSinceRenewal() time.Duration { return time.Duration(f) }

func TestReadiness(t *testing.T) {
	h := newEmptyHarness(t)
	readiness := &readiness{dispatcher: h.dispatcher, control: fixedControl(0)}
	must.False(t, readiness.ready())
	h.publishConfig(1)
	must.False(t, readiness.ready())
	h.dispatcher.serving.Store(true)
	must.False(t, readiness.ready())
	h.stores = append(h.stores, newFakeStore(t, "n0", "z1"))
	h.publishMap(1, func(int) *fakeStore { return h.stores[0] })
	must.True(t, readiness.ready())
	h.dispatcher.serving.Store(false)
	must.False(t, readiness.ready())
	h.dispatcher.serving.Store(true)

	health := h.dispatcher.health
	health.recordRefused("a")
	must.False(t, readiness.ready())
	health.recordSuccess("a")
	must.True(t, readiness.ready())

	readiness.control = fixedControl(controlTimeout + 1)
	must.True(t, readiness.ready())
	health.recordRefused("a")
	must.False(t, readiness.ready())
	readiness.control = fixedControl(0)
	must.True(t, readiness.ready()) // one failure just after a success
	h.dispatcher.stopping.Store(true)
	must.False(t, readiness.ready())
}

func TestSuspicionBeginsGrowsAndEnds(t *testing.T) {
	health := newHealth()
	health.recordLate("a")
	must.False(t, health.slow("a"))
	health.recordLate("a")
	must.True(t, health.slow("a"))
	must.False(t, health.unreachable("a"))
	health.recordSuccess("a")
	must.False(t, health.slow("a"))

	health.recordRefused("a")
	must.True(t, health.unreachable("a"))
	must.True(t, health.slow("a"))
	var durations []time.Duration
	for range 4 {
		suspicion := &health.stores["a"].unreachable
		durations = append(durations, suspicion.duration)
		suspicion.until = time.Now()
		must.False(t, suspicion.active())
		health.recordRefused("a")
	}
	must.Eq(t, []time.Duration{minSuspicionTime, 2 * minSuspicionTime, maxSuspicionTime, maxSuspicionTime}, durations)
}

func TestRunRequiresAddresses(t *testing.T) {
	var listen *ListenError
	err := Run(t.Context(), &settings.Settings{}, logr.Discard())
	must.True(t, errors.As(err, &listen))
	must.Eq(t, "", listen.Address)
}

// Runs the whole role: it becomes ready, accepts messages, reports not ready as soon as its context ends while it
// still accepts messages, and returns within graceS.
func TestRunServesUntilShutdown(t *testing.T) {
	h := newHarness(t)
	front, ready := freeAddresses(t)
	settings := &settings.Settings{Node: "d2", Zone: "z1", Seeds: []string{h.control.address()}, HeartbeatMs: 60000,
		Listen: settings.Listen{Front: front, Ready: ready}, Bounds: settings.Bounds{GraceS: 3.5},
		Limits: settings.Limits{MemoryMb: 100, MaxFds: 2000}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, settings, logr.Discard()) }()
	awaitStatus(t, ready, http.StatusOK)
	idle := dial(t, front)
	must.Eq(t, fasthttp.StatusAccepted, exchange(t, idle, newRequest(t, "POST", "/free/x", "1")).status)

	began := time.Now()
	cancel()
	awaitStatus(t, ready, http.StatusServiceUnavailable)
	must.Eq(t, fasthttp.StatusAccepted, exchange(t, dial(t, front), newRequest(t, "POST", "/free/x", "2")).status)
	must.NoError(t, <-ended)
	must.Between(t, 900*time.Millisecond, time.Since(began), 3*time.Second)
	must.NoError(t, idle.SetDeadline(time.Now().Add(testTimeout)))
	_, err := idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { connection.Close() })
	return connection
}

// awaitStatus polls the readiness probe until it returns the given status.
func awaitStatus(t *testing.T, address string, status int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		connection, err := net.Dial("tcp4", address)
		if err != nil {
			continue
		}
		_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", pathReady)
		must.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		connection.Close()
		if err == nil && response.StatusCode == status {
			return
		}
	}
	t.Fatalf("timed out waiting for status %d", status)
}

// freeAddresses returns two different addresses that are not in use.
func freeAddresses(t *testing.T) (one, other string) {
	t.Helper()
	first, err := loopback.Unused()
	must.NoError(t, err)
	second, err := loopback.Unused()
	must.NoError(t, err)
	return first.String(), second.String()
}

func TestUnreadableRequestsAreRefused(t *testing.T) {
	h := newHarness(t)
	answer := h.sendRaw("POST /free/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab")
	must.StrHasPrefix(t, "HTTP/1.1 400 ", answer)
	must.Eq(t, 0, h.puts(rpc.PutMode_OWNER))
}

// sendRaw sends bytes and returns everything received until the connection is closed.
func (h *harness) sendRaw(request string) string {
	h.t.Helper()
	connection, err := h.listener.Dial()
	must.NoError(h.t, err)
	defer connection.Close()
	_, err = connection.Write([]byte(request))
	must.NoError(h.t, err)
	answer, err := io.ReadAll(connection)
	must.NoError(h.t, err)
	return string(answer)
}

func TestHedgesAreBounded(t *testing.T) {
	budget := newHedgeBudget()
	for range hedgeBurst {
		must.True(t, budget.spend())
	}
	must.False(t, budget.spend())
	for range 11 {
		budget.earn()
	}
	must.True(t, budget.spend())
	must.False(t, budget.spend())
}

func TestMaxConnectionsFollowsDescriptorLimit(t *testing.T) {
	must.Eq(t, 2600, maxConnections(4100))
	must.Eq(t, minConnections, maxConnections(0))
}
