package virtual

import "testing"

// joins is a day on which a fleet doubles, and part of the workers are replaced just then.
func joins(seed uint64, told bool, behind int) Config {
	return Config{Seed: seed, Dispatchers: 20, Workers: 40, Length: 26, Load: 0.8, ConnsMost: 200, Told: told, Behind: behind,
		Plan: []Happening{{At: 12, Join: 20}, {At: 13.5, Replaced: 0.25, Within: 1}}}
}

// TestJoinsSpareColdWorkers: where dispatchers are told how many may be acting, a cold worker is driven less far when many join
// than where each finds out by itself, and as many jobs are served.
func TestJoinsSpareColdWorkers(t *testing.T) {
	var alone, told, parted, served, wasServed float64
	const seeds = 6
	for seed := range uint64(seeds) {
		a, b, c := Play(joins(seed+1, false, 0)), Play(joins(seed+1, true, 0)), Play(joins(seed+1, true, 10))
		alone, told, parted = alone+a.Cold/seeds, told+b.Cold/seeds, parted+c.Cold/seeds
		served, wasServed = served+float64(b.Served), wasServed+float64(a.Served)
		if b.Cold > 1 || c.Cold > 1 {
			t.Errorf("seed %d: a cold worker is pushed over: %.2f told, %.2f with half of the newcomers unseen", seed+1, b.Cold, c.Cold)
		}
	}
	t.Logf("most that a cold worker was sent, over what it bears: %.3f alone, %.3f told, %.3f with half of the newcomers unseen; served %.0f, %.0f told", alone, told, parted, wasServed, served)
	if told >= 0.95*alone {
		t.Errorf("%.3f told, %.3f alone", told, alone)
	}
	if served < 0.995*wasServed {
		t.Errorf("%.0f served told, %.0f alone", served, wasServed)
	}
}
