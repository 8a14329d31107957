package routeset

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/responsecheck/responsetest"
)

// fetched requests a whole list from a discovery that sends a response, and returns the event.
func fetched(t *testing.T, response string) (core.Event, core.Source) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := make(chan core.Event, 4)
	c := NewClient(hold.NewGate(), func(e core.Event) { events <- e }, log)
	from := core.Source{Addr: responsetest.Serve(t, response).Address}
	c.Fetch(core.FetchRouteSet{Source: from})
	select {
	case e := <-events:
		return e, from
	case <-time.After(10 * time.Second):
		t.Fatal("no event")
		return nil, from
	}
}

// TestBrokenResponsesAreRefused checks that no list is taken from a response that HTTP does not allow.
func TestBrokenResponsesAreRefused(t *testing.T) {
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		t.Run(broken.Name, func(t *testing.T) {
			e, from := fetched(t, broken.Apply(responsetest.Response(http.StatusOK, whole)))
			if e != (core.RouteSetRefused{Source: from}) {
				t.Errorf("event %+v", e)
			}
		})
	}
}

func TestUnusualResponsesAreTaken(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			e, _ := fetched(t, sound.Apply(responsetest.Response(http.StatusOK, whole)))
			if told, ok := e.(core.RouteSetTold); !ok || told.RouteSet.Version != 42 || len(told.RouteSet.Workers) != 1 {
				t.Errorf("event %+v", e)
			}
		})
	}
}
