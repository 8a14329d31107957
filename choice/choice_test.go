package choice

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// action is a call of a method of Actions.
type action struct {
	name    string
	request string
	worker  string
	value   float64
	token   uint64
}

// host records all actions.
type host struct{ log []action }

func (h *host) record(s action) { h.log = append(h.log, s) }
func (h *host) Assign(r, w string, u float64) {
	h.record(action{name: "assign", request: r, worker: w, value: u})
}
func (h *host) Refuse(r string, p float64) { h.record(action{name: "refuse", request: r, value: p}) }
func (h *host) Fail(r string)              { h.record(action{name: "fail", request: r}) }
func (h *host) Cancel(r string, n int) {
	h.record(action{name: "cancel", request: r, value: float64(n)})
}
func (h *host) Timer(t float64, k uint64)  { h.record(action{name: "timer", value: t, token: k}) }
func (h *host) Probe(w string)             { h.record(action{name: "probe", worker: w}) }
func (h *host) CloseIdle(w string)         { h.record(action{name: "close", worker: w}) }
func (h *host) SendToPeer(p int, _ []byte) { h.record(action{name: "peer message", value: float64(p)}) }
func (h *host) ListAll()                   { h.record(action{name: "list"}) }
func (h *host) Log(string)                 {}
func (h *host) Subscribe(on bool) {
	h.record(action{name: "subscribe", value: map[bool]float64{true: 1}[on]})
}

// takeActions returns the recorded actions except timers, and clears the record.
func (h *host) takeActions() []action {
	var out []action
	for _, s := range h.log {
		if s.name != "timer" {
			out = append(out, s)
		}
	}
	h.log = nil
	return out
}

// testSettings has one dispatcher, and one class with an aim of 0.2 s and a deadline of 5 s.
func testSettings(effect Effect) Settings {
	return Settings{Dispatchers: 1, Zone: "a", MaxAttempts: 4, AskWithin: 10, FreeSlots: -1, FreeMem: -1,
		ErrorsPerS: -1, ServiceMillis: -1, OverloadFactor: 3, TipAfter: 2, ColdShare: 0.2, WarmWithin: 10,
		Classes: []Class{{Name: "c", Effect: effect, Aim: 0.2, Stretch: 2, Deadline: 5, Worth: 1, Window: 2}}}
}

func newWorkers(ids ...string) []Worker {
	var list []Worker
	for _, id := range ids {
		list = append(list, Worker{ID: id, Zone: "a", Kind: "k", Share: 1})
	}
	return list
}

// newDispatcher returns a dispatcher that has the workers at time 1.
func newDispatcher(t *testing.T, s Settings, workers []Worker) (*Dispatcher, *host) {
	t.Helper()
	h := &host{}
	d, err := New(1, s, h)
	if err != nil {
		t.Fatal(err)
	}
	d.List(1, ListRemembered, workers)
	return d, h
}

func newRequest(id string, now float64) Request {
	return Request{ID: id, Deadline: now + 5, Tenant: -1, Slots: 1}
}

// expectOne returns the only action since the last call, which must have the given name.
func expectOne(t *testing.T, h *host, what string) action {
	t.Helper()
	got := h.takeActions()
	if len(got) != 1 || got[0].name != what {
		t.Fatalf("actions %v, want one %s", got, what)
	}
	return got[0]
}

// setResponse fills a worker's profile of the first class with the given response.
func setResponse(d *Dispatcher, id string, response float64) {
	w := d.byID[id]
	for range 60 {
		w.profiles[0].add(response, 1)
	}
}

func TestSharesAndPicksMatchHandComputation(t *testing.T) {
	// The responses are 1, 2 and 4 s, so the inverses are 1, 1/2, 1/4, their sum is 7/4, the shares are 4/7, 2/7, 1/7.
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("one", "two", "four"))
	for id, r := range map[string]float64{"one": 1, "two": 2, "four": 4} {
		setResponse(d, id, r)
		d.byID[id].profiles[0] = profile{r * 1e6, 1e6} // outweighs the prior answers
	}
	d.refresh(2)
	c := &d.classes[0]
	for id, want := range map[string]float64{"one": 4.0 / 7, "two": 2.0 / 7, "four": 1.0 / 7} {
		if got := d.byID[id].inverse[0] / c.inverseSum; math.Abs(got-want) > 1e-5 {
			t.Errorf("share of %s is %.4f, want %.4f", id, got, want)
		}
	}
	// The gaps n_i - share(n+1), computed by hand, for the jobs in flight before each pick:
	// 0 0 0: -4/7 -2/7 -1/7; 1 0 0: -1/7 -4/7 -2/7; 1 1 0: -5/7 1/7 -3/7; 2 1 0: -2/7 -1/7 -4/7;
	// 2 1 1: -6/7 -3/7 2/7; 3 1 1: -3/7 -5/7 1/7; 3 2 1: -7/7 0 0. The jobs in flight end at the ratio 4 : 2 : 1.
	for i, want := range []string{"one", "two", "one", "four", "one", "two", "one"} {
		d.Request(2, newRequest(fmt.Sprint("r", i), 2))
		if got := expectOne(t, h, "assign").worker; got != want {
			t.Errorf("job %d went to %s, want %s", i, got, want)
		}
	}
}

func TestUnseenWorkerCountsWithTheMedian(t *testing.T) {
	d, _ := newDispatcher(t, testSettings(Idempotent), newWorkers("a", "b", "c", "new"))
	for id, r := range map[string]float64{"a": 1, "b": 2, "c": 9} {
		setResponse(d, id, r)
	}
	d.refresh(2)
	if got := d.response(2, 0, d.byID["new"]); math.Abs(got-2) > 1e-9 {
		t.Errorf("a worker without answers counts with %.3f s, want the median of 2 s", got)
	}
}

