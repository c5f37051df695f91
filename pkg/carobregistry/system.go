// Package carobregistry maintains the table of the node's own targets from their
// announcements.
package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinstance"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// AnnouncementTimeout is the time without announcements after which a target is marked as
	// leaving.
	AnnouncementTimeout time.Duration
	// ConfirmationPeriod is the time after the node's start in which the announcements of a
	// target that the node does not know yet need a confirmation by a health check: the target
	// may have withdrawn before the start, and the announcement may be late. It is 0 if
	// targets have no health check.
	ConfirmationPeriod time.Duration
}

// removalDelay is the time without announcements after which a target is removed.
const removalDelay = 5 * time.Minute

// System handles the announcements of the targets on this node's VM.
type System struct {
	config Config
	// startedAt is when the first tick ran; Never before.
	startedAt carobinstant.Instant
	// nextCheck is when the targets that await a health check are checked again; Never if
	// there are none.
	nextCheck carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run handles the tick's announcements and directives, marks targets without recent
// announcements as leaving, and removes the admission states of removed targets once they
// have no jobs.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if s.startedAt == carobinstant.Never {
		s.startedAt = now
	}
	for _, announcement := range world.Inbox.Announcements {
		switch {
		case isOutdated(world, announcement):
			auditChange(world, announcement.Target, "late announcement", string(announcement.Readiness))
		case announcement.Withdrawn:
			handleWithdrawal(world, announcement)
		default:
			s.handleAnnouncement(world, now, announcement)
		}
	}
	handleDirectives(world)
	s.confirm(world, now)
	for id, state := range world.AdmissionStates.All() {
		target := world.Targets.Get(id)
		switch {
		case target != nil && world.Owns(target):
			s.checkTimeout(world, now, target)
		case state.Running == 0 && state.Queued == 0:
			world.AdmissionStates.Delete(id)
			world.Outbox.RemovedTargets = append(world.Outbox.RemovedTargets, id)
		}
	}
}

// handleDirectives handles what the responses of the tick request.
func handleDirectives(world *carobworld.World) {
	for _, finish := range world.Inbox.Finishes {
		if job := world.Jobs.Get(finish.Job); job != nil {
			handleDirective(world, job.Offer.Target, world.DirectiveOf(job, finish))
		}
	}
	for _, result := range world.Inbox.CheckResults {
		handleDirective(world, result.Target, result.Directive)
	}
}

// handleDirective marks a target as leaving if its response says so. directive is nil if
// there was no valid response.
func handleDirective(world *carobworld.World, id carobtargetid.ID, directive *carobtargetdirective.TargetDirective) {
	target := world.Targets.Get(id)
	if directive == nil || !directive.Leaving || target == nil || !world.Owns(target) {
		return
	}
	if instance := world.Instances.Get(target.Address); instance != nil && instance.Target == id {
		instance.Leaving = true
	}
	if target.Readiness == carobreadiness.Leaving {
		return
	}
	auditChange(world, id, string(target.Readiness), string(carobreadiness.Leaving))
	target.Readiness = carobreadiness.Leaving
	markTargetsChanged(world)
}

// isOutdated reports whether an announcement must be ignored. A withdrawal is outdated
// if a later incarnation of the target is known; any other announcement if it is not
// newer than the last one from its address, or if its incarnation or a later one has
// withdrawn. A health check that confirms an announcement may have been answered before a
// withdrawal.
func isOutdated(world *carobworld.World, announcement carobannouncement.Announcement) bool {
	if announcement.Withdrawn {
		instance := newestInstance(world, announcement.Target)
		return instance != nil && announcement.Incarnation > 0 && announcement.Incarnation < instance.Incarnation
	}
	withdrawn, ok := world.Withdrawals.Get(announcement.Target.Name)
	if ok && (announcement.Confirmed || announcement.Incarnation > 0 && announcement.Incarnation <= withdrawn) {
		return true
	}
	instance := world.Instances.Get(announcement.Address)
	return instance != nil && instance.Outdated(announcement.Incarnation, announcement.Sequence)
}

// handleWithdrawal removes a target that has withdrawn itself, and records that later
// announcements of the same incarnation are to be ignored. The target need not be known.
func handleWithdrawal(world *carobworld.World, announcement carobannouncement.Announcement) {
	withdrawn := announcement.Incarnation
	if instance := newestInstance(world, announcement.Target); instance != nil {
		instance.Withdrawn, instance.Confirmed, announcement.Target = true, false, instance.Target
		withdrawn = max(withdrawn, instance.Incarnation)
	}
	world.Withdrawals.Put(announcement.Target.Name, withdrawn)
	removeTarget(world, announcement)
}

// newestInstance returns the record of a target's newest incarnation, or nil. The service
// of id may be empty, because a target may withdraw without naming its service.
func newestInstance(world *carobworld.World, id carobtargetid.ID) *carobinstance.Instance {
	for _, instance := range world.Instances.All() {
		if instance.Target.Name == id.Name && (id.Service == "" || instance.Target.Service == id.Service) {
			return instance
		}
	}
	return nil
}

