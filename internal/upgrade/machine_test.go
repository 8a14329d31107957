package upgrade

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newMachine() *Machine {
	return &Machine{Limits: Limits{Start: time.Second, Probation: time.Second, Hold: time.Second, Offer: time.Second, Commit: time.Second}}
}

var hello = Hello{Protocol: Protocol, Schema: ownSchema}

// successfulUpgrade lists the inputs of an upgrade without failures.
var successfulUpgrade = []Input{Begin{}, MessageReceived{hello}, MessageReceived{TrialTaken{}}, TimerExpired{}, MessageReceived{AheadTaken{}}, Held{}, Sent{}, MessageReceived{Ready{}}, MessageReceived{Acting{}}}

func actionNames(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case SetTimer, Step:
		case Finished:
			out = append(out, fmt.Sprintf("Finished(%v)", a.Refused))
		default:
			out = append(out, strings.TrimPrefix(fmt.Sprintf("%T", a), "upgrade."))
		}
	}
	return strings.Join(out, " ")
}

func TestSuccessfulUpgrade(t *testing.T) {
	m := newMachine()
	for i, want := range []string{"Start", "SendTrial", "", "SendFilesAhead", "Hold", "SendAll", "", "SendGo", "Exit"} {
		if got := actionNames(m.Step(successfulUpgrade[i])); got != want {
			t.Fatalf("%T: %q, want %q", successfulUpgrade[i], got, want)
		}
	}
	if m.Phase() != Leaving || !m.DefersOrders() {
		t.Errorf("ends in %v", m.Phase())
	}
}

// TestFailureInEachPhase checks the fallback for each kind of failure after each step of a successful upgrade.
func TestFailureInEachPhase(t *testing.T) {
	type failure struct {
		in   Input
		want string // part of the reason
	}
	for n := 1; n < len(successfulUpgrade); n++ {
		for name, b := range map[string]failure{
			"ended":          {PeerExited{"signal: killed"}, "ended while"},
			"refused":        {MessageReceived{Refused{"no room"}}, "no room"},
			"garbage":        {MessageReceived{errors.New("x")}, "not understood"},
			"hello again":    {MessageReceived{Hello{}}, "hello again"},
			"acts before Go": {MessageReceived{Acting{}}, "before it received the go message"},
		} {
			m := newMachine()
			for _, in := range successfulUpgrade[:n] {
				m.Step(in)
			}
			at := m.Phase()
			if name == "hello again" && at == Starting || name == "acts before Go" && at == Committing {
				continue
			}
			actions := m.Step(b.in)
			if _, gone := b.in.(PeerExited); !gone {
				if got := actionNames(actions); got != "Kill" || m.Phase() != Killing {
					t.Errorf("%s while %v: %q, then %v", name, at, got, m.Phase())
				}
				actions = m.Step(PeerExited{"killed"})
			}
			got, want := actionNames(actions), "Finished(false)"
			if at >= Holding {
				want = "ReleaseHold " + want
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
		"a second upgrade":        {false, []Input{Begin{}, Begin{}}, "Finished(true)"},
		"after SIGTERM":           {false, []Input{StopRequested{}, Begin{}}, "Finished(true)"},
		"SIGTERM while starting":  {false, []Input{Begin{}, StopRequested{}}, "Kill"},
		"SIGTERM while held":      {false, append(append([]Input{}, successfulUpgrade[:6]...), StopRequested{}), ""},
		"another protocol":        {false, []Input{Begin{}, MessageReceived{Hello{Protocol: 9, Schema: ownSchema}}}, "Kill"},
		"another schema":          {false, []Input{Begin{}, MessageReceived{Hello{Protocol: Protocol, Schema: 99}}}, "Kill"},
		"too long while starting": {false, []Input{Begin{}, TimerExpired{}}, "Kill"},
		"hold fails":              {false, append(append([]Input{}, successfulUpgrade[:5]...), Held{errors.New("busy")}), "Kill"},
		"not sent":                {false, append(append([]Input{}, successfulUpgrade[:6]...), Sent{errors.New("broken")}), "Kill"},
		"other decisions":         {false, append(append([]Input{}, successfulUpgrade[:3]...), MessageReceived{Differs{}}), ""},
		"other decisions, strict": {true, append(append([]Input{}, successfulUpgrade[:3]...), MessageReceived{Differs{}}), "Kill"},
		"needs the state":         {false, append(append([]Input{}, successfulUpgrade[:7]...), MessageReceived{NeedState{}}), "SendState"},
		"acted, and was killed":   {false, append(append([]Input{}, successfulUpgrade[:8]...), TimerExpired{}, MessageReceived{Acting{}}), "ExitCrashed"},
	} {
		m := newMachine()
		m.Strict = tc.strict
		var last []Action
		for _, in := range tc.in {
			last = m.Step(in)
		}
		if got := actionNames(last); got != tc.want {
			t.Errorf("%s: %q, want %q", name, got, tc.want)
		}
	}
}

// TestMachineProperties checks for random sequences of inputs: every hold is released unless the process exits; nothing
// is released while a new process may live; and this process exits only after it was held and has sent Go.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		held, alive, exited, goSent := false, false, false, false
		inputs := append([]Input{Begin{}, TimerExpired{}, StopRequested{}, Held{}, Held{errors.New("busy")}, Sent{errors.New("x")}, PeerExited{"x"},
			MessageReceived{Refused{}}, MessageReceived{Differs{}}, MessageReceived{NeedState{}}}, successfulUpgrade...)
		at := 0
		for range rapid.IntRange(1, 60).Draw(t, "inputs") {
			var in Input
			if rapid.IntRange(0, 4).Draw(t, "stray") == 0 {
				in = rapid.SampledFrom(inputs).Draw(t, "input")
			} else {
				in = successfulUpgrade[at%len(successfulUpgrade)]
				at++
			}
			switch in.(type) {
			case MessageReceived, PeerExited:
				if !alive {
					continue // there is no new process to send it
				}
			case Held:
				if m.Phase() != Holding {
					continue // it replies to a Hold action
				}
			}
			if h, ok := in.(Held); ok && h.Err != nil {
				held = false
			}
			if _, ok := in.(PeerExited); ok {
				alive = false
			}
			for _, a := range m.Step(in) {
				if e, ok := a.(Finished); exited && !(ok && e.Refused) {
					t.Fatalf("%T after the process has exited", a)
				}
				switch a.(type) {
				case Start:
					if alive {
						t.Fatal("a second new process while one lives")
					}
					alive, goSent = true, false
					at = 1
				case Hold:
					if held {
						t.Fatal("held twice")
					}
					held = true
				case ReleaseHold:
					if !held || alive {
						t.Fatalf("released: held %v, a new process lives %v", held, alive)
					}
					held = false
				case SendGo:
					if !held {
						t.Fatal("Go sent while this process serves")
					}
					goSent = true
				case Exit:
					if !held || !goSent {
						t.Fatal("exited without a handover")
					}
					exited = true
				case ExitCrashed:
					exited = true
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
