package virtual

import (
	"strings"
	"testing"

	"foldlb.example/foldlb/choice"
)

// days are what befalls a large fleet: most dispatchers die during a release, a zone comes back cold, most workers are
// replaced within seconds.
var days = map[string][]Happening{
	"release":  {{At: 6, Dispatchers: 0.7, Back: 0.5}, {At: 5, Replaced: 0.5, Within: 6}},
	"zone":     {{At: 5, Zone: "a", Dispatchers: 1, Workers: 1, Back: 4}},
	"replaced": {{At: 5, Replaced: 0.6, Within: 7}},
}

func day(name string, seed uint64) Config {
	return Config{Seed: seed, Dispatchers: 80, Workers: 60, Length: 18, Load: 0.55, ConnsMost: 120, Plan: days[name]}
}

// serves is how many calls without news discovery does in a second.
const serves = 1 / callTime

// promises names those that a play broke.
func promises(c Config, n Count) (broken []string) {
	check := func(kept bool, name string) {
		if !kept {
			broken = append(broken, name)
		}
	}
	check(n.Unanswered == 0, "every request ends")
	check(n.Twice == 0, "every request ends once")
	check(n.Repeated == 0, "nothing is repeated beyond its class")
	// The module plans with 0.6 of what a cold worker bears; what is left is for the sizes of jobs, which nobody tells.
	check(n.Cold <= 0.75, "no cold worker is sent more than it bears")
	check(n.Refusals*50 <= n.Attempts, "connections fit into the workers' tables")
	check(n.Least > 0.4, "no warm worker starves")
	check(n.Served*10 >= n.Requests*9, "nine of ten requests are served")
	check(n.Told > 0.97, "everybody knows the list at the end")
	for at, calls := range n.Calls {
		// Those that start together ask within a quarter of the time that the settings allow; from then on discovery
		// can do what is asked.
		check(calls <= c.Dispatchers || at < 3, "no second brings more calls than there are dispatchers")
		check(float64(calls) <= serves || !quiet(c, at), "calls fit into what discovery can do")
	}
	return broken
}

// quiet tells whether a second is later than the time within which discovery must be asked, after the start and after
// everything that was planned.
func quiet(c Config, second int) bool {
	last := 0.0
	for _, h := range c.Plan {
		last = max(last, h.At+h.Back+h.Within)
	}
	return float64(second) > last+settings(c, 0, "").AskWithin/2
}

func TestLargeFleetKeepsItsPromises(t *testing.T) {
	for name := range days {
		for _, seed := range []uint64{1, 2} {
			c := day(name, seed)
			n := Play(c)
			for _, p := range promises(c, n) {
				t.Errorf("%s, seed %d: broken: %s (%+v)", name, seed, p, n)
			}
		}
	}
}

// TestHundredsKeepTheirPromises is the longer form.
func TestHundredsKeepTheirPromises(t *testing.T) {
	if testing.Short() {
		t.Skip("the long form")
	}
	c := day("release", 3)
	c.Dispatchers, c.Workers, c.Length, c.ConnsMost = 300, 200, 14, 300
	n := Play(c)
	for _, p := range promises(c, n) {
		if p != "calls fit into what discovery can do" { // three hundred calls take twelve seconds of it
			t.Errorf("broken: %s (%+v)", p, n)
		}
	}
}

func TestSameSeedSamePlay(t *testing.T) {
	c := day("zone", 4)
	c.Length = 8
	a, b := Play(c), Play(c)
	c.Seed++
	if other := Play(c); a.Trace != b.Trace || a.Trace == other.Trace {
		t.Errorf("traces %x and %x of one seed, %x of another", a.Trace, b.Trace, other.Trace)
	}
}

// altered is a dispatcher's host that does something else.
type altered struct {
	choice.Actions
	assign func(choice.Actions, string, string, float64)
	again  bool // busy answers are given twice
	keeps  bool // idle connections are never closed
	storms bool // discovery is asked with every attempt
	deaf   bool // discovery is never asked
}

func (a altered) Assign(id, worker string, until float64) {
	if a.assign != nil {
		a.assign(a.Actions, id, worker, until)
		return
	}
	a.Actions.Assign(id, worker, until)
	if a.storms {
		a.Actions.Subscribe(true)
	}
}

func (a altered) Subscribe(on bool) {
	if !a.deaf {
		a.Actions.Subscribe(on)
	}
}

func (a altered) Refuse(id string, pause float64) {
	a.Actions.Refuse(id, pause)
	if a.again {
		a.Actions.Refuse(id, pause)
	}
}

func (a altered) CloseIdle(worker string) {
	if !a.keeps {
		a.Actions.CloseIdle(worker)
	}
}

// TestEachPromiseCanBeBroken: an altered dispatcher breaks each.
func TestEachPromiseCanBeBroken(t *testing.T) {
	wrap := func(a altered) func(choice.Actions) choice.Actions {
		return func(act choice.Actions) choice.Actions {
			a.Actions = act
			return a
		}
	}
	shun := func(shunned func(worker string) bool) func(choice.Actions) choice.Actions {
		return wrap(altered{assign: func(act choice.Actions, id, worker string, until float64) {
			if !shunned(worker) {
				act.Assign(id, worker, until)
			}
		}})
	}
	shuns := shun(func(worker string) bool { return worker == "w9" })
	for _, tc := range []struct {
		promise string
		alter   func(*Config)
	}{
		{"every request ends", func(c *Config) { c.NoDeadline, c.Wrap = true, shuns }},
		{"every request ends once", func(c *Config) { c.Load, c.Wrap = 0.9, wrap(altered{again: true}) }},
		{"nothing is repeated beyond its class", func(c *Config) {
			c.Alter = func(s *choice.Settings) {
				for i := range s.Classes {
					s.Classes[i].Effect = choice.Idempotent
				}
			}
		}},
		{"no cold worker is sent more than it bears", func(c *Config) {
			c.Alter = warmFromTheStart
		}},
		{"no warm worker starves", func(c *Config) { c.Wrap = shuns }},
		{"calls fit into what discovery can do", func(c *Config) { c.Wrap = wrap(altered{storms: true}) }},
		{"no second brings more calls than there are dispatchers", func(c *Config) { c.Wrap = wrap(altered{storms: true}) }},
		{"everybody knows the list at the end", func(c *Config) { c.Wrap = wrap(altered{deaf: true}) }},
		{"nine of ten requests are served", func(c *Config) {
			c.Wrap = shun(func(worker string) bool { return strings.HasSuffix(worker, "3") || strings.HasSuffix(worker, "6") })
		}},
		{"connections fit into the workers' tables", func(c *Config) { c.ConnsMost, c.Wrap = 22, wrap(altered{keeps: true}) }},
	} {
		c := day("zone", 1)
		tc.alter(&c)
		n := Play(c)
		found := false
		for _, p := range promises(c, n) {
			found = found || p == tc.promise
		}
		if !found {
			t.Errorf("not broken: %s (%+v)", tc.promise, n)
		}
	}
}
