package carobrouting

import "math/rand/v2"

// random picks every target with the same probability.
type random struct{}

func (random) pick(rng *rand.Rand, candidates []candidate) int {
	return rng.IntN(len(candidates))
}
