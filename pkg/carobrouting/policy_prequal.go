package carobrouting

import "math/rand/v2"

// prequal picks by the rule published as Prequal (NSDI 2024): candidates with
// more calls in flight than most are hot; of the others, the one with the
// lowest latency is picked; if all are hot, the one with the fewest in flight.
type prequal struct{}

func (prequal) pick(r *rand.Rand, candidates []candidate) int {
	best := r.IntN(len(candidates))
	for i := range candidates {
		if better(candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

// better reports whether a is to be preferred to b.
func better(a, b candidate) bool {
	hotA, hotB := a.inFlight() >= a.slots, b.inFlight() >= b.slots
	if hotA != hotB {
		return hotB
	}
	if hotA {
		return a.inFlight()*b.slots < b.inFlight()*a.slots
	}
	return a.load.Report.Latency < b.load.Report.Latency
}