// TestSlowWorkerCountsAsSlowWithUnseenClasses: a worker that is slow with one class counts as slow with another that it has
// no answers of, by the weight of its answers. A fast worker counts as an average one. Answers of a class don't count twice
// for that class.
func TestSlowWorkerCountsAsSlowWithUnseenClasses(t *testing.T) {
	s := testSettings(Idempotent)
	s.Classes = append(s.Classes, Class{Name: "e", Effect: Idempotent, Aim: 0.2, Stretch: 2, Deadline: 5, Worth: 1})
	d, _ := newDispatcher(t, s, newWorkers("a", "b", "c", "d"))
	for _, id := range []string{"a", "b", "c"} {
		setResponse(d, id, 0.1)
	}
	d.byID["c"].profiles[0] = profile{response: 6 * 0.4, cost: 6}
	d.byID["d"].profiles[0] = profile{response: 6 * 0.02, cost: 6}
	for _, w := range d.workers {
		if w.ID != "c" {
			w.profiles[1] = profile{response: 2 * 0.3, cost: 2}
		}
	}
	d.refresh(1)
	pace := (priorAnswers + 6*4) / (priorAnswers + 6) // of c, reduced by the prior answers
	for id, want := range map[string]float64{"a": 0.3, "c": 0.3 * pace, "d": 0.3} {
		if got := d.response(2, 1, d.byID[id]); math.Abs(got-want) > 1e-9 {
			t.Errorf("response of %s is %.3f, want %.3f", id, got, want)
		}
	}
	if got, want := d.response(2, 0, d.byID["c"]), (6*0.4+priorAnswers*0.1)/(6+priorAnswers); math.Abs(got-want) > 1e-9 {
		t.Errorf("response of c with its own answers is %.3f, want %.3f", got, want)
	}
}

// TestWaitCountsForEveryClassWhileItIsFresh: a job that waited long lowers its worker's share of all classes, but not the
// run time. Some seconds later it has no effect any more.
func TestWaitCountsForEveryClassWhileItIsFresh(t *testing.T) {
	s := testSettings(Idempotent)
	s.TellsStart = true
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Name = "other"
	d, _ := newDispatcher(t, s, newWorkers("a", "b"))
	setResponse(d, "a", 0.1)
	setResponse(d, "b", 0.1)
	d.Request(2, newRequest("r", 2))
	a := d.requests["r"].attempts[0].w
	b := d.byID["a"]
	if a == b {
		b = d.byID["b"]
	}
	d.AttemptUpdate(2.5, AttemptUpdate{Request: "r", Started: true})
	d.Outcome(2.6, Outcome{Request: "r", Code: Done, Latency: 0.6, Final: true})
	for i, c := range d.classes {
		if a.inverse[i] > b.inverse[i]/1.3 || math.Abs(c.inverseSum-a.inverse[i]-b.inverse[i]) > 1e-6 {
			t.Errorf("class %d: the inverse response is %.2f where a job waited, %.2f elsewhere, the sum %.2f", i, a.inverse[i], b.inverse[i], c.inverseSum)
		}
	}
	if p := a.profiles[0]; math.Abs(p.response/p.cost-0.1) > 1e-3 {
		t.Errorf("the expected run time is %.3f s", p.response/p.cost)
	}
	d.refresh(2.6 + 10*waitDecayS)
	if math.Abs(a.inverse[0]-b.inverse[0]) > 0.01*b.inverse[0] {
		t.Errorf("the inverse response is %.2f long after a job waited, %.2f elsewhere", a.inverse[0], b.inverse[0])
	}
}

// TestWorkerIsFullWhereAJobWaited: for half as long as the job waited, for jobs of every size. A short wait has no effect.
func TestWorkerIsFullWhereAJobWaited(t *testing.T) {
	for _, tc := range []struct {
		wait, at float64
		free     bool
	}{{0.5, 0.2, false}, {0.5, 0.3, true}, {0.01, 0, true}, {60, 1, false}, {60, waitDecayS, true}} {
		s := testSettings(AtMostOnce)
		s.TellsStart = true
		s.Classes[0].Deadline = 100
		d, _ := newDispatcher(t, s, newWorkers("a"))
		d.Request(2, Request{ID: "r", Deadline: 100, Tenant: -1, Slots: 2})
		now := 2 + tc.wait
		d.AttemptUpdate(now, AttemptUpdate{Request: "r", Started: true})
		small := &request{Request: newRequest("s", now)}
		if free := d.available(now+tc.at, small, d.byID["a"]); free != tc.free {
			t.Errorf("%.1f s after a wait of %.2f s: available %v", tc.at, tc.wait, free)
		}
	}
}

func TestHintedHeavyJobDoesNotRaiseTheMean(t *testing.T) {
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("a"))
	for i := range 100 {
		q := newRequest(fmt.Sprint(i), 2)
		q.Hint, q.HasHint = 1, true
		if i == 99 {
			q.Hint = 20
		}
		d.Request(2, q)
		h.takeActions()
		d.Outcome(2, Outcome{Request: q.ID, Worker: "a", Code: Done, Latency: q.Hint, Final: true})
	}
	if got := d.response(2, 0, d.byID["a"]); got > 1.5 {
		t.Errorf("mean response %.2f s after a heavy job with a hint", got)
	}
}

// TestOutcomes checks the action after each outcome code by effect, before the deadline.
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
		d, h := newDispatcher(t, testSettings(tc.effect), newWorkers("a", "b"))
		d.Request(2, newRequest("r", 2))
		first := expectOne(t, h, "assign").worker
		d.Outcome(2.05, Outcome{Request: "r", Worker: first, Code: tc.code, Latency: 0.05})
		if got := expectOne(t, h, tc.want); tc.want == "assign" && got.worker == first {
			t.Errorf("code %d, effect %d: sent to the same worker again", tc.code, tc.effect)
		}
	}
}

func TestDoneEndsTheRequest(t *testing.T) {
	d, h := newDispatcher(t, testSettings(AtMostOnce), newWorkers("a"))
	d.Request(2, newRequest("r", 2))
	h.takeActions()
	d.Outcome(2.3, Outcome{Request: "r", Worker: "a", Code: Done, Latency: 0.3, Final: true})
	d.Withdrawn(2.3, "r")
	d.Outcome(2.4, Outcome{Request: "r", Worker: "a", Code: Done, Latency: 0.3, Final: true})
	if got := h.takeActions(); len(got) > 0 || len(d.requests) > 0 {
		t.Errorf("after the end: actions %v, %d requests stored", got, len(d.requests))
	}
}

