package core

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
)

func settings(effect choice.Effect) choice.Settings {
	return choice.Settings{Dispatchers: 1, MaxAttempts: 3, FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1,
		ServiceMillis: -1, RetryAfter: true, MaxRetryAfter: 2, CanCancel: true, SecondCopies: true, TellsStart: true,
		Prices: choice.Prices{Waste: 0.01}, OverloadFactor: 3,
		Classes: []choice.Class{{Name: "c", Effect: effect, Aim: 0.2, Stretch: 2, Deadline: 5, Worth: 1}}}
}

func workers(ids ...string) (list []Worker) {
	for _, id := range ids {
		list = append(list, Worker{ID: WorkerID(id), Addr: id + ":1", Zone: "a", Kind: "k", Weight: 1})
	}
	return list
}

func start(t *testing.T, effect choice.Effect, ids ...string) *Reducer {
	t.Helper()
	r, err := New(1, settings(effect), RouteSet{Version: 1, Workers: workers(ids...)}, "")
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func call(id string) Event {
	return CallArrived{Call: Call{Exchange: 7, ID: RequestID(id), Class: "c", Remaining: 5, Slots: 1}}
}

// brief names effects: answers by verdict, the others by type and worker.
func brief(effects []Effect) (out []string) {
	for _, e := range effects {
		switch e := e.(type) {
		case Answer:
			out = append(out, fmt.Sprint("answer ", e.Verdict, " ", string(e.Body)))
		case SendBranch:
			out = append(out, fmt.Sprint("send ", e.Worker))
		case GiveUpBranch:
			out = append(out, fmt.Sprint("give up ", e.Worker))
		default:
			out = append(out, fmt.Sprintf("%T", e))
		}
	}
	return out
}

func expect(t *testing.T, got []Effect, want ...string) {
	t.Helper()
	if b := brief(got); !reflect.DeepEqual(b, want) {
		t.Fatalf("effects %q, want %q", b, want)
	}
}

// TestOutcomes plays one request at one worker and what comes back, by class effect.
func TestOutcomes(t *testing.T) {
	report := func(s JobState) Event { return JobReported{Request: "r", From: "a", State: s, Result: []byte("x")} }
	served, busy, failed := fmt.Sprint("answer ", Served, " x"), fmt.Sprint("answer ", Busy, " "), fmt.Sprint("answer ", Failed, " ")
	for _, tc := range []struct {
		name   string
		effect choice.Effect
		ev     Event
		want   []string
	}{
		{"done", choice.AtMostOnce, report(JobDone), []string{served}},
		{"failed", choice.AtMostOnce, report(JobFailed), []string{failed}},
		{"lost", choice.AtMostOnce, report(JobLost), []string{failed}},
		{"broken after writing", choice.AtMostOnce, BranchFailed{1, BrokenAfterSend}, []string{"give up a", failed}},
		{"a kept connection broke", choice.AtMostOnce, BranchFailed{1, StaleConnection}, []string{"give up a", failed}},
		{"errored", choice.AtMostOnce, BranchFailed{1, Errored}, []string{failed}},
		{"no connection", choice.AtMostOnce, BranchFailed{1, NoConnect}, []string{busy}},
		{"error of what may be repeated", choice.Idempotent, report(JobFailed), []string{busy}},
		{"unfit", choice.Idempotent, BranchFailed{1, RequestUnusable}, []string{fmt.Sprint("answer ", Rejected, " ")}},
		{"started", choice.AtMostOnce, report(JobStarted), nil},
		{"report from another worker", choice.AtMostOnce, JobReported{Request: "r", From: "b", State: JobDone}, nil},
		{"report on another request", choice.AtMostOnce, JobReported{Request: "q", From: "a", State: JobDone}, nil},
		{"fault of another branch", choice.AtMostOnce, BranchFailed{9, BrokenAfterSend}, nil},
		{"caller left", choice.AtMostOnce, CallerLeft{7}, []string{"give up a"}},
		{"caller left, of what may be repeated", choice.Idempotent, CallerLeft{7}, []string{"give up a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := start(t, tc.effect, "a")
			expect(t, r.Step(2, call("r")), "send a")
			// Held requests are tried again by timer: let those run too, and repeat the event.
			got := r.Step(2.1, tc.ev)
			got = append(got, r.Step(2.3, tc.ev)...)
			expect(t, got, tc.want...)
		})
	}
}

func TestOneFinalAnswerAtTheDeadline(t *testing.T) {
	for effect, verdict := range map[choice.Effect]Verdict{choice.AtMostOnce: Failed, choice.Idempotent: Busy} {
		r := start(t, effect, "a")
		r.Step(2, call("r"))
		r.Step(2.01, JobReported{Request: "r", From: "a", State: JobStarted})
		if due, ok := r.NextTimer(); !ok || due > 7 {
			t.Fatalf("next tick at %v, %v", due, ok)
		}
		expect(t, r.Step(6.99, Tick{}))
		expect(t, r.Step(7, Tick{}), "give up a", fmt.Sprint("answer ", verdict, " "))
		expect(t, r.Step(7.1, JobReported{Request: "r", From: "a", State: JobDone}))
		if len(r.requests)+len(r.exchanges)+len(r.branches) != 0 {
			t.Errorf("kept: %v %v %v", r.requests, r.exchanges, r.branches)
		}
	}
}

// TestStoppingAnswersAll: what ends with the process gets its answer first, and a promise only where it holds.
func TestStoppingAnswersAll(t *testing.T) {
	for effect, verdict := range map[choice.Effect]Verdict{choice.AtMostOnce: Failed, choice.Deduplicated: Failed,
		choice.Idempotent: Busy} {
		r := start(t, effect, "a")
		r.Step(2, call("r"))
		expect(t, r.Step(3, Stopping{}), fmt.Sprint("answer ", verdict, " "), "give up a")
		expect(t, r.Step(4, Stopping{}))
		expect(t, r.Step(4.1, call("late")), fmt.Sprint("answer ", Busy, " ")) // nothing that comes then is sent on
	}
}

// TestReadyWhenDiscoveryHasAnswered: a new process watches at once, from the version that it remembers, and is ready when that has told or
// refused something, or after a time whatever discovery does. Requests that come before are served.
func TestReadyWhenDiscoveryHasAnswered(t *testing.T) {
	yes, no := fmt.Sprint("answer ", Served, " ready\n"), fmt.Sprint("answer ", Busy, " ")
	for _, asked := range []bool{true, false} {
		for name, answer := range map[string]func(r *Reducer) Event{
			"told":    func(r *Reducer) Event { return RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 1}} },
			"refused": func(r *Reducer) Event { return RouteSetRefused{Source: r.source} },
			"silent":  nil,
		} {
			s := settings(choice.Idempotent)
			s.ListOnRequest, s.AskWithin = asked, 10
			r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a")}, "d:1")
			if err != nil {
				t.Fatal(err)
			}
			if w := r.Resume(); len(w) != 1 || w[0] != (Watch{On: true, Source: r.source, Since: 1}) {
				t.Errorf("%s, asked %v: begins with %+v", name, asked, w)
			}
			health := func(at float64) []Effect { return r.Step(at, HealthAsked{Exchange: 1}) }
			expect(t, health(1.1), no)
			if got := brief(r.Step(1.2, call("r"))); len(got) != 1 || got[0] != "send a" {
				t.Errorf("%s: effects %q", name, got)
			}
			if answer != nil {
				r.Step(1.3, answer(r))
				expect(t, health(1.3), yes)
				continue
			}
			if got := brief(health(1 + mostUninformed - 0.01)); got[len(got)-1] != no {
				t.Errorf("silent: effects %q", got)
			}
			if got := brief(health(1 + mostUninformed)); got[len(got)-1] != yes {
				t.Errorf("silent: effects %q", got)
			}
		}
	}
}

