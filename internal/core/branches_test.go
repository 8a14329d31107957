package core

import (
	"fmt"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
)

// TestMayRepeat checks which further branches a class allows after earlier ones, whatever the decision module selects.
func TestMayRepeat(t *testing.T) {
	workerAt := func(id, zone string, cell int) Worker {
		return Worker{ID: WorkerID(id), Addr: id + ":1", Zone: zone, Cell: cell, Weight: 1}
	}
	keyed := func(g choice.Group) choice.Class {
		return choice.Class{Effect: choice.Deduplicated, Group: g, Window: 2}
	}
	idempotent, atMostOnce := choice.Class{}, choice.Class{Effect: choice.AtMostOnce}
	ended := func(code choice.Code) branch {
		return branch{worker: "a", zone: "x", cell: 1, sent: 3, ended: true, code: code, released: code.NeverRan()}
	}
	confirmed := ended(choice.Cancelled)
	confirmed.released = true
	for _, tc := range []struct {
		name   string
		class  choice.Class
		copies bool // SecondCopies of the settings
		was    branch
		to     Worker
		before float64
		ok     bool
	}{
		{"at most once, nothing ran", atMostOnce, true, ended(choice.NoConnect), workerAt("b", "x", 1), 0, true},
		{"at most once, the same worker was not reached", atMostOnce, true, ended(choice.NoConnect), workerAt("a", "x", 1), 0, true},
		{"at most once, the same worker was busy", atMostOnce, true, ended(choice.Busy), workerAt("a", "x", 1), 0, true},
		{"at most once, returned by a callback", atMostOnce, true, ended(choice.Returned), workerAt("b", "x", 1), 0, true},
		{"at most once, the same worker returned it, and may repeat the callback", atMostOnce, true, ended(choice.Returned), workerAt("a", "x", 1), 0, false},
		{"at most once, may have run", atMostOnce, true, ended(choice.Reset), workerAt("b", "x", 1), 0, false},
		{"at most once, still open", atMostOnce, true, branch{worker: "a"}, workerAt("b", "x", 1), 0, false},
		{"idempotent, may have run", idempotent, true, ended(choice.Reset), workerAt("b", "y", 2), 0, true},
		{"idempotent, may have run at the same worker", idempotent, true, ended(choice.Errored), workerAt("a", "x", 1), 0, false},
		{"idempotent, cancelled at the same worker and confirmed", idempotent, true, confirmed, workerAt("a", "x", 1), 0, true},
		{"idempotent, cancelled at the same worker, not confirmed", idempotent, true, ended(choice.Cancelled), workerAt("a", "x", 1), 0, false},
		{"idempotent, still open at the same worker", idempotent, true, branch{worker: "a"}, workerAt("a", "x", 1), 0, false},
		{"idempotent, still open", idempotent, true, branch{worker: "a"}, workerAt("b", "x", 1), 0, true},
		{"idempotent, still open, without copies", idempotent, false, branch{worker: "a"}, workerAt("b", "x", 1), 0, false},
		{"idempotent, ended unconfirmed, without copies", idempotent, false, ended(choice.Cancelled), workerAt("b", "x", 1), 0, false},
		{"idempotent, ended and confirmed, without copies", idempotent, false, confirmed, workerAt("b", "x", 1), 0, true},
		{"idempotent, never ran, without copies", idempotent, false, ended(choice.Busy), workerAt("b", "x", 1), 0, true},
		{"keyed, in its zone", keyed(choice.GroupZone), true, ended(choice.Reset), workerAt("b", "x", 2), 5, true},
		{"keyed, in another zone", keyed(choice.GroupZone), true, ended(choice.Reset), workerAt("b", "y", 1), 0, false},
		{"keyed, nothing ran, in another zone", keyed(choice.GroupZone), true, ended(choice.BrokenBeforeSend), workerAt("b", "y", 1), 0, true},
		{"keyed, in its cell", keyed(choice.GroupCell), true, ended(choice.Reset), workerAt("b", "y", 1), 5, true},
		{"keyed, in another cell", keyed(choice.GroupCell), true, ended(choice.Reset), workerAt("b", "x", 2), 0, false},
		{"keyed, anywhere", keyed(choice.GroupAll), true, ended(choice.Reset), workerAt("b", "y", 2), 5, true},
		{"keyed, too late", choice.Class{Effect: choice.Deduplicated, Window: 0.5}, true, ended(choice.Reset), workerAt("b", "x", 1), 3.5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testSettings(tc.class.Effect)
			s.SecondCopies = tc.copies
			tc.class.Name = "c"
			s.Classes[0] = tc.class
			r := newReducer(4, s)
			q := &request{call: Call{Class: "c"}, branches: []*branch{&tc.was}}
			if before, ok := r.mayRepeat(q, tc.to); ok != tc.ok || ok && before != tc.before {
				t.Errorf("%v before %v, want %v before %v", ok, before, tc.ok, tc.before)
			}
		})
	}
}