func TestAnswersAtTheDeadline(t *testing.T) {
	for _, e := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		d, h := newDispatcher(t, testSettings(e), newWorkers("a", "b"))
		d.Request(2, newRequest("r", 2))
		w := expectOne(t, h, "assign").worker
		d.Outcome(7, Outcome{Request: "r", Worker: w, Code: TimedOut, Latency: 5})
		if got := h.takeActions(); len(got) != 1 || got[0].name == "assign" || e == AtMostOnce && got[0].name != "fail" {
			t.Errorf("effect %d at the deadline: actions %v", e, got)
		}
	}
}

func TestNoWorkerIsRefusedAtOnce(t *testing.T) {
	d, h := newDispatcher(t, testSettings(AtMostOnce), nil)
	d.Request(2, newRequest("r", 2))
	expectOne(t, h, "refuse")
}

func TestDeduplicatedStaysInItsGroupAndWindow(t *testing.T) {
	s := testSettings(Deduplicated)
	s.Classes[0].Group = GroupCell
	list := newWorkers("a", "b", "c")
	list[0].Cell, list[1].Cell, list[2].Cell = 1, 1, 2
	for _, tc := range []struct {
		at   float64
		want string
	}{{2.1, "assign"}, {4.1, "fail"}} {
		d, h := newDispatcher(t, s, list)
		setResponse(d, "a", 0.1)
		setResponse(d, "b", 0.1)
		setResponse(d, "c", 9)
		d.refresh(1)
		d.Request(2, newRequest("r", 2))
		first := expectOne(t, h, "assign").worker
		d.Outcome(tc.at, Outcome{Request: "r", Worker: first, Code: Reset, Latency: tc.at - 2})
		got := expectOne(t, h, tc.want)
		if tc.want == "assign" && got.worker == "c" {
			t.Error("a repeat left the cell of its first attempt")
		}
	}
}

func TestDrainingWorkerGetsNoJobs(t *testing.T) {
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("a", "b"))
	d.List(2, ListChanges, []Worker{{ID: "a", Zone: "a", Kind: "k", State: Terminating}})
	for i := range 20 {
		d.Request(2, newRequest(fmt.Sprint(i), 2))
		if got := expectOne(t, h, "assign").worker; got != "b" {
			t.Fatalf("sent to %s, which is draining", got)
		}
	}
	d.List(3, ListAll, newWorkers("c"))
	d.Request(3, newRequest("x", 3))
	if got := expectOne(t, h, "assign").worker; got != "c" {
		t.Errorf("sent to %s, which left the list", got)
	}
}

func TestColdBudgetHoldsOverManyDispatchers(t *testing.T) {
	// Twenty dispatchers that don't communicate serve 10 jobs per second each on ten workers, so a warm worker serves 20
	// jobs per second. A cold worker starts. In no 2 s may it get more than 3 times what it can serve.
	const n = 20
	s := testSettings(Idempotent)
	s.Dispatchers = n
	var ids []string
	for i := range 10 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	toCold := make([]int, 400)
	for me := range n {
		s.Self, s.Seed = me, uint64(me*7+1)
		d, h := newDispatcher(t, s, newWorkers(ids...))
		for step := range 400 { // tenths of a second
			now := 2 + float64(step)/10
			if step == 200 {
				d.List(now, ListChanges, []Worker{{ID: "cold", Zone: "a", Kind: "k", Started: now}})
			}
			d.Request(now, newRequest(fmt.Sprint(step), now))
			got := expectOne(t, h, "assign")
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
			t.Errorf("%d jobs in 2 s from %.1f s after the start, %.0f overload it", sum, float64(at-200)/10, limit)
		}
		total += sum
	}
	if total == 0 {
		t.Error("the cold worker never got a job")
	}
}

func TestColdWorkerGetsNothingBeforePeersAreKnown(t *testing.T) {
	list := newWorkers("warm", "cold")
	list[1].Started = 0.9
	d, h := newDispatcher(t, testSettings(Idempotent), list)
	for i := range 30 {
		d.Request(1, newRequest(fmt.Sprint(i), 1))
		if got := expectOne(t, h, "assign").worker; got == "cold" {
			t.Fatal("sent to a cold worker before any load of warm workers is known")
		}
	}
}

