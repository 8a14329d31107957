package choice

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// sent is one action as the host saw it.
type sent struct {
	what    string
	request string
	worker  string
	value   float64
	token   uint64
}

type host struct{ log []sent }

func (h *host) add(s sent) { h.log = append(h.log, s) }
func (h *host) Assign(r, w string, u float64) {
	h.add(sent{what: "assign", request: r, worker: w, value: u})
}
func (h *host) Refuse(r string, p float64) { h.add(sent{what: "refuse", request: r, value: p}) }
func (h *host) Fail(r string)              { h.add(sent{what: "fail", request: r}) }
func (h *host) Cancel(r string, n int)     { h.add(sent{what: "cancel", request: r, value: float64(n)}) }
func (h *host) Timer(t float64, k uint64)  { h.add(sent{what: "timer", value: t, token: k}) }
func (h *host) Probe(w string)             { h.add(sent{what: "probe", worker: w}) }
func (h *host) CloseIdle(w string)         { h.add(sent{what: "close", worker: w}) }
func (h *host) SendToPeer(p int, _ []byte) { h.add(sent{what: "tell", value: float64(p)}) }
func (h *host) ListAll()                   { h.add(sent{what: "list"}) }
func (h *host) Log(string)                 {}
func (h *host) Subscribe(on bool) {
	h.add(sent{what: "subscribe", value: map[bool]float64{true: 1}[on]})
}

// take returns and forgets what was sent, timers left out.
func (h *host) take() []sent {
	var out []sent
	for _, s := range h.log {
		if s.what != "timer" {
			out = append(out, s)
		}
	}
	h.log = nil
	return out
}

func plain(effect Effect) Settings {
	return Settings{Dispatchers: 1, Zone: "a", MaxAttempts: 4, AskWithin: 10, FreeSlots: -1, FreeMem: -1,
		ErrorsPerS: -1, ServiceMillis: -1, OverloadFactor: 3, TipAfter: 2, ColdShare: 0.2, WarmWithin: 10,
		Classes: []Class{{Name: "c", Effect: effect, Aim: 0.2, Stretch: 2, Deadline: 5, Worth: 1, Window: 2}}}
}

func fleet(ids ...string) []Worker {
	var list []Worker
	for _, id := range ids {
		list = append(list, Worker{ID: id, Zone: "a", Kind: "k", Share: 1})
	}
	return list
}

func start(t *testing.T, s Settings, workers []Worker) (*Dispatcher, *host) {
	t.Helper()
	h := &host{}
	d, err := New(1, s, h)
	if err != nil {
		t.Fatal(err)
	}
	d.List(1, ListRemembered, workers)
	return d, h
}

func ask(id string, now float64) Request {
	return Request{ID: id, Deadline: now + 5, Tenant: -1, Slots: 1}
}

// only fails the test unless exactly the one action was taken, and returns it.
func only(t *testing.T, h *host, what string) sent {
	t.Helper()
	got := h.take()
	if len(got) != 1 || got[0].what != what {
		t.Fatalf("actions %v, want one %s", got, what)
	}
	return got[0]
}

// seen gives a worker a profile of the given response.
func seen(d *Dispatcher, id string, response float64) {
	w := d.byID[id]
	for range 60 {
		w.profiles[0].add(response, 1)
	}
}

func TestSharesAndPicksByHand(t *testing.T) {
	// Responses 1, 2 and 4 s: 1/R is 1, 1/2, 1/4, the sum 7/4, so the shares are 4/7, 2/7, 1/7.
	d, h := start(t, plain(Idempotent), fleet("one", "two", "four"))
	for id, r := range map[string]float64{"one": 1, "two": 2, "four": 4} {
		seen(d, id, r)
		d.byID[id].profiles[0] = profile{r * 1e6, 1e6} // outweighs the borrowed median
	}
	d.refresh(2)
	c := &d.classes[0]
	for id, want := range map[string]float64{"one": 4.0 / 7, "two": 2.0 / 7, "four": 1.0 / 7} {
		if got := d.byID[id].inv[0] / c.sum; math.Abs(got-want) > 1e-5 {
			t.Errorf("share of %s is %.4f, want %.4f", id, got, want)
		}
	}
	// Gaps n_i - share(n+1), by hand, for the counts before each pick:
	// 0 0 0: -4/7 -2/7 -1/7; 1 0 0: -1/7 -4/7 -2/7; 1 1 0: -5/7 1/7 -3/7; 2 1 0: -2/7 -1/7 -4/7;
	// 2 1 1: -6/7 -3/7 2/7; 3 1 1: -3/7 -5/7 1/7; 3 2 1: -7/7 0 0. The counts end in ratio 4 : 2 : 1.
	for i, want := range []string{"one", "two", "one", "four", "one", "two", "one"} {
		d.Request(2, ask(fmt.Sprint("r", i), 2))
		if got := only(t, h, "assign").worker; got != want {
			t.Errorf("job %d went to %s, want %s", i, got, want)
		}
	}
}

func TestUnseenBorrowsTheMedian(t *testing.T) {
	d, _ := start(t, plain(Idempotent), fleet("a", "b", "c", "new"))
	for id, r := range map[string]float64{"a": 1, "b": 2, "c": 9} {
		seen(d, id, r)
	}
	d.refresh(2)
	if got := d.response(2, 0, d.byID["new"]); math.Abs(got-2) > 1e-9 {
		t.Errorf("an unseen worker counts with %.3f s, want the median 2", got)
	}
}

