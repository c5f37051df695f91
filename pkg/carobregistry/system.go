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
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the settings of the system.
type Config struct {
	// AnnouncementTimeout is the time without announcements after which a target is marked as
	// leaving.
	AnnouncementTimeout time.Duration
}

// removalDelay is the time without announcements after which a target is removed.
const removalDelay = 5 * time.Minute

// System handles the announcements of the targets on this node's VM.
type System struct {
	announcementTimeout time.Duration
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{announcementTimeout: c.AnnouncementTimeout}
}

// Run handles the tick's announcements, marks targets without recent announcements as
// leaving, and removes the admission states of removed targets once they have no jobs.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, an := range w.Inbox.Announcements {
		switch {
		case isOutdated(w, an):
			auditChange(w, an.Target, "late announcement", string(an.Readiness))
		case an.Withdrawn:
			handleWithdrawal(w, an)
		default:
			handleAnnouncement(w, now, an)
		}
	}
	for id, as := range w.AdmissionStates.All() {
		tg := w.Targets.Get(id)
		switch {
		case tg != nil && w.Owns(tg):
			s.checkTimeout(w, now, tg)
		case as.Running == 0 && as.Queued == 0:
			w.AdmissionStates.Delete(id)
		}
	}
}

// isOutdated reports whether an announcement must be ignored. A withdrawal is outdated
// if a later incarnation of the target is known; any other announcement if it is not
// newer than the last one from its address, or if its incarnation has withdrawn.
func isOutdated(w *carobworld.World, an carobannouncement.Announcement) bool {
	if an.Withdrawn {
		instance := newestInstance(w, an.Target)
		return instance != nil && an.Incarnation > 0 && an.Incarnation < instance.Incarnation
	}
	instance := w.Instances.Get(an.Address)
	return instance != nil && instance.Outdated(an.Incarnation, an.Sequence)
}

// handleWithdrawal removes a target that has withdrawn itself, and records that later
// announcements of the same incarnation are to be ignored.
func handleWithdrawal(w *carobworld.World, an carobannouncement.Announcement) {
	if instance := newestInstance(w, an.Target); instance != nil {
		instance.Withdrawn, an.Target = true, instance.Target
	}
	removeTarget(w, an)
}

// newestInstance returns the record of a target's newest incarnation, or nil. The service
// of id may be empty, because a target may withdraw without naming its service.
func newestInstance(w *carobworld.World, id carobtargetid.ID) *carobinstance.Instance {
	for _, instance := range w.Instances.All() {
		if instance.Target.Name == id.Name && (id.Service == "" || instance.Target.Service == id.Service) {
			return instance
		}
	}
	return nil
}

// recordInstance records the target, incarnation and sequence of an announcement for its
// address. It removes another target that had the address before. A target that has
// restarted has lost its connections and its memory, so its admission state counts as new.
func recordInstance(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	instance := w.Instances.Get(an.Address)
	if instance != nil && instance.Target != an.Target && an.Incarnation > 0 {
		removeTarget(w, carobannouncement.Announcement{Target: instance.Target})
	}
	if instance != nil && instance.Target == an.Target && instance.Incarnation != an.Incarnation {
		auditChange(w, an.Target, "earlier incarnation", "new incarnation")
		if as := w.AdmissionStates.Get(an.Target); as != nil {
			as.AddedAt = now
		}
	}
	w.Instances.Put(an.Address, carobinstance.Instance{Target: an.Target, Incarnation: an.Incarnation, Sequence: an.Sequence})
}

// handleAnnouncement adds or updates the target of an announcement and its admission state.
func handleAnnouncement(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	recordInstance(w, now, an)
	next := carobtarget.Target{
		ID: an.Target, Node: w.Self.Node, Address: an.Address, Profile: an.Profile,
		Slots: an.Slots, Connections: an.Connections, Readiness: an.Readiness, AnnouncedAt: now,
	}
	before, changed := "none", true
	if old := w.Targets.Get(an.Target); old != nil {
		next.AnnouncedAt = old.AnnouncedAt
		before, changed = string(old.Readiness), *old != next
	}
	next.AnnouncedAt = now
	if w.Targets.Put(an.Target, next) == nil {
		return
	}
	as := w.AdmissionStates.Get(an.Target)
	if as == nil {
		as = w.AdmissionStates.Put(an.Target, carobadmissionstate.AdmissionState{AddedAt: now})
	}
	as.Slots, as.Limit = an.Slots, an.Slots
	if !changed {
		return
	}
	auditChange(w, an.Target, before, string(an.Readiness))
	markTargetsChanged(w)
}

// removeTarget removes the target of an announcement if it is this node's own. Its
// admission state stays until its jobs have ended.
func removeTarget(w *carobworld.World, an carobannouncement.Announcement) {
	tg := w.Targets.Get(an.Target)
	if tg == nil || !w.Owns(tg) {
		return
	}
	auditChange(w, an.Target, string(tg.Readiness), "withdrawn")
	w.Targets.Delete(an.Target)
	markTargetsChanged(w)
}

// checkTimeout marks a target without recent announcements as leaving, and removes it
// after removalDelay.
func (s *System) checkTimeout(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target) {
	due := tg.AnnouncedAt.Add(s.announcementTimeout)
	if !due.Reached(now) {
		w.WakeAt(due)
		return
	}
	if tg.Readiness != carobreadiness.Leaving {
		auditChange(w, tg.ID, string(tg.Readiness), "silent")
		tg.Readiness = carobreadiness.Leaving
		markTargetsChanged(w)
	}
	if tg.AnnouncedAt.Add(removalDelay).Reached(now) {
		removeTarget(w, carobannouncement.Announcement{Target: tg.ID})
	}
}

// auditChange adds a change of one of the node's own targets to the audit trail.
func auditChange(w *carobworld.World, target carobtargetid.ID, from, to string) {
	w.Audit("target", string(w.Self.Node), target.String(), from, to)
}

// markTargetsChanged schedules the regrouping of targets and increments the update sequence
// of this node's description of itself, so that the change is gossiped to other nodes.
func markTargetsChanged(w *carobworld.World) {
	w.TargetsChanged = true
	w.Self.Sequence++
}