// TestReleaseLeavesOnlyColdWorkers replaces all workers at once. The cold ones must get the jobs that they can serve: a
// budget by the current load, which the budget itself limits, would only shrink.
func TestReleaseLeavesOnlyColdWorkers(t *testing.T) {
	old, fresh := newWorkers("a", "b", "c", "d"), newWorkers("e", "f", "g", "h")
	s := testSettings(Idempotent)
	s.WarmWithin = 60
	d, h := newDispatcher(t, s, old)
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
		d.Request(now, newRequest(id, now))
		for _, s := range h.takeActions() {
			if s.name == "assign" {
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
	// 10 s after their start the cold workers may get 0.6 to 0.84 of the load of the old ones, which were not full.
	if served < asked*3/4 {
		t.Errorf("%d of %d jobs sent to cold workers", served, asked)
	}
}

func TestSilentWorkerLosesItsShare(t *testing.T) {
	d, _ := newDispatcher(t, testSettings(Idempotent), newWorkers("a", "b"))
	setResponse(d, "a", 0.1)
	setResponse(d, "b", 0.1)
	for i := range 8 {
		d.Request(2, newRequest(fmt.Sprint(i), 2))
	}
	for _, a := range append([]*attempt(nil), d.byID["b"].outstanding...) {
		d.Outcome(2.1, Outcome{Request: a.req.ID, Attempt: a.number, Worker: "b", Code: Done, Latency: 0.1, Final: true})
	}
	d.refresh(4)
	if a, b := d.byID["a"].inverse[0], d.byID["b"].inverse[0]; a > b/5 {
		t.Errorf("without an answer for 2 s at 0.1 s a job, the inverse response is %.2f, against %.2f", a, b)
	}
	d.AttemptUpdate(4, AttemptUpdate{Request: d.byID["a"].outstanding[0].req.ID, Worker: "a", Started: true})
	d.refresh(4)
	if d.byID["a"].inverse[0] < 5 {
		t.Error("an update did not count as a sign of life")
	}
}

func TestFastFailingWorkerIsEjectedWithBackoff(t *testing.T) {
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("bad", "good"))
	w := d.byID["bad"]
	last := 0.0
	for i := range 3 {
		now := 10 * float64(i+1)
		w.ejectedUntil = 0
		d.recordOutcome(now, &request{Request: Request{Slots: 1}}, &attempt{w: w}, Outcome{Code: Errored})
		if w.ejectionDuration <= last {
			t.Errorf("failure %d ejects for %.1f s, no longer than the one before", i, w.ejectionDuration)
		}
		last = w.ejectionDuration
		d.Request(now, newRequest(fmt.Sprint(i), now))
		if got := expectOne(t, h, "assign").worker; got != "good" {
			t.Error("sent to a worker that has just failed")
		}
	}
}

// TestBrokenConnectionsEjectByTheirShare: single broken connections must hardly exclude a healthy worker, many in a row
// must eject it in full.
func TestBrokenConnectionsEjectByTheirShare(t *testing.T) {
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("a"))
	w := d.byID["a"]
	fails := func(code Code, now float64) float64 {
		t.Helper()
		id := fmt.Sprint(code, now)
		d.Request(now, newRequest(id, now))
		expectOne(t, h, "assign")
		d.Outcome(now, Outcome{Request: id, Worker: "a", Code: code, Final: true})
		return w.ejectedUntil - now
	}
	if ejection := fails(StaleConnection, 2); ejection > 0 {
		t.Errorf("ejected for %.2f s after a stale connection", ejection)
	}
	if ejection := fails(BrokenBeforeSend, 2.5); ejection <= 0 || ejection > ejectionMinS/4 {
		t.Errorf("ejected for %.2f s after a connection that broke before the job was sent", ejection)
	}
	if ejection := fails(Reset, 3); ejection <= 0 || ejection > ejectionMinS/2 {
		t.Errorf("ejected for %.2f s after one broken connection", ejection)
	}
	now := 4.0
	for range 6 {
		now += fails(Reset, now) + 0.01
	}
	if w.ejectionDuration < ejectionMinS {
		t.Errorf("ejected for %.2f s after seven broken connections", w.ejectionDuration)
	}
}

func TestBusyExcludesJobsOfItsSizeOnly(t *testing.T) {
	d, _ := newDispatcher(t, testSettings(Idempotent), newWorkers("a"))
	w := d.byID["a"]
	big := &request{Request: Request{Slots: 4}}
	d.recordOutcome(2, big, &attempt{w: w}, Outcome{Code: Busy})
	if d.available(2, big, w) {
		t.Error("available for a job of the size that it has just refused")
	}
	if !d.available(2, &request{Request: Request{Slots: 1}}, w) {
		t.Error("not available for a smaller job")
	}
	if !d.available(9, big, w) {
		t.Error("still not available after 7 s")
	}
	if w.profiles[0].cost != 0 {
		t.Error("a refusal changed the profile")
	}
}

func TestRetriesAreLimitedByTraffic(t *testing.T) {
	s := testSettings(Idempotent)
	s.MaxAttempts = 10
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	d, h := newDispatcher(t, s, newWorkers(ids...))
	sends := 0
	for i := range 200 {
		now := 2 + float64(i)
		id := fmt.Sprint(i)
		d.Request(now, newRequest(id, now))
		for no := 0; ; no++ {
			got := h.takeActions()
			if len(got) == 0 || got[0].name != "assign" {
				break
			}
			sends++
			d.Outcome(now, Outcome{Request: id, Attempt: no, Worker: got[0].worker, Code: Busy})
		}
	}
	if sends > 440 {
		t.Errorf("%d attempts for 200 requests while all workers are full", sends)
	}
}

func TestDiscoveryOnRequestBacksOff(t *testing.T) {
	s := testSettings(Idempotent)
	s.ListOnRequest = true
	d, h := newDispatcher(t, s, newWorkers("a"))
	if len(h.log) != 1 || h.log[0].name != "timer" || h.log[0].value > s.AskWithin/2 {
		t.Fatalf("at the start: %v, want one timer", h.log)
	}
	h.log = nil
	var least float64
	now := 1.0
	for i := range 4 {
		d.Timer(now, listTimer)
		d.List(now, ListRefused, nil)
		if len(h.log) != 2 || h.log[0].name != "subscribe" || h.log[1].name != "timer" || h.log[1].value < least {
			t.Fatalf("refusal %d: actions %v", i, h.log)
		}
		least = h.log[1].value / 3 // the delay doubles, and is randomised by a half
		if h.log[1].value > s.AskWithin {
			t.Errorf("retries after %.1f s, longer than AskWithin", h.log[1].value)
		}
		now += h.log[1].value
		h.log = nil
	}
	d.Timer(now, listTimer)
	d.List(now, ListChanges, nil)
	h.log = nil
	d.Timer(now+1, listTimer)
	if len(h.log) != 0 {
		t.Errorf("it subscribes again while subscribed: %v", h.log)
	}
}

// TestNoProbesWithoutReports: a probe costs the worker time, and is useless if no load report comes back with it.
func TestNoProbesWithoutReports(t *testing.T) {
	for free, want := range map[int]bool{-1: false, 0: true} {
		s := testSettings(Idempotent)
		s.CanProbe, s.FreeSlots = true, free
		h := &host{}
		if _, err := New(1, s, h); err != nil {
			t.Fatal(err)
		}
		probes := slices.ContainsFunc(h.log, func(a action) bool { return a.name == "timer" && a.token == probeTimer })
		if probes != want {
			t.Errorf("FreeSlots %d: probes %v", free, probes)
		}
	}
}

func TestProbesFollowTraffic(t *testing.T) {
	s := testSettings(Idempotent)
	s.CanProbe, s.FreeSlots = true, 0
	var ids []string
	for i := range 500 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	d, h := newDispatcher(t, s, newWorkers(ids...))
	probes := 0
	for i := range 100 {
		now := 2 + float64(i)/10
		d.Request(now, newRequest(fmt.Sprint(i), now))
		d.Timer(now, probeTimer)
		for _, a := range h.takeActions() {
			if a.name == "probe" {
				probes++
			}
		}
	}
	if probes == 0 || float64(probes) > 100*probesPerRequest {
		t.Errorf("%d probes for 100 requests", probes)
	}
}