// TestUnseenClassBorrowsThePace: a worker that is slow with one class is taken for slow with another that it has not been
// seen with, by as much as is known; one that is fast is taken for usual, and what was seen of a class counts once.
func TestUnseenClassBorrowsThePace(t *testing.T) {
	s := plain(Idempotent)
	s.Classes = append(s.Classes, Class{Name: "e", Effect: Idempotent, Aim: 0.2, Stretch: 2, Deadline: 5, Worth: 1})
	d, _ := start(t, s, fleet("a", "b", "c", "d"))
	for _, id := range []string{"a", "b", "c"} {
		seen(d, id, 0.1)
	}
	d.byID["c"].profiles[0] = profile{took: 6 * 0.4, cost: 6}
	d.byID["d"].profiles[0] = profile{took: 6 * 0.02, cost: 6}
	for _, w := range d.workers {
		if w.ID != "c" {
			w.profiles[1] = profile{took: 2 * 0.3, cost: 2}
		}
	}
	d.refresh(1)
	pace := (borrowed + 6*4) / (borrowed + 6) // c's, held back by the borrowed answers
	for id, want := range map[string]float64{"a": 0.3, "c": 0.3 * pace, "d": 0.3} {
		if got := d.response(2, 1, d.byID[id]); math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %.3f, want %.3f", id, got, want)
		}
	}
	if got, want := d.response(2, 0, d.byID["c"]), (6*0.4+borrowed*0.1)/(6+borrowed); math.Abs(got-want) > 1e-9 {
		t.Errorf("c with what was seen: %.3f, want %.3f", got, want)
	}
}

// TestWaitCountsForEveryClassWhileItIsFresh: one job that waited long makes its worker's share of all classes fall, and
// leaves the time that jobs run there alone; some seconds later it says nothing more.
func TestWaitCountsForEveryClassWhileItIsFresh(t *testing.T) {
	s := plain(Idempotent)
	s.TellsStart = true
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Name = "other"
	d, _ := start(t, s, fleet("a", "b"))
	seen(d, "a", 0.1)
	seen(d, "b", 0.1)
	d.Request(2, ask("r", 2))
	a := d.reqs["r"].attempts[0].w
	b := d.byID["a"]
	if a == b {
		b = d.byID["b"]
	}
	d.AttemptUpdate(2.5, AttemptUpdate{Request: "r", Started: true})
	d.Outcome(2.6, Outcome{Request: "r", Code: Done, Latency: 0.6, Final: true})
	for i, c := range d.classes {
		if a.inv[i] > b.inv[i]/1.3 || math.Abs(c.sum-a.inv[i]-b.inv[i]) > 1e-6 {
			t.Errorf("class %d: 1/R is %.2f where a job waited, %.2f elsewhere, %.2f in sum", i, a.inv[i], b.inv[i], c.sum)
		}
	}
	if p := a.profiles[0]; math.Abs(p.took/p.cost-0.1) > 1e-3 {
		t.Errorf("jobs are thought to run for %.3f s", p.took/p.cost)
	}
	d.refresh(2.6 + 10*waitMemory)
	if math.Abs(a.inv[0]-b.inv[0]) > 0.01*b.inv[0] {
		t.Errorf("1/R is %.2f long after a job waited, %.2f elsewhere", a.inv[0], b.inv[0])
	}
}

// TestWorkerIsFullWhereAJobWaited: for half as long as the job waited, for jobs of every size; a short wait says nothing.
func TestWorkerIsFullWhereAJobWaited(t *testing.T) {
	for _, tc := range []struct {
		wait, at float64
		free     bool
	}{{0.5, 0.2, false}, {0.5, 0.3, true}, {0.01, 0, true}, {60, 1, false}, {60, waitMemory, true}} {
		s := plain(AtMostOnce)
		s.TellsStart = true
		s.Classes[0].Deadline = 100
		d, _ := start(t, s, fleet("a"))
		d.Request(2, Request{ID: "r", Deadline: 100, Tenant: -1, Slots: 2})
		now := 2 + tc.wait
		d.AttemptUpdate(now, AttemptUpdate{Request: "r", Started: true})
		small := &request{Request: ask("s", now)}
		if free := d.available(now+tc.at, small, d.byID["a"]); free != tc.free {
			t.Errorf("%.1f s after a wait of %.2f s: free %v", tc.at, tc.wait, free)
		}
	}
}

func TestHintsKeepOneHeavyJobFromSmearing(t *testing.T) {
	d, h := start(t, plain(Idempotent), fleet("a"))
	for i := range 100 {
		q := ask(fmt.Sprint(i), 2)
		q.Hint, q.HasHint = 1, true
		if i == 99 {
			q.Hint = 20
		}
		d.Request(2, q)
		h.take()
		d.Outcome(2, Outcome{Request: q.ID, Worker: "a", Code: Done, Latency: q.Hint, Final: true})
	}
	if got := d.response(2, 0, d.byID["a"]); got > 1.5 {
		t.Errorf("mean response %.2f s after one heavy job that was announced", got)
	}
}

// TestOutcomes asserts what follows each outcome code, by effect, with the client still waiting.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		code   Code
		effect Effect
		want   string
	}{
		{Errored, Idempotent, "assign"}, {Errored, Deduplicated, "assign"}, {Errored, AtMostOnce, "fail"},
		{Reset, Idempotent, "assign"}, {Reset, Deduplicated, "assign"}, {Reset, AtMostOnce, "fail"},
		{TimedOut, Idempotent, "assign"}, {TimedOut, Deduplicated, "assign"}, {TimedOut, AtMostOnce, "fail"},
		{Cancelled, Idempotent, "assign"}, {Cancelled, AtMostOnce, "fail"},
		{Busy, Idempotent, "assign"}, {Busy, Deduplicated, "assign"}, {Busy, AtMostOnce, "assign"},
		{NoConnect, Idempotent, "assign"}, {NoConnect, AtMostOnce, "assign"},
		{Skipped, Idempotent, "assign"}, {Skipped, AtMostOnce, "assign"},
		{BrokenBeforeSend, Idempotent, "assign"}, {BrokenBeforeSend, Deduplicated, "assign"}, {BrokenBeforeSend, AtMostOnce, "assign"},
		{StaleConnection, Idempotent, "assign"}, {StaleConnection, Deduplicated, "assign"}, {StaleConnection, AtMostOnce, "fail"},
	} {
		d, h := start(t, plain(tc.effect), fleet("a", "b"))
		d.Request(2, ask("r", 2))
		first := only(t, h, "assign").worker
		d.Outcome(2.05, Outcome{Request: "r", Worker: first, Code: tc.code, Latency: 0.05})
		if got := only(t, h, tc.want); tc.want == "assign" && got.worker == first {
			t.Errorf("code %d, effect %d: tried the same worker again", tc.code, tc.effect)
		}
	}
}

