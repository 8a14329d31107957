package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"foldlb.example/foldlb/choice"
)

func told(full bool, workers ...Worker) Event {
	return RouteSetTold{RouteSet: RouteSet{Version: 9, Full: full, Workers: workers}}
}

// TestBans: each order's effects, and the fault of those that can't be followed.
func TestBans(t *testing.T) {
	r := start(t, choice.Idempotent, "a", "b")
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
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, "") // it is not out
	ordered(BanOrdered{Worker: "a"}, 1, "")
	ordered(BanOrdered{Worker: "a"}, 0, "")
	if v := r.View(r.now); v != (View{Known: 2, Excluded: 1}) {
		t.Errorf("%+v", v)
	}
	for i := range 6 {
		expect(t, r.Step(r.now+0.01, call(fmt.Sprint("r", i))), "send b")
	}
	r.Step(r.now, told(true, workers("b")...)) // a has left the list, and is out all the same
	ordered(BanOrdered{Worker: "a"}, 0, "")
	if v := r.View(r.now); v != (View{Known: 1}) {
		t.Errorf("%+v", v)
	}
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, "")
	ordered(BanOrdered{Worker: "a", Lift: true}, 0, UnknownWorker)
}

// TestBansBindTheModule: whatever it still thinks of a worker that is out, nothing is sent there.
func TestBansBindTheModule(t *testing.T) {
	r := start(t, choice.Idempotent, "a", "b")
	r.Step(2, BanOrdered{Worker: "b"})
	expect(t, r.Step(2, call("r")), "send a")
	host{r}.Assign("r", "b", 0)
	if len(r.effects) != 0 {
		t.Errorf("%+v", r.effects)
	}
}

// TestDrainByHand: the health check says no until the end, whatever order is given twice; jobs are taken on.
func TestDrainByHand(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
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
	if r, err = Import(settings(choice.Idempotent), st); err != nil || !r.Draining() {
		t.Fatalf("taken up as draining %v, %v", r.Draining(), err)
	}
	expect(t, r.Step(2, DrainOrdered{End: true}), "core.SendAway", "core.Ordered")
	expect(t, r.Step(2, HealthAsked{Exchange: 3}), yes)
}

// TestReturnIsCold: whoever was out is sent no more than a worker that has just started may bear, and is one again
// after the time to warm up, whatever discovery says of its start.
func TestReturnIsCold(t *testing.T) {
	s := settings(choice.Idempotent)
	s.WarmWithin, s.ColdShare, s.TipAfter = 24, 0.13, 2
	r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a")}, "")
	if err != nil {
		t.Fatal(err)
	}
	h := workers("a")[0]
	if w := r.deciderWorker(h); w.Started != 0 || w.State != choice.InService {
		t.Errorf("%+v", w)
	}
	r.Step(50, BanOrdered{Worker: "a"})
	if w := r.deciderWorker(h); w.State != choice.Terminating {
		t.Errorf("%+v", w)
	}
	r.Step(60, BanOrdered{Worker: "a", Lift: true})
	if w := r.deciderWorker(h); w.Started != 60 || w.State != choice.InService {
		t.Errorf("%+v", w)
	}
	h.Started = 70 // restarted since
	if w := r.deciderWorker(h); w.Started != 70 {
		t.Errorf("%+v", w)
	}
	r.Step(80, told(true))
	r.Step(80, told(true)) // an empty list is believed the second time
	if len(r.restoredAt) != 0 {
		t.Error("a return is remembered of a worker that is not listed")
	}
}

// TestReturnIsTried: a worker that was far slower than the others before it was taken out is offered work within 5 s of
// its return, and no more than one that has just started may bear.
func TestReturnIsTried(t *testing.T) {
	s := settings(choice.Idempotent)
	s.WarmWithin, s.ColdShare, s.TipAfter = 24, 0.13, 2
	r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b", "c")}, "")
	if err != nil {
		t.Fatal(err)
	}
	now, exchange := 1.0, ExchangeID(0)
	// play asks for a job every 20 ms; a's take 2 s, the others' 50 ms. It counts a's.
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
		t.Fatalf("%d jobs while it is out", n)
	}
	r.Step(now, BanOrdered{Worker: "a", Lift: true})
	if n := play(now + 5); n == 0 || n > 60 { // of 250; a third of them would be a warm one's share
		t.Errorf("%d jobs in the 5 s after its return", n)
	}
}

// TestNothingToBanned draws news, bans, returns, calls and hand-overs: nothing is ever sent to a worker that is out,
// one return ends any number of bans, and no ban ends otherwise.
func TestNothingToBanned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings(choice.Idempotent)
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
				var news []Worker
				for _, h := range workers("a", "b", "c", "d") {
					if rapid.Bool().Draw(t, "told") {
						h.State = WorkerState(rapid.IntRange(0, 2).Draw(t, "state"))
						h.Addr += rapid.SampledFrom([]string{"", "0"}).Draw(t, "moved")
						h.Started = rapid.SampledFrom([]float64{0, now}).Draw(t, "started")
						if listed[h.ID] = true; h.State == WorkerLeft {
							delete(listed, h.ID)
						}
						news = append(news, h)
					}
				}
				ev = told(full, news...)
				if full && len(news) == 0 {
					r.Step(now, ev) // an empty list is believed the second time
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
					t.Fatalf("step %d: a branch to %s, which is out", i, b.Worker)
				}
				if o, ok := e.(Ordered); ok && (!order || o != want) {
					t.Fatalf("step %d: %+v, not %+v", i, o, want)
				}
			}
			for worker := range out {
				if !r.banned[worker] {
					t.Fatalf("step %d: %s is no longer out", i, worker)
				}
			}
			if len(r.banned) != len(out) {
				t.Fatalf("step %d: %v are out, not %v", i, r.banned, out)
			}
		}
	})
}
