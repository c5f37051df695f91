package carobrouting

import (
	"math/rand/v2"

	"github.com/carobknot/carobknot/pkg/carobword"
)

// policy is a rule that picks a target.
type policy interface {
	// pick returns the index of the chosen candidate. There is at least one.
	pick(r *rand.Rand, candidates []candidate) int
}

// policies is the look-up table of all rules. To add one, add a file and a row.
var policies = map[carobword.Word]policy{
	"expected":   expected{},
	"leastown":   leastOwn{},
	"local":      local{},
	"prequal":    prequal{},
	"random":     random{},
	"roundrobin": roundRobin{},
	"twochoices": twoChoices{},
}

func policyOf(name carobword.Word) policy {
	if pl, ok := policies[name]; ok {
		return pl
	}
	return expected{}
}

// Known reports whether a rule of that name exists.
func Known(name carobword.Word) bool {
	_, ok := policies[name]
	return ok
}

// least returns the index of the candidate with the lowest figure. Of equal ones
// each has the same chance.
func least(r *rand.Rand, candidates []candidate, figure func(cd *candidate) float64) int {
	best, lowest, equal := 0, 0.0, 0
	for i := range candidates {
		value := figure(&candidates[i])
		switch {
		case equal == 0 || value < lowest:
			best, lowest, equal = i, value, 1
		case value == lowest:
			equal++
			if r.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}
