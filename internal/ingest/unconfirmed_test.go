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

// confirmedWorld renews often, and its bound for changes of the configuration is short.
func confirmedWorld(t *testing.T) *world {
	return newWorldWith(t, func(settings *settings.Settings) {
		settings.HeartbeatMs = 20
		settings.Bounds.ConfigApplyMs = 1000
	})
}

// awaitUnknownRoute sends requests for a route that is not known until one has the answer that is wanted.
func (w *world) awaitUnknownRoute(wanted int) reply {
	w.t.Helper()
	var last reply
	must.Wait(w.t, wait.InitialSuccess(wait.ErrorFunc(func() error {
		last = w.send("POST", "/nowhere/x", "")
		if last.status != wanted {
			return fmt.Errorf("%d, wanted %d", last.status, wanted)
		}
		return nil
	}), wait.Timeout(testPatience), wait.Gap(10*time.Millisecond)))
	return last
}

// A change may have been confirmed since a leader answered last, and it may have added the route.
func TestUnknownRouteIsRefusedWhileNoLeaderConfirmsTheConfiguration(t *testing.T) {
	w := confirmedWorld(t)
	w.awaitUnknownRoute(fasthttp.StatusNotFound)
	w.control.silent.Store(true)
	refused := w.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	must.EqOp(t, retryAfterOne, refused.header.Get(headerRetryAfter))
	must.EqOp(t, fasthttp.StatusAccepted, w.send("POST", "/free/x", "").status) // a route that is known is served
	w.control.silent.Store(false)
	w.awaitUnknownRoute(fasthttp.StatusNotFound)
}

// A leader answers, but its stream has not brought the newest configuration yet.
func TestUnknownRouteIsRefusedUntilTheNewestConfigurationHasCome(t *testing.T) {
	w := confirmedWorld(t)
	w.awaitUnknownRoute(fasthttp.StatusNotFound)
	w.control.newest.Store(2)
	w.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	w.publishConfig(2)
	w.awaitUnknownRoute(fasthttp.StatusNotFound)
}

// Whether a body is too large is the configuration's to say as well.
func TestLargeBodyIsRefusedWhileNoLeaderConfirmsTheConfiguration(t *testing.T) {
	w := confirmedWorld(t)
	tooLarge := strings.Repeat("x", 1001)
	w.awaitUnknownRoute(fasthttp.StatusNotFound)
	must.EqOp(t, fasthttp.StatusRequestEntityTooLarge, w.send("POST", "/free/x", tooLarge).status)
	w.control.silent.Store(true)
	w.awaitUnknownRoute(fasthttp.StatusServiceUnavailable)
	must.EqOp(t, fasthttp.StatusServiceUnavailable, w.send("POST", "/free/x", tooLarge).status)
}

// The control plane asks by it whether a copy may have stood on a disk that was lost: so it is the table of the beginning, whatever came since.
func TestPutsTellTheTableUnderWhichTheMessageWasBegun(t *testing.T) {
	w := newWorld(t)
	key := w.keyOwnedBy(w.stores[0])
	w.stores[0].onPut(answering(rpc.PutStatus_NOT_OWNER))
	began := w.mapVersion
	answer := w.sendAsync("POST", "/keyed/x", "", headerOrderKey, key)
	must.EqOp(t, began, w.stores[0].awaitPut(t).PlacedUnder)
	w.publishMap(11, func(int) *standInStore { return w.stores[1] })
	must.EqOp(t, began, w.stores[1].awaitPut(t).PlacedUnder)
	must.EqOp(t, fasthttp.StatusAccepted, (<-answer).status)
	w.send("POST", "/free/x", "")
	must.EqOp(t, w.mapVersion, w.stores[1].awaitPut(t).PlacedUnder)
}
