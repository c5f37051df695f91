package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobspendingwindow"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A cold target crashes if it gets many more calls a second than the operator allows. All its
// calls start at this node, so the limit holds whatever other nodes know of it.
//
// A target may become cold in the middle of its load, so two things bound the starts: a token
// bucket, which spreads them, and the number of starts within the last second, which includes
// those before the target became cold.

const (
	// maxColdBurst is how much of the limit may accumulate while few calls come.
	maxColdBurst = 250 * time.Millisecond
	// coldCheckInterval is the time between two health checks that ask a target whose state is
	// not known. It is longer than a health check may take.
	coldCheckInterval = 200 * time.Millisecond
)

// handleWarmth records whether a response to a health check shows that the target is cold.
// Only the target itself, asked since its state last became unknown, can show that it is warm.
func handleWarmth(now carobinstant.Instant, state *carobadmissionstate.AdmissionState, result carobcheckresult.CheckResult) {
	switch directive := result.Directive; {
	case directive == nil || directive.WarmupUnreadable:
	case directive.WarmupLeft > 0:
		state.SetWarmupLeft(now, directive.WarmupLeft)
	case result.Available && result.OrderedAt >= state.WarmProofStart:
		state.SetWarmupLeft(now, 0)
	}
}

// updateColdLimit applies the operator's rule for the service of a target, as far as the target
// counts as cold, and orders a health check of a target whose state is not known.
func updateColdLimit(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState) {
	rate := world.ColdRate(id.Service)
	if rate == 0 && state.ColdRate == 0 {
		return
	}
	if state.ColdRate = rate; rate == 0 {
		state.RecentStarts = carobspendingwindow.SpendingWindow{}
	}
	if state.Warm {
		setColdLimit(world, now, id, state, 0)
		return
	}
	setColdLimit(world, now, id, state, rate)
	if rate > 0 {
		orderColdCheck(world, now, id, state)
	}
}

// setColdLimit changes the limit. A new limit begins without tokens.
func setColdLimit(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState, limit carobcallrate.CallRate) {
	if limit == state.ColdLimit {
		return
	}
	if state.ColdLimit > 0 {
		fillColdBudget(state, now)
	} else {
		state.ColdBudget.Tokens, state.ColdBudget.FilledAt = 0, now
	}
	world.Audit("target", string(world.Self.Node), id.String()+" cold limit", state.ColdLimit.String(), limit.String())
	state.ColdLimit, state.ReportDue = limit, true
}

// orderColdCheck orders a health check of a target that counts as cold: soon if its state is not known,
// and when it should be warm otherwise.
func orderColdCheck(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState) {
	target, rate := world.Targets.Get(id), float64(world.ProbeLimits.ChecksPerSecond)
	if rate == 0 || target == nil || !world.Owns(target) || target.Readiness == carobreadiness.Leaving {
		return
	}
	due := max(state.ColdEnd, state.ColdCheckDue)
	if state.CheckSentAt != carobinstant.Never {
		// The check under way will show the state. Its result may be lost with a time-out.
		due = max(due, state.CheckSentAt.Add(coldCheckInterval))
	}
	if !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	state.ColdCheckDue = now.Add(coldCheckInterval)
	world.WakeAt(state.ColdCheckDue)
	if state.CheckBudget.Fill(now, rate, checkBurst*rate); state.CheckBudget.Take(1) {
		orderCheck(world, now, target, state)
	}
}

// coldBurst returns how many jobs may start at once at a cold target that has had none for a
// while, at least 1.
func coldBurst(state *carobadmissionstate.AdmissionState) float64 {
	return max(1, float64(state.ColdLimit)*maxColdBurst.Seconds())
}

// maxColdStarts returns how many jobs may start at a cold target within a second, at least 1.
func maxColdStarts(state *carobadmissionstate.AdmissionState) float64 {
	return float64(state.ColdLimit) + coldBurst(state)
}

// fillColdBudget adds the tokens for the time since the last call.
func fillColdBudget(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) {
	state.ColdBudget.Fill(now, float64(state.ColdLimit), coldBurst(state))
}

// hasColdToken reports whether the limit of a cold target allows a job to start now. Some tokens
// are reserved for nested calls if there can be more than one.
func hasColdToken(world *carobworld.World, now carobinstant.Instant, state *carobadmissionstate.AdmissionState, nested bool) bool {
	if state.ColdLimit == 0 {
		return true
	}
	fillColdBudget(state, now)
	missing := 1 - state.ColdBudget.Tokens
	if !nested && nestedCallsExpected(state, now) {
		missing += min(reservedSlotShare*coldBurst(state), coldBurst(state)-1)
	}
	fits := state.RecentStarts.FitsAt(now, 1, maxColdStarts(state))
	if missing <= 0 && fits.Reached(now) {
		return true
	}
	wait := time.Duration(max(0, missing)/float64(state.ColdLimit)*float64(time.Second)) + time.Millisecond
	world.WakeAt(max(now.Add(wait), fits))
	return false
}

// coldTokensSoon returns how many jobs the limit of a cold target allows to start within
// maxTokenWait.
func coldTokensSoon(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) int {
	fillColdBudget(state, now)
	soon := state.ColdBudget.Tokens + float64(state.ColdLimit)*maxTokenWait.Seconds()
	if fits := state.RecentStarts.FitsAt(now, 1, maxColdStarts(state)); fits.Sub(now) > maxTokenWait {
		return 0
	}
	return int(soon)
}

// recordStart counts the start of a job against the limits on calls.
func recordStart(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) {
	if state.RateLimit > 0 {
		state.RateBudget.Take(1)
	}
	if state.ColdRate == 0 {
		return
	}
	state.RecentStarts.Add(now, 1)
	if state.ColdLimit > 0 {
		state.ColdBudget.Take(1)
	}
}

// limitReason returns the reason for which a job is shed that the limits on calls do not let start.
func limitReason(state *carobadmissionstate.AdmissionState) string {
	if state.ColdLimit > 0 && state.ColdLimit == state.CallLimit() {
		return "cold limit reached"
	}
	return "rate limit reached"
}
