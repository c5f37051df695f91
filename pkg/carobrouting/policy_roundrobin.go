package carobrouting

import "math/rand/v2"

// roundRobin picks the target that was picked the longest time ago.
type roundRobin struct{}

func (roundRobin) pick(rng *rand.Rand, candidates []candidate) int {
	return pickLowest(rng, candidates, func(cd *candidate) float64 { return float64(cd.load.LastSendNumber) })
}
