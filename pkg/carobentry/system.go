// Package carobentry owns the calls that arrive at this node, from their arrival
// until the response is sent to the caller.
package carobentry

import (
	"time"

	"github.com/samber/lo"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobinstant"
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
	// maxFreeAttempts is the number of attempts from which on a retry costs a token of the
	// retry budget, or comes after a backoff, even if the last attempt reached no target.
	maxFreeAttempts = carobprofile.MaxAttempts
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
			refuse(world, now, &carobcall.Call{Arrival: arrival}, noRouteKind(world), 0)
			return
		}
	}
	organisation, authenticated := authenticate(world, arrival, route)
	if !authenticated {
		refuse(world, now, &carobcall.Call{Arrival: arrival}, carobkind.Unauthenticated, 0)
		return
	}
	kind := refusalKind(world, arrival)
	if kind != carobkind.None {
		refuse(world, now, &carobcall.Call{Arrival: arrival, Organisation: organisation}, kind, 0)
		return
	}
	call := newCall(world, now, arrival, route)
	call.Organisation, call.RequiresKey = organisation, requiresKey(world)
	if world.ShutdownDeadline.Before(call.Deadline) {
		// The node may exit before the call is answered. Another node can answer it.
		refuse(world, now, &call, carobkind.Leaving, retryAfter(world, now, &call, carobkind.Leaving))
		return
	}
	if limited(&call) {
		if kind := acquireOnArrival(world, now, &call); kind != carobkind.None {
			refuse(world, now, &call, kind, retryAfter(world, now, &call, kind))
			return
		}
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
		RoutesVersion: world.RoutesVersion(), RoutesConfirmedAt: world.RoutesConfirmedAt, RoutesReadAt: world.RoutesReadAt,
	}
	if route != nil && route.SLO > 0 {
		call.SLODeadline = now.Add(route.SLO.Duration())
	}
	call.Stage = firstStage(&call)
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
	case world.Groups.Get(arrival.Service) == nil, world.IsServiceEvacuated(arrival.Service):
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
		return target != nil && !world.Owns(target) && target.Readiness == carobreadiness.Ready && !world.IsTargetEvacuated(target)
	})
}

// runTimers runs the timers of a call: resending of claims and fences, the deadline
// and the end of the grace period.
func runTimers(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.Stage == carobstage.Delivering {
		return
	}
	if call.Stage == carobstage.Acquiring {
		continueAcquiring(world, now, call)
	}
	if call.Stage == carobstage.Acquiring {
		return
	}
	if call.Stage == carobstage.Claiming {
		sendClaim(world, now, call)
		return
	}
	if call.Stage == carobstage.Waiting && call.NoTarget && mustConclude(world, now, call) {
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

// mustConclude reports whether a call without a target is to be concluded: all targets are
// evacuated, or it has an SLO and has waited long enough.
func mustConclude(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) bool {
	return world.IsServiceEvacuated(call.Arrival.Service) || call.SLODeadline != carobinstant.Never && !mayBackOff(now, call)
}
