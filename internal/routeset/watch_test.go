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

// TestNewsAreKnownInTime: from the moment on at which a watch falls silent, news reach the dispatcher before they count as told, whatever became
// of the call; and after a call's own wait, within the platform's 2 s.
func TestNewsAreKnownInTime(t *testing.T) {
	const afterWait, roundTrip = 2 * time.Second, 100 * time.Millisecond
	if most := callTimeout(longPollWait) + firstPollWait + roundTrip; most > maxUpdateDelay {
		t.Errorf("a watch that falls silent at once is opened anew %v after its call, %v at most", most, maxUpdateDelay)
	}
	if late := callTimeout(longPollWait) - longPollWait + firstPollWait + roundTrip; late > afterWait {
		t.Errorf("a silent watch is opened anew %v after its wait, %v at most", late, afterWait)
	}
	// Discovery comes back right after a call was begun in vain: that ends, the longest pause follows, and one more call brings the news.
	const longestPause = 1.6 * 1.5 * float64(time.Second)
	for name, call := range map[string]time.Duration{"a dial": dialTimeout, "a call": callTimeout(firstPollWait), "a whole list": callTimeout(0)} {
		if most := call + time.Duration(longestPause) + firstPollWait + roundTrip; most > maxUpdateDelay {
			t.Errorf("%s in vain: the next one brings the news %v later, %v at most", name, most, maxUpdateDelay)
		}
	}
}

// scripted is a discovery whose every connection the test plays.
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

// call takes the next call, on a new connection where c is nil, and returns its path.
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
	return fmt.Sprintf("{\n  \"version\": %d,\n  \"full\": false,\n  \"servers\": [\n  ]\n}\n", version) // indented
}

// TestBrokenWatchIsOpenedAnew: whatever ends a watch that has told something, the next one is begun at once, from the version held, and
// nobody is refused. Its first call waits shortly, so that news that were missed come at once.
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
				for c.say("H"); ; time.Sleep(20 * time.Millisecond) { // its pace; the watch's own clock ends it
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
				t.Errorf("begins with %s, want %s", path, want)
			}
			c.say(ok(changes(8)))
			if _, path = d.call(c); path != watchTarget(8, d.client.wait) {
				t.Errorf("goes on with %s", path)
			}
			tc.play(c)
			c, path = d.call(nil)
			if want := watchTarget(8, firstPollWait); path != want {
				t.Errorf("opened anew with %s, want %s", path, want)
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

// TestAnswersInPieces: an answer counts when its last byte has come, however it comes.
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

// TestWatchThatTellsNothingIsRefused: one that never brings an answer ends as a refusal, and only then is asked for again when the decision
// module says so.
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
				t.Error("it is asked again unbidden")
			}
		})
	}
}
