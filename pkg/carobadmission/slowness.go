package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A VM is several times slower for a short period while its neighbours use its
// processor. A job that starts in such a period stays slow until it ends, long after
// the period is over. Admission therefore starts no jobs while the VM is slow: waiting
// for the end of the period costs a job less time than running through it. A slowness
// reading is out of date after a few milliseconds, so a health check fetches a new one
// before a job starts.
//
// Waiting does not help if the VM stays slow. Persistent slowness therefore becomes
// the target's baseline, and a VM counts as slow only in relation to its baseline.

const (
	// maxReadingAge is the age up to which a reading of a VM that is not slow allows a
	// job to start.
	maxReadingAge = 10 * time.Millisecond
	// maxSlowReadingAge is the age up to which a reading of a slow VM prevents starts.
	maxSlowReadingAge = 20 * time.Millisecond
	// maxBaselineDelay is the longest time for which a VM must be slow without
	// interruption before that slowness becomes its baseline.
	maxBaselineDelay = time.Second
	// maxHeldShare is the share of a job's SLO for which the job may be held while its VM
	// stays slow.
	maxHeldShare = 0.9
	// maxReadingGap is the longest interval between two slow readings for which the VM
	// is assumed to have been slow in between.
	maxReadingGap = 100 * time.Millisecond
	// checkTimeout is how long a job waits for the result of a health check.
	checkTimeout = 25 * time.Millisecond
	// unansweredBackoff is the time without health checks after a target did not
	// answer one.
	unansweredBackoff = 200 * time.Millisecond
	// noReadingBackoff is the time without health checks after a target answered one
	// without a slowness reading.
	noReadingBackoff = 10 * time.Second
	// checkBurst is the burst size of health checks, as a share of the checks allowed
	// per second.
	checkBurst = 0.25
)

// handleCheckResult records the result of a health check and updates the job limit.
func handleCheckResult(world *carobworld.World, now carobinstant.Instant, result carobcheckresult.CheckResult) {
	state := world.AdmissionStates.Get(result.Target)
	if state == nil {
		return
	}
	handleDirective(world, now, result.Target, state, result.Directive)
	handleWarmth(now, state, result)
	state.CheckSentAt = carobinstant.Never
	switch {
	case result.TargetLoad == nil:
		state.CheckBackoffEnd = now.Add(unansweredBackoff)
		return
	case result.TargetLoad.Slowness == 0:
		state.CheckBackoffEnd = now.Add(noReadingBackoff)
		return
	}
	recordReading(world, now, result.Target, state, result.TargetLoad.Slowness)
	state.Limit = jobLimit(state, now)
	state.ReportDue = true
}

// recordReading records a slowness reading of a target's VM. A reading that is not slow
// becomes the baseline at once. If the VM stays slow, with readings at most maxReadingGap
// apart, their minimum becomes the baseline.
func recordReading(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState, slowness float64) {
	previous := state.SlownessReadAt
	state.Slowness, state.SlownessReadAt = slowness, now
	switch {
	case !isSlow(state):
		state.Baseline, state.SlowSince = max(1, slowness), carobinstant.Never
	case state.SlowSince == carobinstant.Never || now.Sub(previous) > maxReadingGap:
		state.SlowSince, state.MinSlowness = now, slowness
	default:
		state.MinSlowness = min(state.MinSlowness, slowness)
		if staysSlow(world, now, id, state) {
			state.Baseline, state.SlowSince = state.MinSlowness, carobinstant.Never
		}
	}
}

// staysSlow reports whether the VM of a target has been slow for so long that waiting for it
// does not help: for maxBaselineDelay, or for most of the SLO of a job that was queued all
// the while. Nested calls are not counted: their SLO is about as long as a period of
// slowness, which would become the baseline for all jobs whenever one is queued.
func staysSlow(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState) bool {
	if state.SlowSince.Add(maxBaselineDelay).Reached(now) {
		return true
	}
	for _, job := range world.Jobs.All() {
		slo := job.Offer.Requirements.SLO
		if slo <= 0 || isNested(job) || job.Offer.Target != id || job.StartedAt != carobinstant.Never {
			continue
		}
		if heldSince := max(job.ArrivedAt, state.SlowSince); now.Sub(heldSince) >= time.Duration(maxHeldShare*float64(slo)) {
			return true
		}
	}
	return false
}

// isSlow reports whether the newest reading is above slownessThreshold times the
// baseline.
func isSlow(state *carobadmissionstate.AdmissionState) bool {
	return state.Slowness > slownessThreshold*max(1, state.Baseline)
}

// mayStart reports whether the VM of a target is fast enough to start a job now. It
// orders a health check if there is no recent reading. A job also starts if no reading
// can be obtained: if checks are disabled or backing off, if a check takes longer than
// checkTimeout, or if the check budget is spent and there is no slow reading younger
// than maxReadingGap.
func mayStart(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target, state *carobadmissionstate.AdmissionState) bool {
	rate := float64(world.ProbeLimits.ChecksPerSecond)
	if rate == 0 || state.CheckBackoffEnd != carobinstant.Never && !state.CheckBackoffEnd.Reached(now) {
		return true
	}
	if state.SlownessReadAt != carobinstant.Never && !isSlow(state) && now.Sub(state.SlownessReadAt) < maxReadingAge {
		return true
	}
	if until := state.SlownessReadAt.Add(maxSlowReadingAge); isSlow(state) && !until.Reached(now) {
		world.WakeAt(until)
		return false
	}
	if state.CheckSentAt != carobinstant.Never {
		due := state.CheckSentAt.Add(checkTimeout)
		world.WakeAt(due)
		return due.Reached(now)
	}
	state.CheckBudget.Fill(now, rate, checkBurst*rate)
	if !state.CheckBudget.Take(1) {
		world.WakeAt(now.Add(maxSlowReadingAge))
		return !isSlow(state) || now.Sub(state.SlownessReadAt) >= maxReadingGap
	}
	orderCheck(world, now, target, state)
	world.WakeAt(now.Add(checkTimeout))
	return false
}

// orderCheck orders a health check of a target.
func orderCheck(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target, state *carobadmissionstate.AdmissionState) {
	state.CheckSentAt = now
	world.Outbox.HealthChecks = append(world.Outbox.HealthChecks, carobhealthcheck.HealthCheck{Target: target.ID, Address: target.Address, OrderedAt: now})
}

// refuseMovable refuses the queued jobs that can move to another target while this
// target's VM is slow, because another target may run them sooner.
func refuseMovable(world *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, state *carobadmissionstate.AdmissionState) {
	if world.ProbeLimits.ChecksPerSecond == 0 || !isSlow(state) || now.Sub(state.SlownessReadAt) > maxSlowReadingAge {
		return
	}
	for _, job := range world.Jobs.All() {
		if job.Offer.Target == id && job.StartedAt == carobinstant.Never && job.Offer.Requirements.Movable {
			shed(world, now, job, state, "VM is slow")
		}
	}
}
