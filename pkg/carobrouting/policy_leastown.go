package carobrouting

import "math/rand/v2"

// leastOwn picks the target with the fewest open attempts of this node per
// slot. It needs no load reports.
type leastOwn struct{}

func (leastOwn) pick(rng *rand.Rand, candidates []candidate) int {
	return pickLowest(rng, candidates, func(cd *candidate) float64 { return float64(cd.load.OpenAttempts) / float64(cd.slots) })
}
