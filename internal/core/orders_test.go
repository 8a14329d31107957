package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"foldlb.example/foldlb/choice"
)

func routeSetUpdate(full bool, workers ...Worker) Event {
	return RouteSetTold{RouteSet: RouteSet{Version: 9, Full: full, Workers: workers}}
}

// TestBans checks the effects of each order, and the fault of orders that are refused.
func TestBans(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a", "b")
	ordered := func(ev BanOrdered, drops int, want OrderFault) {
		t.Helper()
		ev.Order = 5
		got := r.Step(r.now+0.01, ev)
		if len(got) != drops+1 || got[drops] != (Ordered{Order: 5, Fault: want}) || drops == 1 && got[0] != (DropWorker{Addr: "a:1"}) {
			t.Errorf("%+v: %+v", ev, got)
		}
	}
	ordered(BanOrdered{Worker: "x"}, 0, UnknownWorker)
	ordered(BanOrdered{Worker: "x", Lift: true}, 0, UnknownWorker)
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, "") // not banned
	ordered(BanOrdered{Worker: "a"}, 1, "")
	ordered(BanOrdered{Worker: "a"}, 0, "")
	if v := r.View(r.now); v != (View{Known: 2, Excluded: 1}) {
		t.Errorf("%+v", v)
	}
	for i := range 6 {
		expect(t, r.Step(r.now+0.01, call(fmt.Sprint("r", i))), "send b")
	}
	r.Step(r.now, routeSetUpdate(true, workers("b")...)) // a ban outlives its worker's entry in the list
	ordered(BanOrdered{Worker: "a"}, 0, "")
	if v := r.View(r.now); v != (View{Known: 1}) {
		t.Errorf("%+v", v)
	}
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, "")
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, UnknownWorker)
}

// TestBansOverrideTheDecisionModule: nothing is sent to a banned worker even if the decision module selects it.
func TestBansOverrideTheDecisionModule(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a", "b")
	r.Step(2, BanOrdered{Worker: "b"})
	expect(t, r.Step(2, call("r")), "send a")
	host{r}.Assign("r", "b", 0)
	if len(r.effects) != 0 {
		t.Errorf("%+v", r.effects)
	}
}

// TestDrainOrder: a draining dispatcher reports itself as not ready, also after a repeated order, and still takes requests.
func TestDrainOrder(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
	yes, no := fmt.Sprint("answer ", Served, " ready\n"), fmt.Sprint("answer ", Busy, " ")
	r.Step(2, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 1}})
	expect(t, r.Step(2, DrainOrdered{End: true}), "core.Ordered")
	expect(t, r.Step(2, HealthAsked{Exchange: 1}), yes)
	expect(t, r.Step(2, DrainOrdered{}), "core.SendAway", "core.Ordered")
	expect(t, r.Step(2, DrainOrdered{}), "core.Ordered")
	expect(t, r.Step(2, HealthAsked{Exchange: 2}), no)
	expect(t, r.Step(2, call("r")), "send a")
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	if r, err = Import(testSettings(choice.Idempotent), st); err != nil || !r.Draining() {
		t.Fatalf("imported with draining %v, %v", r.Draining(), err)
	}
	expect(t, r.Step(2, DrainOrdered{End: true}), "core.SendAway", "core.Ordered")
	expect(t, r.Step(2, HealthAsked{Exchange: 3}), yes)
}

// TestReturnedWorkerIsCold: a returned worker counts as just started until its warm-up time has passed, whatever discovery
// reports as its start.
func TestReturnedWorkerIsCold(t *testing.T) {
	s := testSettings(choice.Idempotent)
	s.WarmWithin, s.ColdShare, s.TipAfter = 24, 0.13, 2
	r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a")}, "")
	if err != nil {
		t.Fatal(err)
	}
	worker := workers("a")[0]
	if w := r.deciderWorker(worker); w.Started != 0 || w.State != choice.InService {
		t.Errorf("%+v", w)
	}
	r.Step(50, BanOrdered{Worker: "a"})
	if w := r.deciderWorker(worker); w.State != choice.Terminating {
		t.Errorf("%+v", w)
	}
	r.Step(60, BanOrdered{Worker: "a", Lift: true})
	if w := r.deciderWorker(worker); w.Started != 60 || w.State != choice.InService {
		t.Errorf("%+v", w)
	}
	worker.Started = 70 // restarted since
	if w := r.deciderWorker(worker); w.Started != 70 {
		t.Errorf("%+v", w)
	}
	r.Step(80, routeSetUpdate(true))
	r.Step(80, routeSetUpdate(true)) // an empty list is applied when it is received again
	if len(r.restoredAt) != 0 {
		t.Error("the return of an unlisted worker is kept")
	}
}