// TestDeadlineIsTheClassesAtMost: no caller is waited for, and remembered, for longer than its class allows.
func TestDeadlineIsTheClassesAtMost(t *testing.T) {
	r := start(t, choice.AtMostOnce, "a")
	long := call("r").(CallArrived)
	long.Call.Remaining = 3600
	r.Step(2, long)
	expect(t, r.Step(7, Tick{}), "give up a", fmt.Sprint("answer ", Failed, " "))
}

// TestUnansweredRequestFailsAtTheDeadline hides a request from the decider, so that the reducer must answer.
func TestUnansweredRequestFailsAtTheDeadline(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	q := &request{call: Call{Exchange: 3, ID: "r"}, deadline: 4}
	r.requests["r"], r.exchanges[3] = q, q
	r.after(q.deadline, timer{kind: timerExpire, request: "r", exchange: 3})
	expect(t, r.Step(4, Tick{}), fmt.Sprint("answer ", Failed, " "))
}

func TestRefusedCalls(t *testing.T) {
	for _, tc := range []struct {
		name string
		call Call
		want Verdict
	}{
		{"unknown class", Call{ID: "x", Class: "none", Remaining: 1}, Rejected},
		{"id in use", Call{ID: "r", Class: "c", Remaining: 1}, Rejected},
		{"no time", Call{ID: "x", Class: "c"}, Failed},
	} {
		r := start(t, choice.Idempotent, "a")
		r.Step(2, call("r"))
		expect(t, r.Step(2, CallArrived{tc.call}), fmt.Sprint("answer ", tc.want, " "))
	}
}

