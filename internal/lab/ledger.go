// Package lab plays a fleet on loopback around real dispatchers: stand-in quote workers, a roster and callers, after
// PROTOCOL-foldlb, and a ledger that accounts for every request. Nothing of it is part of a dispatcher.
package lab

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Outcome is how a caller saw its request end.
type Outcome string

// The outcomes.
const (
	Open     Outcome = ""        // no answer yet
	Answered Outcome = "served"  // 200 with the result that a worker made for it
	Refused  Outcome = "refused" // 429 or 503
	Failed   Outcome = "failed"  // any other status
	Wrong    Outcome = "wrong"   // 200 with what no worker made for it
	Lost     Outcome = "lost"    // the connection ended without a whole answer
	Left     Outcome = "left"    // the caller went away on purpose
	Overdue  Outcome = "overdue" // no answer long after the deadline
)

// entry is all that is known of one request.
type entry struct {
	class   string
	planned time.Time
	ended   time.Time
	outcome Outcome
	extra   int // answers beyond the one
	sends   int
	runs    int
	done    int
	results map[string]bool
	detail  string
}

// Ledger accounts for every request.
type Ledger struct {
	mu       sync.Mutex
	entries  map[string]*entry
	unknown  int                // sends of ids that no caller has used
	from     map[string][]reach // sends by the dispatcher that they came from
	drained  int                // sends to a worker that had been told to drain for longer than the rule allows
	second   int                // sends of a request to a worker that still held it
	repeated int                // call-backs that had to be repeated
	unheard  int                // call-backs that were never acknowledged
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{entries: map[string]*entry{}, from: map[string][]reach{}} }

func (l *Ledger) asked(id, class string, planned time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = &entry{class: class, planned: planned, results: map[string]bool{}}
}

func (l *Ledger) ended(id string, o Outcome, detail, result string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if o == Answered && !e.results[result] {
		o, detail = Wrong, result
	}
	e.outcome, e.ended, e.detail = o, time.Now(), detail
}

func (l *Ledger) answeredAgain(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id].extra++
}

func (l *Ledger) with(id string, f func(e *entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		f(e)
	} else {
		l.unknown++
	}
}

// reach is a branch that reached a worker.
type reach struct {
	at     float64 // Unix seconds
	worker string
}

func (l *Ledger) sent(id, back, worker string, drained, held bool) {
	l.with(id, func(e *entry) { e.sends++ })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from[back] = append(l.from[back], reach{unixOf(time.Now()), worker})
	if drained {
		l.drained++
	}
	if held {
		l.second++
	}
}

func (l *Ledger) wasSent(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	return e != nil && e.sends > 0
}

func (l *Ledger) ran(id string) { l.with(id, func(e *entry) { e.runs++ }) }

func (l *Ledger) made(id, result string) {
	l.with(id, func(e *entry) { e.done++; e.results[result] = true })
}

func (l *Ledger) called(tries int, heard bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if tries > 1 {
		l.repeated++
	}
	if !heard {
		l.unheard++
	}
}

// Account is a ledger summed up.
type Account struct {
	Requests      int             `json:"requests"`
	Outcomes      map[Outcome]int `json:"outcomes"`
	Twice         int             `json:"answered_twice"`
	RunTwice      int             `json:"run_twice_that_must_not"`
	SentTwice     int             `json:"sent_twice_that_must_not"`
	Drained       int             `json:"sent_to_a_drained_worker"`
	SecondCopies  int             `json:"sent_again_to_a_worker_that_held_it"`
	Unknown       int             `json:"sent_with_an_unknown_id"`
	RepeatedCalls int             `json:"call_backs_repeated"`
	UnheardCalls  int             `json:"call_backs_never_acknowledged"`
	Worst         []string        `json:"examples,omitempty"` // of what went wrong
}

// sum adds up; once tells which classes must never run twice.
func (l *Ledger) sum(once map[string]bool) Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Account{Requests: len(l.entries), Outcomes: map[Outcome]int{}, Drained: l.drained, SecondCopies: l.second,
		Unknown: l.unknown, RepeatedCalls: l.repeated, UnheardCalls: l.unheard}
	first := l.firstPlanned()
	for id, e := range l.entries {
		a.Outcomes[e.outcome]++
		a.Twice += e.extra
		if once[e.class] && e.runs > 1 {
			a.RunTwice++
		}
		if once[e.class] && e.sends > 1 && e.runs > 0 {
			a.SentTwice++
		}
		switch e.outcome {
		case Lost, Wrong, Overdue, Open, Failed, Refused:
			if len(a.Worst) < 20 {
				a.Worst = append(a.Worst, e.describe(id, first))
			}
		}
	}
	sort.Strings(a.Worst)
	return a
}

// firstPlanned is when the first request was to be sent. The ledger is locked.
func (l *Ledger) firstPlanned() time.Time {
	var first time.Time
	for _, e := range l.entries {
		if first.IsZero() || e.planned.Before(first) {
			first = e.planned
		}
	}
	return first
}

// describe tells what became of a request, in seconds from the first one on.
func (e *entry) describe(id string, first time.Time) string {
	text := fmt.Sprintf("%s %s %s: %s; planned at %.3f s, sent to workers %d times", id, e.class, e.outcome, e.detail, e.planned.Sub(first).Seconds(), e.sends)
	if !e.ended.IsZero() {
		text += fmt.Sprintf(", ended after %.3f s", e.ended.Sub(e.planned).Seconds())
	}
	return text
}

// sample is one request's time, for histograms and charts.
type sample struct {
	planned time.Time
	took    time.Duration
	class   string
	outcome Outcome
}

func (l *Ledger) samples() []sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []sample
	for _, e := range l.entries {
		if e.outcome != Left && e.outcome != Open {
			all = append(all, sample{e.planned, e.ended.Sub(e.planned), e.class, e.outcome})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].planned.Before(all[j].planned) })
	return all
}
