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
	"prequal": prequal{},
	"random":  random{},
}

func policyOf(name carobword.Word) policy {
	if pl, ok := policies[name]; ok {
		return pl
	}
	return prequal{}
}

// Known reports whether a rule of that name exists.
func Known(name carobword.Word) bool {
	_, ok := policies[name]
	return ok
}