func TestOverShareIsRefusedFirst(t *testing.T) {
	s := testSettings(Idempotent)
	s.Tenants = []Tenant{{Name: "loud", Quota: 2}, {Name: "calm", Quota: 100}}
	d, h := newDispatcher(t, s, newWorkers("a"))
	for i := range 100 {
		q := newRequest(fmt.Sprint(i), 2)
		q.Tenant = 0
		d.Request(2, q)
	}
	h.takeActions()
	d.recordOutcome(2, &request{Request: Request{Slots: 1}}, &attempt{w: d.byID["a"]}, Outcome{Code: Busy})
	loud, calm := newRequest("loud", 2), newRequest("calm", 2)
	loud.Tenant, calm.Tenant = 0, 1
	d.Request(2, loud)
	expectOne(t, h, "refuse")
	d.Request(2, calm)
	expectOne(t, h, "assign")
}

func TestCrossingZonesLowersTheShare(t *testing.T) {
	s := testSettings(Idempotent)
	s.Prices.CrossZone = 0.05
	list := newWorkers("near", "far")
	list[1].Zone = "b"
	d, _ := newDispatcher(t, s, list)
	d.refresh(2)
	if near, far := d.byID["near"].inverse[0], d.byID["far"].inverse[0]; far >= near {
		t.Errorf("inverse responses of equal workers: %.3f in another zone, %.3f in the same", far, near)
	}
}

func TestStaleReportCountsLess(t *testing.T) {
	s := testSettings(Idempotent)
	s.FreeSlots, s.ReportFields = 0, []string{"x0"}
	d, _ := newDispatcher(t, s, newWorkers("a", "b"))
	for range 40 {
		d.recordReport(2, d.byID["b"], []float64{4})
	}
	d.recordReport(2, d.byID["a"], []float64{0})
	d.meanResponse = 1
	chance := func(now float64) (part float64) {
		for range 2000 {
			if d.available(now, &request{Request: Request{Slots: 1}}, d.byID["a"]) {
				part += 1.0 / 2000
			}
		}
		return part
	}
	if fresh, old := chance(2), chance(8); fresh > old-0.05 || old < 0.8 {
		t.Errorf("after a report of no free slots: available with %.2f at once, with %.2f after six responses", fresh, old)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, s := range map[string]Settings{"empty": {}, "no attempts": {Dispatchers: 1, Classes: []Class{{}}},
		"no dispatcher": {MaxAttempts: 1, Classes: []Class{{}}}} {
		if _, err := New(0, s, &host{}); err == nil {
			t.Errorf("settings %s: no error", name)
		}
	}
}

func TestUnknownIDsAreIgnored(t *testing.T) {
	d, h := newDispatcher(t, testSettings(Idempotent), newWorkers("a"))
	d.Outcome(2, Outcome{Request: "?", Code: Done})
	d.Withdrawn(2, "?")
	d.AttemptUpdate(2, AttemptUpdate{Request: "?", Attempt: 3})
	d.FirstByte(2, "?", 0)
	d.Probed(2, Probe{Worker: "?", Code: Done, Report: []float64{1}})
	d.Timer(2, 999)
	d.PeerMessage(2, 1, nil)
	d.Request(2, Request{ID: "x", Class: 7})
	d.List(2, ListAll, nil)
	if got := h.takeActions(); len(got) > 0 {
		t.Errorf("actions %v, want none", got)
	}
}

func TestWaitingSafeJobIsMoved(t *testing.T) {
	for _, tc := range []struct {
		effect    Effect
		started   bool
		lateShare float64
		want      bool
	}{{Idempotent, false, 0, true}, {Idempotent, true, 0, false}, {Idempotent, false, 0.5, false},
		{AtMostOnce, false, 0, false}, {Deduplicated, false, 0, false}} {
		s := testSettings(tc.effect)
		s.TellsStart, s.CanCancel = true, true
		d, h := newDispatcher(t, s, newWorkers("a", "b"))
		d.Request(2, newRequest("r", 2))
		first := h.log[0].worker
		d.moveCredit, d.lateShare = 5, tc.lateShare
		if tc.started {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: first, Started: true})
		}
		for _, tm := range append([]action(nil), h.log...) {
			if tm.name == "timer" {
				d.Timer(2+tm.value, tm.token)
			}
		}
		cancelled := false
		for _, a := range h.log {
			cancelled = cancelled || a.name == "cancel"
		}
		if cancelled != tc.want {
			t.Fatalf("%+v: cancelled: %v", tc, cancelled)
		}
		h.takeActions()
		if tc.want {
			d.Outcome(2.06, Outcome{Request: "r", Worker: first, Code: Cancelled, Latency: 0.06})
			if got := expectOne(t, h, "assign").worker; got == first {
				t.Error("moved to the worker that it waited at")
			}
		}
	}
}

// TestMoveOfConnectingJobIsDeferredOnce: a job that its worker has not taken yet is moved after a second wait only, as
// cancelling it would close a connection that may still be opening.
func TestMoveOfConnectingJobIsDeferredOnce(t *testing.T) {
	s := testSettings(Idempotent)
	s.TellsStart, s.CanCancel, s.TellsTaken = true, true, true
	for _, taken := range []bool{false, true} {
		d, h := newDispatcher(t, s, newWorkers("a", "b"))
		d.moveCredit = 5
		d.Request(2, newRequest("r", 2))
		if taken {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: h.log[0].worker, Taken: true})
		}
		wait := h.log[1]
		h.takeActions()
		d.Timer(2+wait.value, wait.token)
		if first := len(h.takeActions()); taken != (first == 1) {
			t.Errorf("taken %v: %d actions after the first wait", taken, first)
		}
		d.Timer(2+2*wait.value, wait.token)
		if second := len(h.takeActions()); taken == (second == 1) {
			t.Errorf("taken %v: %d actions after the second wait", taken, second)
		}
	}
}