// TestBadRequestsLeaveWorkersAlone: what a worker can't use, or what was never sent to it, must not make the
// decider shun it, and a used id stays used until its deadline.
func TestBadRequestsLeaveWorkersAlone(t *testing.T) {
	r := start(t, choice.AtMostOnce, "a")
	for i := range 5 {
		id := fmt.Sprint("bad", i)
		expect(t, r.Step(2, call(id)), "send a")
		expect(t, r.Step(2, BranchFailed{r.lastID, RequestUnusable}), fmt.Sprint("answer ", Rejected, " "))
		expect(t, r.Step(2, call(id)), fmt.Sprint("answer ", Rejected, " "))
	}
	expect(t, r.Step(2, call("r")), "send a")
	expect(t, r.Step(2, BranchFailed{r.lastID, NotSent}))
	expect(t, r.Step(2.1, Tick{}), "send a") // held for a moment, not barred
	expect(t, r.Step(2.2, JobReported{Request: "r", From: "a", State: JobDone}), fmt.Sprint("answer ", Served, " "))
	r.Step(8, Tick{})
	if len(r.spent)+len(r.requests) != 0 {
		t.Errorf("kept: %v %v", r.spent, r.requests)
	}
	expect(t, r.Step(8, call("bad0")), "send a")
}

