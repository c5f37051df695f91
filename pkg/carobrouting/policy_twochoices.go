package carobrouting

import "math/rand/v2"

// twoChoices picks the one with the lower utilisation of two random targets.
type twoChoices struct{}

func (twoChoices) pick(rng *rand.Rand, candidates []candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	first, second := rng.IntN(len(candidates)), rng.IntN(len(candidates)-1)
	if second >= first {
		second++
	}
	if candidates[second].utilisation() < candidates[first].utilisation() {
		return second
	}
	return first
}