// TestMovesOfDeduplicatedJobs: a job that no worker takes is cancelled after two waits, and sent again within its group. It
// stays if it was taken, unless most moves find a free worker, if it must not run twice, or if workers don't report that
// they have taken jobs.
func TestMovesOfDeduplicatedJobs(t *testing.T) {
	for _, tc := range []struct {
		effect             Effect
		tells, taken, want bool
		moveHitShare       float64
	}{{Deduplicated, true, false, true, 0}, {Deduplicated, true, true, false, 0}, {Deduplicated, true, true, true, 0.8},
		{Deduplicated, false, false, false, 0}, {AtMostOnce, true, false, false, 0}, {AtMostOnce, true, true, false, 0.8}} {
		s := testSettings(tc.effect)
		s.Classes[0].Group = GroupCell
		s.TellsStart, s.CanCancel, s.TellsTaken = true, true, tc.tells
		list := newWorkers("a", "b", "c")
		list[2].Cell = 1
		d, h := newDispatcher(t, s, list[:2])
		d.moveCredit, d.moveHitShare = 5, tc.moveHitShare
		d.Request(2, newRequest("r", 2))
		log := h.log
		first := log[0].worker
		d.List(2, ListChanges, list[2:])
		if tc.taken {
			d.AttemptUpdate(2.01, AttemptUpdate{Request: "r", Worker: first, Taken: true})
		}
		h.takeActions()
		for i, timers := 1, log[1:]; i <= 2 && len(timers) > 0; i++ {
			d.Timer(2+float64(i)*timers[0].value, timers[0].token)
		}
		got := h.takeActions()
		if called := len(got) == 1 && got[0].name == "cancel"; called != tc.want {
			t.Errorf("%+v: actions %v", tc, got)
		} else if called {
			d.Outcome(2.2, Outcome{Request: "r", Worker: first, Code: Cancelled, Latency: 0.2})
			if to := expectOne(t, h, "assign").worker; to == "c" || to == first {
				t.Errorf("placed anew at %s, first at %s", to, first)
			}
		}
	}
}

// TestJobWithoutProgressIsPlacedAnew: a running job without progress updates is cancelled if a repeat is safe, and the
// cancellation does not count as a sign of life of its worker.
func TestJobWithoutProgressIsPlacedAnew(t *testing.T) {
	for effect, want := range map[Effect]bool{Idempotent: true, Deduplicated: true, AtMostOnce: false} {
		s := testSettings(effect)
		s.TellsStart, s.CanCancel, s.ProgressEvery = true, true, 1
		d, h := newDispatcher(t, s, newWorkers("a"))
		d.Request(2, newRequest("r", 2))
		h.log = nil
		d.AttemptUpdate(2.1, AttemptUpdate{Request: "r", Worker: "a", Started: true})
		d.AttemptUpdate(3, AttemptUpdate{Request: "r", Worker: "a", Share: 0.5})
		for now := 2.1; now < 4.4; { // the timers that check for progress
			if len(h.log) == 0 {
				break
			}
			tm := h.log[0]
			h.log = h.log[1:]
			if tm.name == "cancel" {
				t.Fatalf("effect %d: cancelled at %.2f", effect, now)
			}
			if now += tm.value; now < 4.4 {
				d.Timer(now, tm.token)
			} else {
				d.Timer(4.6, tm.token)
			}
		}
		if got := h.takeActions(); want != (len(got) == 1 && got[0].name == "cancel") {
			t.Errorf("effect %d: actions %v", effect, got)
		}
		if want {
			d.Outcome(4.6, Outcome{Request: "r", Worker: "a", Code: Cancelled, Latency: 2.6, Final: true})
			if life := d.byID["a"].lastAliveAt; life != 3 {
				t.Errorf("last alive at %.2f, the last update was at 3", life)
			}
		}
	}
}

func TestMovesAreRationedByThePriceOfWaste(t *testing.T) {
	s := testSettings(Idempotent)
	s.Prices.Waste = 0.3
	d, _ := newDispatcher(t, s, newWorkers("a"))
	for i := range 50 {
		d.Request(2, newRequest(fmt.Sprint(i), 2))
	}
	if d.moveCredit > 50*0.11 {
		t.Errorf("a credit of %.1f moves from 50 requests where waste is expensive", d.moveCredit)
	}
}

// TestMovesFollowTheirHitShare: requests add more credit for moves where moved jobs start at once, and less where they
// wait again.
func TestMovesFollowTheirHitShare(t *testing.T) {
	for _, free := range []bool{true, false} {
		s := testSettings(Idempotent)
		s.TellsStart, s.CanCancel = true, true
		d, _ := newDispatcher(t, s, newWorkers("a", "b", "c"))
		d.moveHitShare = 0.5
		due := func(r *request, no int, now float64) {
			for token, a := range d.attemptTimers {
				if a == r.attempts[no] {
					d.Timer(now, token)
				}
			}
		}
		for i := range 20 {
			id, now := fmt.Sprint(i), 2+float64(i)
			d.moveCredit = 1
			d.Request(now, newRequest(id, now))
			r := d.requests[id]
			due(r, 0, now+0.1)
			d.Outcome(now+0.1, Outcome{Request: id, Code: Cancelled, Latency: 0.1})
			if len(r.attempts) != 2 {
				t.Fatalf("%d attempts of a job that was cancelled", len(r.attempts))
			}
			if free {
				d.AttemptUpdate(now+0.101, AttemptUpdate{Request: id, Attempt: 1, Started: true})
			}
			due(r, 1, now+0.2)
			d.Outcome(now+0.5, Outcome{Request: id, Attempt: 1, Code: Done, Latency: 0.4, Final: true})
		}
		if free && d.moveHitShare < 0.7 || !free && d.moveHitShare > 0.3 {
			t.Errorf("free %v: the share of moves that found a free worker is %.2f", free, d.moveHitShare)
		}
		d.moveCredit = 0
		d.Request(100, newRequest("last", 100))
		if more := d.moveCredit > movesPerRequest; more != free {
			t.Errorf("free %v: a request adds a credit of %.2f moves", free, d.moveCredit)
		}
	}
}

