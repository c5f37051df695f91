// Package carobadmissionstate holds the rows of the table with the admission state of a node's
// own targets.
package carobadmissionstate

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobspendingwindow"
	"github.com/carobknot/carobknot/pkg/carobtokenbucket"
)

// AdmissionState is the admission state of one of the node's own targets.
type AdmissionState struct {
	// Limit is the number of jobs that may run now: the announced slots, or fewer while
	// the VM is slow. It is at least 1.
	Limit int
	// Slots is the announced number of jobs that the target runs at once.
	Slots int
	// Running is the number of jobs that have started and not ended.
	Running int
	// Queued is the number of jobs that wait for a slot.
	Queued int
	// Latency is the estimated time in which the target answers a call; 0 before the
	// first call.
	Latency time.Duration
	// Slowness is the factor by which work on the VM takes longer than usual, by the
	// newest reading; 1 is the usual speed, 0 means that there is no reading.
	Slowness float64
	// SlownessReadAt is when the newest reading arrived; Never before the first.
	SlownessReadAt carobinstant.Instant
	// Baseline is the baseline of Slowness: the newest reading that was not slow, or the
	// level of persistent slowness; 0 before the first reading.
	Baseline float64
	// SlowSince is the start of the current uninterrupted series of readings that are
	// slow in relation to the baseline; Never if there is none.
	SlowSince carobinstant.Instant
	// MinSlowness is the lowest reading since SlowSince.
	MinSlowness float64
	// CheckSentAt is when the outstanding health check was ordered; Never if there is none.
	CheckSentAt carobinstant.Instant
	// CheckBackoffEnd is the end of the backoff of health checks, which begins after a check
	// without an answer or without a reading; Never before the first.
	CheckBackoffEnd carobinstant.Instant
	// CheckBudget is the token bucket that limits the rate of health checks.
	CheckBudget carobtokenbucket.TokenBucket
	// RateLimit is the number of calls a second that the target takes; 0 if there is no limit.
	RateLimit carobcallrate.CallRate
	// RateLimitRead is true once a response of the target has shown whether there is a limit.
	RateLimitRead bool
	// RateBudget has a token for each job that the rate limit allows to start.
	RateBudget carobtokenbucket.TokenBucket
	// Warm is true if the target, in its present incarnation, has last said that it is not
	// cold. A target that has said nothing counts as cold.
	Warm bool
	// WarmProofStart is the instant from which a health check must have been ordered for its
	// response to show that the target is warm.
	WarmProofStart carobinstant.Instant
	// ColdEnd is when the target will be warm by what it has last said; Never if it has not
	// said so.
	ColdEnd carobinstant.Instant
	// ColdCheckDue is when the next health check that asks a cold target for its state may be
	// ordered.
	ColdCheckDue carobinstant.Instant
	// ColdRate is the number of calls a second that the operator allows the target while it is
	// cold; 0 if there is no limit.
	ColdRate carobcallrate.CallRate
	// ColdLimit is ColdRate while the target counts as cold, and 0 otherwise.
	ColdLimit carobcallrate.CallRate
	// ColdBudget has a token for each job that ColdLimit allows to start.
	ColdBudget carobtokenbucket.TokenBucket
	// RecentStarts has the jobs that started within the last second. It is empty if ColdRate
	// is 0.
	RecentStarts carobspendingwindow.SpendingWindow
	// LastNestedAt is when the newest nested call arrived, that is, a call for which another
	// job waits; Never before the first.
	LastNestedAt carobinstant.Instant
	// ReportDue is true if the load has changed since the last published report.
	ReportDue bool
	// LatencyStart is when the newest call that contributed to Latency started; Never before
	// the first call.
	LatencyStart carobinstant.Instant
	// AddedAt is when the target was added or last restarted. Responses to jobs that started
	// before come from an earlier incarnation.
	AddedAt carobinstant.Instant
}

// CallLimit returns the lower one of RateLimit and ColdLimit; 0 if there is no limit.
func (a *AdmissionState) CallLimit() carobcallrate.CallRate {
	if a.RateLimit == 0 || a.ColdLimit == 0 {
		return max(a.RateLimit, a.ColdLimit)
	}
	return min(a.RateLimit, a.ColdLimit)
}

// LatencyAge returns how long ago Latency was up to date: 0 while jobs run, and otherwise the time
// since the start of the newest call that contributed to it.
func (a *AdmissionState) LatencyAge(now carobinstant.Instant) time.Duration {
	if a.Running > 0 || a.LatencyStart == carobinstant.Never {
		return 0
	}
	return now.Sub(a.LatencyStart)
}

// SetWarmupLeft records how much longer the target has said that it is cold; 0 if it is warm.
func (a *AdmissionState) SetWarmupLeft(now carobinstant.Instant, left time.Duration) {
	a.Warm, a.ColdEnd = left <= 0, carobinstant.Never
	if left > 0 {
		a.WarmProofStart, a.ColdEnd = now, now.Add(left)
	}
}

// ForgetWarmth records that it is not known whether the target is cold. What it has said
// before no longer counts.
func (a *AdmissionState) ForgetWarmth(now carobinstant.Instant) {
	a.Warm, a.ColdEnd, a.WarmProofStart, a.ColdCheckDue = false, carobinstant.Never, now, now
}
