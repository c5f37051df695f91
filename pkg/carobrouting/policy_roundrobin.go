package carobrouting

import "math/rand/v2"

// roundRobin picks the target whose last turn is longest ago.
type roundRobin struct{}

func (roundRobin) pick(r *rand.Rand, candidates []candidate) int {
	return least(r, candidates, func(cd *candidate) float64 { return float64(cd.load.Turn) })
}
