package routeset

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
	"foldlb.example/foldlb/internal/loopback"
)

const whole = `{"version":42,"full":true,"servers":[{"id":"s","addr":"10.0.0.1:1","state":"active"}]}`

func ok(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// TestFaultsOfDiscovery: whatever discovery does to a call, it ends as one refusal that names what is wrong, and nothing
// of a bad answer is told. The next call, on a new connection, brings the list.
func TestFaultsOfDiscovery(t *testing.T) {
	for _, tc := range []struct {
		name  string
		play  func(net.Conn)
		named string
	}{
		{"resets", func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }, "discovery"},
		{"says 503", func(c net.Conn) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") }, "status 503"},
		{"half a list", func(c net.Conn) { io.WriteString(c, ok(whole)[:len(ok(whole))-30]) }, "discovery's answer"},
		{"a list cut where its length says", func(c net.Conn) { io.WriteString(c, ok(whole[:40])) }, "not a list"},
		{"a faulty entry", func(c net.Conn) { io.WriteString(c, ok(strings.Replace(whole, "10.0.0.1:1", "nowhere", 1))) }, "servers[0].addr"},
		{"no HTTP", func(c net.Conn) { io.WriteString(c, "what\r\n\r\n") }, "discovery's answer"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			log, hook := test.NewNullLogger()
			events := make(chan core.Event, 4)
			c := NewClient(hold.NewGate(), func(e core.Event) { events <- e }, log)
			from := core.Source{Addr: ln.Addr().String()}
			next := func() core.Event {
				t.Helper()
				select {
				case e := <-events:
					return e
				case <-time.After(10 * time.Second):
					t.Fatal("no event")
					return nil
				}
			}
			serve := func(play func(net.Conn)) {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					play(conn)
				}
			}
			go serve(tc.play)
			c.Watch(core.Watch{On: true, Source: from, Since: 7})
			if e := next(); e != (core.RouteSetRefused{Source: from}) {
				t.Fatalf("%+v", e)
			}
			if last := hook.LastEntry(); last == nil || last.Level != logrus.WarnLevel || !strings.Contains(last.Data[logrus.ErrorKey].(error).Error(), tc.named) {
				t.Errorf("the log does not name %q: %+v", tc.named, last)
			}
			go serve(func(conn net.Conn) { io.WriteString(conn, ok(whole)) })
			c.Watch(core.Watch{On: true, Source: from, Since: 7})
			if e, told := next().(core.RouteSetTold); !told || e.RouteSet.Version != 42 || len(e.RouteSet.Workers) != 1 {
				t.Errorf("%+v", e)
			}
			if calls, failures := c.CallCounts(); calls < 2 || failures < 1 {
				t.Errorf("%d calls and %d failures are counted", calls, failures)
			}
		})
	}
}

// TestDiscoveryThatIsNotThere: a refused connection is one refusal.
func TestDiscoveryThatIsNotThere(t *testing.T) {
	gone, err := loopback.Unused()
	if err != nil {
		t.Fatal(err)
	}
	from := core.Source{Addr: gone.String()}
	log, _ := test.NewNullLogger()
	events := make(chan core.Event, 4)
	c := NewClient(hold.NewGate(), func(e core.Event) { events <- e }, log)
	c.Fetch(core.FetchRouteSet{Source: from})
	if e := <-events; e != (core.RouteSetRefused{Source: from}) {
		t.Errorf("%+v", e)
	}
	if calls, failures := c.CallCounts(); calls != 0 || failures != 1 {
		t.Errorf("%d calls and %d failures are counted", calls, failures)
	}
}
