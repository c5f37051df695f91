package carobrouting

import "math/rand/v2"

// expected picks the target that is expected to answer first: its latency, and
// the wait for a slot if all are taken. Latencies of healthy targets differ by
// chance, and following chance would crowd one target after another; so only a
// difference of a factor counts, and of equals the least crowded is picked.
type expected struct{}

// band is the factor by which a latency must differ from the lowest to count.
const band = 2

func (expected) pick(r *rand.Rand, candidates []candidate) int {
	lowest := lowestLatency(candidates)
	return least(r, candidates, func(cd *candidate) float64 {
		slowness := 1.0
		if cd.latency > band*lowest {
			slowness = float64(cd.latency) / float64(lowest)
		}
		next := (cd.flight + 1) / float64(cd.slots)
		return slowness * (max(next, 1) + next/float64(cd.slots))
	})
}
