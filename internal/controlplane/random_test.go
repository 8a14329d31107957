package controlplane

import "math/rand/v2"

// drawsOf returns draws below a bound that depend on the seed alone.
func drawsOf(seed uint64) func(below int) int {
	source := rand.New(rand.NewPCG(seed, seed))
	return source.IntN
}