// TestJobInDoubt: a job whose connection broke before its 202 may run all the same. One that must not run twice
// is waited for, shortly; one that is known to run is served when it is done.
func TestJobInDoubt(t *testing.T) {
	served, failed := fmt.Sprint("answer ", Served, " x"), fmt.Sprint("answer ", Failed, " ")
	report := func(s JobState) Event { return JobReported{Request: "r", From: "a", State: s, Result: []byte("x")} }
	r := start(t, choice.AtMostOnce, "a")
	r.Step(2, call("r"))
	expect(t, r.Step(2.1, BranchFailed{1, BrokenAfterSend}))
	expect(t, r.Step(2.2, report(JobStarted)))
	expect(t, r.Step(2.5, Tick{}))
	expect(t, r.Step(3, report(JobDone)), served)

	r = start(t, choice.AtMostOnce, "a")
	r.Step(2, call("r"))
	expect(t, r.Step(2.1, BranchFailed{1, BrokenAfterSend}))
	expect(t, r.Step(2.1+2*doubtTime, Tick{}), "give up a", failed)

	r = start(t, choice.Idempotent, "a", "b")
	r.Step(2, call("r"))
	from := r.branches[1].worker
	if got := brief(r.Step(2.1, BranchFailed{1, BrokenAfterSend})); len(got) != 2 || got[0] != "give up "+string(from) || got[1] == "send "+string(from) {
		t.Fatalf("effects %q, want that one given up and another branch", got)
	}
	got := brief(r.Step(2.2, JobReported{Request: "r", From: from, State: JobDone, Result: []byte("x")}))
	if len(got) != 2 || got[0] != served || got[1][:7] != "give up" {
		t.Errorf("effects %q, want the late result served and the other branch given up", got)
	}
	if len(r.requests)+len(r.branches)+len(r.exchanges) != 0 {
		t.Errorf("kept: %v %v %v", r.requests, r.branches, r.exchanges)
	}
}

// TestHostActions drives the decider's host directly.
func TestHostActions(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(h host)
		want []string
	}{
		{"until is clamped to the deadline", func(h host) { h.Assign("r", "b", 99) }, []string{"send b"}},
		{"a time past is skipped", func(h host) { h.Assign("r", "b", 1) }, nil},
		{"an unlisted worker is skipped", func(h host) { h.Assign("r", "z", 0) }, nil},
		{"a leaving worker is skipped", func(h host) { h.Assign("r", "gone", 0) }, nil},
		{"an unknown request is logged", func(h host) { h.Assign("q", "b", 0) }, []string{"core.Log"}},
		{"cancel ends once", func(h host) { h.Cancel("r", 0); h.Cancel("r", 7) }, []string{"give up a"}},
		{"one answer", func(h host) { h.Refuse("r", 9); h.Fail("r") }, []string{fmt.Sprint("answer ", Busy, " "), "give up a"}},
		{"watch", func(h host) { h.r.watching = false; h.Subscribe(true) }, []string{"core.Watch"}},
		{"a watch that runs is left alone", func(h host) { h.Subscribe(true) }, nil},
		{"fetch", func(h host) { h.ListAll() }, []string{"core.FetchRouteSet"}},
		{"close idle", func(h host) { h.CloseIdle("b") }, []string{"core.CloseIdle"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := start(t, choice.Idempotent, "a", "b")
			r.workers["gone"] = Worker{ID: "gone", Addr: "gone:1", State: WorkerLeaving}
			for { // until the request is at a
				if brief(r.Step(2, call("r")))[0] == "send a" {
					break
				}
				r = start(t, choice.Idempotent, "a")
				r.workers["b"] = Worker{ID: "b", Addr: "b:1"}
				r.workers["gone"] = Worker{ID: "gone", Addr: "gone:1", State: WorkerLeaving}
			}
			tc.act(host{r})
			expect(t, r.effects, tc.want...)
			for _, e := range r.effects {
				if s, ok := e.(SendBranch); ok && s.Until != 7 {
					t.Errorf("until %v, want the deadline 7", s.Until)
				}
				if a, ok := e.(Answer); ok && a.Pause != 2 {
					t.Errorf("pause %v, want the most that callers honour", a.Pause)
				}
			}
			r.settle()
			for id, b := range r.branches {
				if b.ended {
					t.Errorf("branch %d ended and is kept", id)
				}
			}
		})
	}
}

