package carobrouting

import "math/rand/v2"

// leastOwn picks the target with the fewest own attempts that have no reply. It
// needs no report.
type leastOwn struct{}

func (leastOwn) pick(r *rand.Rand, candidates []candidate) int {
	return least(r, candidates, func(cd *candidate) float64 { return float64(cd.load.Open) / float64(cd.slots) })
}
