package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"
	"gonum.org/v1/gonum/stat/distuv"
)

// Scenario is a lab's day: a fleet, its callers, what happens when, and what must hold. It is read from HCL.
type Scenario struct {
	Title       string   `hcl:"title,optional"`
	Base        string   `hcl:"base,optional"` // a file whose classes count where this one has none; from this one's folder
	Duration    string   `hcl:"duration"`
	Rate        float64  `hcl:"rate"`             // requests a second, over all callers
	Callers     int      `hcl:"callers,optional"` // connections at the most
	Classes     []Class  `hcl:"class,block"`
	Workers     []Group  `hcl:"workers,block"`
	Habits      *Habits  `hcl:"habits,block"`
	Events      []Event  `hcl:"event,block"`
	Promises    Promises `hcl:"promises,block"`
	Operator    string   `hcl:"operator,optional"`    // more text for the dispatcher's operator file
	Dispatchers int      `hcl:"dispatchers,optional"` // members of a fleet; 0 for one that is alone
	Faults      *Faults  `hcl:"faults,block"`         // of the fleet, drawn by seed
	Audit       bool     `hcl:"audit,optional"`       // the members keep records, which are verified at the end
	Lease       string   `hcl:"lease,optional"`       // of the members; empty for none
	Platform    bool     `hcl:"platform,optional"`    // the lab holds the listener, and staff work at the operators' door
	Limits      *struct {
		Cores    float64 `hcl:"cores,optional"`
		MemoryMB int     `hcl:"memory_mb,optional"`
		Sockets  int     `hcl:"sockets,optional"`
	} `hcl:"limits,block"`

	length time.Duration
}

// Class is a class of requests. Work has a log-normal distribution.
type Class struct {
	Name      string  `hcl:"name,label"`
	Part      float64 `hcl:"part"`   // of all requests
	Effect    string  `hcl:"effect"` // idempotent, deduplicated, at_most_once
	AimMS     float64 `hcl:"aim_ms"`
	Stretch   float64 `hcl:"stretch,optional"`
	Deadline  float64 `hcl:"deadline_s"`
	Worth     float64 `hcl:"worth"`
	LateWorth float64 `hcl:"late_worth,optional"`
	WorkMS    float64 `hcl:"work_ms"`               // median, at pace 1
	Spread    float64 `hcl:"spread,optional"`       // sigma of the logarithm
	BodyBytes int     `hcl:"body_bytes,optional"`   // of a request
	Result    int     `hcl:"result_bytes,optional"` // of an answer
}

// Group is a number of like workers.
type Group struct {
	Kind  string  `hcl:"kind,label"`
	Count int     `hcl:"count"`
	Slots int     `hcl:"slots"`
	Pace  float64 `hcl:"pace,optional"`
}

// Habits are the parts of requests whose callers do something out of the usual.
type Habits struct {
	Leave    float64 `hcl:"leave,optional"`    // go away before the answer
	Split    float64 `hcl:"split,optional"`    // write the request in two pieces, some time apart
	Pipeline float64 `hcl:"pipeline,optional"` // write the next request behind it
	Slow     float64 `hcl:"slow,optional"`     // read the answer a little at a time
}

// Event is something that happens at a time.
type Event struct {
	Kind   string  `hcl:"kind,label"` // upgrade, restart, drain, return, renew, reload; on a platform replace, ban, unban, away, stay, figures
	At     float64 `hcl:"at"`         // seconds from the beginning
	Worker string  `hcl:"worker,optional"`
	Binary string  `hcl:"binary,optional"` // of an upgrade: good, or a kind of bad start
	Expect string  `hcl:"expect,optional"` // of an upgrade: replaced (also the default), fell back, either, or killed

	Dispatcher string     `hcl:"dispatcher,optional"` // n1, n2 ...: of a fleet, the one that it happens to
	Version    int64      `hcl:"version,optional"`    // of config: the number that is stated; of floor: the least
	Groups     [][]string `hcl:"groups,optional"`     // of a cut: those that reach each other still; of apart: those that don't meet; of oneway: the first's words don't reach the second; of drain and return: those whose discoveries tell it
	For        float64    `hcl:"for_s,optional"`      // of a pause, and of a churn
	Rate       float64    `hcl:"rate,optional"`       // of a churn: changes of the route set a second
	Loss       float64    `hcl:"loss,optional"`       // of links: part of the datagrams
	DelayMS    float64    `hcl:"delay_ms,optional"`
	JitterMS   float64    `hcl:"jitter_ms,optional"`
	Twice      float64    `hcl:"twice,optional"`   // part of the datagrams
	Trickle    int        `hcl:"trickle,optional"` // bytes a second of each connection
}

// Promises are what must hold at the end. What must be 0 is 0 unless it is raised here.
type Promises struct {
	Lost      int     `hcl:"lost,optional"`
	Twice     int     `hcl:"answered_twice,optional"`
	RunTwice  int     `hcl:"run_twice,optional"`
	Drained   int     `hcl:"sent_to_drained,optional"`
	Refused   int     `hcl:"refused,optional"`
	Failed    int     `hcl:"failed,optional"`
	Reopened  int     `hcl:"connections_closed,optional"`
	Crossed   int     `hcl:"crossed_closes,optional"`
	Strict    bool    `hcl:"strict,optional"`     // nobody who runs and is reached is ever held for failed, not even within the bounds of settling
	P99Factor float64 `hcl:"p99_factor,optional"` // inside upgrade windows against outside; 0 for no promise
	P99PlusMS float64 `hcl:"p99_plus_ms,optional"`
}

