package carobrouting

import "math/rand/v2"

// local picks the target with the fewest calls for each of its slots, where one
// elsewhere counts as that much more crowded as the way there costs. It answers
// load that is spread like the callers, where bytes between data centres are dear:
// calls leave their data centre only when its targets are full or slow.
type local struct{}

func (local) pick(r *rand.Rand, candidates []candidate) int {
	lowest := lowestLatency(candidates)
	return least(r, candidates, func(cd *candidate) float64 {
		slowness := 1.0
		if cd.latency > band*lowest {
			slowness = float64(cd.latency) / float64(lowest)
		}
		return slowness*(cd.flight+1)/float64(cd.slots) + cd.distance
	})
}
