package routeset

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/loopback"
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

// TestBytesBehindAResponseAreHandedOver checks that a process that takes a watch over reads all bytes behind the last response again, also
// those that the check has withheld.
func TestBytesBehindAResponseAreHandedOver(t *testing.T) {
	near, far := loopbackPair(t)
	const behind = "x\n\n"
	if _, err := io.WriteString(far, ok(whole)+behind); err != nil {
		t.Fatal(err)
	}
	far.Close()
	link := newConn(hold.NewGate().Wrap(near))
	defer link.Close()
	if _, err := link.readResponse(); err != nil {
		t.Fatal(err)
	}
	if ahead := string(link.Export().Ahead); ahead != behind {
		t.Errorf("%q is handed over", ahead)
	}
}

// loopbackPair returns both ends of a TCP connection.
func loopbackPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	ln, err := loopback.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if near, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	return near, far
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