func TestDoneEndsTheRequest(t *testing.T) {
	d, h := start(t, plain(AtMostOnce), fleet("a"))
	d.Request(2, ask("r", 2))
	h.take()
	d.Outcome(2.3, Outcome{Request: "r", Worker: "a", Code: Done, Latency: 0.3, Final: true})
	d.Withdrawn(2.3, "r")
	d.Outcome(2.4, Outcome{Request: "r", Worker: "a", Code: Done, Latency: 0.3, Final: true})
	if got := h.take(); len(got) > 0 || len(d.reqs) > 0 {
		t.Errorf("after the end: actions %v, %d requests held", got, len(d.reqs))
	}
}

func TestAnswersAtTheDeadline(t *testing.T) {
	for _, e := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		d, h := start(t, plain(e), fleet("a", "b"))
		d.Request(2, ask("r", 2))
		w := only(t, h, "assign").worker
		d.Outcome(7, Outcome{Request: "r", Worker: w, Code: TimedOut, Latency: 5})
		if got := h.take(); len(got) != 1 || got[0].what == "assign" || e == AtMostOnce && got[0].what != "fail" {
			t.Errorf("effect %d at the deadline: %v", e, got)
		}
	}
}

func TestNoWorkerIsRefusedAtOnce(t *testing.T) {
	d, h := start(t, plain(AtMostOnce), nil)
	d.Request(2, ask("r", 2))
	only(t, h, "refuse")
}

func TestDeduplicatedStaysInItsGroupAndWindow(t *testing.T) {
	s := plain(Deduplicated)
	s.Classes[0].Group = GroupCell
	list := fleet("a", "b", "c")
	list[0].Cell, list[1].Cell, list[2].Cell = 1, 1, 2
	for _, tc := range []struct {
		at   float64
		want string
	}{{2.1, "assign"}, {4.1, "fail"}} {
		d, h := start(t, s, list)
		seen(d, "a", 0.1)
		seen(d, "b", 0.1)
		seen(d, "c", 9)
		d.refresh(1)
		d.Request(2, ask("r", 2))
		first := only(t, h, "assign").worker
		d.Outcome(tc.at, Outcome{Request: "r", Worker: first, Code: Reset, Latency: tc.at - 2})
		got := only(t, h, tc.want)
		if tc.want == "assign" && got.worker == "c" {
			t.Error("a repeat left the cell of its first attempt")
		}
	}
}

func TestDrainsAreKeptAtOnce(t *testing.T) {
	d, h := start(t, plain(Idempotent), fleet("a", "b"))
	d.List(2, ListChanges, []Worker{{ID: "a", Zone: "a", Kind: "k", State: Terminating}})
	for i := range 20 {
		d.Request(2, ask(fmt.Sprint(i), 2))
		if got := only(t, h, "assign").worker; got != "b" {
			t.Fatalf("sent to %s, which drains", got)
		}
	}
	d.List(3, ListAll, fleet("c"))
	d.Request(3, ask("x", 3))
	if got := only(t, h, "assign").worker; got != "c" {
		t.Errorf("sent to %s, which left the list", got)
	}
}

func TestColdBudgetHoldsOverManyDispatchers(t *testing.T) {
	// Twenty dispatchers that never talk each serve 10 jobs a second on ten workers: a warm one carries
	// 20 jobs a second. A cold one joins; from its start, no 2 s may bring more than 3 x what it can do.
	const n = 20
	s := plain(Idempotent)
	s.Dispatchers = n
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	toCold := make([]int, 400)
	for me := range n {
		s.Self, s.Seed = me, uint64(me*7+1)
		d, h := start(t, s, fleet(ids...))
		for step := range 400 { // tenths of a second
			now := 2 + float64(step)/10
			if step == 200 {
				d.List(now, ListChanges, []Worker{{ID: "cold", Zone: "a", Kind: "k", Started: now}})
			}
			d.Request(now, ask(fmt.Sprint(step), now))
			got := only(t, h, "assign")
			if got.worker == "cold" {
				toCold[step]++
			}
			d.Outcome(now+0.05, Outcome{Request: fmt.Sprint(step), Worker: got.worker, Code: Done, Latency: 0.05,
				Final: true})
		}
	}
	total := 0
	for at := 200; at+20 <= 300; at++ {
		sum := 0
		for _, k := range toCold[at : at+20] {
			sum += k
		}
		warmth := 0.2 + 0.8*float64(at-200)/100
		if limit := 3 * 20 * warmth * 2; float64(sum) > limit {
			t.Errorf("%d jobs in 2 s from %.1f s after the start, %.0f tip it over", sum, float64(at-200)/10, limit)
		}
		total += sum
	}
	if total == 0 {
		t.Error("the cold worker never got a job")
	}
}

func TestColdWorkerGetsNothingBeforePeersAreKnown(t *testing.T) {
	list := fleet("warm", "cold")
	list[1].Started = 0.9
	d, h := start(t, plain(Idempotent), list)
	for i := range 30 {
		d.Request(1, ask(fmt.Sprint(i), 1))
		if got := only(t, h, "assign").worker; got == "cold" {
			t.Fatal("sent to a cold worker with nothing known of what its peers carry")
		}
	}
}

// TestReleaseLeavesOnlyColdWorkers replaces the whole fleet at once. The cold ones must take the jobs that
// they can, and not have their budget shrink with what it lets through.
func TestReleaseLeavesOnlyColdWorkers(t *testing.T) {
	old, fresh := fleet("a", "b", "c", "d"), fleet("e", "f", "g", "h")
	s := plain(Idempotent)
	s.WarmWithin = 60
	d, h := start(t, s, old)
	served, asked := 0, 0
	for step := range 600 { // twentieths of a second
		now := 2 + float64(step)/20
		if step == 200 {
			for i := range old {
				old[i].State, fresh[i].Started = Terminated, now
			}
			d.List(now, ListChanges, append(old, fresh...))
		}
		id := fmt.Sprint(step)
		d.Request(now, ask(id, now))
		for _, s := range h.take() {
			if s.what == "assign" {
				d.Outcome(now+0.04, Outcome{Request: id, Worker: s.worker, Code: Done, Latency: 0.04, Final: true})
				if step >= 400 {
					served++
				}
			}
		}
		if step >= 400 {
			asked++
		}
	}
	// The old ones were not full: 10 s after their start the cold ones may be sent 0.6 to 0.84 of that.
	if served < asked*3/4 {
		t.Errorf("%d of %d jobs placed at cold workers", served, asked)
	}
}

