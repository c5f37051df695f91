package carobrouting

import "math/rand/v2"

// expected picks the target with the lowest expected response time, made up of
// its latency and the wait for a slot if all are taken. The latencies of
// healthy targets differ by chance, and picking by such differences would
// overload one target after another. A latency therefore counts only above
// latencyTolerance times the lowest; below that the target with the lowest
// utilisation is picked.
type expected struct{}

// latencyTolerance is the ratio to the lowest latency above which a target's
// latency affects the choice.
const latencyTolerance = 2

func (expected) pick(rng *rand.Rand, candidates []candidate) int {
	lowest := lowestLatency(candidates)
	return pickLowest(rng, candidates, func(cd *candidate) float64 {
		latencyFactor := 1.0
		if cd.latency > latencyTolerance*lowest {
			latencyFactor = float64(cd.latency) / float64(lowest)
		}
		utilisation := (cd.inFlight + 1) / float64(cd.slots)
		return latencyFactor * (max(utilisation, 1) + utilisation/float64(cd.slots))
	})
}
