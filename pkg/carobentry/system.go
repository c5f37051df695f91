// Package carobentry owns the calls that arrive at this node, from their arrival
// until the response is sent to the caller.
package carobentry

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdecision"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinput"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// initialBackoff is the mean of the first backoff of a call whose attempts were
	// all refused as Busy.
	initialBackoff = 10 * time.Millisecond
	// maxBackoffDoublings is how often the backoff doubles at most.
	maxBackoffDoublings = 4
	// sloDivisor bounds waits by the SLO: no backoff starts after 1/sloDivisor of it,
	// and the mean time after which a refused caller should retry is at most that.
	sloDivisor = 8
	// maxBusyAttempts is the number of attempts from which on a call that was refused
	// as Busy does not back off any more.
	maxBusyAttempts = 100
)

// System accepts or refuses arriving calls, decides after each reply whether to
// retry, fence or conclude, and emits the conclusions.
type System struct{}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run handles the arrivals, replies, messages, deliveries and disconnects of the
// inbox, then the timers of all calls and pending settlements.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, arrival := range world.Inbox.Arrivals {
		handleArrival(world, now, arrival)
	}
	for _, reply := range world.Inbox.AttemptReplies {
		handleReply(world, now, reply)
	}
	for i := range world.Inbox.Messages {
		handleMessage(world, now, &world.Inbox.Messages[i])
	}
	for _, delivery := range world.Inbox.Deliveries {
		handleDelivery(world, now, delivery)
	}
	for _, id := range world.Inbox.Disconnects {
		if call := world.Calls.Get(id); call != nil {
			conclude(world, now, call, carobkind.Cancelled)
		}
	}
	for _, call := range world.Calls.All() {
		if world.Inbox.Exit {
			concludeAtShutdown(world, now, call)
			continue
		}
		runTimers(world, now, call)
	}
	for _, pending := range world.PendingSettlements.All() {
		sendSettlement(world, now, pending)
	}
}

// handleMessage handles the messages of other nodes that concern calls of this node.
func handleMessage(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	if message.FenceReply != nil {
		handleFenceReply(world, now, message.FenceReply)
	}
	if message.ClaimReply != nil {
		handleClaimReply(world, now, message.ClaimReply)
	}
	if message.Settled != nil {
		world.PendingSettlements.Delete(*message.Settled)
	}
}

// handleArrival accepts a call and adds its row, or refuses it.
func handleArrival(world *carobworld.World, now carobinstant.Instant, arrival carobarrival.Arrival) {
	var route *carobroute.Route
	if arrival.Service == "" {
		if route = findRoute(world, &arrival); route == nil {
			refuse(world, now, arrival, noRouteKind(world), 0)
			return
		}
	}
	kind := refusalKind(world, arrival)
	if kind != carobkind.None {
		refuse(world, now, arrival, kind, 0)
		return
	}
	call := newCall(world, now, arrival, route)
	if world.ShutdownDeadline.Before(call.Deadline) {
		// The node may exit before the call is answered. Another node can answer it.
		refuse(world, now, arrival, carobkind.Leaving, retryAfter(world, &call, carobkind.Leaving))
		return
	}
	world.CreditRetryBudget(arrival.Service)
	world.Calls.Put(arrival.Call, call)
}

// newCall returns the row of an accepted call. It starts in the stage Claiming if
// the call needs its idempotency key.
func newCall(world *carobworld.World, now carobinstant.Instant, arrival carobarrival.Arrival, route *carobroute.Route) carobcall.Call {
	profile := *world.ProfileOf(arrival.Service)
	if route != nil {
		profile = route.Apply(profile)
	}
	call := carobcall.Call{
		Arrival: arrival, Profile: profile, Route: route, ArrivedAt: now,
		Deadline: now.Add(timeoutOf(arrival, profile, route)), LastKind: carobkind.NoTarget,
	}
	if route != nil && route.SLO > 0 {
		call.SLODeadline = now.Add(route.SLO.Duration())
	}
	if call.Key() != (carobkey.Key{}) {
		call.Stage = carobstage.Claiming
	}
	return call
}

// timeoutOf returns the timeout of a call: the caller's, limited by the route's, or
// the profile's deadline if the caller gave none.
func timeoutOf(arrival carobarrival.Arrival, profile carobprofile.Profile, route *carobroute.Route) time.Duration {
	switch {
	case arrival.Timeout <= 0:
		return profile.Deadline.Duration()
	case route != nil && route.Timeout > 0:
		return min(arrival.Timeout, route.Timeout.Duration())
	default:
		return arrival.Timeout
	}
}