// TestReturnedWorkerIsTried: a worker that was much slower than the others before its ban gets requests within 5 s of its
// return, and no more than a worker that has just started.
func TestReturnedWorkerIsTried(t *testing.T) {
	s := testSettings(choice.Idempotent)
	s.WarmWithin, s.ColdShare, s.TipAfter = 24, 0.13, 2
	r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b", "c")}, "")
	if err != nil {
		t.Fatal(err)
	}
	now, exchange := 1.0, ExchangeID(0)
	// play sends a request every 20 ms; jobs take 2 s at worker a and 50 ms elsewhere. It returns the number of jobs at a.
	type due struct {
		at float64
		ev JobReported
	}
	var open []due
	play := func(until float64) (n int) {
		for ; now < until; now += 0.02 {
			exchange++
			events := []Event{CallArrived{Call: Call{Exchange: exchange, ID: RequestID(fmt.Sprint(exchange)), Class: "c", Remaining: 5, Slots: 1}}}
			left := open[:0]
			for _, d := range open {
				if d.at <= now {
					events = append(events, d.ev)
				} else {
					left = append(left, d)
				}
			}
			open = left
			for _, ev := range events {
				for _, e := range r.Step(now, ev) {
					b, ok := e.(SendBranch)
					if !ok {
						continue
					}
					r.Step(now, BranchTaken{Branch: b.Branch})
					r.Step(now, JobReported{Request: b.Request, From: b.Worker, State: JobStarted})
					takes := 0.05
					if b.Worker == "a" {
						n, takes = n+1, 2
					}
					open = append(open, due{now + takes, JobReported{Request: b.Request, From: b.Worker, State: JobDone}})
				}
			}
		}
		return n
	}
	play(20)
	r.Step(now, BanOrdered{Worker: "a"})
	if n := play(now + 5); n != 0 {
		t.Fatalf("%d jobs during its ban", n)
	}
	r.Step(now, BanOrdered{Worker: "a", Lift: true})
	if n := play(now + 5); n == 0 || n > 60 { // of 250; the share of a warm worker would be a third
		t.Errorf("%d jobs in the 5 s after its return", n)
	}
}

// TestNothingIsSentToBannedWorkers draws updates, bans, returns, calls and handovers: a banned worker gets nothing, one
// return ends any number of bans, and nothing else ends a ban.
func TestNothingIsSentToBannedWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings(choice.Idempotent)
		r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b", "c")}, "")
		if err != nil {
			t.Fatal(err)
		}
		out := map[WorkerID]bool{}
		listed := map[WorkerID]bool{"a": true, "b": true, "c": true}
		now, id := 1.0, rapid.SampledFrom([]WorkerID{"a", "b", "c", "d"})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.02, 0.3, 2}).Draw(t, "passes")
			var ev Event
			want := Ordered{Order: OrderID(i + 1)}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				worker := id.Draw(t, "ban")
				if !listed[worker] && !out[worker] {
					want.Fault = UnknownWorker
				} else {
					out[worker] = true
				}
				ev = BanOrdered{Order: want.Order, Worker: worker}
			case 1:
				worker := id.Draw(t, "return")
				if !listed[worker] && !out[worker] {
					want.Fault = UnknownWorker
				}
				delete(out, worker)
				ev = BanOrdered{Order: want.Order, Worker: worker, Lift: true}
			case 2:
				full := rapid.Bool().Draw(t, "full")
				if full {
					clear(listed)
				}
				var update []Worker
				for _, h := range workers("a", "b", "c", "d") {
					if rapid.Bool().Draw(t, "told") {
						h.State = WorkerState(rapid.IntRange(0, 2).Draw(t, "state"))
						h.Addr += rapid.SampledFrom([]string{"", "0"}).Draw(t, "moved")
						h.Started = rapid.SampledFrom([]float64{0, now}).Draw(t, "started")
						if listed[h.ID] = true; h.State == WorkerLeft {
							delete(listed, h.ID)
						}
						update = append(update, h)
					}
				}
				ev = routeSetUpdate(full, update...)
				if full && len(update) == 0 {
					r.Step(now, ev) // an empty list is applied when it is received again
				}
			case 3:
				st, err := r.Export()
				if err != nil {
					t.Fatal(err)
				}
				if r, err = Import(s, st); err != nil {
					t.Fatal(err)
				}
				ev = Reloaded{}
			default:
				ev = CallArrived{Call: Call{Exchange: ExchangeID(i + 1), ID: RequestID(fmt.Sprint(i)), Class: "c", Remaining: 3, Slots: 1}}
			}
			_, order := ev.(BanOrdered)
			for _, e := range r.Step(now, ev) {
				if b, ok := e.(SendBranch); ok && out[b.Worker] {
					t.Fatalf("step %d: a branch to %s, which is banned", i, b.Worker)
				}
				if o, ok := e.(Ordered); ok && (!order || o != want) {
					t.Fatalf("step %d: %+v, not %+v", i, o, want)
				}
			}
			for worker := range out {
				if !r.banned[worker] {
					t.Fatalf("step %d: %s is no longer banned", i, worker)
				}
			}
			if len(r.banned) != len(out) {
				t.Fatalf("step %d: %v are banned, want %v", i, r.banned, out)
			}
		}
	})
}
