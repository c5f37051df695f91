// Package carobregistry keeps the node's own targets from their announcements.
package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
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
		if an.Withdrawn {
			withdraw(w, an)
			continue
		}
		announce(w, now, an)
	}
	for id := range w.Gates.All() {
		if tg := w.Targets.Get(id); tg != nil && w.Owns(tg) {
			s.listen(w, now, tg)
		}
	}
}

func announce(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
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
	gt.Limit = an.Slots
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
