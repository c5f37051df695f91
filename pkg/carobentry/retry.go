package carobentry

import (
	"net/http"
	"time"

	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// handleReply handles the reply to an attempt. It drops replies for unknown calls
// and for attempts that have ended.
func handleReply(world *carobworld.World, now carobinstant.Instant, reply carobattemptreply.AttemptReply) {
	call := world.Calls.Get(reply.Job.Call)
	if call == nil || reply.Job.Attempt < 1 || reply.Job.Attempt > len(call.Attempts) {
		return
	}
	attempt := &call.Attempts[reply.Job.Attempt-1]
	if attempt.Ended {
		return
	}
	if isTargetRefusal(call, reply) {
		cancelAttempt(world, call, reply.Job.Attempt)
		reply.Kind = carobkind.Busy
	}
	attempt.Ended, attempt.Kind = true, reply.Kind
	if call.Stage != carobstage.Attempting && call.Stage != carobstage.Fencing {
		return
	}
	if reply.Kind == carobkind.None && retryFailedAnswer(world, now, call, reply) {
		return
	}
	if reply.Kind == carobkind.None {
		forwardAnswer(world, now, call, reply.Job.Attempt)
		return
	}
	call.LastKind = reply.Kind
	if call.OpenAttempts() == 0 {
		retryOrFence(world, now, call)
	}
}

// isTargetRefusal reports whether a target's answer proves that it did not run the
// call: a 503, if the profile says so. The body of such an answer is discarded.
func isTargetRefusal(call *carobcall.Call, reply carobattemptreply.AttemptReply) bool {
	return reply.Kind == carobkind.None && call.Profile.NotRunOn503 && reply.Status == http.StatusServiceUnavailable
}

// retryFailedAnswer retries an idempotent call that a target answered with a 5xx
// status, and reports whether it did. If no attempts, budget or time are left, the
// caller gets the target's answer.
func retryFailedAnswer(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, reply carobattemptreply.AttemptReply) bool {
	if reply.Status < http.StatusInternalServerError || call.Route == nil || !mayRunAgain(call) || call.OpenAttempts() > 0 ||
		call.PossibleRuns() >= call.Profile.Attempts || call.SLODeadline.Reached(now) || !world.RetryBudgetOf(call.Arrival.Service).TakeToken() {
		return false
	}
	call.Stage = carobstage.Waiting
	return true
}

// retryOrFence retries a call that has no open attempt, lets it back off, or fences
// its attempts.
func retryOrFence(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	left := len(call.Attempts) < call.Profile.Attempts && !call.Deadline.Reached(now)
	switch {
	case left && retryIsFree(call):
		world.RetryBudgetOf(call.Arrival.Service).FreeRetries++
		call.Stage = carobstage.Waiting
	case call.LastKind == carobkind.Busy && call.NotRun() && len(call.Attempts) < maxBusyAttempts && mayBackOff(now, call):
		backOff(world, now, call)
	case left && mayRetry(call) && world.RetryBudgetOf(call.Arrival.Service).TakeToken():
		call.Stage = carobstage.Waiting
	default:
		startFencing(world, now, call)
	}
}

// mayRetry reports whether a call may be retried at the cost of a token of the
// retry budget.
func mayRetry(call *carobcall.Call) bool {
	return call.NotRun() || mayRunAgain(call)
}

// retryIsFree reports whether another attempt at a call needs no token of the retry
// budget, because no attempt ran, the last one did not reach a target, and there were few.
func retryIsFree(call *carobcall.Call) bool {
	return call.NotRun() && len(call.Attempts) < maxFreeAttempts && call.LastKind != carobkind.Shed && call.LastKind != carobkind.Misdirected
}

// backOff starts a jittered backoff of a call that all tried targets refused as
// Busy. Most load spikes last a few milliseconds, so a short wait at the entry
// avoids refusing a caller that has time left. The backoff grows, so that calls
// above the capacity of the targets cause few refused attempts.
func backOff(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	doublings := min(len(call.Attempts)-min(call.Profile.Attempts, maxFreeAttempts), maxBackoffDoublings)
	backoff := initialBackoff << max(0, doublings)
	call.BackoffEnd = now.Add(backoff/2 + time.Duration(world.Random.Int64N(int64(backoff))))
	call.Stage = carobstage.Waiting
}

// mayBackOff reports whether a call that no target accepts may wait longer. A call
// with an SLO waits for 1/sloDivisor of it at most: a refusal at that time lets the
// caller retry within the SLO, but a later one may not.
func mayBackOff(now carobinstant.Instant, call *carobcall.Call) bool {
	if call.Deadline.Reached(now) {
		return false
	}
	return call.SLODeadline == carobinstant.Never || now.Sub(call.ArrivedAt) < call.SLODeadline.Sub(call.ArrivedAt)/sloDivisor
}

// mayRunAgain reports whether a call may be sent again even if an earlier attempt
// may have run: it is idempotent, and its body is buffered.
func mayRunAgain(call *carobcall.Call) bool {
	return call.Profile.Guarantee == carobguarantee.Idempotent && !call.Arrival.Streamed
}
