package ingest

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// Reloads the settings while one request is half sent and another waits for its store: both must get their response,
// and the connection must stay open.
func TestRequestsSurviveSettingsReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	writeZone := func(zone string, seeds []string) {
		text := fmt.Sprintf("node: d1\nzone: %s\nip: 10.0.0.1\nportRange: [1, 2]\nseeds: [%q]\n", zone, strings.Join(seeds, `", "`))
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	h := newHarnessWith(t, func(s *settings.Settings) {
		writeZone(s.Zone, s.Seeds)
		s.Path = path
	})
	hangUp := func(zone string) {
		writeZone(zone, []string{h.control.address()})
		must.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		isRead := func() bool { return h.client.Settings().Zone == zone }
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isRead), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
	}
	connection, err := h.listener.Dial()
	must.NoError(t, err)
	defer connection.Close()
	must.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprint(connection, "POST /free/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nfirst")
	must.NoError(t, err)
	hangUp("z2")
	_, err = fmt.Fprint(connection, "-half")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	must.NoError(t, err)
	must.Eq(t, fasthttp.StatusAccepted, response.StatusCode)
	must.False(t, response.Close)

	proceed := make(chan struct{})
	for _, store := range h.stores {
		store.onPut(func(ctx context.Context, _ *rpc.PutRequest) (rpc.PutStatus, error) {
			<-proceed
			return rpc.PutStatus_STORED, nil
		})
	}
	waiting := h.sendAsync("POST", "/keyed/x", "waits", "X-Order-Key", "k")
	isWaiting := func() bool { return h.puts(rpc.PutMode_OWNER) == 2 }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(isWaiting), wait.Timeout(testTimeout), wait.Gap(time.Millisecond)))
	hangUp("z3")
	close(proceed)
	must.Eq(t, fasthttp.StatusAccepted, (<-waiting).status)
	must.Eq(t, fasthttp.StatusAccepted, exchange(t, connection, newRequest(t, "POST", "/free/x", "next")).status)
}