// refusalKind returns the kind with which to refuse an arriving call, or None if it
// can be accepted.
func refusalKind(world *carobworld.World, arrival carobarrival.Arrival) carobkind.Kind {
	switch {
	case world.Stopping && !servedElsewhere(world, arrival.Service):
		return carobkind.Leaving
	case world.Calls.Full():
		return carobkind.Busy
	case world.Groups.Get(arrival.Service) == nil:
		return carobkind.NoTarget
	case world.ProfileOf(arrival.Service) == nil:
		return carobkind.NotReady
	default:
		return carobkind.None
	}
}

// servedElsewhere reports whether another node has a ready target of the service.
// If so, a node that is stopping still accepts calls on open connections and
// sends them there.
func servedElsewhere(world *carobworld.World, service carobservice.Service) bool {
	group := world.Groups.Get(service)
	return group != nil && lo.SomeBy(group.Targets, func(id carobtargetid.ID) bool {
		target := world.Targets.Get(id)
		return target != nil && !world.Owns(target) && target.Readiness == carobreadiness.Ready
	})
}

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
// budget, because no attempt ran and the last one did not reach a target.
func retryIsFree(call *carobcall.Call) bool {
	return call.NotRun() && call.LastKind != carobkind.Shed && call.LastKind != carobkind.Misdirected
}

// backOff starts a jittered backoff of a call that all tried targets refused as
// Busy. Most load spikes last a few milliseconds, so a short wait at the entry
// avoids refusing a caller that has time left. The backoff grows, so that calls
// above the capacity of the targets cause few refused attempts.
func backOff(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	doublings := min(len(call.Attempts)-call.Profile.Attempts, maxBackoffDoublings)
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

// forwardAnswer orders that the answer to an attempt is forwarded to the caller, and
// cancels the other attempts. A route's timeout applies to the whole answer, because a
// faulty target may send bytes without end.
func forwardAnswer(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, attempt int) {
	call.Stage = carobstage.Delivering
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

// runTimers runs the timers of a call: resending of claims and fences, the deadline
// and the end of the grace period.
func runTimers(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.Stage == carobstage.Delivering {
		return
	}
	if call.Stage == carobstage.Claiming {
		sendClaim(world, now, call)
		return
	}
	if call.Stage == carobstage.Waiting && call.NoTarget && call.SLODeadline != carobinstant.Never && !mayBackOff(now, call) {
		concludeWithoutTarget(world, now, call)
		return
	}
	if !call.Deadline.Reached(now) {
		world.WakeAt(call.Deadline)
	} else if call.GraceEnd == carobinstant.Never {
		call.GraceEnd = now.Add(fenceGrace)
		call.Stage = carobstage.Fencing
	}
	world.WakeAt(call.GraceEnd)
	if call.Stage == carobstage.Fencing {
		continueFencing(world, now, call)
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
	after := retryAfter(world, call, kind)
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: call.Arrival.Call, Kind: kind, RetryAfter: after,
	})
	logEnd(world, now, call, "call ended without an answer", kind, after)
	world.Calls.Delete(call.Arrival.Call)
}

// retryAfter returns after what time a caller with an SLO should retry: within the
// SLO and jittered, so that refused callers do not retry at the same time. It is 0
// if there is no SLO or the kind has no retry time; the kind's own retry time
// applies then.
func retryAfter(world *carobworld.World, call *carobcall.Call, kind carobkind.Kind) time.Duration {
	after := kind.RetryAfter()
	if after == 0 || call.SLODeadline == carobinstant.Never {
		return 0
	}
	mean := max(1, min(after, call.SLODeadline.Sub(call.ArrivedAt)/sloDivisor))
	return mean/2 + time.Duration(world.Random.Int64N(int64(mean)))
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

// refuse concludes a call that is not accepted. The caller may retry after the
// given time; if that is 0, the kind's own retry time applies.
func refuse(world *carobworld.World, now carobinstant.Instant, arrival carobarrival.Arrival, kind carobkind.Kind, after time.Duration) {
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, carobconclusion.Conclusion{
		Call: arrival.Call, Kind: kind, RetryAfter: after,
	})
	inputs := []carobinput.Input{
		{Name: "routes", Value: float64(world.RoutesVersion())}, {Name: "services", Value: float64(world.Groups.Len())},
	}
	if world.ShutdownDeadline != carobinstant.Never {
		inputs = append(inputs, carobinput.Input{Name: "endsms", Value: float64(world.ShutdownDeadline.Sub(now).Milliseconds())})
	}
	world.RecordDecision(carobdecision.Decision{
		Component: "entry", Text: "call turned away", Request: arrival.Request, Call: arrival.Call, Kind: kind, Inputs: inputs,
	})
}
