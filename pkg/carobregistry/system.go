// Package carobregistry keeps the node's own targets from their announcements.
package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblife"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Silence is how long a target may go without an announcement before it is
	// taken to be leaving.
	Silence time.Duration
}

// forget is how long a silent target is kept.
const forget = 5 * time.Minute

// System takes in the announcements of the targets on this node's VM.
type System struct {
	silence time.Duration
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{silence: c.Silence}
}

// Run takes in announcements and marks silent targets as leaving.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, an := range w.Inbox.Announcements {
		switch {
		case late(w, an):
			note(w, an.Target, "late announcement", string(an.State))
		case an.Withdrawn:
			leave(w, an)
		default:
			announce(w, now, an)
		}
	}
	for id, gt := range w.Gates.All() {
		tg := w.Targets.Get(id)
		switch {
		case tg != nil && w.Owns(tg):
			s.listen(w, now, tg)
		case gt.Running == 0 && gt.Queued == 0:
			w.Gates.Delete(id)
		}
	}
}

// late reports whether a word of a target was overtaken: by a later one, or by
// a later life at its address.
func late(w *carobworld.World, an carobannouncement.Announcement) bool {
	if an.Withdrawn {
		lf := lifeOf(w, an.Target)
		return lf != nil && an.Incarnation > 0 && an.Incarnation < lf.Incarnation
	}
	lf := w.Lives.Get(an.Address)
	return lf != nil && lf.Older(an.Incarnation, an.Sequence)
}

// leave notes that a target took its leave, and forgets it.
func leave(w *carobworld.World, an carobannouncement.Announcement) {
	if lf := lifeOf(w, an.Target); lf != nil {
		lf.Left, an.Target = true, lf.Target
	}
	withdraw(w, an)
}

// lifeOf returns the newest life of a target, or nil. A target that takes its
// leave need not say of which service it was.
func lifeOf(w *carobworld.World, id carobtargetid.ID) *caroblife.Life {
	for _, lf := range w.Lives.All() {
		if lf.Target.Name == id.Name && (id.Service == "" || lf.Target.Service == id.Service) {
			return lf
		}
	}
	return nil
}

// live notes the life that a word is of. A target that had the address before is
// gone, and so are the connections and the memory of an earlier life.
func live(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	lf := w.Lives.Get(an.Address)
	if lf != nil && lf.Target != an.Target && an.Incarnation > 0 {
		withdraw(w, carobannouncement.Announcement{Target: lf.Target})
	}
	if lf != nil && lf.Target == an.Target && lf.Incarnation != an.Incarnation {
		note(w, an.Target, "earlier life", "new life")
		if gt := w.Gates.Get(an.Target); gt != nil {
			gt.Since = now
		}
	}
	w.Lives.Put(an.Address, caroblife.Life{Target: an.Target, Incarnation: an.Incarnation, Sequence: an.Sequence})
}

func announce(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	live(w, now, an)
	next := carobtarget.Target{
		ID: an.Target, Node: w.Self.Node, Address: an.Address, Profile: an.Profile,
		Slots: an.Slots, Conns: an.Conns, State: an.State, Heard: now,
	}
	before, changed := "none", true
	if old := w.Targets.Get(an.Target); old != nil {
		next.Heard = old.Heard
		before, changed = string(old.State), *old != next
	}
	next.Heard = now
	if w.Targets.Put(an.Target, next) == nil {
		return
	}
	gt := w.Gates.Get(an.Target)
	if gt == nil {
		gt = w.Gates.Put(an.Target, carobgate.Gate{Since: now})
	}
	gt.Slots, gt.Limit = an.Slots, an.Slots
	if !changed {
		return
	}
	note(w, an.Target, before, string(an.State))
	tell(w)
}

// withdraw forgets a target. Its gate stays while jobs run behind it.
func withdraw(w *carobworld.World, an carobannouncement.Announcement) {
	tg := w.Targets.Get(an.Target)
	if tg == nil || !w.Owns(tg) {
		return
	}
	note(w, an.Target, string(tg.State), "withdrawn")
	w.Targets.Delete(an.Target)
	tell(w)
}

func (s *System) listen(w *carobworld.World, now carobinstant.Instant, tg *carobtarget.Target) {
	due := tg.Heard.Add(s.silence)
	if !due.Reached(now) {
		w.WakeAt(due)
		return
	}
	if tg.State != carobreadiness.Leaving {
		note(w, tg.ID, string(tg.State), "silent")
		tg.State = carobreadiness.Leaving
		tell(w)
	}
	if tg.Heard.Add(forget).Reached(now) {
		withdraw(w, carobannouncement.Announcement{Target: tg.ID})
	}
}

// note adds a change of an own target to the audit trail.
func note(w *carobworld.World, target carobtargetid.ID, from, to string) {
	w.Note("target", string(w.Self.Node), target.String(), from, to)
}

// tell makes the change part of what others hear of this node.
func tell(w *carobworld.World) {
	w.TargetsChanged = true
	w.Self.Beat++
}
