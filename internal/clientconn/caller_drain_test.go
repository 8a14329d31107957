package clientconn

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

const callbackHead = "POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: %d"

func (c *caller) postCallback(t *testing.T) (closes bool) {
	t.Helper()
	body := `{"id":"9b1f","from":"s-1","state":"started"}`
	c.send(fmt.Sprintf(callbackHead, len(body)), body)
	return c.answer().ConnectionClose()
}

// expectClose waits until the server closes the connection, with no further response before.
func (c *caller) expectClose(t *testing.T) {
	t.Helper()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read returned %v, want io.EOF", err)
	}
}

// TestSendAway checks that the drain closes idle callers' connections, answers a waiting job and then closes its
// connection, and keeps workers' connections. After the drain, connections are kept again.
func TestSendAway(t *testing.T) {
	f := serve(t, 16)
	job := func(c *caller) core.ExchangeID {
		c.send(callRequest, "hi")
		return f.event().(core.CallArrived).Call.Exchange
	}
	answer := func(c *caller, exchange core.ExchangeID) (closes bool) {
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte("ok")})
		resp := c.answer()
		if string(resp.Body()) != "ok" {
			t.Errorf("response %s", resp)
		}
		return resp.ConnectionClose()
	}
	idle, busy, worker := f.dial(), f.dial(), f.dial()
	if answer(idle, job(idle)) || worker.postCallback(t) {
		t.Fatal("connection closed before the drain")
	}
	f.event()
	waits := job(busy)
	f.s.SendAway(true)
	f.s.SendAway(true)  // a repeated call changes nothing
	idle.expectClose(t) // once this is closed, all responses to callers close their connections
	if worker.postCallback(t) {
		t.Error("a worker's connection was closed")
	}
	f.event()
	if !answer(busy, waits) {
		t.Error("the connection of a waiting job was kept")
	}
	busy.expectClose(t)
	late := f.dial()
	if !answer(late, job(late)) {
		t.Error("the connection of a new caller was kept")
	}
	f.s.SendAway(false)
	again := f.dial()
	for i := range 2 {
		if answer(again, job(again)) {
			t.Errorf("job %d after the drain: connection closed", i)
		}
	}
	if worker.postCallback(t) {
		t.Error("a worker's connection was closed after the drain")
	}
	f.event()
}

// TestJobCounts compares the counts of ended jobs by class with the test's own. Callbacks, health checks and bad
// requests must not be counted.
func TestJobCounts(t *testing.T) {
	f := serve(t, 16)
	f.s.CountClasses([]string{"c", "d"})
	c := f.dial()
	want := map[string]Tally{"d": {}}
	tally := Tally{}
	for i, v := range []core.Verdict{core.Served, core.Busy, core.Failed, core.Rejected, core.Served} {
		if i == 4 { // the rejection closed the connection
			c = f.dial()
		}
		c.send(callRequest, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		if n := f.s.InFlight(); n != 1 {
			t.Errorf("%d jobs in flight, want 1", n)
		}
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: v})
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Failed}) // a second answer is ignored
		c.answer()
		switch v {
		case core.Served:
			tally.Served++
		case core.Busy:
			tally.Refused++
		default:
			tally.Failed++
		}
	}
	c.postCallback(t)
	f.event()
	c.send("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 2", "hi") // without an id
	c.answer()
	h := f.dial()
	h.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	exchange := f.event().(core.HealthAsked).Exchange
	if n := f.s.InFlight(); n != 0 {
		t.Errorf("%d jobs in flight during a health check, want 0", n)
	}
	f.s.Answer(core.Answer{Exchange: exchange})
	h.answer()
	want["c"] = tally
	if got := f.s.Tallies(); len(got) != 2 || got["c"] != want["c"] || got["d"] != want["d"] {
		t.Errorf("counts %+v, want %+v", got, want)
	}
}