func TestSwallowingWorkerLosesItsShare(t *testing.T) {
	d, _ := start(t, plain(Idempotent), fleet("a", "b"))
	seen(d, "a", 0.1)
	seen(d, "b", 0.1)
	for i := range 8 {
		d.Request(2, ask(fmt.Sprint(i), 2))
	}
	for _, a := range append([]*attempt(nil), d.byID["b"].out...) {
		d.Outcome(2.1, Outcome{Request: a.req.ID, Attempt: a.no, Worker: "b", Code: Done, Latency: 0.1, Final: true})
	}
	d.refresh(4)
	if a, b := d.byID["a"].inv[0], d.byID["b"].inv[0]; a > b/5 {
		t.Errorf("silent for 2 s at 0.1 s a job, it still has 1/R %.2f against %.2f", a, b)
	}
	d.AttemptUpdate(4, AttemptUpdate{Request: d.byID["a"].out[0].req.ID, Worker: "a", Started: true})
	d.refresh(4)
	if d.byID["a"].inv[0] < 5 {
		t.Error("a note did not count as life")
	}
}

func TestFastFailingWorkerIsBarredWithBackoff(t *testing.T) {
	d, h := start(t, plain(Idempotent), fleet("bad", "good"))
	w := d.byID["bad"]
	last := 0.0
	for i := range 3 {
		now := 10 * float64(i+1)
		w.barTill = 0
		d.learn(now, &request{Request: Request{Slots: 1}}, &attempt{w: w}, Outcome{Code: Errored})
		if w.barSpan <= last {
			t.Errorf("failure %d bars for %.1f s, no longer than the one before", i, w.barSpan)
		}
		last = w.barSpan
		d.Request(now, ask(fmt.Sprint(i), now))
		if got := only(t, h, "assign").worker; got != "good" {
			t.Error("sent to a worker that has just failed")
		}
	}
}

// TestBrokenConnectionsBarByTheirPart: single ones must not shut out workers that are well, many in a row must.
func TestBrokenConnectionsBarByTheirPart(t *testing.T) {
	d, h := start(t, plain(Idempotent), fleet("a"))
	w := d.byID["a"]
	fails := func(code Code, now float64) float64 {
		t.Helper()
		id := fmt.Sprint(code, now)
		d.Request(now, ask(id, now))
		only(t, h, "assign")
		d.Outcome(now, Outcome{Request: id, Worker: "a", Code: code, Final: true})
		return w.barTill - now
	}
	if bar := fails(StaleConnection, 2); bar > 0 {
		t.Errorf("barred for %.2f s after a stale connection", bar)
	}
	if bar := fails(BrokenBeforeSend, 2.5); bar <= 0 || bar > errBar/4 {
		t.Errorf("barred for %.2f s after one cut connection", bar)
	}
	if bar := fails(Reset, 3); bar <= 0 || bar > errBar/2 {
		t.Errorf("barred for %.2f s after one broken connection", bar)
	}
	now := 4.0
	for range 6 {
		now += fails(Reset, now) + 0.01
	}
	if w.barSpan < errBar {
		t.Errorf("barred for %.2f s after seven broken connections", w.barSpan)
	}
}

func TestFullBarsForItsSizeOnly(t *testing.T) {
	d, _ := start(t, plain(Idempotent), fleet("a"))
	w := d.byID["a"]
	big := &request{Request: Request{Slots: 4}}
	d.learn(2, big, &attempt{w: w}, Outcome{Code: Busy})
	if d.available(2, big, w) {
		t.Error("available for the size it has just turned away")
	}
	if !d.available(2, &request{Request: Request{Slots: 1}}, w) {
		t.Error("a smaller job was barred too")
	}
	if !d.available(9, big, w) {
		t.Error("barred for good")
	}
	if w.profiles[0].cost != 0 {
		t.Error("a refusal entered the profile")
	}
}

func TestFurtherTriesArePaidByTraffic(t *testing.T) {
	s := plain(Idempotent)
	s.MaxAttempts = 10
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	d, h := start(t, s, fleet(ids...))
	sends := 0
	for i := range 200 {
		now := 2 + float64(i)
		id := fmt.Sprint(i)
		d.Request(now, ask(id, now))
		for no := 0; ; no++ {
			got := h.take()
			if len(got) == 0 || got[0].what != "assign" {
				break
			}
			sends++
			d.Outcome(now, Outcome{Request: id, Attempt: no, Worker: got[0].worker, Code: Busy})
		}
	}
	if sends > 440 {
		t.Errorf("%d attempts for 200 requests at a full fleet", sends)
	}
}

func TestDiscoveryOnRequestBacksOff(t *testing.T) {
	s := plain(Idempotent)
	s.ListOnRequest = true
	d, h := start(t, s, fleet("a"))
	if len(h.log) != 1 || h.log[0].what != "timer" || h.log[0].value > s.AskWithin/2 {
		t.Fatalf("at the start: %v, want one timer", h.log)
	}
	h.log = nil
	var least float64
	now := 1.0
	for i := range 4 {
		d.Timer(now, listToken)
		d.List(now, ListRefused, nil)
		if len(h.log) != 2 || h.log[0].what != "subscribe" || h.log[1].what != "timer" || h.log[1].value < least {
			t.Fatalf("refusal %d: %v", i, h.log)
		}
		least = h.log[1].value / 3 // doubling, give or take a half
		if h.log[1].value > s.AskWithin {
			t.Errorf("waits %.1f s, longer than the list may go unasked", h.log[1].value)
		}
		now += h.log[1].value
		h.log = nil
	}
	d.Timer(now, listToken)
	d.List(now, ListChanges, nil)
	h.log = nil
	d.Timer(now+1, listToken)
	if len(h.log) != 0 {
		t.Errorf("subscribed, it asks again: %v", h.log)
	}
}

