// Package carobregistry keeps the node's own targets from their announcements.
package carobregistry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Silence is how long a target may go without an announcement before it is
	// taken to be leaving.
	Silence time.Duration
}

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
	for _, tg := range w.Targets.All() {
		if w.Owns(tg) {
			s.listen(w, now, tg)
		}
	}
}

func announce(w *carobworld.World, now carobinstant.Instant, an carobannouncement.Announcement) {
	next := carobtarget.Target{
		ID: an.Target, Node: w.Self.Node, Address: an.Address, Profile: an.Profile,
		Slots: an.Slots, Conns: an.Conns, State: an.State, Heard: now,
	}
	old := w.Targets.Get(an.Target)
	if old != nil {
		next.Heard = old.Heard
	}
	changed := old == nil || *old != next
	next.Heard = now
	if w.Targets.Put(an.Target, next) == nil {
		return
	}
	gt := w.Gates.Get(an.Target)
	if gt == nil {
		gt = w.Gates.Put(an.Target, carobgate.Gate{Since: now})
	}
	gt.Limit = an.Slots
	if changed {
		tell(w)
	}
}

// withdraw forgets a target. Its gate stays while jobs run behind it.
func withdraw(w *carobworld.World, an carobannouncement.Announcement) {
	tg := w.Targets.Get(an.Target)
	if tg == nil || !w.Owns(tg) {
		return
	}
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
		tg.State = carobreadiness.Leaving
		tell(w)
	}
}

// tell makes the change part of what others hear of this node.
func tell(w *carobworld.World) {
	w.TargetsChanged = true
	w.Self.Beat++
}
