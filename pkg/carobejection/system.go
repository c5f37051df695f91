// Package carobejection ejects targets that fail much more often than the other
// targets of their service.
//
// A target that fails fast has free slots and short latencies, so policies that
// pick by load would send it more calls, not fewer.
package carobejection

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobaudit"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// minReplies is the weight of recent replies below which the error rate is
	// ignored.
	minReplies = 5
	// maxConsecutiveFailures is the number of consecutive failures that count as an
	// error rate of 1, whatever the earlier successes.
	maxConsecutiveFailures = 4
	// minEjection is the shortest ejection. A random part of ejectionJitter is
	// added, so that nodes do not all try the target again at once.
	minEjection    = 1500 * time.Millisecond
	ejectionJitter = time.Second
	// maxEjectedShare is the share of a service's targets in use that may be ejected at once. If
	// more fail, the fault lies elsewhere, and ejecting them would only overload the rest.
	maxEjectedShare = 0.5
)

// System ejects targets and readmits them after a trial: when the ejection
// expires, the target receives one call at a time until a reply ends the trial.
type System struct{}

// NewSystem returns the system, which has no state of its own.
func NewSystem() *System {
	return &System{}
}

// Run evaluates the targets that replied in this tick and starts the trials of
// those whose ejection has expired. It has to run after carobrouting, which
// counts the replies.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, reply := range world.Inbox.AttemptReplies {
		if load := world.Loads.Get(reply.Target); load != nil {
			evaluate(world, now, reply, load)
		}
	}
	if world.NextEjectionEnd != carobinstant.Never && world.NextEjectionEnd.Reached(now) {
		endEjections(world, now)
	}
	world.WakeAt(world.NextEjectionEnd)
}

// endEjections starts the trials of the targets whose ejection has expired.
func endEjections(world *carobworld.World, now carobinstant.Instant) {
	world.NextEjectionEnd = carobinstant.Never
	for _, load := range world.Loads.All() {
		switch {
		case load.EjectionEnd == carobinstant.Never:
		case load.EjectionEnd.Reached(now):
			load.EjectionEnd, load.OnTrial = carobinstant.Never, true
		default:
			world.NextEjectionEnd = carobinstant.Earlier(world.NextEjectionEnd, load.EjectionEnd)
		}
	}
}

// evaluate ejects or readmits a target after a reply. Replies of a target that is
// ejected are ignored: their attempts were sent before.
func evaluate(world *carobworld.World, now carobinstant.Instant, reply carobattemptreply.AttemptReply, load *carobload.Load) {
	switch {
	case load.EjectionEnd != carobinstant.Never:
	case load.OnTrial && isFailure(reply):
		eject(world, now, load)
	case load.OnTrial && reply.Kind == carobkind.None:
		load.OnTrial, load.Successes, load.Failures, load.ConsecutiveFailures = false, 1, 0, 0
		recordAudit(world, reply.Target, "ejected", "in")
	case !load.OnTrial && shouldEject(world, reply.Target, load):
		eject(world, now, load)
		recordAudit(world, reply.Target, "in", "ejected")
	}
}

// isFailure reports whether a reply counts against the target. Refusals do not.
func isFailure(reply carobattemptreply.AttemptReply) bool {
	const firstError = 500
	return reply.Kind == carobkind.None && reply.Status >= firstError ||
		reply.Kind == carobkind.ConnectionLost || reply.Kind == carobkind.Unreachable
}

// shouldEject reports whether a target's error rate exceeds that of the other
// targets by more than the profile allows, and the service has enough targets
// left.
func shouldEject(world *carobworld.World, id carobtargetid.ID, load *carobload.Load) bool {
	profile, group := world.ProfileOf(id.Service), world.Groups.Get(id.Service)
	if profile == nil || group == nil || profile.EjectErrorRate <= 0 {
		return false
	}
	return errorRate(load) > errorRateOfOthers(world, group, id)+float64(profile.EjectErrorRate) &&
		float64(countUnavailable(world, group)+1) <= maxEjectedShare*float64(world.CountInUse(group))
}

// errorRate returns the target's recent error rate, or 0 if there are too few
// replies.
func errorRate(load *carobload.Load) float64 {
	switch {
	case load.ConsecutiveFailures >= maxConsecutiveFailures:
		return 1
	case load.Successes+load.Failures < minReplies:
		return 0
	default:
		return rate(load.Successes, load.Failures)
	}
}

// errorRateOfOthers returns the error rate of all other targets of the service
// together.
func errorRateOfOthers(world *carobworld.World, group *carobgroup.Group, id carobtargetid.ID) float64 {
	var successes, failures float64
	for _, other := range group.Targets {
		if load := world.Loads.Get(other); load != nil && other != id {
			successes += load.Successes
			failures += load.Failures
		}
	}
	return rate(successes, failures)
}

// rate returns the share of failures, or 0 if there are none.
func rate(successes, failures float64) float64 {
	if failures == 0 {
		return 0
	}
	return failures / (successes + failures)
}

// countUnavailable returns how many targets of the service are ejected or on
// trial, without those that get no calls anyway since their data centre is evacuated.
func countUnavailable(world *carobworld.World, group *carobgroup.Group) int {
	count := 0
	for _, id := range group.Targets {
		target := world.Targets.Get(id)
		if target != nil && world.IsTargetEvacuated(target) {
			continue
		}
		if load := world.Loads.Get(id); load != nil && (load.OnTrial || load.EjectionEnd != carobinstant.Never) {
			count++
		}
	}
	return count
}

// eject ejects a target until now plus a random time.
func eject(world *carobworld.World, now carobinstant.Instant, load *carobload.Load) {
	load.OnTrial = false
	load.EjectionEnd = now.Add(minEjection + time.Duration(world.Random.Int64N(int64(ejectionJitter))))
	world.NextEjectionEnd = carobinstant.Earlier(world.NextEjectionEnd, load.EjectionEnd)
}

// recordAudit records that a target was ejected or readmitted.
func recordAudit(world *carobworld.World, id carobtargetid.ID, from, to string) {
	world.Outbox.Audits = append(world.Outbox.Audits, carobaudit.Audit{
		Who: string(world.Self.Node), Component: "route", What: "target " + id.String(), From: from, To: to,
	})
}
