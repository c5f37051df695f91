package carobadmission

import (
	"math"
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtokenbucket"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A target may state how many calls a second it takes from all nodes together. All its
// calls start at this node, so the limit holds whatever other nodes know of it. A token
// bucket counts them; a job that finds no token is refused at once, because another target
// may run it sooner.
//
// A node that has just started learns the limit from the target's first response, and until
// then from the offers of entry nodes, which remember it from earlier reports.

const (
	// maxRateBurst is how much of the limit may accumulate while few calls come.
	maxRateBurst = time.Second
	// maxTokenWait is how long a job may wait for a token.
	maxTokenWait = 100 * time.Millisecond
)

// handleDirective applies the rate limit of a target's response. directive is nil if there
// was no valid response.
func handleDirective(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState, directive *carobtargetdirective.TargetDirective) {
	if directive == nil || directive.RateLimitUnreadable {
		return
	}
	state.RateLimitRead = true
	setRateLimit(world, now, id, state, directive.RateLimit)
}

// adoptRateLimit applies the limit that an entry node knows, until the target itself has
// responded. The limit of a cold target is not adopted as long as the node knows the
// operator's rule, because the node then knows by itself whether the limit applies.
func adoptRateLimit(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState, limit carobcallrate.CallRate) {
	if !state.RateLimitRead && limit > 0 && limit != state.ColdRate {
		setRateLimit(world, now, id, state, limit)
	}
}

// setRateLimit changes the limit. A new limit begins without tokens, because the target
// has had its calls of the last second already.
func setRateLimit(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState, limit carobcallrate.CallRate) {
	if limit == state.RateLimit {
		return
	}
	if state.RateLimit == 0 {
		state.RateBudget = carobtokenbucket.TokenBucket{FilledAt: now}
	} else {
		fillRateBudget(state, now)
	}
	if state.RateLimit == 0 || limit == 0 {
		world.Audit("target", string(world.Self.Node), id.String()+" rate limit", state.RateLimit.String(), limit.String())
	}
	state.RateLimit, state.ReportDue = limit, true
}

// fillRateBudget adds the tokens for the time since the last call.
func fillRateBudget(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) {
	state.RateBudget.Fill(now, float64(state.RateLimit), 1+burst(state))
}

func burst(state *carobadmissionstate.AdmissionState) float64 {
	return float64(state.RateLimit) * maxRateBurst.Seconds()
}

// hasToken reports whether the rate limit and the limit of a cold target allow a job to start
// now. Some tokens are reserved for nested calls, as slots are.
func hasToken(world *carobworld.World, now carobinstant.Instant, state *carobadmissionstate.AdmissionState, nested bool) bool {
	return hasRateToken(world, now, state, nested) && hasColdToken(world, now, state, nested)
}

func hasRateToken(world *carobworld.World, now carobinstant.Instant, state *carobadmissionstate.AdmissionState, nested bool) bool {
	if state.RateLimit == 0 {
		return true
	}
	fillRateBudget(state, now)
	missing := 1 - state.RateBudget.Tokens
	if !nested && nestedCallsExpected(state, now) {
		missing += reservedSlotShare * burst(state)
	}
	if missing <= 0 {
		return true
	}
	world.WakeAt(now.Add(time.Duration(missing/float64(state.RateLimit)*float64(time.Second)) + time.Millisecond))
	return false
}

// tokensSoon returns how many jobs the rate limit and the limit of a cold target allow to
// start within maxTokenWait.
func tokensSoon(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) int {
	soon := math.MaxInt
	if state.RateLimit > 0 {
		fillRateBudget(state, now)
		soon = int(state.RateBudget.Tokens + float64(state.RateLimit)*maxTokenWait.Seconds())
	}
	if state.ColdLimit > 0 {
		soon = min(soon, coldTokensSoon(state, now))
	}
	return soon
}
