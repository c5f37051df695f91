// Package carobevacuating keeps which data centres are evacuated: no call is to be sent to
// their targets. The operator asks for it by a record in the store.
//
// Nodes that read the store learn the state there and announce a change at once. While a data
// centre is evacuated or has changed within the last minute, all control messages carry the
// state, so that nodes learn it which cannot read the store. A message that confirms a route
// table as of an instant (carobrouteconfirmation) so carries the evacuations as of that instant
// too, and the reads that limit the age of route tables limit that of evacuations.
package carobevacuating

import (
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobevacuationlist"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// noticePeriod is how long messages carry a state after it has changed. It is some times
	// as long as a node can be without messages and without reading the store itself.
	noticePeriod = time.Minute
	// absencePeriod is how long a record must be missing from the store until the evacuation
	// counts as ended. A store that was restored, or dropped its records, gets them again
	// from the operator; within evacuate-s, a new evacuation must be in force anyway.
	absencePeriod = 5 * time.Second
	// maxListAge is the age of the newest read above which another one is needed before a missing
	// record counts, since the operator may have written it again.
	maxListAge = 2 * time.Second
	// readInterval is the time between two requests for such a read.
	readInterval = time.Second
	// knownDelay is the delay after which a node of an evacuated data centre should be known.
	knownDelay = 10 * time.Second
)

// System applies changes of evacuations and announces them.
type System struct {
	// newest is the newest list that this node has read, by the last read that found it.
	newest carobevacuationlist.EvacuationList
	// nextRead is when a read may be requested again; Never if none was.
	nextRead carobinstant.Instant
}

// NewSystem returns a System of a node that has read nothing yet.
func NewSystem() *System {
	return &System{}
}

// Run applies the states that were read or received, announces changes, and sets the states
// that messages carry. It has to run after the system that selects the readers of the store,
// and before those that place and admit calls.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	read, received := false, false
	for i := range world.Inbox.EvacuationLists {
		read = s.applyList(world, now, &world.Inbox.EvacuationLists[i]) || read
	}
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		for _, state := range message.Evacuations {
			received = merge(world, now, state, string(message.From)) || received
		}
	}
	read = s.endAbsences(world, now) || read
	switch {
	case read:
		announceEverywhere(world)
	case received:
		forward(world)
	}
	checkKnown(world, now)
	setNotices(world, now)
}

// applyList applies what the store has, and reports whether a data centre has changed.
func (s *System) applyList(world *carobworld.World, now carobinstant.Instant, list *carobevacuationlist.EvacuationList) bool {
	changed := false
	if list.Era > s.newest.Era || list.Era == s.newest.Era && list.End >= s.newest.End {
		s.newest = *list
	}
	for _, centre := range list.Removed {
		changed = merge(world, now, stateOf(list, centre, false), "store") || changed
	}
	for _, centre := range list.Active {
		changed = merge(world, now, stateOf(list, centre, true), "store") || changed
	}
	markAbsent(world, now, list)
	return changed
}

// markAbsent notes since when the store has had no record of data centres that are evacuated.
func markAbsent(world *carobworld.World, now carobinstant.Instant, list *carobevacuationlist.EvacuationList) {
	for centre, row := range world.Evacuations.All() {
		absent := stateOf(list, centre, false)
		switch {
		case !row.Active || !absent.Supersedes(row):
		case !list.Complete, slices.Contains(list.Active, centre), slices.Contains(list.Unclear, centre):
			row.AbsentSince = carobinstant.Never
		case row.AbsentSince == carobinstant.Never:
			row.AbsentSince = now
		}
	}
}

// stateOf returns the state of a data centre as of the position of a list.
func stateOf(list *carobevacuationlist.EvacuationList, centre carobcentre.Centre, active bool) carobevacuation.Evacuation {
	return carobevacuation.Evacuation{Centre: centre, Active: active, Era: list.Era, Offset: list.End}
}

