package carobrouting

import (
	"math"
	"math/rand/v2"
	"slices"
)

// prequal picks by the rule published as Prequal (NSDI 2024): candidates more
// crowded than a quantile of all are hot; of the others, the one with the lowest
// latency is picked.
type prequal struct{}

// hotQuantile is the crowd above which a candidate is hot.
const hotQuantile = 0.75

func (prequal) pick(r *rand.Rand, candidates []candidate) int {
	crowds := make([]float64, len(candidates))
	for i := range candidates {
		crowds[i] = candidates[i].crowd()
	}
	slices.Sort(crowds)
	limit := crowds[int(hotQuantile*float64(len(crowds)-1))]
	return least(r, candidates, func(cd *candidate) float64 {
		if cd.crowd() > limit {
			return math.MaxFloat64
		}
		return float64(cd.latency)
	})
}