// TestNoProbesWithoutReports: a probe costs its worker work, and where nothing comes back with it, it tells nothing.
func TestNoProbesWithoutReports(t *testing.T) {
	for free, want := range map[int]bool{-1: false, 0: true} {
		s := plain(Idempotent)
		s.CanProbe, s.FreeSlots = true, free
		h := &host{}
		if _, err := New(1, s, h); err != nil {
			t.Fatal(err)
		}
		probes := slices.ContainsFunc(h.log, func(a sent) bool { return a.what == "timer" && a.token == tickToken })
		if probes != want {
			t.Errorf("free slots at %d: probes %v", free, probes)
		}
	}
}

func TestProbesFollowTraffic(t *testing.T) {
	s := plain(Idempotent)
	s.CanProbe, s.FreeSlots = true, 0
	var ids []string
	for i := range 500 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	d, h := start(t, s, fleet(ids...))
	probes := 0
	for i := range 100 {
		now := 2 + float64(i)/10
		d.Request(now, ask(fmt.Sprint(i), now))
		d.Timer(now, tickToken)
		for _, a := range h.take() {
			if a.what == "probe" {
				probes++
			}
		}
	}
	if probes == 0 || float64(probes) > 100*probeShare {
		t.Errorf("%d probes for 100 requests", probes)
	}
}

func TestOverShareIsRefusedFirst(t *testing.T) {
	s := plain(Idempotent)
	s.Tenants = []Tenant{{Name: "loud", Quota: 2}, {Name: "calm", Quota: 100}}
	d, h := start(t, s, fleet("a"))
	for i := range 100 {
		q := ask(fmt.Sprint(i), 2)
		q.Tenant = 0
		d.Request(2, q)
	}
	h.take()
	d.learn(2, &request{Request: Request{Slots: 1}}, &attempt{w: d.byID["a"]}, Outcome{Code: Busy})
	loud, calm := ask("loud", 2), ask("calm", 2)
	loud.Tenant, calm.Tenant = 0, 1
	d.Request(2, loud)
	only(t, h, "refuse")
	d.Request(2, calm)
	only(t, h, "assign")
}

func TestCrossingsAreCharged(t *testing.T) {
	s := plain(Idempotent)
	s.Prices.CrossZone = 0.05
	list := fleet("near", "far")
	list[1].Zone = "b"
	d, _ := start(t, s, list)
	d.refresh(2)
	if near, far := d.byID["near"].inv[0], d.byID["far"].inv[0]; far >= near {
		t.Errorf("1/R of equals: %.3f across zones, %.3f at home", far, near)
	}
}

func TestStaleReportCountsLess(t *testing.T) {
	s := plain(Idempotent)
	s.FreeSlots, s.ReportFields = 0, []string{"x0"}
	d, _ := start(t, s, fleet("a", "b"))
	for range 40 {
		d.report(2, d.byID["b"], []float64{4})
	}
	d.report(2, d.byID["a"], []float64{0})
	d.took = 1
	chance := func(now float64) (part float64) {
		for range 2000 {
			if d.available(now, &request{Request: Request{Slots: 1}}, d.byID["a"]) {
				part += 1.0 / 2000
			}
		}
		return part
	}
	if fresh, old := chance(2), chance(8); fresh > old-0.05 || old < 0.8 {
		t.Errorf("told of no free slots: available %.2f at once, %.2f after six responses", fresh, old)
	}
}

func TestSettingsThatCannotBeHonoured(t *testing.T) {
	for name, s := range map[string]Settings{"empty": {}, "no attempts": {Dispatchers: 1, Classes: []Class{{}}},
		"no dispatcher": {MaxAttempts: 1, Classes: []Class{{}}}} {
		if _, err := New(0, s, &host{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestOddEventsPassWithoutHarm(t *testing.T) {
	d, h := start(t, plain(Idempotent), fleet("a"))
	d.Outcome(2, Outcome{Request: "?", Code: Done})
	d.Withdrawn(2, "?")
	d.AttemptUpdate(2, AttemptUpdate{Request: "?", Attempt: 3})
	d.FirstByte(2, "?", 0)
	d.Probed(2, Probe{Worker: "?", Code: Done, Report: []float64{1}})
	d.Timer(2, 999)
	d.PeerMessage(2, 1, nil)
	d.Request(2, Request{ID: "x", Class: 7})
	d.List(2, ListAll, nil)
	if got := h.take(); len(got) > 0 {
		t.Errorf("actions %v", got)
	}
}

func TestWaitingSafeJobIsMoved(t *testing.T) {
	for _, tc := range []struct {
		effect  Effect
		started bool
		late    float64
		want    bool
	}{{Idempotent, false, 0, true}, {Idempotent, true, 0, false}, {Idempotent, false, 0.5, false},
		{AtMostOnce, false, 0, false}, {Deduplicated, false, 0, false}} {
		s := plain(tc.effect)
		s.TellsStart, s.CanCancel = true, true
		d, h := start(t, s, fleet("a", "b"))
		d.Request(2, ask("r", 2))
		first := h.log[0].worker
		d.paidMoves, d.late = 5, tc.late
		if tc.started {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: first, Started: true})
		}
		for _, tm := range append([]sent(nil), h.log...) {
			if tm.what == "timer" {
				d.Timer(2+tm.value, tm.token)
			}
		}
		cancelled := false
		for _, a := range h.log {
			cancelled = cancelled || a.what == "cancel"
		}
		if cancelled != tc.want {
			t.Fatalf("%+v: called off: %v", tc, cancelled)
		}
		h.take()
		if tc.want {
			d.Outcome(2.06, Outcome{Request: "r", Worker: first, Code: Cancelled, Latency: 0.06})
			if got := only(t, h, "assign").worker; got == first {
				t.Error("moved to the worker it waited at")
			}
		}
	}
}

// TestConnectingJobIsSparedOnce: a job that its worker has not taken yet is moved one wait later.
func TestConnectingJobIsSparedOnce(t *testing.T) {
	s := plain(Idempotent)
	s.TellsStart, s.CanCancel, s.TellsTaken = true, true, true
	for _, taken := range []bool{false, true} {
		d, h := start(t, s, fleet("a", "b"))
		d.paidMoves = 5
		d.Request(2, ask("r", 2))
		if taken {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: h.log[0].worker, Taken: true})
		}
		wait := h.log[1]
		h.take()
		d.Timer(2+wait.value, wait.token)
		if first := len(h.take()); taken != (first == 1) {
			t.Errorf("taken %v: %d actions after the first wait", taken, first)
		}
		d.Timer(2+2*wait.value, wait.token)
		if second := len(h.take()); taken == (second == 1) {
			t.Errorf("taken %v: %d actions after the second wait", taken, second)
		}
	}
}

