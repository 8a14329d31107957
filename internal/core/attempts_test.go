package core

import (
	"fmt"
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
)

// TestMayRepeat: what a class allows after the branches that a request has had, asked of the host whatever the decision module thinks.
func TestMayRepeat(t *testing.T) {
	at := func(id, zone string, cell int) Worker {
		return Worker{ID: WorkerID(id), Addr: id + ":1", Zone: zone, Cell: cell, Weight: 1}
	}
	keyed := func(g choice.Group) choice.Class {
		return choice.Class{Effect: choice.Deduplicated, Group: g, Window: 2}
	}
	free, once := choice.Class{}, choice.Class{Effect: choice.AtMostOnce}
	ended := func(code choice.Code) branch {
		return branch{worker: "a", zone: "x", cell: 1, sent: 3, ended: true, code: code, released: code.NeverRan()}
	}
	told := ended(choice.Cancelled)
	told.released = true
	for _, tc := range []struct {
		name   string
		class  choice.Class
		copies bool // allowed
		was    branch
		to     Worker
		before float64
		ok     bool
	}{
		{"once, nothing ran", once, true, ended(choice.NoConnect), at("b", "x", 1), 0, true},
		{"once, the same worker was not reached", once, true, ended(choice.NoConnect), at("a", "x", 1), 0, true},
		{"once, the same worker turned it away", once, true, ended(choice.Busy), at("a", "x", 1), 0, true},
		{"once, handed back by a call-back", once, true, ended(choice.Returned), at("b", "x", 1), 0, true},
		{"once, the same worker handed it back, and may say so again", once, true, ended(choice.Returned), at("a", "x", 1), 0, false},
		{"once, it may have run", once, true, ended(choice.Reset), at("b", "x", 1), 0, false},
		{"once, it is out", once, true, branch{worker: "a"}, at("b", "x", 1), 0, false},
		{"free, it may have run", free, true, ended(choice.Reset), at("b", "y", 2), 0, true},
		{"free, it may have run there", free, true, ended(choice.Errored), at("a", "x", 1), 0, false},
		{"free, called off there and confirmed", free, true, told, at("a", "x", 1), 0, true},
		{"free, called off there and not confirmed", free, true, ended(choice.Cancelled), at("a", "x", 1), 0, false},
		{"free, it is out there", free, true, branch{worker: "a"}, at("a", "x", 1), 0, false},
		{"free, it is out", free, true, branch{worker: "a"}, at("b", "x", 1), 0, true},
		{"free, it is out, without copies", free, false, branch{worker: "a"}, at("b", "x", 1), 0, false},
		{"free, ended unconfirmed, without copies", free, false, ended(choice.Cancelled), at("b", "x", 1), 0, false},
		{"free, ended and confirmed, without copies", free, false, told, at("b", "x", 1), 0, true},
		{"free, never ran, without copies", free, false, ended(choice.Busy), at("b", "x", 1), 0, true},
		{"keyed, in its zone", keyed(choice.GroupZone), true, ended(choice.Reset), at("b", "x", 2), 5, true},
		{"keyed, in another zone", keyed(choice.GroupZone), true, ended(choice.Reset), at("b", "y", 1), 0, false},
		{"keyed, nothing ran, in another zone", keyed(choice.GroupZone), true, ended(choice.BrokenBeforeSend), at("b", "y", 1), 0, true},
		{"keyed, in its cell", keyed(choice.GroupCell), true, ended(choice.Reset), at("b", "y", 1), 5, true},
		{"keyed, in another cell", keyed(choice.GroupCell), true, ended(choice.Reset), at("b", "x", 2), 0, false},
		{"keyed, anywhere", keyed(choice.GroupAll), true, ended(choice.Reset), at("b", "y", 2), 5, true},
		{"keyed, too late", choice.Class{Effect: choice.Deduplicated, Window: 0.5}, true, ended(choice.Reset), at("b", "x", 1), 3.5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := settings(tc.class.Effect)
			s.SecondCopies = tc.copies
			tc.class.Name = "c"
			s.Classes[0] = tc.class
			r := empty(4, s)
			q := &request{call: Call{Class: "c"}, branches: []*branch{&tc.was}}
			if before, ok := r.mayRepeat(q, tc.to); ok != tc.ok || ok && before != tc.before {
				t.Errorf("%v before %v, want %v before %v", ok, before, tc.ok, tc.before)
			}
		})
	}
}

