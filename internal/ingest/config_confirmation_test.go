package ingest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// newConfirmingHarness renews its lease often and has a short bound for applying configurations.
func newConfirmingHarness(t *testing.T) *harness {
	return newHarnessWith(t, func(settings *settings.Settings) {
		settings.HeartbeatMs = 20
		settings.Bounds.ConfigApplyMs = 1000
	})
}

// awaitUnknownRoute sends requests without a matching route until the response has the given status.
func (h *harness) awaitUnknownRoute(wanted int) reply {
	h.t.Helper()
	var last reply
	must.Wait(h.t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		last = h.send("POST", "/nowhere/x", "")
		if last.status != wanted {
			return fmt.Errorf("%d, wanted %d", last.status, wanted)
		}
		return nil
	}), wait.Timeout(testTimeout), wait.Gap(10*time.Millisecond)))
	return last
}

// A configuration with the route may have been acknowledged since a leader last responded.
func TestUnknownRouteIsRefusedWhileConfigurationIsUnconfirmed(t *testing.T) {
	h := newConfirmingHarness(t)
	h.awaitUnknownRoute(fasthttp.StatusNotFound)
	h.control.silent.Store(true)
	refused := h.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	must.EqOp(t, retryAfterSeconds, refused.header.Get(headerRetryAfter))
	must.EqOp(t, fasthttp.StatusAccepted, h.send("POST", "/free/x", "").status) // a known route is still served
	h.control.silent.Store(false)
	h.awaitUnknownRoute(fasthttp.StatusNotFound)
}

// A leader responds, but its stream has not delivered the newest configuration yet.
func TestUnknownRouteIsRefusedUntilNewestConfigurationArrives(t *testing.T) {
	h := newConfirmingHarness(t)
	h.awaitUnknownRoute(fasthttp.StatusNotFound)
	h.control.newestConfig.Store(2)
	h.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	h.publishConfig(2)
	h.awaitUnknownRoute(fasthttp.StatusNotFound)
}

// The body limit is part of the configuration too, so a 413 needs a confirmed configuration.
func TestLargeBodyIsRefusedWhileConfigurationIsUnconfirmed(t *testing.T) {
	h := newConfirmingHarness(t)
	tooLarge := strings.Repeat("x", 1001)
	h.awaitUnknownRoute(fasthttp.StatusNotFound)
	must.EqOp(t, fasthttp.StatusRequestEntityTooLarge, h.send("POST", "/free/x", tooLarge).status)
	h.control.silent.Store(true)
	h.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	must.EqOp(t, fasthttp.StatusServiceUnavailable, h.send("POST", "/free/x", tooLarge).status)
}

// The control plane uses the version to decide whether a copy may have been on a lost disk, so it must be the version
// at the start, even if newer ones arrive.
func TestPutsCarryMapVersionAtStartOfPlacement(t *testing.T) {
	h := newHarness(t)
	key := h.keyOwnedBy(h.stores[0])
	h.stores[0].onPut(answering(rpc.PutStatus_NOT_OWNER))
	began := h.mapVersion
	answer := h.sendAsync("POST", "/keyed/x", "", headerOrderKey, key)
	must.EqOp(t, began, h.stores[0].awaitPut(t).PlacedUnder)
	h.publishMap(11, func(int) *fakeStore { return h.stores[1] })
	must.EqOp(t, began, h.stores[1].awaitPut(t).PlacedUnder)
	must.EqOp(t, fasthttp.StatusAccepted, (<-answer).status)
	h.send("POST", "/free/x", "")
	must.EqOp(t, h.mapVersion, h.stores[1].awaitPut(t).PlacedUnder)
}
