package routeset

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// TestSilentWatchIsRefusedInTime: discovery takes a watch and says nothing. That must end as a refusal, which has
// the list asked for again, before the news of the watch count as told.
func TestSilentWatchIsRefusedInTime(t *testing.T) {
	const toldAfter = 2 * time.Second // the platform's, from the end of a watch's wait
	if watchGrace > toldAfter/2 {
		t.Errorf("a silent watch is noticed %v after its wait, which leaves no time to ask again", watchGrace)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	events := make(chan core.Event, 1)
	c := NewClient(hold.NewGate(), func(e core.Event) { events <- e }, log)
	c.wait = time.Millisecond
	from := core.Source{Addr: ln.Addr().String(), No: 3}
	c.Watch(core.Watch{On: true, Source: from, Since: 7})
	select {
	case e := <-events:
		if e != (core.RouteSetRefused{Source: from}) {
			t.Errorf("event %+v, want a refusal by %+v", e, from)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the watch goes on")
	}
}
