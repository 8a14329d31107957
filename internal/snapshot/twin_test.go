package snapshot

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
)

func settings() choice.Settings {
	return choice.Settings{Self: 0, Dispatchers: 2, Zone: "a", ListOnRequest: true, AskWithin: 10, MaxAttempts: 4,
		CanCancel: true, SecondCopies: true, RetryAfter: true, MaxRetryAfter: 2, DialTimeout: 0.25, ConnIdle: 5,
		FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1, ServiceMillis: -1, Prices: choice.Prices{Waste: 0.01, CrossZone: 0.001},
		OverloadFactor: 3, TipAfter: 2, ColdShare: 0.13, WarmWithin: 24, TellsStart: true, ProgressEvery: 0.1, Seed: 7,
		Tenants: []choice.Tenant{{Name: "t", Share: 1, Quota: 5}},
		Classes: []choice.Class{
			{Name: "safe", Effect: choice.Idempotent, Aim: 0.2, Stretch: 2, Deadline: 3, LateWorth: 0.4, Worth: 1},
			{Name: "once", Effect: choice.AtMostOnce, Aim: 0.5, Stretch: 2, Deadline: 5, Worth: 4},
			{Name: "keyed", Effect: choice.Deduplicated, Group: choice.GroupCell, Window: 2, Aim: 0.3, Stretch: 3, Deadline: 4, Worth: 2}}}
}

// player draws events and remembers what the effects made possible.
type player struct {
	now      float64
	calls    int
	sent     []core.SendBranch
	versions int64
}

func (p *player) workers(t *rapid.T) (list []core.Worker) {
	for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
		h := core.Worker{ID: core.WorkerID(fmt.Sprint("s-", i)), Addr: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: string(rune('a' + i%2)),
			Kind: []string{"old-box", "new-blade"}[i%2], Cell: i % 3, Weight: 1,
			State: core.WorkerState(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "state"))}
		if rapid.IntRange(0, 3).Draw(t, "cold") == 0 {
			h.Started = p.now
		}
		list = append(list, h)
	}
	return list
}

func (p *player) event(t *rapid.T) core.Event {
	p.now += rapid.SampledFrom([]float64{0, 0.001, 0.01, 0.021, 0.3, 1.7}).Draw(t, "passes")
	if len(p.sent) > 0 && rapid.Bool().Draw(t, "on a branch") {
		b := rapid.SampledFrom(p.sent).Draw(t, "branch")
		switch rapid.IntRange(0, 3).Draw(t, "what") {
		case 0:
			return core.BranchTaken{Branch: b.Branch}
		case 1:
			return core.BranchFailed{Branch: b.Branch, Fault: core.Fault(rapid.IntRange(0, int(core.NotSent)).Draw(t, "fault"))}
		default:
			return core.JobReported{Request: b.Request, From: b.Worker, State: core.JobState(rapid.IntRange(0, int(core.JobLost)).Draw(t, "job")),
				Share: rapid.SampledFrom([]float64{0, 0.3, 0.9}).Draw(t, "share"), Result: []byte("r")}
		}
	}
	switch rapid.IntRange(0, 11).Draw(t, "event") {
	case 0:
		return core.Tick{}
	case 1:
		return core.CallerLeft{Exchange: core.ExchangeID(rapid.IntRange(1, p.calls+1).Draw(t, "exchange"))}
	case 2:
		p.versions++
		return core.RouteSetTold{Source: core.Source{Addr: "d:1"}, RouteSet: core.RouteSet{Version: p.versions,
			Full: rapid.Bool().Draw(t, "full"), Workers: p.workers(t)}}
	case 3:
		return core.RouteSetRefused{Source: core.Source{Addr: "d:1"}}
	default:
		p.calls++
		c := core.Call{Exchange: core.ExchangeID(p.calls), ID: core.RequestID(fmt.Sprint("id", p.calls-rapid.SampledFrom([]int{0, 0, 0, 3}).Draw(t, "again"))),
			Class: rapid.SampledFrom([]string{"safe", "once", "keyed"}).Draw(t, "class"), Slots: 1, Key: uint64(p.calls % 3),
			HasKey: rapid.Bool().Draw(t, "has key"), Hint: 0.1, HasHint: rapid.Bool().Draw(t, "has hint"),
			Remaining: rapid.SampledFrom([]float64{0.01, 0.5, 5}).Draw(t, "remaining"), Message: core.Message{Verb: "POST", Target: "/x", Body: []byte{1, 2}}}
		if rapid.Bool().Draw(t, "of a tenant") {
			c.Tenant = "t"
		}
		return core.CallArrived{Call: c}
	}
}

