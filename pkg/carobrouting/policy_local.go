package carobrouting

import "math/rand/v2"

// local picks the target with the lowest sum of utilisation and network cost.
// It is meant for services whose load is spread over the data centres like that
// of their callers, and where bytes between data centres are expensive: calls
// leave their data centre only when its targets are full or slow.
type local struct{}

func (local) pick(rng *rand.Rand, candidates []candidate) int {
	lowest := lowestLatency(candidates)
	return pickLowest(rng, candidates, func(cd *candidate) float64 {
		return latencyFactor(cd.latency, lowest)*(cd.inFlight+1)/float64(cd.slots) + cd.distance
	})
}