// TestKeyedJobThatNobodyTakes: on a connection that has fallen silent it is called off after two waits and placed anew in
// its group; one that was taken stays, as does one that must not run twice, or where nobody tells of taking.
func TestKeyedJobThatNobodyTakes(t *testing.T) {
	for _, tc := range []struct {
		effect             Effect
		tells, taken, want bool
		found              float64
	}{{Deduplicated, true, false, true, 0}, {Deduplicated, true, true, false, 0}, {Deduplicated, true, true, true, 0.8},
		{Deduplicated, false, false, false, 0}, {AtMostOnce, true, false, false, 0}, {AtMostOnce, true, true, false, 0.8}} {
		s := plain(tc.effect)
		s.Classes[0].Group = GroupCell
		s.TellsStart, s.CanCancel, s.TellsTaken = true, true, tc.tells
		list := fleet("a", "b", "c")
		list[2].Cell = 1
		d, h := start(t, s, list[:2])
		d.paidMoves, d.found = 5, tc.found
		d.Request(2, ask("r", 2))
		log := h.log
		first := log[0].worker
		d.List(2, ListChanges, list[2:])
		if tc.taken {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: first, Taken: true})
		}
		h.take()
		for i, timers := 1, log[1:]; i <= 2 && len(timers) > 0; i++ {
			d.Timer(2+float64(i)*timers[0].value, timers[0].token)
		}
		got := h.take()
		if called := len(got) == 1 && got[0].what == "cancel"; called != tc.want {
			t.Errorf("%+v: %v", tc, got)
		} else if called {
			d.Outcome(2.2, Outcome{Request: "r", Worker: first, Code: Cancelled, Latency: 0.2})
			if to := only(t, h, "assign").worker; to == "c" || to == first {
				t.Errorf("placed anew at %s, first at %s", to, first)
			}
		}
	}
}

// TestQuietJobIsPlacedAnew: a running job that misses its progress notes is called off where a repeat is safe, and
// its worker does not look alive for that.
func TestQuietJobIsPlacedAnew(t *testing.T) {
	for effect, want := range map[Effect]bool{Idempotent: true, Deduplicated: true, AtMostOnce: false} {
		s := plain(effect)
		s.TellsStart, s.CanCancel, s.ProgressEvery = true, true, 1
		d, h := start(t, s, fleet("a"))
		d.Request(2, ask("r", 2))
		h.log = nil
		d.AttemptUpdate(2.1, AttemptUpdate{Request: "r", Worker: "a", Started: true})
		d.AttemptUpdate(3, AttemptUpdate{Request: "r", Worker: "a", Share: 0.5})
		for now := 2.1; now < 4.4; { // the timers that listen
			if len(h.log) == 0 {
				break
			}
			tm := h.log[0]
			h.log = h.log[1:]
			if tm.what == "cancel" {
				t.Fatalf("effect %d: called off at %.2f", effect, now)
			}
			if now += tm.value; now < 4.4 {
				d.Timer(now, tm.token)
			} else {
				d.Timer(4.6, tm.token)
			}
		}
		if got := h.take(); want != (len(got) == 1 && got[0].what == "cancel") {
			t.Errorf("effect %d: %v", effect, got)
		}
		if want {
			d.Outcome(4.6, Outcome{Request: "r", Worker: "a", Code: Cancelled, Latency: 2.6, Final: true})
			if life := d.byID["a"].lifeAt; life != 3 {
				t.Errorf("alive at %.2f, last heard of at 3", life)
			}
		}
	}
}

func TestMovesAreRationedByThePriceOfWaste(t *testing.T) {
	s := plain(Idempotent)
	s.Prices.Waste = 0.3
	d, _ := start(t, s, fleet("a"))
	for i := range 50 {
		d.Request(2, ask(fmt.Sprint(i), 2))
	}
	if d.paidMoves > 50*0.11 {
		t.Errorf("%.1f moves paid for by 50 requests where waste is dear", d.paidMoves)
	}
}

// TestMovesFollowWhatTheyFind: where moved jobs begin at once, more of them are paid for; where they wait again, fewer.
func TestMovesFollowWhatTheyFind(t *testing.T) {
	for _, free := range []bool{true, false} {
		s := plain(Idempotent)
		s.TellsStart, s.CanCancel = true, true
		d, _ := start(t, s, fleet("a", "b", "c"))
		d.found = 0.5
		due := func(r *request, no int, now float64) {
			for token, a := range d.moves {
				if a == r.attempts[no] {
					d.Timer(now, token)
				}
			}
		}
		for i := range 20 {
			id, now := fmt.Sprint(i), 2+float64(i)
			d.paidMoves = 1
			d.Request(now, ask(id, now))
			r := d.reqs[id]
			due(r, 0, now+0.1)
			d.Outcome(now+0.1, Outcome{Request: id, Code: Cancelled, Latency: 0.1})
			if len(r.attempts) != 2 {
				t.Fatalf("%d attempts of a job that was called off", len(r.attempts))
			}
			if free {
				d.AttemptUpdate(now+0.101, AttemptUpdate{Request: id, Attempt: 1, Started: true})
			}
			due(r, 1, now+0.2)
			d.Outcome(now+0.5, Outcome{Request: id, Attempt: 1, Code: Done, Latency: 0.4, Final: true})
		}
		if free && d.found < 0.7 || !free && d.found > 0.3 {
			t.Errorf("free %v: found is %.2f", free, d.found)
		}
		d.paidMoves = 0
		d.Request(100, ask("last", 100))
		if more := d.paidMoves > moveShare; more != free {
			t.Errorf("free %v: a request pays for %.2f moves", free, d.paidMoves)
		}
	}
}