func (p *player) saw(effects []core.Effect) {
	for _, e := range effects {
		if b, ok := e.(core.SendBranch); ok {
			p.sent = append(p.sent, b)
		}
	}
	if len(p.sent) > 12 {
		p.sent = p.sent[len(p.sent)-12:]
	}
}

// TestTwinDecidesAlike: whenever a reducer is written down and read back, the twin does the same as the original
// from there on, and is itself written down to the same bytes.
func TestTwinDecidesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &player{now: 100}
		first, err := core.New(p.now, settings(), core.RouteSet{Version: 0, Workers: p.workers(t)}, "d:1")
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(0, 60).Draw(t, "before") {
			p.saw(first.Step(p.now, p.event(t)))
		}
		second := roundTrip(t, first)
		for i := range rapid.IntRange(1, 60).Draw(t, "after") {
			ev := p.event(t)
			a, b := first.Step(p.now, ev), second.Step(p.now, ev)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("step %d, event %+v:\n%+v\nthe twin:\n%+v", i, ev, a, b)
			}
			p.saw(a)
			da, oka := first.NextTimer()
			db, okb := second.NextTimer()
			if da != db || oka != okb {
				t.Fatalf("step %d: due at %v, the twin at %v", i, da, db)
			}
		}
		if a, b := encode(t, first), encode(t, second); !reflect.DeepEqual(a, b) {
			t.Fatal("the twin is written down to other bytes")
		}
	})
}

type fatal interface{ Fatal(args ...any) }