// endAbsences ends the evacuations whose record has been missing for absencePeriod, and still is
// by a recent read, and reports whether there were any. While the store cannot be read, the
// state in force stays. After a pause, the period begins again: what the operator and other
// nodes did meanwhile has not arrived yet.
func (s *System) endAbsences(world *carobworld.World, now carobinstant.Instant) bool {
	changed := false
	for centre, row := range world.Evacuations.All() {
		if row.AbsentSince == carobinstant.Never {
			continue
		}
		if world.Paused {
			row.AbsentSince = now
		}
		if end := row.AbsentSince.Add(absencePeriod); !end.Reached(now) {
			world.WakeAt(end)
			continue
		}
		if now.Sub(s.newest.ReadAt) > maxListAge {
			s.requestRead(world, now)
			continue
		}
		changed = merge(world, now, stateOf(&s.newest, centre, false), "store") || changed
	}
	return changed
}

// requestRead requests a read of the store, at most once each readInterval.
func (s *System) requestRead(world *carobworld.World, now carobinstant.Instant) {
	if s.nextRead == carobinstant.Never || s.nextRead.Reached(now) {
		world.Outbox.ConfirmRoutes = true
		s.nextRead = now.Add(readInterval)
	}
	world.WakeAt(s.nextRead)
}

// merge applies a state if it supersedes the known one, and reports whether the data centre has
// become evacuated or no longer is. If the sender's state is older and differs, the
// known one is sent again, so that the sender learns it.
func merge(world *carobworld.World, now carobinstant.Instant, state carobevacuation.Evacuation, from string) bool {
	row := world.Evacuations.Get(state.Centre)
	wasActive := row != nil && row.Active
	if row != nil && !state.Supersedes(row) {
		if row.Supersedes(&state) && state.Active != row.Active {
			row.ChangedAt = now
		}
		return false
	}
	if row != nil {
		state.ChangedAt, state.KnownCheckAt = row.ChangedAt, row.KnownCheckAt
	}
	if state.Active != wasActive {
		state.ChangedAt, state.KnownCheckAt = now, carobinstant.Never
		if state.Active {
			state.KnownCheckAt = now.Add(knownDelay)
		}
	}
	if !put(world, state) {
		return false
	}
	if state.Active != wasActive {
		world.Audit("evacuation", from, "data centre "+string(state.Centre), text(wasActive), text(state.Active))
	}
	return state.Active != wasActive
}

// put stores a row, and reports whether there was room. If the table is full, a row of a data
// centre that is not evacuated makes room for one that is.
func put(world *carobworld.World, state carobevacuation.Evacuation) bool {
	if world.Evacuations.Put(state.Centre, state) != nil {
		return true
	}
	if state.Active {
		for centre, row := range world.Evacuations.All() {
			if !row.Active {
				world.Evacuations.Delete(centre)
				return world.Evacuations.Put(state.Centre, state) != nil
			}
		}
	}
	return false
}

// text returns a state as it is written to the audit trail.
func text(active bool) string {
	if active {
		return "evacuated"
	}
	return "not evacuated"
}

// checkKnown records evacuations of data centres of which no node is known, once.
func checkKnown(world *carobworld.World, now carobinstant.Instant) {
	for centre, row := range world.Evacuations.All() {
		if row.KnownCheckAt == carobinstant.Never {
			continue
		}
		if !row.KnownCheckAt.Reached(now) {
			world.WakeAt(row.KnownCheckAt)
			continue
		}
		row.KnownCheckAt = carobinstant.Never
		if !isKnown(world, centre) {
			world.Audit("evacuation", string(world.Self.Node), "data centre "+string(centre), text(true), "evacuated, but no node of it is known")
		}
	}
}

// isKnown reports whether a node of a data centre is known.
func isKnown(world *carobworld.World, centre carobcentre.Centre) bool {
	if centre == world.Self.Centre {
		return true
	}
	for _, peer := range world.Peers.All() {
		if peer.Member.Centre == centre {
			return true
		}
	}
	for _, member := range world.LoggedMembers.All() {
		if member.Centre == centre {
			return true
		}
	}
	return false
}

// setNotices sets the states that the messages of this tick carry.
func setNotices(world *carobworld.World, now carobinstant.Instant) {
	world.EvacuationNotices = nil
	for _, row := range world.Evacuations.All() {
		if row.Active || row.ChangedAt != carobinstant.Never && !row.ChangedAt.Add(noticePeriod).Reached(now) {
			world.EvacuationNotices = append(world.EvacuationNotices, *row)
		}
	}
}
