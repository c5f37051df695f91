package carobrouting

import "math/rand/v2"

// random picks any target with the same chance.
type random struct{}

func (random) pick(r *rand.Rand, candidates []candidate) int {
	return r.IntN(len(candidates))
}