func TestLateFleetShedsAShare(t *testing.T) {
	s := testSettings(AtMostOnce)
	s.TellsStart, s.MaxRetryAfter = true, 2
	s.Classes[0].LateWorth = 0.25 // a late share of a tenth is tolerated, as late answers keep some worth
	refused := func(late float64) (n int) {
		d, h := newDispatcher(t, s, newWorkers("a"))
		d.lateShare = late
		for i := range 200 {
			d.Request(2, newRequest(fmt.Sprint(i), 2))
		}
		for _, a := range h.takeActions() {
			if a.name == "refuse" {
				n++
			}
		}
		return n
	}
	if in, over := refused(0.1), refused(0.9); in != 0 || over < 100 || over > 180 {
		t.Errorf("refused %d of 200 at a late share of 0.1, %d at 0.9", in, over)
	}
	d, h := newDispatcher(t, s, newWorkers("a"))
	d.Request(2, newRequest("r", 2))
	h.takeActions()
	d.AttemptUpdate(4, AttemptUpdate{Request: "r", Worker: "a", Started: true})
	if d.lateShare == 0 {
		t.Error("a start 2 s after the attempt was sent did not count as late")
	}
}

// TestWaitingJobCountsAsLateBeforeItStarts: a job counts as late once it has waited too long for its aim, and only once. The
// wait counts from the request's arrival, even if the job was moved.
func TestWaitingJobCountsAsLateBeforeItStarts(t *testing.T) {
	s := testSettings(AtMostOnce)
	s.TellsStart = true
	d, _ := newDispatcher(t, s, newWorkers("a"))
	d.Request(2, newRequest("r", 2))
	d.refresh(2.1)
	if d.lateShare != 0 {
		t.Errorf("the late share is %.3f after 0.1 s of an aim of 0.2 s", d.lateShare)
	}
	d.refresh(2.3)
	once := d.lateShare
	d.refresh(2.5)
	d.AttemptUpdate(2.6, AttemptUpdate{Request: "r", Started: true})
	if once == 0 || d.lateShare != once {
		t.Errorf("the late share is %.3f after 0.3 s, %.3f after the start", once, d.lateShare)
	}
	s = testSettings(Idempotent)
	s.TellsStart, s.CanCancel = true, true
	d, _ = newDispatcher(t, s, newWorkers("a", "b"))
	d.Request(2, newRequest("r", 2))
	d.Outcome(2.19, Outcome{Request: "r", Code: Cancelled, Latency: 0.19})
	d.AttemptUpdate(2.25, AttemptUpdate{Request: "r", Attempt: 1, Started: true})
	if d.lateShare == 0 {
		t.Error("a job that started 0.25 s after its arrival, at its second worker, counts as in time")
	}
}

// TestStartsAfterAStallAreNotCounted: the wait of jobs during a stall of the dispatcher says nothing about the workers.
func TestStartsAfterAStallAreNotCounted(t *testing.T) {
	s := testSettings(AtMostOnce)
	s.TellsStart = true
	d, _ := newDispatcher(t, s, newWorkers("a"))
	d.Request(2, newRequest("r", 2))
	d.ProcessStalled()
	d.refresh(2.5)
	d.AttemptUpdate(2.6, AttemptUpdate{Request: "r", Started: true})
	if d.lateShare != 0 {
		t.Errorf("the late share is %.3f after a stall", d.lateShare)
	}
	d.Request(3, newRequest("q", 2))
	d.AttemptUpdate(3.6, AttemptUpdate{Request: "q", Started: true})
	if d.lateShare == 0 {
		t.Error("a request that arrived after the stall was not counted")
	}
}

// TestLateRetriesAreShedFirst: a client's retry that is too late for the aim is worth less than a new request.
func TestLateRetriesAreShedFirst(t *testing.T) {
	refused := map[bool]int{}
	for i := range 2000 {
		s := testSettings(Idempotent)
		s.Seed, s.Classes[0].LateWorth = uint64(i), 0.25
		d, h := newDispatcher(t, s, newWorkers("a"))
		d.lateShare, d.meanCost = 0.3, 1
		q := newRequest("r", 2)
		if i%2 == 0 {
			q.Deadline -= 3
		}
		d.Request(2, q)
		if h.takeActions()[0].name == "refuse" {
			refused[i%2 == 0]++
		}
	}
	if refused[true] < 2*refused[false] || refused[false] == 0 {
		t.Errorf("of 1000 each, %d late retries and %d new requests are refused", refused[true], refused[false])
	}
}

func TestShedTriesDoNotCountToAQuota(t *testing.T) {
	s := testSettings(AtMostOnce)
	s.Tenants = []Tenant{{Name: "t", Quota: 1000}}
	d, h := newDispatcher(t, s, newWorkers("a"))
	d.lateShare = 1
	for i := range 200 {
		q := newRequest(fmt.Sprint(i), 2)
		q.Tenant = 0
		d.Request(2, q)
	}
	admitted := 0
	for _, a := range h.takeActions() {
		if a.name == "assign" {
			admitted++
		}
	}
	if got := d.tenants[0].requestRate.perS(2) * rateDecayS; admitted == 0 || admitted > 100 || math.Abs(got-float64(admitted)) > 1e-6 {
		t.Errorf("of 200 tries %d were admitted, %.1f count to the quota", admitted, got)
	}
}

func TestIdleConnectionsAreClosedWhereTablesAreFull(t *testing.T) {
	s := testSettings(Idempotent)
	s.DialTimeout, s.Classes[0].LateWorth = 0.2, 1
	closes := func(latency float64) (n int) {
		d, h := newDispatcher(t, s, newWorkers("a", "b"))
		for i := range 40 {
			id, now := fmt.Sprint(i), 2+20*float64(i)
			d.Request(now, newRequest(id, now))
			w := expectOne(t, h, "assign").worker
			d.Outcome(now, Outcome{Request: id, Worker: w, Code: NoConnect, Latency: latency})
			w = expectOne(t, h, "assign").worker
			d.Outcome(now+0.1, Outcome{Request: id, Attempt: 1, Worker: w, Code: Done, Latency: 0.1, Final: true})
			n += len(h.takeActions())
		}
		return n
	}
	if refused, unreachable := closes(0.002), closes(0.2); refused == 0 || unreachable != 0 {
		t.Errorf("closed %d times if connections are refused at once, %d times if dialling times out", refused, unreachable)
	}
}