// TestRepeatedCallbackOfAnEarlierBranchIsIgnored: a worker repeats the callback that returns a job until it is answered.
// If it arrives again when the job runs elsewhere, it must not cause another attempt.
func TestRepeatedCallbackOfAnEarlierBranchIsIgnored(t *testing.T) {
	for _, started := range []bool{false, true} {
		r := newTestReducer(t, choice.AtMostOnce, "a", "b")
		r.Step(2, call("r"))
		first := r.branches[1].worker
		back := JobReported{Request: "r", From: first, State: JobReturned}
		var second WorkerID
		for _, e := range r.Step(2.1, back) {
			if s, is := e.(SendBranch); is {
				second = s.Worker
			}
		}
		if second == "" || second == first {
			t.Fatalf("returned by %s, sent again to %q", first, second)
		}
		if started {
			r.Step(2.2, JobReported{Request: "r", From: second, State: JobStarted})
		}
		expect(t, r.Step(2.3, back))
		got := summarize(append(r.Step(2.4, JobReported{Request: "r", From: second, State: JobReturned}), r.Step(4, Tick{})...))
		want := fmt.Sprint("answer ", Busy, " ") // the job never ran
		if started {
			want = fmt.Sprint("answer ", Failed, " ") // a job that has started can't be returned unstarted
		}
		if len(got) != 1 || got[0] != want {
			t.Errorf("started %v: effects %q, want %q and no further branch", started, got, want)
		}
	}
}

// TestNoSecondCopyUntilTheFirstIsReleased: where second copies are not allowed, a repeat waits until the first branch's
// worker has confirmed its cancellation or is known never to have had it. If the worker can't be told, the request is not
// repeated and the caller is answered at once.
func TestNoSecondCopyUntilTheFirstIsReleased(t *testing.T) {
	busy := fmt.Sprint("answer ", Busy, " ")
	for _, tc := range []struct {
		name    string
		outcome Event  // of the first branch
		waits   bool   // whether the repeat waits for the worker's confirmation
		next    Event  // what arrives then
		want    string // the effect; "send" for a branch at another worker
	}{
		{"broken, confirmed", BranchFailed{1, BrokenAfterSend}, true, BranchReleased{1, "r", true}, "send"},
		{"a kept connection broke, confirmed", BranchFailed{1, StaleConnection}, true, BranchReleased{1, "r", true}, "send"},
		{"broken, worker not reachable", BranchFailed{1, BrokenAfterSend}, true, BranchReleased{1, "r", false}, busy},
		{"broken, closed by this side, confirmed late", BranchFailed{1, BrokenAfterSend}, true, BranchFailed{1, BrokenAfterSend}, ""},
		{"broken, but done", BranchFailed{1, BrokenAfterSend}, true, JobReported{Request: "r", From: "?", State: JobDone, Result: []byte("x")}, "answer 0 x"},
		{"busy", BranchFailed{1, WorkerBusy}, false, Tick{}, "send"},
		{"errored", BranchFailed{1, Errored}, false, Tick{}, "send"},
		{"busy, though the job has started", BranchFailed{1, WorkerBusy}, false, Tick{}, busy},
		{"lost", JobReported{Request: "r", From: "?", State: JobLost}, false, Tick{}, "send"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := testSettings(choice.Idempotent)
			s.SecondCopies = false
			r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b", "c")}, "")
			if err != nil {
				t.Fatal(err)
			}
			r.Step(2, call("r"))
			first := r.branches[1].worker
			from := func(ev Event) Event {
				if j, is := ev.(JobReported); is {
					j.From = first
					return j
				}
				return ev
			}
			if strings.Contains(tc.name, "has started") {
				r.Step(2.04, JobReported{Request: "r", From: first, State: JobStarted})
			}
			got := r.Step(2.05, from(tc.outcome))
			if tc.waits {
				expect(t, got, "give up "+string(first))
				got = r.Step(2.06, from(tc.next))
			}
			switch all := summarize(got); {
			case tc.want == "" && len(all) == 0:
			case tc.want == "send" && len(all) == 1 && all[0][:4] == "send" && all[0] != "send "+string(first):
			case len(all) != 1 || all[0] != tc.want:
				t.Errorf("effects %q, want %q", all, tc.want)
			}
		})
	}
}

// TestBranchesOfDepartedCallersAreGivenUp checks that a request of a caller that left keeps no branch and no state.
func TestBranchesOfDepartedCallersAreGivenUp(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, effect := range []choice.Effect{choice.Idempotent, choice.Deduplicated, choice.AtMostOnce} {
			s := testSettings(effect)
			s.SecondCopies = copies
			r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b")}, "")
			if err != nil {
				t.Fatal(err)
			}
			r.Step(2, call("r"))
			worker := r.branches[1].worker
			expect(t, r.Step(2.05, CallerLeft{7}), "give up "+string(worker))
			if n := len(r.requests) + len(r.branches) + len(r.exchanges); n != 0 {
				t.Errorf("effect %v: %d entries remain", effect, n)
			}
			expect(t, append(r.Step(2.1, BranchFailed{1, NoConnect}), r.Step(6, Tick{})...)) // its dial ends
		}
	}
}
