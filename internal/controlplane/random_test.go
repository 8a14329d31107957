package controlplane

import "math/rand/v2"

// seededDraws returns draws below a bound that depend on the seed alone.
func seededDraws(seed uint64) func(below int) int {
	source := rand.New(rand.NewPCG(seed, seed))
	return source.IntN
}