// recordInstance records the target, incarnation and sequence of an announcement for its
// address. If the announcement has an incarnation, another target that had the address
// before is removed. A target that has restarted has lost its connections and its memory,
// so its admission state counts as new.
func (s *System) recordInstance(world *carobworld.World, now carobinstant.Instant, announcement carobannouncement.Announcement) {
	instance := world.Instances.Get(announcement.Address)
	if instance != nil && instance.Target != announcement.Target && announcement.Incarnation > 0 {
		removeTarget(world, carobannouncement.Announcement{Target: instance.Target})
	}
	if instance != nil && instance.Target == announcement.Target && instance.Incarnation != announcement.Incarnation {
		auditChange(world, announcement.Target, "earlier life", "new life")
		if state := world.AdmissionStates.Get(announcement.Target); state != nil {
			state.AddedAt = now
			state.ForgetWarmth(now)
		}
	}
	world.Instances.Put(announcement.Address, s.nextInstance(world, now, instance, announcement))
}

// nextInstance returns the record of the target of an announcement. instance is the record
// of the address before it; nil if there is none.
func (s *System) nextInstance(world *carobworld.World, now carobinstant.Instant, instance *carobinstance.Instance, announcement carobannouncement.Announcement) carobinstance.Instance {
	next := carobinstance.Instance{Target: announcement.Target, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence, AnnouncedAt: now}
	next.Confirmed = announcement.Confirmed || !s.mayHaveWithdrawn(world, now, announcement)
	if instance == nil || instance.Target != next.Target {
		return next
	}
	next.Confirmed = next.Confirmed || instance.Confirmed
	if instance.Incarnation == next.Incarnation {
		next.AnnouncedAt, next.Leaving = instance.AnnouncedAt, instance.Leaving
		// Announcements that were delayed do not go on for long.
		next.Confirmed = next.Confirmed || next.AnnouncedAt.Add(s.config.AnnouncementTimeout).Reached(now)
	}
	return next
}

// handleAnnouncement adds or updates the target of an announcement and its admission state.
func (s *System) handleAnnouncement(world *carobworld.World, now carobinstant.Instant, announcement carobannouncement.Announcement) {
	s.recordInstance(world, now, announcement)
	if instance := world.Instances.Get(announcement.Address); instance != nil && (instance.Leaving || !instance.Confirmed) {
		instance.AwaitsCheck = !instance.Confirmed && !instance.Leaving && announcement.Readiness == carobreadiness.Ready
		announcement.Readiness = carobreadiness.Leaving
	}
	next := carobtarget.Target{
		ID: announcement.Target, Node: world.Self.Node, Address: announcement.Address, Profile: announcement.Profile,
		Slots: announcement.Slots, Connections: announcement.Connections, Readiness: announcement.Readiness, AnnouncedAt: now,
	}
	before, changed := "none", true
	if old := world.Targets.Get(announcement.Target); old != nil {
		next.AnnouncedAt = old.AnnouncedAt
		before, changed = string(old.Readiness), *old != next
	}
	next.AnnouncedAt = now
	if world.Targets.Put(announcement.Target, next) == nil {
		return
	}
	state := world.AdmissionStates.Get(announcement.Target)
	if state == nil {
		state = world.AdmissionStates.Put(announcement.Target, carobadmissionstate.AdmissionState{AddedAt: now, WarmProofStart: now})
	}
	if !announcement.Confirmed {
		// A confirmed announcement is the node's own, and does not show whether the target is cold.
		state.SetWarmupLeft(now, announcement.WarmupLeft.Duration())
	}
	if state.Slots != announcement.Slots {
		state.Slots, state.Limit = announcement.Slots, announcement.Slots
	}
	if !changed {
		return
	}
	auditChange(world, announcement.Target, before, string(announcement.Readiness))
	markTargetsChanged(world)
}

// removeTarget removes the target of an announcement if it is this node's own. Its
// admission state stays until its jobs have ended.
func removeTarget(world *carobworld.World, announcement carobannouncement.Announcement) {
	target := world.Targets.Get(announcement.Target)
	if target == nil || !world.Owns(target) {
		return
	}
	auditChange(world, announcement.Target, string(target.Readiness), "withdrawn")
	world.Targets.Delete(announcement.Target)
	markTargetsChanged(world)
}

// checkTimeout marks a target without recent announcements as leaving, and removes it
// after removalDelay.
func (s *System) checkTimeout(world *carobworld.World, now carobinstant.Instant, target *carobtarget.Target) {
	due := target.AnnouncedAt.Add(s.config.AnnouncementTimeout)
	if !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	if target.Readiness != carobreadiness.Leaving {
		auditChange(world, target.ID, string(target.Readiness), "silent")
		target.Readiness = carobreadiness.Leaving
		markTargetsChanged(world)
	}
	if target.AnnouncedAt.Add(removalDelay).Reached(now) {
		removeTarget(world, carobannouncement.Announcement{Target: target.ID})
	}
}

// auditChange adds a change of one of the node's own targets to the audit trail.
func auditChange(world *carobworld.World, target carobtargetid.ID, from, to string) {
	world.Audit("target", string(world.Self.Node), target.String(), from, to)
}

// markTargetsChanged schedules the regrouping of targets and increments the update sequence
// of this node's description of itself, so that the change is gossiped to other nodes.
func markTargetsChanged(world *carobworld.World) {
	world.TargetsChanged = true
	world.Self.Sequence++
}
