package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// forwardAnswer orders that the answer to an attempt is forwarded to the caller, and
// cancels the other attempts. A route's timeout applies to the whole answer, because a
// faulty target may send bytes without end.
func forwardAnswer(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, attempt int) {
	call.Stage = carobstage.Delivering
	world.CountCall(now, call, call.SLODeadline == carobinstant.Never || !call.SLODeadline.Reached(now))
	logEnd(world, now, call, "answer forwarded", carobkind.None, 0)
	cancelOthers(world, call, attempt)
	conclusion := carobconclusion.Conclusion{Call: call.Arrival.Call, Attempt: attempt}
	if call.Route != nil {
		conclusion.BodyTimeout = max(1, call.Deadline.Sub(now))
	}
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, conclusion)
}

// handleDelivery settles and deletes a call once the forwarding of its answer has
// ended.
func handleDelivery(world *carobworld.World, now carobinstant.Instant, delivery carobdelivery.Delivery) {
	if call := world.Calls.Get(delivery.Job.Call); call != nil {
		addSettlement(world, now, call, carobkind.None, delivery.StoredAnswer)
		world.Calls.Delete(delivery.Job.Call)
	}
}

// concludeWithoutTarget concludes a call for which there is no target. A call
// with an SLO does not wait for its deadline, because an earlier error lets the
// caller retry sooner.
func concludeWithoutTarget(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.NotRun() {
		conclude(world, now, call, carobkind.NoTarget)
		return
	}
	conclude(world, now, call, unknownOutcomeKind(call))
}

// concludeAtShutdown concludes a call because the node exits: as Leaving if it has
// not run, as ConnectionLost if it may have. An answer that is queued behind this
// call on the same connection can then still be delivered.
func concludeAtShutdown(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	switch {
	case call.Stage == carobstage.Delivering:
	case call.NotRun():
		conclude(world, now, call, carobkind.Leaving)
	default:
		conclude(world, now, call, carobkind.ConnectionLost)
	}
}

// conclude orders that the caller gets an error, cancels all open attempts, and
// deletes the call.
func conclude(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, kind carobkind.Kind) {
	if call.NotRun() {
		addSettlement(world, now, call, carobkind.Withdrawn, nil)
	} else {
		addSettlement(world, now, call, kind, nil)
	}
	cancelOthers(world, call, 0)
	if showsShortage(kind) {
		world.CountCall(now, call, false)
	}
	endAcquiring(world, call)
	if call.NotRun() {
		returnToken(world, now, call)
	}
	after := retryAfter(world, now, call, kind)
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: call.Arrival.Call, Kind: kind, RetryAfter: after,
	})
	logEnd(world, now, call, "call ended without an answer", kind, after)
	world.Calls.Delete(call.Arrival.Call)
}

// showsShortage reports whether a call that ended with a kind counts as one that was not served.
// Calls that their callers gave up, and those without a token of their organisation's quota, do
// not: an organisation is not to gain precedence by them.
func showsShortage(kind carobkind.Kind) bool {
	return kind != carobkind.Cancelled && kind != carobkind.Quota && kind != carobkind.NotReady
}

// retryAfter returns after what time a caller with an SLO should retry: within the
// SLO and jittered, so that refused callers do not retry at the same time. It is 0
// if there is no SLO or the kind has no retry time; the kind's own retry time
// applies then. Callers beyond their quota are told when there are tokens again.
func retryAfter(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, kind carobkind.Kind) time.Duration {
	if kind == carobkind.Quota {
		return quotaRetryAfter(world, now, call)
	}
	after := kind.RetryAfter()
	if after == 0 || call.SLODeadline == carobinstant.Never {
		return 0
	}
	mean := max(1, min(after, call.SLODeadline.Sub(call.ArrivedAt)/sloDivisor))
	return mean/2 + time.Duration(world.Random.Int64N(int64(retrySpread(world, call, mean))))
}

// retrySpread returns over what time callers that are refused now should return. If only a part
// of all calls is served, capacity for the others is expected over a correspondingly longer
// time. Half of the SLO is left for the call that returns.
func retrySpread(world *carobworld.World, call *carobcall.Call, mean time.Duration) time.Duration {
	if !call.RequiresKey {
		return mean
	}
	longest := max(mean, call.SLODeadline.Sub(call.ArrivedAt)/2-mean/2)
	if share := world.OverallDemand.Share(); share > 0 {
		return min(longest, time.Duration(float64(mean)/share))
	}
	return longest
}

// cancelOthers cancels all open attempts of a call except the attempt numbered
// keep; 0 cancels all.
func cancelOthers(world *carobworld.World, call *carobcall.Call, keep int) {
	for i := range call.Attempts {
		if i+1 != keep {
			cancelAttempt(world, call, i+1)
		}
	}
}

// cancelAttempt orders that an attempt is cancelled if it has no reply yet.
func cancelAttempt(world *carobworld.World, call *carobcall.Call, number int) {
	if !call.Attempts[number-1].Ended {
		world.Outbox.Cancels = append(world.Outbox.Cancels, carobjobid.ID{Call: call.Arrival.Call, Attempt: number})
	}
}

// refuse concludes a call that is not accepted. Only Arrival and Organisation of the call need to
// be set. The caller may retry after the given time; if that is 0, the kind's own retry time
// applies.
func refuse(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, kind carobkind.Kind, after time.Duration) {
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: call.Arrival.Call, Kind: kind, RetryAfter: after,
	})
	inputs := []carobinput.Input{
		{Name: "routes", Value: float64(world.RoutesVersion())},
		{Name: "services", Value: float64(world.Groups.Len())},
		carobinput.Age("confirmedms", now, world.RoutesConfirmedAt), carobinput.Age("readms", now, world.RoutesReadAt),
	}
	if world.ShutdownDeadline != carobinstant.Never {
		inputs = append(inputs, carobinput.Input{Name: "endsms", Value: float64(world.ShutdownDeadline.Sub(now).Milliseconds())})
	}
	world.RecordDecision(carobdecision.Decision{
		Component: "entry", Text: "call turned away", Request: call.Arrival.Request, Organisation: call.OrganisationID(), Call: call.Arrival.Call,
		Kind: kind, Inputs: inputs,
	})
}
