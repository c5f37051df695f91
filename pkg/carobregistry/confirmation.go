package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobhealthcheck"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A node that has just started does not know which targets have withdrawn at the process
// before it. An announcement that a target sent before its withdrawal may still arrive, and
// looks like the newest. Therefore a target that such an announcement names is ready only
// after it has answered a health check that was sent afterwards, or when its announcements
// have gone on for the announcement timeout: it may be healthy although its health check
// fails.

// checkInterval is the time between two health checks of a target that is not confirmed.
const checkInterval = 500 * time.Millisecond

// mayHaveWithdrawn reports whether the target of an announcement may have withdrawn
// without this node's knowledge: at a process before it, or by a withdrawal that did not
// name the incarnation.
func (s *System) mayHaveWithdrawn(world *carobworld.World, now carobinstant.Instant, announcement carobannouncement.Announcement) bool {
	if s.config.ConfirmationPeriod == 0 {
		return false
	}
	withdrawn, ok := world.Withdrawals.Get(announcement.Target.Name)
	return ok && withdrawn == 0 || !s.startedAt.Add(s.config.ConfirmationPeriod).Reached(now)
}

// confirm makes targets ready whose health check confirmed them in this tick, and requests
// health checks of those that await one.
func (s *System) confirm(world *carobworld.World, now carobinstant.Instant) {
	for _, result := range world.Inbox.CheckResults {
		if result.Available {
			s.confirmInstance(world, now, result)
		}
	}
	due := s.nextCheck == carobinstant.Never || s.nextCheck.Reached(now)
	awaiting := false
	for address, instance := range world.Instances.All() {
		if !instance.AwaitsCheck || instance.Withdrawn {
			continue
		}
		awaiting = true
		if due {
			world.Outbox.HealthChecks = append(world.Outbox.HealthChecks, carobhealthcheck.HealthCheck{Target: instance.Target, Address: address, OrderedAt: now})
		}
	}
	switch {
	case !awaiting:
		s.nextCheck = carobinstant.Never
	case due:
		s.nextCheck = now.Add(checkInterval)
	}
	world.WakeAt(s.nextCheck)
}

// confirmInstance makes the target of a health check ready if its newest announcement waits
// for that.
func (s *System) confirmInstance(world *carobworld.World, now carobinstant.Instant, result carobcheckresult.CheckResult) {
	target := world.Targets.Get(result.Target)
	if target == nil || !world.Owns(target) || target.AnnouncedAt.Add(s.config.AnnouncementTimeout).Reached(now) {
		return
	}
	instance := world.Instances.Get(target.Address)
	if instance == nil || instance.Target != result.Target || !instance.AwaitsCheck || instance.Leaving || instance.Withdrawn {
		return
	}
	instance.Confirmed, instance.AwaitsCheck = true, false
	auditChange(world, target.ID, string(target.Readiness), string(carobreadiness.Ready))
	target.Readiness = carobreadiness.Ready
	markTargetsChanged(world)
}