func TestCostlyJobsAreShedFirst(t *testing.T) {
	s := testSettings(AtMostOnce)
	s.Classes = append(s.Classes, s.Classes[0])
	s.Classes[1].Worth = 10
	d, h := newDispatcher(t, s, newWorkers("a"))
	d.lateShare = 0.5
	for i := range 400 {
		q := newRequest(fmt.Sprint(i), 2)
		q.Class = i % 2
		d.Request(2, q)
	}
	refused := [2]int{}
	for _, a := range h.takeActions() {
		if a.name == "refuse" {
			var i int
			fmt.Sscan(a.request, &i)
			refused[i%2]++
		}
	}
	if refused[0] < 2*refused[1] {
		t.Errorf("refused %d of low worth, %d of high worth", refused[0], refused[1])
	}
}

func TestRetriesFollowTheSlackOfTheAim(t *testing.T) {
	paid := func(aim, stretch float64) float64 {
		s := testSettings(Idempotent)
		s.Classes[0].Aim, s.Classes[0].Stretch = aim, stretch
		d, _ := newDispatcher(t, s, newWorkers("a"))
		setResponse(d, "a", 0.5)
		d.refresh(1)
		before := d.retryCredit
		d.Request(2, newRequest("r", 2))
		return d.retryCredit - before
	}
	if tight, loose := paid(0.1, 2), paid(0.6, 2); tight > 0.1 || loose < 1 {
		t.Errorf("a request adds a credit of %.2f retries if its aim leaves no slack, %.2f if it leaves the time of a run", tight, loose)
	}
}

func TestAllDispatchersDrawTheSameWorkersForAKey(t *testing.T) {
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint("w", i))
	}
	s := testSettings(Idempotent)
	at := map[uint64]map[string]bool{}
	for me := range 8 {
		s.Self, s.Seed = me, uint64(me)
		list := newWorkers(ids...)
		list[me], list[49-me] = list[49-me], list[me] // the order of a list must not matter
		d, h := newDispatcher(t, s, list)
		for key := range uint64(10) {
			q := newRequest(fmt.Sprint(key), 2)
			q.Key, q.HasKey = key, true
			d.Request(2, q)
			if at[key] == nil {
				at[key] = map[string]bool{}
			}
			at[key][expectOne(t, h, "assign").worker] = true
		}
	}
	all := map[string]bool{}
	for key, workers := range at {
		if len(workers) > sampleWorkers {
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

// TestLatenessIsToleratedByItsWorth: if late answers are worth nothing, requests are refused as soon as any are late. If late
// answers keep a part of their worth, requests are refused only beyond the tolerated late share.
func TestLatenessIsToleratedByItsWorth(t *testing.T) {
	for _, tc := range []struct {
		lateWorth, lateShare float64
		least, most          int
	}{{0, 0, 0, 0}, {0, 0.15, 80, 160}, {0.1, 0.15, 10, 110}, {0.25, 0.15, 0, 0}, {0.5, 0.15, 0, 0}, {0.25, 0.3, 50, 130}} {
		s := testSettings(Idempotent)
		s.Classes[0].LateWorth = tc.lateWorth
		d, h := newDispatcher(t, s, newWorkers("a", "b", "c"))
		refused := 0
		for i := range 400 {
			d.lateShare = tc.lateShare
			d.Request(1, newRequest(fmt.Sprint(i), 1))
			for _, x := range h.takeActions() {
				if x.name == "refuse" {
					refused++
				}
				if x.name == "assign" {
					d.Outcome(1, Outcome{Request: fmt.Sprint(i), Worker: x.worker, Code: Done, Latency: 0.01, Final: true})
				}
			}
		}
		if refused < tc.least || refused > tc.most {
			t.Errorf("late worth %v, late share %v: %d of 400 refused, want %d to %d", tc.lateWorth, tc.lateShare, refused, tc.least, tc.most)
		}
	}
}

// TestSheddingAllowsForRetries: the share of requests that are refused for good is the intended one, whether or not clients
// retry refused requests.
func TestSheddingAllowsForRetries(t *testing.T) {
	const meant = 0.3
	for tries, want := range map[int][2]float64{1: {meant - 0.05, meant + 0.05}, 2: {meant - 0.05, meant + 0.05}, 3: {meant - 0.05, meant + 0.05}} {
		s := testSettings(Idempotent)
		s.Classes[0].LateWorth = 0.25
		d, h := newDispatcher(t, s, newWorkers("a", "b"))
		const n = 6000
		away := 0
		for i := range n {
			d.lateShare = toleratedLateShare + meant/shedPerLateShare
			for try := range tries {
				id := fmt.Sprint(i, " ", try)
				q := newRequest(id, 2)
				q.Repeat = try > 0
				d.Request(2, q)
				refused := false
				for _, a := range h.takeActions() {
					refused = refused || a.name == "refuse"
				}
				if !refused {
					d.Outcome(2, Outcome{Request: id, Code: Done, Latency: 0.01, Final: true})
					h.takeActions()
					break
				}
				if try == tries-1 && i > n/3 {
					away++
				}
			}
		}
		if got := float64(away) / (n * 2 / 3); got < want[0] || got > want[1] {
			t.Errorf("%d tries: a share of %.2f is refused for good, want %.2f", tries, got, meant)
		}
	}
}

// TestRequestIsNotSentTwiceWhereItMayHaveRun: a worker gets a request again if the connection failed or if it refused the
// request unread. It does not if the request may have run there, or if it returned the request by a message, as that may
// arrive again.
func TestRequestIsNotSentTwiceWhereItMayHaveRun(t *testing.T) {
	for code, again := range map[Code]bool{NoConnect: true, Busy: true, Errored: false, Reset: false, StaleConnection: false, Returned: false} {
		d, _ := newDispatcher(t, testSettings(Idempotent), newWorkers("a"))
		d.Request(1, newRequest("r", 1))
		r, w := d.requests["r"], d.byID["a"]
		d.Outcome(1.01, Outcome{Request: "r", Worker: "a", Code: code, Latency: 0.01})
		w.ejectedUntil, w.unsafeUntil, w.fullUntil = 0, 0, 0 // as after a long time
		if got := d.allowed(1.1, r, &d.classes[0], r.firstMaybeRun(), w, false); got != again {
			t.Errorf("code %v: allowed again: %v, want %v", code, got, again)
		}
	}
}