func TestLateFleetTurnsPartAwayAtOnce(t *testing.T) {
	s := plain(AtMostOnce)
	s.TellsStart, s.MaxRetryAfter = true, 2
	s.Classes[0].LateWorth = 0.25 // a tenth of late answers is borne where they keep some worth
	refused := func(late float64) (n int) {
		d, h := start(t, s, fleet("a"))
		d.late = late
		for i := range 200 {
			d.Request(2, ask(fmt.Sprint(i), 2))
		}
		for _, a := range h.take() {
			if a.what == "refuse" {
				n++
			}
		}
		return n
	}
	if in, over := refused(0.1), refused(0.9); in != 0 || over < 100 || over > 180 {
		t.Errorf("refused %d of 200 with a tenth late, %d with nine tenths late", in, over)
	}
	d, h := start(t, s, fleet("a"))
	d.Request(2, ask("r", 2))
	h.take()
	d.AttemptUpdate(4, AttemptUpdate{Request: "r", Worker: "a", Started: true})
	if d.late == 0 {
		t.Error("a start 2 s after the send was not seen as late")
	}
}

// TestWaitingJobCountsAsLateBeforeItStarts: a job that has waited for longer than its aim bears is counted then, once, and
// from its request's arrival, however often it was moved.
func TestWaitingJobCountsAsLateBeforeItStarts(t *testing.T) {
	s := plain(AtMostOnce)
	s.TellsStart = true
	d, _ := start(t, s, fleet("a"))
	d.Request(2, ask("r", 2))
	d.refresh(2.1)
	if d.late != 0 {
		t.Errorf("%.3f are late after 0.1 s of an aim of 0.2 s", d.late)
	}
	d.refresh(2.3)
	once := d.late
	d.refresh(2.5)
	d.AttemptUpdate(2.6, AttemptUpdate{Request: "r", Started: true})
	if once == 0 || d.late != once {
		t.Errorf("%.3f are late after 0.3 s, %.3f after its start", once, d.late)
	}
	s = plain(Idempotent)
	s.TellsStart, s.CanCancel = true, true
	d, _ = start(t, s, fleet("a", "b"))
	d.Request(2, ask("r", 2))
	d.Outcome(2.19, Outcome{Request: "r", Code: Cancelled, Latency: 0.19})
	d.AttemptUpdate(2.25, AttemptUpdate{Request: "r", Attempt: 1, Started: true})
	if d.late == 0 {
		t.Error("a job that began 0.25 s after it came, at its second worker, counts as in time")
	}
}

// TestStartsAfterAPauseAreNotJudged: what was out while the dispatcher stood still tells nothing of the workers.
func TestStartsAfterAPauseAreNotJudged(t *testing.T) {
	s := plain(AtMostOnce)
	s.TellsStart = true
	d, _ := start(t, s, fleet("a"))
	d.Request(2, ask("r", 2))
	d.ProcessStalled()
	d.refresh(2.5)
	d.AttemptUpdate(2.6, AttemptUpdate{Request: "r", Started: true})
	if d.late != 0 {
		t.Errorf("%.3f are late after a pause", d.late)
	}
	d.Request(3, ask("q", 2))
	d.AttemptUpdate(3.6, AttemptUpdate{Request: "q", Started: true})
	if d.late == 0 {
		t.Error("a request that came after the pause was not judged")
	}
}

// TestLateReturnsAreTurnedAwayFirst: a caller that has come back can't be served in time any more.
func TestLateReturnsAreTurnedAwayFirst(t *testing.T) {
	refused := map[bool]int{}
	for i := range 2000 {
		s := plain(Idempotent)
		s.Seed, s.Classes[0].LateWorth = uint64(i), 0.25
		d, h := start(t, s, fleet("a"))
		d.late, d.dear = 0.3, 1
		q := ask("r", 2)
		if i%2 == 0 {
			q.Deadline -= 3
		}
		d.Request(2, q)
		if h.take()[0].what == "refuse" {
			refused[i%2 == 0]++
		}
	}
	if refused[true] < 2*refused[false] || refused[false] == 0 {
		t.Errorf("of 1000 each, %d that came back and %d new ones are turned away", refused[true], refused[false])
	}
}

func TestTriesTurnedAwayDoNotCountToAShare(t *testing.T) {
	s := plain(AtMostOnce)
	s.Tenants = []Tenant{{Name: "t", Quota: 1000}}
	d, h := start(t, s, fleet("a"))
	d.late = 1
	for i := range 200 {
		q := ask(fmt.Sprint(i), 2)
		q.Tenant = 0
		d.Request(2, q)
	}
	let := 0
	for _, a := range h.take() {
		if a.what == "assign" {
			let++
		}
	}
	if got := d.tenants[0].seen.perS(2) * rateMemory; let == 0 || let > 100 || math.Abs(got-float64(let)) > 1e-6 {
		t.Errorf("of 200 tries %d were let in, %.1f count", let, got)
	}
}

func TestIdleConnectionsAreClosedWhereTablesAreFull(t *testing.T) {
	s := plain(Idempotent)
	s.DialTimeout, s.Classes[0].LateWorth = 0.2, 1
	closes := func(latency float64) (n int) {
		d, h := start(t, s, fleet("a", "b"))
		for i := range 40 {
			id, now := fmt.Sprint(i), 2+20*float64(i)
			d.Request(now, ask(id, now))
			w := only(t, h, "assign").worker
			d.Outcome(now, Outcome{Request: id, Worker: w, Code: NoConnect, Latency: latency})
			w = only(t, h, "assign").worker
			d.Outcome(now+0.1, Outcome{Request: id, Attempt: 1, Worker: w, Code: Done, Latency: 0.1, Final: true})
			n += len(h.take())
		}
		return n
	}
	if refused, unreachable := closes(0.002), closes(0.2); refused == 0 || unreachable != 0 {
		t.Errorf("closed %d times where connections are refused at once, %d where none can be made", refused, unreachable)
	}
}

