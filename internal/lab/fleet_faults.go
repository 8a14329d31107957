package lab

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// Faults are drawn by seed over a run.
type Faults struct {
	From  float64 `hcl:"from_s"`
	Every float64 `hcl:"every_s"` // between the end of one and the next
	Until float64 `hcl:"until_s"`
	Renew float64 `hcl:"renew_s,optional"` // between two workers that are replaced; 0 for none
}

// draw draws faults, each with its end.
func (f *Faults) draw(s *Scenario, seed uint64) (all []Event) {
	rng := rand.New(rand.NewPCG(seed, 11))
	name := func() string { return fmt.Sprintf("n%d", 1+rng.IntN(s.Dispatchers)) }
	names := make([]string, s.Dispatchers)
	for i := range names {
		names[i] = fmt.Sprintf("n%d", i+1)
	}
	for at := f.From; at < f.Until; {
		lasts := 2 + rng.Float64()*f.Every
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		split := 1 + rng.IntN(len(names)-1)
		who := name()
		switch rng.IntN(9) {
		case 0:
			all = append(all, Event{Kind: "cut", At: at, Groups: [][]string{slices.Clone(names[:split]), slices.Clone(names[split:])}}, Event{Kind: "heal", At: at + lasts})
		case 1: // one that moves before the view has settled
			all = append(all, Event{Kind: "cut", At: at, Groups: [][]string{slices.Clone(names[:split]), slices.Clone(names[split:])}},
				Event{Kind: "cut", At: at + 2, Groups: [][]string{slices.Clone(names[:1]), slices.Clone(names[1:])}}, Event{Kind: "heal", At: at + 2 + lasts})
		case 2:
			all = append(all, Event{Kind: "kill", At: at, Dispatcher: who}, Event{Kind: "start", At: at + lasts, Dispatcher: who})
		case 3:
			all = append(all, Event{Kind: "bounce", At: at, Dispatcher: who})
		case 4:
			all = append(all, Event{Kind: "leave", At: at, Dispatcher: who}, Event{Kind: "start", At: at + 6 + lasts, Dispatcher: who})
			lasts += 6
		case 5:
			long := []float64{0.3, 3, 8}[rng.IntN(3)]
			all = append(all, Event{Kind: "pause", At: at, Dispatcher: who, For: long})
			lasts = max(lasts, long)
		case 6:
			all = append(all, Event{Kind: "upgrade", At: at, Dispatcher: who})
		case 7:
			all = append(all, Event{Kind: "links", At: at, Loss: 0.2, DelayMS: 5, JitterMS: 20, Twice: 0.1}, Event{Kind: "heal", At: at + lasts})
		case 8:
			all = append(all, Event{Kind: "apart", At: at, Groups: [][]string{slices.Clone(names[:2])}}, Event{Kind: "heal", At: at + lasts})
		}
		at += lasts + f.Every
	}
	if s.Audit {
		all = append(all, f.drawNews(s, rng)...)
	}
	if f.Renew > 0 {
		workers := s.workerIDs()
		for i, at := 0, f.From; at < f.Until-15; i, at = i+1, at+f.Renew {
			all = append(all, Event{Kind: "renew", At: at, Worker: workers[i%len(workers)]})
		}
	}
	return all
}

func (s *Scenario) workerIDs() (all []string) {
	for _, g := range s.Workers {
		for n := range g.Count {
			all = append(all, workerID(g.Kind, n))
		}
	}
	return all
}

// drawNews draws what changes while things fail: workers that drain and return, discoveries that are late, configurations, and floors.
func (f *Faults) drawNews(s *Scenario, rng *rand.Rand) (all []Event) {
	workers := s.workerIDs()
	version := int64(1)
	for at := f.From; at < f.Until-15; at += 4 + 4*rng.Float64() {
		w := workers[rng.IntN(len(workers)/2)] // half of them always serve
		who := fmt.Sprintf("n%d", 1+rng.IntN(s.Dispatchers))
		switch rng.IntN(4) {
		case 0, 1:
			all = append(all, Event{Kind: "late", At: at, Dispatcher: who, For: 5}, Event{Kind: "drain", At: at + 0.3, Worker: w}, Event{Kind: "return", At: at + 3.5, Worker: w})
		case 2: // one of the members is told late
			version++
			straggler := fmt.Sprintf("n%d", 1+rng.IntN(s.Dispatchers))
			for i := range s.Dispatchers {
				if n := fmt.Sprintf("n%d", i+1); n != straggler {
					all = append(all, Event{Kind: "config", At: at, Dispatcher: n, Version: version})
				}
			}
			all = append(all, Event{Kind: "config", At: at + 12, Dispatcher: straggler, Version: version})
			if rng.IntN(2) == 0 && straggler != who {
				all = append(all, Event{Kind: "floor", At: at + 1, Dispatcher: who, Version: version})
			}
		case 3:
			all = append(all, Event{Kind: "late", At: at, Dispatcher: who, For: 6})
		}
	}
	return all
}