// TestDrainComesBeforeLaterBranches guards the drain rule inside the reducer.
func TestDrainComesBeforeLaterBranches(t *testing.T) {
	r := start(t, choice.Idempotent, "a", "b")
	leaving := workers("a")
	leaving[0].State = WorkerLeaving
	expect(t, r.Step(2, RouteSetTold{RouteSet: RouteSet{Version: 2, Workers: leaving}}), "core.DropWorker")
	for i := range 20 {
		expect(t, r.Step(2, CallArrived{Call{Exchange: ExchangeID(i), ID: RequestID(fmt.Sprint(i)), Class: "c", Remaining: 5}}), "send b")
	}
	expect(t, r.Step(2, RouteSetTold{RouteSet: RouteSet{Version: 3, Full: true, Workers: workers("c")}}), "core.DropWorker")
	expect(t, r.Step(2, call("last")), "send c")
}

// TestReloadMovesToANewSource: the new one is asked for its whole list at once, and the old one, its versions
// and its failures count no longer.
func TestReloadMovesToANewSource(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	old, limits := r.source, Limits{Cores: 0.5, MemoryMB: 32, Sockets: 256}
	expect(t, r.Step(2, Reloaded{Discovery: old.Addr, Limits: limits}), "core.SetLimits") // the watch goes on
	effects := r.Step(3, Reloaded{Discovery: "d:2", Limits: limits})
	expect(t, effects, "core.SetLimits", "core.Watch")
	if w := effects[1].(Watch); !w.On || w.Source.Addr != "d:2" || w.Since != VersionUnknown {
		t.Errorf("watches as %+v", w)
	}
	expect(t, r.Step(4, RouteSetTold{Source: old, RouteSet: RouteSet{Version: 90, Full: true, Workers: workers("b")}}))
	expect(t, r.Step(4, RouteSetRefused{Source: old}))
	if timers := len(r.timers); r.version != VersionUnknown || timers != 0 {
		t.Errorf("version %d and %d timers after the old source's word", r.version, timers)
	}
	expect(t, r.Step(5, RouteSetTold{Source: r.source, RouteSet: RouteSet{Version: 1, Full: true, Workers: workers("c")}}), "core.DropWorker")
	expect(t, r.Step(5, call("r")), "send c")
	r.Step(6, Reloaded{Discovery: old.Addr, Limits: limits}) // back at the first address, which starts anew
	expect(t, r.Step(7, RouteSetTold{Source: old, RouteSet: RouteSet{Version: 91, Full: true, Workers: workers("b")}}))
}

// TestTimersComeAfterTheEvent: what an event tells counts for the timers that are due by then.
func TestTimersComeAfterTheEvent(t *testing.T) {
	r := start(t, choice.Idempotent, "a", "b")
	gone := workers("a", "b")
	gone[0].State, gone[1].State = WorkerLeaving, WorkerLeft
	r.Step(2, call("r"))
	r.Step(2.99, BranchFailed{1, WorkerBusy})
	r.Step(2.991, BranchFailed{2, WorkerBusy}) // both were full: a timer tries again soon
	expect(t, r.Step(3.1, RouteSetTold{RouteSet: RouteSet{Version: 2, Workers: gone}}), "core.DropWorker", "core.DropWorker")
	expect(t, r.Step(4, RouteSetTold{RouteSet: RouteSet{Version: 3, Workers: gone[:1]}})) // what left before is not dropped again

	r = start(t, choice.AtMostOnce, "a")
	r.Step(2, call("late"))
	expect(t, r.Step(7, JobReported{Request: "late", From: "a", State: JobDone, Result: []byte("x")}),
		fmt.Sprint("answer ", Served, " x"))
}

// TestLoopServesNewsFirst fills both queues before the loop runs: a drain must not wait behind requests.
func TestLoopServesNewsFirst(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	got := make(chan Effect, 8)
	l := NewLoop(r, func() float64 { return 2 }, func(e Effect) { got <- e })
	l.Post(call("r"))
	l.Post(RouteSetTold{RouteSet: RouteSet{Version: 2, Full: true, Workers: workers("b")}})
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	expect(t, []Effect{<-got, <-got}, "core.DropWorker", "send b")
	stop()
	<-l.done
	l.Post(Tick{}) // after the end it must not block
}