var (
	eventKinds = map[string]bool{"upgrade": true, "drain": true, "return": true, "renew": true, "reload": true, "restart": true}
	opsKinds   = map[string]bool{"replace": true, "ban": true, "unban": true, "away": true, "stay": true, "figures": true}
	fleetKinds = map[string]bool{"kill": true, "bounce": true, "start": true, "leave": true, "pause": true, "cut": true, "apart": true, "oneway": true, "starve": true, "late": true, "anew": true, "config": true, "rollback": true, "churn": true, "floor": true, "links": true, "heal": true}
	ofOne      = map[string]bool{"kill": true, "bounce": true, "start": true, "leave": true, "pause": true, "starve": true, "late": true, "rollback": true, "upgrade": true}
	ofWorkers  = map[string]bool{"drain": true, "return": true, "renew": true, "ban": true, "unban": true}
	expects    = map[string]bool{"replaced": true, "fell back": true, either: true, killed: true}
	effects    = map[string]bool{"idempotent": true, "deduplicated": true, "at_most_once": true}
)

// LoadScenario reads a scenario file. Its errors name the file and what is wrong.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return ParseScenario(path, text)
}

// ParseScenario reads a scenario's text.
func ParseScenario(path string, text []byte) (*Scenario, error) {
	var s Scenario
	if err := hclsimple.Decode(path, text, nil, &s); err != nil {
		var all hcl.Diagnostics
		if errors.As(err, &all) {
			err = errors.Join(all.Errs()...)
		}
		return nil, fmt.Errorf("scenario: %w", err)
	}
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(path+": "+format, args...)) }
	err := s.underlie(path)
	if err != nil {
		fault("base: %w", err)
	}
	if s.length, err = time.ParseDuration(s.Duration); err != nil || s.length <= 0 || s.length > 2*time.Hour {
		fault("duration: %q is not a time up to 2h", s.Duration)
	}
	if s.Rate <= 0 || s.Rate > 1e5 {
		fault("rate: %v is not above 0 and up to 100000 requests a second", s.Rate)
	}
	if s.Callers == 0 {
		s.Callers = 64
	}
	if s.Habits == nil {
		s.Habits = &Habits{}
	}
	if len(s.Classes) == 0 {
		fault("class: at least one is needed")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !effects[c.Effect] {
			fault("class %q: effect: %q is none of idempotent, deduplicated, at_most_once", c.Name, c.Effect)
		}
		if c.Part <= 0 || c.AimMS <= 0 || c.Deadline <= 0 || c.WorkMS <= 0 {
			fault("class %q: part, aim_ms, deadline_s and work_ms must be above 0", c.Name)
		}
		if c.Stretch == 0 {
			c.Stretch = 2
		}
	}
	workers := map[string]bool{}
	for i := range s.Workers {
		g := &s.Workers[i]
		if g.Pace == 0 {
			g.Pace = 1
		}
		if g.Count < 1 || g.Slots < 1 || g.Pace < 0 {
			fault("workers %q: count and slots must be 1 or more, pace above 0", g.Kind)
		}
		for n := range g.Count {
			workers[workerID(g.Kind, n)] = true
		}
	}
	if len(workers) == 0 {
		fault("workers: at least one is needed")
	}
	if s.Dispatchers < 0 || s.Dispatchers > mostDispatchers || s.Dispatchers == 1 || s.Dispatchers > 1 && s.Platform {
		fault("dispatchers: %d, 2 to %d, and not on a platform", s.Dispatchers, mostDispatchers)
	}
	if f := s.Faults; f != nil && (s.Dispatchers < 3 || f.Every < 1 || f.From < 0 || f.Renew < 0 || f.Renew > 0 && f.Renew < 1 || f.Until > s.length.Seconds()) {
		fault("faults: need 3 dispatchers or more, a second or more between them, and an end within the duration")
	}
	members := map[string]bool{}
	for i := range s.Dispatchers {
		members[fmt.Sprintf("n%d", i+1)] = true
	}
	for _, e := range s.Events {
		strange := ""
		for _, g := range e.Groups {
			for _, n := range g {
				if !members[n] {
					strange = n
				}
			}
		}
		switch {
		case !eventKinds[e.Kind] && !opsKinds[e.Kind] && !fleetKinds[e.Kind]:
			fault("event %q: is none of upgrade, restart, drain, return, renew, reload, replace, ban, unban, away, stay, figures, kill, bounce, start, leave, pause, starve, late, anew, config, rollback, churn, floor, cut, apart, oneway, links, heal", e.Kind)
		case s.Dispatchers == 0 && fleetKinds[e.Kind] || s.Dispatchers > 0 && (e.Kind == "restart" || e.Kind == "reload"):
			fault("event %q at %v: does not go with dispatchers = %d", e.Kind, e.At, s.Dispatchers)
		case s.Dispatchers > 0 && ofOne[e.Kind] && !members[e.Dispatcher]:
			fault("event %q at %v: there is no dispatcher %q", e.Kind, e.At, e.Dispatcher)
		case (e.Kind == "config" || e.Kind == "rollback" || e.Kind == "floor") && (!s.Audit || e.Version < 1 || e.Kind == "floor" && !members[e.Dispatcher] || e.Dispatcher != "" && !members[e.Dispatcher]):
			fault("event %q at %v: needs audit = true, a version and, for a floor, a dispatcher that tells it", e.Kind, e.At)
		case e.Kind == "churn" && (e.Rate <= 0 || e.Rate > 1000 || e.For <= 0):
			fault("event churn at %v: needs a rate above 0 and up to 1000 changes a second, and for_s", e.At)
		case strange != "":
			fault("event %q at %v: there is no dispatcher %q", e.Kind, e.At, strange)
		case e.Loss < 0 || e.Loss > 1 || e.Twice < 0 || e.Twice > 1 || e.DelayMS < 0 || e.JitterMS < 0 || e.Trickle < 0 || e.For < 0:
			fault("event %q at %v: loss and twice are parts, delays and times are 0 or more", e.Kind, e.At)
		case opsKinds[e.Kind] && !s.Platform || (e.Kind == "upgrade" || e.Kind == "restart") && s.Platform:
			fault("event %q at %v: does not go with platform = %v", e.Kind, e.At, s.Platform)
		case ofWorkers[e.Kind] && !workers[e.Worker]:
			fault("event %q at %v: there is no worker %q", e.Kind, e.At, e.Worker)
		case (e.Kind == "upgrade" || e.Kind == "replace") && e.Binary != "" && e.Binary != "good" && !BadStarts[e.Binary]:
			fault("event %s at %v: binary %q is neither good nor a known bad start", e.Kind, e.At, e.Binary)
		case e.Expect != "" && !expects[e.Expect]:
			fault("event %s at %v: expect: %q is none of replaced, fell back, either, killed", e.Kind, e.At, e.Expect)
		case e.At < 0 || e.At > s.length.Seconds():
			fault("event %q: at = %v is outside the duration", e.Kind, e.At)
		}
	}
	return &s, errors.Join(faults...)
}

