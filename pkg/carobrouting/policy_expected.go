package carobrouting

import (
	"math/rand/v2"
	"time"
)

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
		utilisation := (cd.inFlight + 1) / float64(cd.slots)
		return latencyFactor(cd.latency, lowest) * (max(utilisation, 1) + utilisation/float64(cd.slots))
	})
}

// latencyFactor returns the ratio of a target's latency to the lowest one, or 1 if the
// latency is unknown (0) or within the tolerance. lowest is as lowestLatency returns it.
func latencyFactor(latency, lowest time.Duration) float64 {
	if latency/latencyTolerance <= lowest {
		return 1
	}
	return float64(latency) / float64(lowest)
}