// TestCallBackTellsOfAnEarlierBranch: a worker tells until it is answered that it has handed a job back. What comes again when the job runs
// elsewhere, or has begun, must not have it sent once more.
func TestCallBackTellsOfAnEarlierBranch(t *testing.T) {
	for _, begun := range []bool{false, true} {
		r := start(t, choice.AtMostOnce, "a", "b")
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
			t.Fatalf("handed back by %s, sent on to %q", first, second)
		}
		if begun {
			r.Step(2.2, JobReported{Request: "r", From: second, State: JobStarted})
		}
		expect(t, r.Step(2.3, back))
		got := brief(append(r.Step(2.4, JobReported{Request: "r", From: second, State: JobReturned}), r.Step(4, Tick{})...))
		want := fmt.Sprint("answer ", Busy, " ") // it never ran anywhere
		if begun {
			want = fmt.Sprint("answer ", Failed, " ") // who has begun can't hand it back unstarted
		}
		if len(got) != 1 || got[0] != want {
			t.Errorf("begun %v: effects %q, want %q and no branch at either again", begun, got, want)
		}
	}
}

// TestNoCopyBeforeTheFirstIsGivenUp: where copies are not allowed, what takes a branch's place waits until its worker has confirmed that it
// is given up, or never had it. What can't be told is not repeated: the caller hears so at once.
func TestNoCopyBeforeTheFirstIsGivenUp(t *testing.T) {
	busy := fmt.Sprint("answer ", Busy, " ")
	for _, tc := range []struct {
		name  string
		ends  Event  // of the first branch
		waits bool   // for the word of its worker
		word  Event  // that it then says
		want  string // the effect; "send" for one to another worker
	}{
		{"broken, confirmed", BranchFailed{1, BrokenAfterSend}, true, BranchReleased{1, "r", true}, "send"},
		{"a kept connection broke, confirmed", BranchFailed{1, StaleConnection}, true, BranchReleased{1, "r", true}, "send"},
		{"broken, can't be told", BranchFailed{1, BrokenAfterSend}, true, BranchReleased{1, "r", false}, busy},
		{"broken, closed by us, and confirmed late", BranchFailed{1, BrokenAfterSend}, true, BranchFailed{1, BrokenAfterSend}, ""},
		{"broken, and done after all", BranchFailed{1, BrokenAfterSend}, true, JobReported{Request: "r", From: "?", State: JobDone, Result: []byte("x")}, "answer 0 x"},
		{"turned away", BranchFailed{1, WorkerBusy}, false, Tick{}, "send"},
		{"errored", BranchFailed{1, Errored}, false, Tick{}, "send"},
		{"turned away, though it has begun", BranchFailed{1, WorkerBusy}, false, Tick{}, busy},
		{"lost", JobReported{Request: "r", From: "?", State: JobLost}, false, Tick{}, "send"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := settings(choice.Idempotent)
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
			if strings.Contains(tc.name, "has begun") {
				r.Step(2.04, JobReported{Request: "r", From: first, State: JobStarted})
			}
			got := r.Step(2.05, from(tc.ends))
			if tc.waits {
				expect(t, got, "give up "+string(first))
				got = r.Step(2.06, from(tc.word))
			}
			switch all := brief(got); {
			case tc.want == "" && len(all) == 0:
			case tc.want == "send" && len(all) == 1 && all[0][:4] == "send" && all[0] != "send "+string(first):
			case len(all) != 1 || all[0] != tc.want:
				t.Errorf("effects %q, want %q", all, tc.want)
			}
		})
	}
}

// TestNothingIsLeftOutForACallerThatHasGone: whatever its request was doing.
func TestNothingIsLeftOutForACallerThatHasGone(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, effect := range []choice.Effect{choice.Idempotent, choice.Deduplicated, choice.AtMostOnce} {
			s := settings(effect)
			s.SecondCopies = copies
			r, err := New(1, s, RouteSet{Version: 1, Workers: workers("a", "b")}, "")
			if err != nil {
				t.Fatal(err)
			}
			r.Step(2, call("r"))
			worker := r.branches[1].worker
			expect(t, r.Step(2.05, CallerLeft{7}), "give up "+string(worker))
			if n := len(r.requests) + len(r.branches) + len(r.exchanges); n != 0 {
				t.Errorf("effect %v: %d things are kept", effect, n)
			}
			expect(t, append(r.Step(2.1, BranchFailed{1, NoConnect}), r.Step(6, Tick{})...)) // its dial ends
		}
	}
}
