package carobrouting

import "math/rand/v2"

// twoChoices picks the less crowded of two random targets.
type twoChoices struct{}

func (twoChoices) pick(r *rand.Rand, candidates []candidate) int {
	if len(candidates) == 1 {
		return 0
	}
	first, second := r.IntN(len(candidates)), r.IntN(len(candidates)-1)
	if second >= first {
		second++
	}
	if candidates[second].crowd() < candidates[first].crowd() {
		return second
	}
	return first
}