// underlie takes from the base what the scenario itself does not say.
func (s *Scenario) underlie(path string) error {
	if s.Base == "" {
		return nil
	}
	var base struct {
		Classes []Class `hcl:"class,block"`
	}
	if err := hclsimple.DecodeFile(filepath.Join(filepath.Dir(path), s.Base), nil, &base); err != nil {
		return err
	}
	if len(s.Classes) == 0 {
		s.Classes = base.Classes
	}
	return nil
}

// mostDispatchers bounds a fleet: each is a process.
const mostDispatchers = 80

func workerID(kind string, n int) string { return fmt.Sprintf("s-%s-%d", kind, n) }

// arrival is one request that is planned.
type arrival struct {
	at    time.Duration
	id    string
	class int
	habit string
	draw  float64 // for whatever the habit draws
}

// plan draws all requests ahead.
func (s *Scenario) plan(seed uint64) []arrival {
	src := rand.NewPCG(seed, 1)
	rng := rand.New(src)
	gap := distuv.Exponential{Rate: s.Rate, Src: src}
	total := 0.0
	for _, c := range s.Classes {
		total += c.Part
	}
	var all []arrival
	for at := gap.Rand(); at < s.length.Seconds(); at += gap.Rand() {
		a := arrival{at: time.Duration(at * float64(time.Second)), id: fmt.Sprintf("%016x", rng.Uint64()), draw: rng.Float64()}
		x := rng.Float64() * total
		for a.class < len(s.Classes)-1 && x >= s.Classes[a.class].Part {
			x -= s.Classes[a.class].Part
			a.class++
		}
		x = rng.Float64()
		for _, h := range []struct {
			name string
			part float64
		}{{"leave", s.Habits.Leave}, {"split", s.Habits.Split}, {"pipeline", s.Habits.Pipeline}, {"slow", s.Habits.Slow}} {
			if x < h.part {
				a.habit = h.name
				break
			}
			x -= h.part
		}
		all = append(all, a)
	}
	return all
}

// workTime draws the time of a job, the same for the same id and seed.
func (s *Scenario) workTime(seed uint64) func(class, id string) (time.Duration, int) {
	byName := map[string]Class{}
	for _, c := range s.Classes {
		byName[c.Name] = c
	}
	return func(class, id string) (time.Duration, int) {
		c := byName[class]
		h := seed
		for _, b := range []byte(id) {
			h = (h ^ uint64(b)) * 1099511628211
		}
		d := distuv.LogNormal{Mu: 0, Sigma: c.Spread, Src: rand.NewPCG(h, 2)}
		ms := c.WorkMS
		if c.Spread > 0 {
			ms *= d.Rand()
		}
		return time.Duration(ms * float64(time.Millisecond)), c.Result
	}
}
