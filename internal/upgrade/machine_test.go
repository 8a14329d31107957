package upgrade

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func machine() *Machine {
	return &Machine{Limits: Limits{Start: time.Second, Probation: time.Second, Hold: time.Second, Offer: time.Second, Commit: time.Second}}
}

var hello = Hello{Protocol: Protocol, Schema: ownSchema}

// good is what happens in an upgrade where nothing goes wrong.
var good = []Input{Begin{}, MessageReceived{hello}, MessageReceived{TrialTaken{}}, TimerExpired{}, MessageReceived{AheadTaken{}}, Held{}, Sent{}, MessageReceived{Ready{}}, MessageReceived{Acting{}}}

func brief(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case SetTimer, Step:
		case Finished:
			out = append(out, fmt.Sprintf("Ended(%v)", a.Refused))
		default:
			out = append(out, strings.TrimPrefix(fmt.Sprintf("%T", a), "upgrade."))
		}
	}
	return strings.Join(out, " ")
}

func TestGoodUpgrade(t *testing.T) {
	m := machine()
	for i, want := range []string{"Start", "SendTrial", "", "PassAhead", "Hold", "SendAll", "", "SendGo", "Leave"} {
		if got := brief(m.Step(good[i])); got != want {
			t.Fatalf("%T: %q, want %q", good[i], got, want)
		}
	}
	if m.Phase() != Leaving || !m.DefersOrders() {
		t.Errorf("ends in %v", m.Phase())
	}
}

// TestEveryBadStep lets each thing go wrong after each step of a good upgrade.
func TestEveryBadStep(t *testing.T) {
	type bad struct {
		in   Input
		want string // the reason holds this; empty where nothing comes of it
	}
	for n := 1; n < len(good); n++ {
		for name, b := range map[string]bad{
			"ended":        {PeerExited{"signal: killed"}, "ended while"},
			"refused":      {MessageReceived{Refused{"no room"}}, "no room"},
			"garbage":      {MessageReceived{errors.New("x")}, "not understood"},
			"hello again":  {MessageReceived{Hello{}}, "hello again"},
			"acts unasked": {MessageReceived{Acting{}}, "without being told"},
		} {
			m := machine()
			for _, in := range good[:n] {
				m.Step(in)
			}
			at := m.Phase()
			if name == "hello again" && at == Starting || name == "acts unasked" && at == Committing {
				continue
			}
			actions := m.Step(b.in)
			if _, gone := b.in.(PeerExited); !gone {
				if got := brief(actions); got != "Kill" || m.Phase() != Killing {
					t.Errorf("%s while %v: %q, then %v", name, at, got, m.Phase())
				}
				actions = m.Step(PeerExited{"killed"})
			}
			got, want := brief(actions), "Ended(false)"
			if at >= Holding {
				want = "LetGo " + want
			}
			if got != want || m.Phase() != Idle || m.DefersOrders() {
				t.Errorf("%s while %v: ends with %q in %v, want %q", name, at, got, m.Phase(), want)
			}
			if e, ok := actions[len(actions)-1].(Finished); !ok || !strings.Contains(e.Reason, b.want) {
				t.Errorf("%s while %v: reason %+v, want %q", name, at, actions[len(actions)-1], b.want)
			}
		}
	}
}

func TestRefusedAndFallenBack(t *testing.T) {
	for name, tc := range map[string]struct {
		strict bool
		in     []Input
		want   string
	}{
		"a second upgrade":        {false, []Input{Begin{}, Begin{}}, "Ended(true)"},
		"after SIGTERM":           {false, []Input{StopRequested{}, Begin{}}, "Ended(true)"},
		"SIGTERM while starting":  {false, []Input{Begin{}, StopRequested{}}, "Kill"},
		"SIGTERM while held":      {false, append(append([]Input{}, good[:6]...), StopRequested{}), ""},
		"another protocol":        {false, []Input{Begin{}, MessageReceived{Hello{Protocol: 9, Schema: ownSchema}}}, "Kill"},
		"another schema":          {false, []Input{Begin{}, MessageReceived{Hello{Protocol: Protocol, Schema: 99}}}, "Kill"},
		"too long while starting": {false, []Input{Begin{}, TimerExpired{}}, "Kill"},
		"no rest":                 {false, append(append([]Input{}, good[:5]...), Held{errors.New("busy")}), "Kill"},
		"not sent":                {false, append(append([]Input{}, good[:6]...), Sent{errors.New("broken")}), "Kill"},
		"other decisions":         {false, append(append([]Input{}, good[:3]...), MessageReceived{Differs{}}), ""},
		"other decisions, strict": {true, append(append([]Input{}, good[:3]...), MessageReceived{Differs{}}), "Kill"},
		"needs the state":         {false, append(append([]Input{}, good[:7]...), MessageReceived{NeedState{}}), "SendState"},
		"acted, and was killed":   {false, append(append([]Input{}, good[:8]...), TimerExpired{}, MessageReceived{Acting{}}), "Abandon"},
	} {
		m := machine()
		m.Strict = tc.strict
		var last []Action
		for _, in := range tc.in {
			last = m.Step(in)
		}
		if got := brief(last); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMachineProperties: whatever comes in whatever order, the service is let go on as often as it was held unless
// the process ends; nothing goes on here while a new process may live; and nobody acts before the word to go.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := machine()
		held, alive, left, told := false, false, false, false
		inputs := append([]Input{Begin{}, TimerExpired{}, StopRequested{}, Held{}, Held{errors.New("busy")}, Sent{errors.New("x")}, PeerExited{"x"},
			MessageReceived{Refused{}}, MessageReceived{Differs{}}, MessageReceived{NeedState{}}}, good...)
		at := 0
		for range rapid.IntRange(1, 60).Draw(t, "inputs") {
			var in Input
			if rapid.IntRange(0, 4).Draw(t, "stray") == 0 {
				in = rapid.SampledFrom(inputs).Draw(t, "input")
			} else {
				in = good[at%len(good)]
				at++
			}
			switch in.(type) {
			case MessageReceived, PeerExited:
				if !alive {
					continue // nobody is there to say it
				}
			case Held:
				if m.Phase() != Holding {
					continue // it answers a Hold
				}
			}
			if h, ok := in.(Held); ok && h.Err != nil {
				held = false
			}
			if _, ok := in.(PeerExited); ok {
				alive = false
			}
			for _, a := range m.Step(in) {
				if e, ok := a.(Finished); left && !(ok && e.Refused) {
					t.Fatalf("%T after the process has ended", a)
				}
				switch a.(type) {
				case Start:
					if alive {
						t.Fatal("a second new process while one lives")
					}
					alive, told = true, false
					at = 1
				case Hold:
					if held {
						t.Fatal("held twice")
					}
					held = true
				case ReleaseHold:
					if !held || alive {
						t.Fatalf("let go: held %v, a new process lives %v", held, alive)
					}
					held = false
				case SendGo:
					if !held {
						t.Fatal("told to go while this process serves")
					}
					told = true
				case Exit:
					if !held || !told {
						t.Fatal("left without handing over")
					}
					left = true
				case ExitCrashed:
					left = true
				case Finished:
					at = 0
				}
			}
			if m.Phase() == Idle && held {
				t.Fatal("idle, and held")
			}
		}
	})
}
