// Package carobregistry maintains the table of the node's own targets from their
// announcements.
package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobinstance"
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
// leaving, and removes the gates of removed targets once they have no jobs.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, an := range w.Inbox.Announcements {
		switch {
		case isOutdated(w, an):
			auditChange(w, an.Target, "late announcement", string(an.Readiness))
		case an.Withdrawn:
			handleLeave(w, an)
		default:
			handleAnnouncement(w, now, an)
		}
	}
	for id, gt := range w.AdmissionStates.All() {
		tg := w.Targets.Get(id)
		switch {
		case tg != nil && w.Owns(tg):
			s.checkTimeout(w, now, tg)
		case gt.Running == 0 && gt.Queued == 0:
			w.AdmissionStates.Delete(id)
		}
	}
}

// isOutdated reports whether an announcement must be ignored. A withdrawal is outdated
// if a later incarnation of the target is known; any other announcement if it is not
// newer than the last one from its address, or if its incarnation has left.
func isOutdated(w *carobworld.World, an carobannouncement.Announcement) bool {
	if an.Withdrawn {
		lf := newestLife(w, an.Target)
		return lf != nil && an.Incarnation > 0 && an.Incarnation < lf.Incarnation
	}
	lf := w.Instances.Get(an.Address)
	return lf != nil && lf.Outdated(an.Incarnation, an.Sequence)
}

// handleLeave removes a target that has withdrawn itself, and records that later
// announcements of the same incarnation are to be ignored.
func handleLeave(w *carobworld.World, an carobannouncement.Announcement) {
	if lf := newestLife(w, an.Target); lf != nil {
		lf.Withdrawn, an.Target = true, lf.Target
	}
	removeTarget(w, an)
}

// newestLife returns the record of a target's newest incarnation, or nil. The service
// of id may be empty, because a target may withdraw without naming its service.
func newestLife(w *carobworld.World, id carobtargetid.ID) *carobinstance.Instance {
	for _, lf := range w.Instances.All() {
		if lf.Target.Name == id.Name && (id.Service == "" || lf.Target.Service == id.Service) {
			return lf
		}
	}
	return nil
}

// recordLife records the target, incarnation and sequence of an announcement for its
// address. It removes another target that had the address before. A target that has
// restarted has lost its connections and its memory, so its gate counts as new.
func recordLife(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	lf := w.Instances.Get(an.Address)
	if lf != nil && lf.Target != an.Target && an.Incarnation > 0 {
		removeTarget(w, carobannouncement.Announcement{Target: lf.Target})
	}
	if lf != nil && lf.Target == an.Target && lf.Incarnation != an.Incarnation {
		auditChange(w, an.Target, "earlier life", "new life")
		if gt := w.AdmissionStates.Get(an.Target); gt != nil {
			gt.AddedAt = now
		}
	}
	w.Instances.Put(an.Address, carobinstance.Instance{Target: an.Target, Incarnation: an.Incarnation, Sequence: an.Sequence})
}

// handleAnnouncement adds or updates the target of an announcement and its gate.
func handleAnnouncement(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	recordLife(w, now, an)
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
	gt := w.AdmissionStates.Get(an.Target)
	if gt == nil {
		gt = w.AdmissionStates.Put(an.Target, carobadmissionstate.AdmissionState{AddedAt: now})
	}
	gt.Slots, gt.Limit = an.Slots, an.Slots
	if !changed {
		return
	}
	auditChange(w, an.Target, before, string(an.Readiness))
	markTargetsChanged(w)
}

// removeTarget removes the target of an announcement if it is this node's own. Its gate
// stays until its jobs have ended.
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

// auditChange adds a change of one of the node's own targets to the audit stream.
func auditChange(w *carobworld.World, target carobtargetid.ID, from, to string) {
	w.Audit("target", string(w.Self.Node), target.String(), from, to)
}

// markTargetsChanged schedules the regrouping of targets and increments the version of
// the node's own member, so that the change is gossiped to other nodes.
func markTargetsChanged(w *carobworld.World) {
	w.TargetsChanged = true
	w.Self.Sequence++
}
