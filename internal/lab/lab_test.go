package lab

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestLedgerFindsWhatIsWrong: each promise can be broken, and then is.
func TestLedgerFindsWhatIsWrong(t *testing.T) {
	for name, tc := range map[string]struct {
		play   func(l *Ledger)
		broken string
	}{
		"all well": {func(l *Ledger) {
			l.sent("r", "", "w", false, false)
			l.ran("r")
			l.made("r", "x")
			l.ended("r", Answered, "", "x")
		}, ""},
		"lost":               {func(l *Ledger) { l.ended("r", Lost, "", "") }, "requests lost, or never answered"},
		"never answered":     {func(*Ledger) {}, "requests lost, or never answered"},
		"overdue":            {func(l *Ledger) { l.ended("r", Overdue, "", "") }, "requests lost, or never answered"},
		"answered twice":     {func(l *Ledger) { l.made("r", "x"); l.ended("r", Answered, "", "x"); l.answeredAgain("r") }, "requests answered twice"},
		"another's result":   {func(l *Ledger) { l.made("r", "x"); l.ended("r", Answered, "", "y") }, "answers that no worker made"},
		"run twice":          {func(l *Ledger) { l.ran("r"); l.ran("r"); l.made("r", "x"); l.ended("r", Answered, "", "x") }, "jobs run twice that must not"},
		"sent after a drain": {func(l *Ledger) { l.made("r", "x"); l.ended("r", Answered, "", "x"); l.sent("r", "", "w", true, false) }, "sends to a drained worker"},
		"an unknown id":      {func(l *Ledger) { l.made("r", "x"); l.ended("r", Answered, "", "x"); l.sent("z", "", "w", false, false) }, "sends with an id that nobody used"},
		"refused":            {func(l *Ledger) { l.ended("r", Refused, "", "") }, "requests refused"},
		"failed":             {func(l *Ledger) { l.ended("r", Failed, "", "") }, "requests failed"},
		"unheard":            {func(l *Ledger) { l.made("r", "x"); l.ended("r", Answered, "", "x"); l.called(10, false) }, "call-backs never acknowledged"},
	} {
		l := NewLedger()
		l.asked("r", "once", time.Now())
		tc.play(l)
		var r Result
		r.judge(&Scenario{Classes: []Class{{Name: "once", Effect: "at_most_once", Worth: 1}}}, l, 0, nil)
		var broken []string
		for _, p := range r.Promises {
			if !p.OK {
				broken = append(broken, p.Name)
			}
		}
		if got := strings.Join(broken, "; "); got != tc.broken || r.OK != (tc.broken == "") {
			t.Errorf("%s: broken: %q, want %q", name, got, tc.broken)
		}
	}
}

// TestUpgradesMustEndAsExpected: a bad start that replaces the old process is a broken promise, as is a good one that
// does not, a late answer inside an upgrade, or a process that nobody waited for.
func TestUpgradesMustEndAsExpected(t *testing.T) {
	s := &Scenario{Classes: []Class{{Name: "c", Worth: 1}}, Promises: Promises{P99Factor: 1.2, P99PlusMS: 5}}
	now := time.Now()
	l := NewLedger()
	l.asked("in", "c", now)
	l.made("in", "x")
	l.ended("in", Answered, "", "x")
	l.entries["in"].ended = now.Add(time.Second)
	l.asked("out", "c", now.Add(time.Hour))
	l.made("out", "x")
	l.ended("out", Answered, "", "x")
	l.entries["out"].ended = now.Add(time.Hour + time.Millisecond)
	r := Result{Upgrades: []UpgradeResult{{Want: "fell back", Result: "replaced"}}, windows: []window{{from: now, to: now.Add(2 * time.Second)}}}
	r.judge(s, l, 2, nil)
	broken := 0
	for _, p := range r.Promises {
		if !p.OK {
			broken++
		}
	}
	if broken != 3 || r.OK {
		t.Errorf("%d promises are broken: %+v", broken, r.Promises)
	}
}

func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../lab/*.hcl")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		s, err := LoadScenario(path)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		a, b, c := s.plan(1), s.plan(1), s.plan(2)
		if len(a) != len(b) || a[len(a)-1] != b[len(b)-1] || a[0].id == c[0].id {
			t.Errorf("%s: the same seed must draw the same requests, another one others", path)
		}
		if got, want := float64(len(a)), s.Rate*s.length.Seconds(); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s: %v requests are planned, about %v wanted", path, got, want)
		}
	}
}

func TestFaultyScenarios(t *testing.T) {
	good := "duration = \"1s\"\nrate = 10\nclass \"c\" {\n part = 1\n effect = \"idempotent\"\n aim_ms = 1\n deadline_s = 1\n worth = 1\n work_ms = 1\n}\n" +
		"workers \"w\" {\n count = 1\n slots = 1\n}\npromises {}\n"
	if _, err := ParseScenario("s.hcl", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"\"1s\"=>\"soon\"":                                 "duration",
		"rate = 10=>rate = 0":                              "rate",
		"idempotent=>sometimes":                            "effect",
		"work_ms = 1=>work_ms = 0":                         "work_ms",
		"slots = 1=>slots = 0":                             "slots",
		"promises=>event \"explode\" { at = 0 }\npromises": "explode",
		"promises=>event \"drain\" {\n at = 0\n worker = \"x\"\n}\npromises":   "no worker",
		"promises=>event \"upgrade\" {\n at = 0\n binary = \"x\"\n}\npromises": "binary",
		"promises=>event \"upgrade\" { at = 9 }\npromises":                     "outside",
		"rate = 10=>speed = 10":                        "s.hcl:2",
		"rate = 10=>rate = 10\nbase = \"nowhere.hcl\"": "base",
	} {
		from, to, _ := strings.Cut(change, "=>")
		if _, err := ParseScenario("s.hcl", []byte(strings.Replace(good, from, to, 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q named", change, err, want)
		}
	}
}
