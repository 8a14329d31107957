package virtual

import (
	"testing"

	"foldlb.example/foldlb/choice"
)

// throng is a day on which workers are replaced and others come back cold under a burst, for a fleet whose dispatchers have uneven traffic.
func throng(seed uint64, dispatchers int) Config {
	return Config{Seed: seed, Dispatchers: dispatchers, Workers: 14, Length: 26, Load: 0.6 + 0.1*float64(seed%5), ConnsMost: 700, Uneven: true,
		Burst: Burst{At: 10, For: 8, Times: 1.5}, Plan: []Happening{{At: 5, Replaced: 0.3, Within: 4}, {At: 9, Workers: 0.2, Back: 2}}}
}

// fleetsOf are the sizes of fleets that are drawn, and how many plays of each.
var fleetsOf = map[int]int{1: 12, 3: 12, 8: 12, 20: 12, 30: 12, 100: 6, 300: 2}

// fellMost is how near a cold worker may be brought to its fall, which comes at 1. What is left is for what this model lacks: heavy tails,
// connections that come up together, workers that have less than the settings' least part of their capacity left over from a job before.
const fellMost = 0.75

// TestFleetsSumSparesColdWorkers: what all dispatchers together send a cold worker stays under N + 2 root N + 2 jobs of mean work in the rule's
// window, N being what it bears, and does not grow with their number, though each knows only itself.
func TestFleetsSumSparesColdWorkers(t *testing.T) {
	mean := map[int]float64{}
	for n, plays := range fleetsOf {
		for seed := range uint64(plays) {
			got := Play(throng(seed+1, n))
			mean[n] += got.Cold / float64(plays)
			if got.Fell > fellMost {
				t.Errorf("%d dispatchers, seed %d: a cold worker is brought to %.2f of its fall, %.2f at most", n, seed+1, got.Fell, fellMost)
			}
		}
	}
	t.Logf("mean of the most that a cold worker was sent, over N: %v", mean)
	for n := range fleetsOf {
		if mean[n] > 1.5*mean[3] {
			t.Errorf("%d dispatchers send a cold worker %.2f of N in the mean, three send %.2f", n, mean[n], mean[3])
		}
	}
}

// TestFleetsSumCanFall: the promise can be broken, by modules that take cold workers for warm ones.
func TestFleetsSumCanFall(t *testing.T) {
	c := throng(3, 30)
	c.Load, c.Alter = 2.5, warmFromTheStart
	if n := Play(c); n.Fell <= 1 {
		t.Errorf("brought to %.2f of its fall", n.Fell)
	}
}

func warmFromTheStart(s *choice.Settings) { s.WarmWithin = 0 }