func encode(t fatal, r *core.Reducer) []byte {
	st, err := r.Export()
	if err != nil {
		t.Fatal(err)
	}
	text, err := Encode(st)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func roundTrip(t fatal, r *core.Reducer) *core.Reducer {
	st, err := Decode(encode(t, r))
	if err != nil {
		t.Fatal(err)
	}
	twin, err := core.Import(settings(), st)
	if err != nil {
		t.Fatal(err)
	}
	return twin
}

// busy is a reducer with open requests, for the tests of what is refused.
func busy(t fatal) *core.Reducer {
	r, err := core.New(1, settings(), core.RouteSet{Workers: []core.Worker{{ID: "a", Addr: "a:1", Zone: "a", Kind: "k"},
		{ID: "b", Addr: "b:1", Zone: "b", Kind: "m"}}}, "d:1")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 12 {
		r.Step(2, core.CallArrived{Call: core.Call{Exchange: core.ExchangeID(i + 1), ID: core.RequestID(fmt.Sprint("q", i)), Class: []string{"safe", "once"}[i%2],
			Remaining: 3, Slots: 1, Message: core.Message{Verb: "POST", Target: "/api", Body: []byte("body")}}})
		if i%3 == 0 {
			r.Step(2, core.BranchFailed{Branch: core.BranchID(i + 1), Fault: core.WorkerBusy})
		}
	}
	return r
}

func TestRefusedSnapshots(t *testing.T) {
	good := encode(t, busy(t))
	change := func(at int, to byte) []byte {
		bad := append([]byte(nil), good...)
		bad[at] ^= to
		return bad
	}
	for _, tc := range []struct {
		name string
		text []byte
		want error
	}{
		{"nothing", nil, ErrTruncated},
		{"half a header", good[:20], ErrTruncated},
		{"cut short", good[:len(good)-1], ErrTruncated},
		{"something behind it", append(append([]byte(nil), good...), 0), ErrTruncated},
		{"another magic word", change(0, 1), ErrMagic},
		{"another schema", change(5, 2), ErrSchema},
		{"an altered checksum", change(15, 1), ErrChecksum},
		{"an altered body", change(len(good)-5, 1), ErrChecksum},
		{"no CBOR", Seal([]byte("nonsense")), ErrFormat},
		{"CBOR of another format", Seal([]byte{0x83, 1, 2, 3}), ErrFormat},
		{"a deep nest", Seal(append(make([]byte, 0, 99), []byte("\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x81\x80")...)), ErrFormat},
	} {
		if _, err := Decode(tc.text); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
	}
}

// TestStatesThatDoNotFit changes one thing in a good state; Import must refuse it by name.
func TestStatesThatDoNotFit(t *testing.T) {
	for name, change := range map[string]func(*core.State){
		"a request twice":             func(s *core.State) { s.Requests = append(s.Requests, s.Requests[0]) },
		"a request that is spent":     func(s *core.State) { s.Spent = append(s.Spent, s.Requests[0].Call.ID) },
		"a class that has gone":       func(s *core.State) { s.Requests[0].Call.Class = "none" },
		"a branch not given out":      func(s *core.State) { s.LastID = 0 },
		"a timer of no kind":          func(s *core.State) { s.Timers[0].Kind = 77 },
		"a timer of the future":       func(s *core.State) { s.TimerSeq = 0 },
		"a listed worker twice":       func(s *core.State) { s.Workers = append(s.Workers, s.Workers[0]) },
		"a listed worker in no state": func(s *core.State) { s.Workers[0].State = 9 },
		"a finished request kept":     func(s *core.State) { s.Requests[0].Over, s.Requests[0].Branches = true, nil },
		"the module's own request":    func(s *core.State) { s.Decider.Requests[0].Request.ID = "other" },
		"an attempt at no worker":     func(s *core.State) { s.Decider.Requests[0].Attempts[0].Worker = 99 },
		"an attempt held twice":       func(s *core.State) { w := &s.Decider.Workers[0]; w.Out = append(w.Out, w.Out...) },
		"an attempt not held":         func(s *core.State) { s.Decider.Workers[0].Out, s.Decider.Workers[1].Out = nil, nil },
		"a worker twice":              func(s *core.State) { s.Decider.Workers[1] = s.Decider.Workers[0] },
		"a worker of no kind":         func(s *core.State) { s.Decider.Workers[0].Worker.Kind = "none" },
		"too few profiles":            func(s *core.State) { s.Decider.Workers[0].Profiles = nil },
		"no random numbers":           func(s *core.State) { s.Decider.RNG = nil },
		"too few medians":             func(s *core.State) { s.Decider.Kinds[0].Medians = nil },
		"a move of nothing": func(s *core.State) {
			s.Decider.Moves = []choice.MoveState{{Token: 9, Attempt: choice.AttemptRef{Request: -1}}}
		},
	} {
		st, err := Decode(encode(t, busy(t)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := core.Import(settings(), st); err != nil {
			t.Fatal(err)
		}
		change(&st)
		if _, err := core.Import(settings(), st); !errors.Is(err, core.ErrState) && !errors.Is(err, choice.ErrState) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestOtherSettings: a successor may be configured otherwise; what its settings still name goes on.
func TestOtherSettings(t *testing.T) {
	st, err := Decode(encode(t, busy(t)))
	if err != nil {
		t.Fatal(err)
	}
	s := settings()
	s.Classes[0], s.Classes[1] = s.Classes[1], s.Classes[0]
	s.Classes[2].Name = "new"
	r, err := core.Import(s, st)
	if err != nil {
		t.Fatal(err)
	}
	answers := 0
	for _, now := range []float64{4, 4.9, 5, 5.1, 9} {
		for _, e := range r.Step(now, core.Tick{}) {
			if _, ok := e.(core.Answer); ok {
				answers++
			}
		}
	}
	if answers != st.OpenRequests() {
		t.Errorf("%d answers, %d requests were open", answers, st.OpenRequests())
	}
}

// TestEveryEventIsCarried: what Pack takes Unpack gives back.
func TestEveryEventIsCarried(t *testing.T) {
	for _, ev := range []core.Event{core.CallArrived{Call: core.Call{ID: "x", Message: core.Message{Body: []byte("b")}}}, core.CallerLeft{Exchange: 3},
		core.HealthAsked{Exchange: 4}, core.BranchFailed{Branch: 1, Fault: core.BrokenBeforeSend}, core.BranchTaken{Branch: 2}, core.BranchReleased{Branch: 3, Told: true},
		core.JobReported{Request: "r", From: "h", State: core.JobDone, Result: []byte("x")}, core.RouteSetTold{RouteSet: core.RouteSet{Version: 4}},
		core.RouteSetRefused{}, core.Reloaded{Discovery: "d"}, core.Stopping{}, core.Tick{}} {
		packed, err := Pack(ev)
		if err != nil {
			t.Fatal(err)
		}
		text, err := Marshal(packed)
		if err != nil {
			t.Fatal(err)
		}
		var back Event
		if err := Unmarshal(text, &back); err != nil {
			t.Fatal(err)
		}
		if got, err := back.Unpack(); err != nil || !reflect.DeepEqual(got, ev) {
			t.Errorf("%+v came back as %+v, %v", ev, got, err)
		}
	}
	if _, err := (Event{}).Unpack(); !errors.Is(err, ErrFormat) {
		t.Errorf("no event: %v", err)
	}
}
