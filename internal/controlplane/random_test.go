package controlplane

import "math/rand/v2"

// seededDraws returns a function that draws random numbers below a bound. They depend only on the seed.
func seededDraws(seed uint64) func(below int) int {
	source := rand.New(rand.NewPCG(seed, seed))
	return source.IntN
}
