package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// fenceGrace is how long after its deadline a call still waits for fence replies.
	fenceGrace = 100 * time.Millisecond
	// fenceRetryInterval is how long a fence may stay without a reply before it is
	// sent again.
	fenceRetryInterval = 25 * time.Millisecond
)

// Withdraw fences an attempt, so that the target's node removes it from the queue
// if it has not started. The attempt then ends with the kind Withdrawn, and the
// call may be sent to another target. An attempt that has started continues.
// Withdraw may be called repeatedly for the same attempt.
func Withdraw(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, number int) {
	attempt := &call.Attempts[number-1]
	if call.Stage == carobstage.Attempting && !attempt.Ended && attempt.State == carobjobstate.Pending {
		sendFence(world, now, call, number)
		retryIfAllEnded(world, now, call)
	}
}

// startFencing starts to fence the attempts of a call, to find out whether any of
// them ran.
func startFencing(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	call.Stage = carobstage.Fencing
	continueFencing(world, now, call)
}

// continueFencing sends the fences that are due for attempts whose state is not
// known, and concludes or retries the call if the replies so far allow it.
func continueFencing(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	for i := range call.Attempts {
		if !call.Attempts[i].NotRun() && call.Attempts[i].State == carobjobstate.Pending {
			sendFence(world, now, call, i+1)
		}
	}
	resolveFenced(world, now, call)
}

// sendFence sends a fence for an attempt, unless one was sent less than
// fenceRetryInterval ago. An attempt at a target of this node is judged at once,
// without a message. The state is Unknown if the target's node is no longer among
// the peers or has another incarnation.
func sendFence(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, number int) {
	attempt := &call.Attempts[number-1]
	if due := attempt.FenceSentAt.Add(fenceRetryInterval); attempt.FenceSentAt != carobinstant.Never && !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	attempt.FenceSentAt = now
	fence := carobfence.Fence{Job: carobjobid.ID{Call: call.Arrival.Call, Attempt: number}, Incarnation: attempt.Incarnation}
	if attempt.Node == world.Self.Node {
		setJobState(world, call, number, carobfencing.Fence(world, fence))
		return
	}
	peer := world.Peers.Get(attempt.Node)
	if peer == nil || peer.Member.Incarnation != attempt.Incarnation {
		setJobState(world, call, number, carobjobstate.Unknown)
		return
	}
	world.WakeAt(now.Add(fenceRetryInterval))
	world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress, Fence: &fence})
}

// handleFenceReply handles a fence reply from a target's node. It drops replies for
// unknown calls and attempts.
func handleFenceReply(world *carobworld.World, now carobinstant.Instant, reply *carobfencereply.FenceReply) {
	call := world.Calls.Get(reply.Job.Call)
	if call == nil || reply.Job.Attempt < 1 || reply.Job.Attempt > len(call.Attempts) {
		return
	}
	setJobState(world, call, reply.Job.Attempt, reply.State)
	switch call.Stage {
	case carobstage.Fencing:
		resolveFenced(world, now, call)
	case carobstage.Attempting:
		retryIfAllEnded(world, now, call)
	default:
	}
}

// setJobState stores the job state of an attempt. The state Never is final: a
// later message, such as a delayed or duplicate reply, does not change it.
func setJobState(world *carobworld.World, call *carobcall.Call, number int, state carobjobstate.JobState) {
	attempt := &call.Attempts[number-1]
	if attempt.State == carobjobstate.Never {
		return
	}
	attempt.State = state
	if state != carobjobstate.Never {
		return
	}
	cancelAttempt(world, call, number)
	attempt.Ended, attempt.Kind, call.LastKind = true, carobkind.Withdrawn, carobkind.Withdrawn
}

// retryIfAllEnded retries or fences a call if its last open attempt was withdrawn.
func retryIfAllEnded(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.OpenAttempts() == 0 {
		retryOrFence(world, now, call)
	}
}

// resolveFenced concludes or retries a call that is being fenced, if the fence
// replies so far suffice for that or the grace period is over.
func resolveFenced(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	pastDeadline := call.Deadline.Reached(now)
	switch {
	case call.NotRun() && pastDeadline:
		conclude(world, now, call, carobkind.NotStartedInTime)
	case call.NotRun():
		retryFenced(world, now, call)
	case mayHaveRun(call) || call.GraceEnd.Reached(now):
		conclude(world, now, call, unknownOutcomeKind(call))
	default:
	}
}

// retryFenced retries a call none of whose attempts ran, if the profile allows
// another attempt, its body is buffered and the retry budget has a token.
// Otherwise it concludes the call with the kind of its last failure.
func retryFenced(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if len(call.Attempts) < call.Profile.Attempts && !call.Arrival.Streamed && world.RetryBudgetOf(call.Arrival.Service).TakeToken() {
		call.Stage = carobstage.Waiting
		return
	}
	conclude(world, now, call, call.LastKind)
}

// mayHaveRun reports whether an attempt is known to have started, or it cannot be
// determined whether it did.
func mayHaveRun(call *carobcall.Call) bool {
	for i := range call.Attempts {
		if attempt := &call.Attempts[i]; !attempt.NotRun() && attempt.State != carobjobstate.Pending {
			return true
		}
	}
	return false
}

// unknownOutcomeKind returns the kind with which to conclude a call when one of its
// attempts may have run.
func unknownOutcomeKind(call *carobcall.Call) carobkind.Kind {
	kind := carobkind.Expired
	for i := range call.Attempts {
		if attempt := &call.Attempts[i]; explainsUnknownOutcome(attempt) {
			kind = attempt.Kind
		}
	}
	return kind
}

// explainsUnknownOutcome reports whether the kind of an attempt explains why the
// outcome of the call is unknown. Cancelled does not: the entry itself cancelled
// the attempt, because of the deadline or another attempt.
func explainsUnknownOutcome(attempt *carobattempt.Attempt) bool {
	return attempt.Ended && !attempt.NotRun() && attempt.Kind != carobkind.None && attempt.Kind != carobkind.Cancelled
}
