package clientconn

import (
	"errors"
	"fmt"
	"io"
	"testing"

	"foldlb.example/foldlb/internal/core"
)

const report = "POST /callback HTTP/1.1\r\nHost: h\r\nContent-Length: %d"

func (c *caller) callBack(t *testing.T) (closes bool) {
	t.Helper()
	body := `{"id":"9b1f","from":"s-1","state":"started"}`
	c.send(fmt.Sprintf(report, len(body)), body)
	return c.answer().ConnectionClose()
}

// ends waits for the other side's close, after all that it says.
func (c *caller) ends(t *testing.T) {
	t.Helper()
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("not closed: %v", err)
	}
}

// TestSendAway: idle callers' connections are closed, a job that waits is answered on its connection, which is closed
// then; call-backs' connections stay. After the end connections are kept again.
func TestSendAway(t *testing.T) {
	f := serve(t, 16)
	job := func(c *caller) core.ExchangeID {
		c.send(ask, "hi")
		return f.event().(core.CallArrived).Call.Exchange
	}
	answer := func(c *caller, exchange core.ExchangeID) (closes bool) {
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Served, Body: []byte("ok")})
		resp := c.answer()
		if string(resp.Body()) != "ok" {
			t.Errorf("answered %s", resp)
		}
		return resp.ConnectionClose()
	}
	idle, busy, worker := f.dial(), f.dial(), f.dial()
	if answer(idle, job(idle)) || worker.callBack(t) {
		t.Fatal("closed before the drain")
	}
	f.event()
	waits := job(busy)
	f.s.SendAway(true)
	f.s.SendAway(true) // a second word changes nothing
	idle.ends(t)       // once this is closed, all answers close
	if worker.callBack(t) {
		t.Error("a call-back's connection is closed")
	}
	f.event()
	if !answer(busy, waits) {
		t.Error("a job's connection is kept")
	}
	busy.ends(t)
	late := f.dial()
	if !answer(late, job(late)) {
		t.Error("a new caller's connection is kept")
	}
	f.s.SendAway(false)
	again := f.dial()
	for i := range 2 {
		if answer(again, job(again)) {
			t.Errorf("job %d after the drain: its connection is closed", i)
		}
	}
	if worker.callBack(t) {
		t.Error("a call-back's connection is closed after the drain")
	}
	f.event()
}

// TestCounts: how jobs ended, by class, against a count kept here; call-backs, health checks and bad requests are none.
func TestCounts(t *testing.T) {
	f := serve(t, 16)
	f.s.CountClasses([]string{"c", "d"})
	c := f.dial()
	want := map[string]Tally{"d": {}}
	tally := Tally{}
	for i, v := range []core.Verdict{core.Served, core.Busy, core.Failed, core.Rejected, core.Served} {
		if i == 4 { // the connection ended with the rejected one
			c = f.dial()
		}
		c.send(ask, "hi")
		exchange := f.event().(core.CallArrived).Call.Exchange
		if n := f.s.InFlight(); n != 1 {
			t.Errorf("%d in flight", n)
		}
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: v})
		f.s.Answer(core.Answer{Exchange: exchange, Verdict: core.Failed}) // a second one ends nothing
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
	c.callBack(t)
	f.event()
	c.send("POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 2", "hi") // no id
	c.answer()
	h := f.dial()
	h.send("GET /healthz HTTP/1.1\r\nHost: h", "")
	exchange := f.event().(core.HealthAsked).Exchange
	if n := f.s.InFlight(); n != 0 {
		t.Errorf("a health check counts as %d in flight", n)
	}
	f.s.Answer(core.Answer{Exchange: exchange})
	h.answer()
	want["c"] = tally
	if got := f.s.Tallies(); len(got) != 2 || got["c"] != want["c"] || got["d"] != want["d"] {
		t.Errorf("counted %+v, not %+v", got, want)
	}
}
