package carobrouting

import (
	"math/rand/v2"

	"github.com/carobknot/carobknot/pkg/carobname"
)

// policy picks a target for an attempt.
type policy interface {
	// pick returns the index of the chosen candidate. candidates is never empty.
	pick(rng *rand.Rand, candidates []candidate) int
}

// policies has all policies by the name that profiles use. A new policy needs a
// file and a row here.
var policies = map[carobname.Name]policy{
	"expected":   expected{},
	"leastown":   leastOwn{},
	"local":      local{},
	"prequal":    prequal{},
	"random":     random{},
	"roundrobin": roundRobin{},
	"twochoices": twoChoices{},
}

// policyOf returns the policy of a name, or expected if there is none.
func policyOf(name carobname.Name) policy {
	if pl, ok := policies[name]; ok {
		return pl
	}
	return expected{}
}

// HasPolicy reports whether a policy of that name exists.
func HasPolicy(name carobname.Name) bool {
	_, ok := policies[name]
	return ok
}

// pickLowest returns the index of the candidate with the lowest cost. Ties are
// broken at random with equal probability.
func pickLowest(rng *rand.Rand, candidates []candidate, cost func(cd *candidate) float64) int {
	chosen, lowest, ties := 0, 0.0, 0
	for i := range candidates {
		value := cost(&candidates[i])
		switch {
		case ties == 0 || value < lowest:
			chosen, lowest, ties = i, value, 1
		case value == lowest:
			ties++
			if rng.IntN(ties) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}
