package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
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
	// baselineDelay is how long a VM must be slow without interruption before that
	// slowness becomes its baseline.
	baselineDelay = time.Second
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

// handleHealth records the result of a health check and updates the job limit.
func handleHealth(w *carobworld.World, now carobinstant.Instant, hl carobcheckresult.CheckResult) {
	gt := w.AdmissionStates.Get(hl.Target)
	if gt == nil {
		return
	}
	gt.CheckSentAt = carobinstant.Never
	switch {
	case hl.TargetLoad == nil:
		gt.CheckBackoffEnd = now.Add(unansweredBackoff)
		return
	case hl.TargetLoad.Slowness == 0:
		gt.CheckBackoffEnd = now.Add(noReadingBackoff)
		return
	}
	recordReading(gt, now, hl.TargetLoad.Slowness)
	gt.Limit = jobLimit(gt, now)
	gt.ReportDue = true
}

// recordReading records a slowness reading of a target's VM. A reading that is not slow
// becomes the baseline at once. If all readings are slow for baselineDelay, at most
// maxReadingGap apart, their minimum becomes the baseline.
func recordReading(gt *carobadmissionstate.AdmissionState, now carobinstant.Instant, slowness float64) {
	previous := gt.SlownessReadAt
	gt.Slowness, gt.SlownessReadAt = slowness, now
	switch {
	case !isSlow(gt):
		gt.Baseline, gt.SlowSince = max(1, slowness), carobinstant.Never
	case gt.SlowSince == carobinstant.Never || now.Sub(previous) > maxReadingGap:
		gt.SlowSince, gt.MinSlowness = now, slowness
	default:
		gt.MinSlowness = min(gt.MinSlowness, slowness)
		if gt.SlowSince.Add(baselineDelay).Reached(now) {
			gt.Baseline, gt.SlowSince = gt.MinSlowness, carobinstant.Never
		}
	}
}

// isSlow reports whether the newest reading is above slownessThreshold times the
// baseline.
func isSlow(gt *carobadmissionstate.AdmissionState) bool {
	return gt.Slowness > slownessThreshold*max(1, gt.Baseline)
}

// mayStart reports whether the VM of a target is fast enough to start a job now. It
// orders a health check if there is no recent reading. A job also starts if no reading
// can be obtained: if checks are disabled or backing off, if a check takes longer than
// checkTimeout, or if the check budget is spent and there is no slow reading younger
// than maxReadingGap.
func mayStart(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target, gt *carobadmissionstate.AdmissionState) bool {
	rate := float64(w.ProbeLimits.ChecksPerSecond)
	if rate == 0 || gt.CheckBackoffEnd != carobinstant.Never && !gt.CheckBackoffEnd.Reached(now) {
		return true
	}
	if gt.SlownessReadAt != carobinstant.Never && !isSlow(gt) && now.Sub(gt.SlownessReadAt) < maxReadingAge {
		return true
	}
	if until := gt.SlownessReadAt.Add(maxSlowReadingAge); isSlow(gt) && !until.Reached(now) {
		w.WakeAt(until)
		return false
	}
	if gt.CheckSentAt != carobinstant.Never {
		due := gt.CheckSentAt.Add(checkTimeout)
		w.WakeAt(due)
		return due.Reached(now)
	}
	gt.CheckBudget.Fill(now, rate, checkBurst*rate)
	if !gt.CheckBudget.Take(1) {
		w.WakeAt(now.Add(maxSlowReadingAge))
		return !isSlow(gt) || now.Sub(gt.SlownessReadAt) >= maxReadingGap
	}
	gt.CheckSentAt = now
	w.Outbox.HealthChecks = append(w.Outbox.HealthChecks, carobhealthcheck.HealthCheck{Target: tg.ID, Address: tg.Address})
	w.WakeAt(now.Add(checkTimeout))
	return false
}

// refuseMovable refuses the queued jobs that can move to another target while this
// target's VM is slow, because another target may run them sooner.
func refuseMovable(w *carobworld.World, now carobinstant.Instant, id carobtargetid.ID, gt *carobadmissionstate.AdmissionState) {
	if w.ProbeLimits.ChecksPerSecond == 0 || !isSlow(gt) || now.Sub(gt.SlownessReadAt) > maxSlowReadingAge {
		return
	}
	for _, jb := range w.Jobs.All() {
		if jb.Offer.Target == id && jb.StartedAt == carobinstant.Never && jb.Offer.Requirements.Movable {
			shed(w, now, jb, gt, "VM is slow")
		}
	}
}
