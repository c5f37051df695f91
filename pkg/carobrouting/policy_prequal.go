package carobrouting

import (
	"math"
	"math/rand/v2"
	"slices"
)

// prequal implements the selection rule of Prequal (NSDI 2024): candidates
// whose utilisation is above a quantile of all candidates are hot, and of the
// others the one with the lowest latency is picked.
type prequal struct{}

// hotQuantile is the quantile of the utilisation above which a candidate is
// hot.
const hotQuantile = 0.75

func (prequal) pick(rng *rand.Rand, candidates []candidate) int {
	utilisations := make([]float64, len(candidates))
	for i := range candidates {
		utilisations[i] = candidates[i].utilisation()
	}
	slices.Sort(utilisations)
	limit := utilisations[int(hotQuantile*float64(len(utilisations)-1))]
	return pickLowest(rng, candidates, func(cd *candidate) float64 {
		if cd.utilisation() > limit {
			return math.MaxFloat64
		}
		return float64(cd.latency)
	})
}