func TestDearJobsAreTurnedAwayFirst(t *testing.T) {
	s := plain(AtMostOnce)
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 10
	d, h := start(t, s, fleet("a"))
	d.late = 0.5
	for i := range 400 {
		q := ask(fmt.Sprint(i), 2)
		q.Class = i % 2
		d.Request(2, q)
	}
	refused := [2]int{}
	for _, a := range h.take() {
		if a.what == "refuse" {
			var i int
			fmt.Sscan(a.request, &i)
			refused[i%2]++
		}
	}
	if refused[0] < 2*refused[1] {
		t.Errorf("refused %d of little worth, %d of much", refused[0], refused[1])
	}
}

func TestFurtherTriesFollowWhatTheAimBears(t *testing.T) {
	paid := func(aim, stretch float64) float64 {
		s := plain(Idempotent)
		s.Classes[0].Aim, s.Classes[0].Stretch = aim, stretch
		d, _ := start(t, s, fleet("a"))
		seen(d, "a", 0.5)
		d.refresh(1)
		before := d.retries
		d.Request(2, ask("r", 2))
		return d.retries - before
	}
	if tight, loose := paid(0.1, 2), paid(0.6, 2); tight > 0.1 || loose < 1 {
		t.Errorf("a request pays %.2f tries where the aim bears no wait, %.2f where it bears a run", tight, loose)
	}
}

func TestKeyIsDrawnAlikeByAllDispatchers(t *testing.T) {
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	s := plain(Idempotent)
	at := map[uint64]map[string]bool{}
	for me := range 8 {
		s.Self, s.Seed = me, uint64(me)
		list := fleet(ids...)
		list[me], list[49-me] = list[49-me], list[me] // lists come in any order
		d, h := start(t, s, list)
		for key := range uint64(10) {
			q := ask(fmt.Sprint(key), 2)
			q.Key, q.HasKey = key, true
			d.Request(2, q)
			if at[key] == nil {
				at[key] = map[string]bool{}
			}
			at[key][only(t, h, "assign").worker] = true
		}
	}
	all := map[string]bool{}
	for key, workers := range at {
		if len(workers) > sampleSize {
			t.Errorf("key %d went to %d workers", key, len(workers))
		}
		for w := range workers {
			all[w] = true
		}
	}
	if len(all) < 8 {
		t.Errorf("ten keys went to %d workers", len(all))
	}
}

// TestLatenessIsBorneForItsWorth: where a late answer is worth nothing, some are turned away as soon as some are late; where it keeps
// part of its worth, only beyond what is borne.
func TestLatenessIsBorneForItsWorth(t *testing.T) {
	for _, tc := range []struct {
		lateWorth, late float64
		least, most     int
	}{{0, 0, 0, 0}, {0, 0.15, 80, 160}, {0.1, 0.15, 10, 110}, {0.25, 0.15, 0, 0}, {0.5, 0.15, 0, 0}, {0.25, 0.3, 50, 130}} {
		s := plain(Idempotent)
		s.Classes[0].LateWorth = tc.lateWorth
		d, h := start(t, s, fleet("a", "b", "c"))
		refused := 0
		for i := range 400 {
			d.late = tc.late
			d.Request(1, ask(fmt.Sprint(i), 1))
			for _, x := range h.take() {
				if x.what == "refuse" {
					refused++
				}
				if x.what == "assign" {
					d.Outcome(1, Outcome{Request: fmt.Sprint(i), Worker: x.worker, Code: Done, Latency: 0.01, Final: true})
				}
			}
		}
		if refused < tc.least || refused > tc.most {
			t.Errorf("worth %v late, part %v late: %d of 400 turned away, want %d to %d", tc.lateWorth, tc.late, refused, tc.least, tc.most)
		}
	}
}

// TestReturnsCountInWhatIsTurnedAway: whether callers come back, and say so, or not, the part that stays away for good is the part meant.
func TestReturnsCountInWhatIsTurnedAway(t *testing.T) {
	const meant = 0.3
	for tries, want := range map[int][2]float64{1: {meant - 0.05, meant + 0.05}, 2: {meant - 0.05, meant + 0.05}, 3: {meant - 0.05, meant + 0.05}} {
		s := plain(Idempotent)
		s.Classes[0].LateWorth = 0.25
		d, h := start(t, s, fleet("a", "b"))
		const n = 6000
		away := 0
		for i := range n {
			d.late = lateBorne + meant/shedGain
			for try := range tries {
				id := fmt.Sprint(i, " ", try)
				q := ask(id, 2)
				q.Repeat = try > 0
				d.Request(2, q)
				refused := false
				for _, a := range h.take() {
					refused = refused || a.what == "refuse"
				}
				if !refused {
					d.Outcome(2, Outcome{Request: id, Code: Done, Latency: 0.01, Final: true})
					h.take()
					break
				}
				if try == tries-1 && i > n/3 {
					away++
				}
			}
		}
		if got := float64(away) / (n * 2 / 3); got < want[0] || got > want[1] {
			t.Errorf("%d tries: %.2f stay away for good, meant are %.2f", tries, got, meant)
		}
	}
}

// TestNoWorkerTwiceWhereItMayHaveRun: a worker gets a request again where it was never reached, or turned it away unseen, and not where it may have
// run there or the worker handed it back by a message, which may come again.
func TestNoWorkerTwiceWhereItMayHaveRun(t *testing.T) {
	for code, again := range map[Code]bool{NoConnect: true, Busy: true, Errored: false, Reset: false, StaleConnection: false, Returned: false} {
		d, _ := start(t, plain(Idempotent), fleet("a"))
		d.Request(1, ask("r", 1))
		r, w := d.reqs["r"], d.byID["a"]
		d.Outcome(1.01, Outcome{Request: "r", Worker: "a", Code: code, Latency: 0.01})
		w.barTill, w.unsafeTil, w.fullTill = 0, 0, 0 // as if that were long ago
		if got := d.usable(1.1, r, &d.classes[0], r.bound(), w, false); got != again {
			t.Errorf("code %v: usable again: %v, want %v", code, got, again)
		}
	}
}
