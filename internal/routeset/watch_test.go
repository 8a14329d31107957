package routeset

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

// TestNewsAreKnownInTime checks by the time-outs that an update is received before it counts as delivered, whenever a watch stops responding, and
// within the platform's 2 s after a call's own wait.
func TestNewsAreKnownInTime(t *testing.T) {
	const afterWait, roundTrip = 2 * time.Second, 100 * time.Millisecond
	if most := callTimeout(longPollWait) + firstPollWait + roundTrip; most > maxUpdateDelay {
		t.Errorf("a watch that never responds is reopened %v after its call, %v at most", most, maxUpdateDelay)
	}
	if late := callTimeout(longPollWait) - longPollWait + firstPollWait + roundTrip; late > afterWait {
		t.Errorf("a watch that stops responding is reopened %v after its wait, %v at most", late, afterWait)
	}
	// Discovery recovers right after the start of a call that fails: that call times out, the longest pause follows, and the next call gets the
	// update.
	const longestPause = 1.6 * 1.5 * float64(time.Second)
	for name, call := range map[string]time.Duration{"a dial": dialTimeout, "a call": callTimeout(firstPollWait), "a whole list": callTimeout(0)} {
		if most := call + time.Duration(longestPause) + firstPollWait + roundTrip; most > maxUpdateDelay {
			t.Errorf("%s failed: the next call gets the update %v later, %v at most", name, most, maxUpdateDelay)
		}
	}
}

// testDiscovery is a discovery service whose connections are controlled by the test.
type testDiscovery struct {
	t      *testing.T
	ln     net.Listener
	events chan core.Event
	client *Client
	from   core.Source
}

func newTestDiscovery(t *testing.T) *testDiscovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { ln.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &testDiscovery{t: t, ln: ln, events: make(chan core.Event, 16), from: core.Source{Addr: ln.Addr().String(), No: 3}}
	d.client = NewClient(hold.NewGate(), func(e core.Event) { d.events <- e }, log)
	return d
}

// call reads the next call, on a new connection if c is nil, and returns its path.
func (d *testDiscovery) call(c *discoveryConn) (*discoveryConn, string) {
	d.t.Helper()
	if c == nil {
		nc, err := d.ln.Accept()
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(10 * time.Second))
		c = &discoveryConn{nc, bufio.NewReader(nc)}
	}
	req, err := http.ReadRequest(c.r)
	if err != nil {
		d.t.Fatal(err)
	}
	return c, req.URL.RequestURI()
}

func (d *testDiscovery) event() core.Event {
	d.t.Helper()
	select {
	case e := <-d.events:
		return e
	case <-time.After(10 * time.Second):
		d.t.Fatal("no event")
		return nil
	}
}

type discoveryConn struct {
	net.Conn
	r *bufio.Reader
}

func (c *discoveryConn) say(text string) { io.WriteString(c, text) }

func changes(version int) string {
	return fmt.Sprintf("{\n  \"version\": %d,\n  \"full\": false,\n  \"servers\": [\n  ]\n}\n", version) // indented, as discovery sends it
}

// TestBrokenWatchIsOpenedAnew checks that a watch that fails in any way after a response is reopened immediately from the version held, without
// reporting a refusal. Its first call waits only briefly, so that missed updates arrive immediately.
func TestBrokenWatchIsOpenedAnew(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(c *discoveryConn)
	}{
		{"silent", func(*discoveryConn) {}},
		{"ends", func(c *discoveryConn) { c.Close() }},
		{"reset", func(c *discoveryConn) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() }},
		{"503", func(c *discoveryConn) { c.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }},
		{"half an answer, then nothing", func(c *discoveryConn) { c.say(ok(changes(9))[:40]) }},
		{"half an answer and the end", func(c *discoveryConn) { c.say(ok(changes(9))[:40]); c.Close() }},
		{"a trickle without end", func(c *discoveryConn) {
			go func() {
				for c.say("H"); ; time.Sleep(20 * time.Millisecond) { // until the watch times out
					if _, err := c.Write([]byte("T")); err != nil {
						return
					}
				}
			}()
		}},
		{"no list", func(c *discoveryConn) { c.say(ok("[]")) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := newTestDiscovery(t)
			d.client.wait = 60 * time.Millisecond
			d.client.Watch(core.Watch{On: true, Source: d.from, Since: 7})
			c, path := d.call(nil)
			if want := watchTarget(7, firstPollWait); path != want {
				t.Errorf("first call %s, want %s", path, want)
			}
			c.say(ok(changes(8)))
			if _, path = d.call(c); path != watchTarget(8, d.client.wait) {
				t.Errorf("second call %s", path)
			}
			tc.play(c)
			c, path = d.call(nil)
			if want := watchTarget(8, firstPollWait); path != want {
				t.Errorf("reopened with %s, want %s", path, want)
			}
			c.say(ok(changes(9)))
			for _, version := range []int64{8, 9} {
				if e, told := d.event().(core.RouteSetTold); !told || e.RouteSet.Version != version {
					t.Errorf("event %+v, want version %d", e, version)
				}
			}
		})
	}
}

// TestAnswersInPieces checks that a response that arrives in parts is handled once complete.
func TestAnswersInPieces(t *testing.T) {
	d := newTestDiscovery(t)
	d.client.Watch(core.Watch{On: true, Source: d.from, Since: 7})
	c, _ := d.call(nil)
	for _, b := range []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(changes(8)), changes(8))) {
		c.Write([]byte{b})
	}
	if e, told := d.event().(core.RouteSetTold); !told || e.RouteSet.Version != 8 {
		t.Errorf("event %+v", e)
	}
}

// TestWatchThatTellsNothingIsRefused checks that a watch that never gets a response is reported as refused, and isn't reopened by the client
// itself.
func TestWatchThatTellsNothingIsRefused(t *testing.T) {
	for name, play := range map[string]func(c *discoveryConn){
		"silent": func(*discoveryConn) {},
		"ends":   func(c *discoveryConn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newTestDiscovery(t)
			d.client.Watch(core.Watch{On: true, Source: d.from, Since: 7})
			c, _ := d.call(nil)
			play(c)
			if e := d.event(); e != (core.RouteSetRefused{Source: d.from}) {
				t.Errorf("event %+v", e)
			}
			d.ln.(*net.TCPListener).SetDeadline(time.Now())
			if c, err := d.ln.Accept(); err == nil {
				c.Close()
				t.Error("the client called again by itself")
			}
		})
	}
}
