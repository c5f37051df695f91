// Package carobmembership keeps the tables of other nodes and of their targets up to date
// from gossip.
//
// Of two descriptions of a node the newer one wins: the one with the higher incarnation,
// then with the higher update sequence, which only the node itself increases, then with
// the worse liveness state, which other nodes assign. So a restarted node replaces its
// predecessor at once, and a wrongly suspected node refutes the suspicion by increasing
// its sequence.
package carobmembership

import (
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// unreachableRetention is how long an unreachable node is kept and retried. Regions
	// occasionally lose contact with each other for an hour.
	unreachableRetention = 6 * time.Hour
	// leftRetention is how long a node that left is kept, so that a delayed older
	// description does not add it again.
	leftRetention = 10 * time.Minute
	// sweepInterval is the time between two searches for expired rows.
	sweepInterval = time.Minute
)

// System merges descriptions of nodes into the tables.
type System struct {
	// duplicate is the highest incarnation of a different node with this node's id that was
	// recorded in the audit trail; 0 if there was none.
	duplicate carobincarnation.Incarnation
	// nextSweep is when expired rows are next dropped.
	nextSweep carobinstant.Instant
}

// NewSystem returns a System that sweeps for the first time on its first tick.
func NewSystem() *System {
	return &System{}
}

// Run merges the gossip of this tick, and drops nodes that have been down for too long.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		if ms.Gossip == nil {
			continue
		}
		for _, mb := range ms.Gossip.Members {
			s.merge(w, now, mb, ms.Gossip.Requested)
		}
	}
	if s.nextSweep == carobinstant.Never || s.nextSweep.Reached(now) {
		dropExpired(w, now)
		s.nextSweep = now.Add(sweepInterval)
	}
	w.WakeAt(s.nextSweep)
}

// merge applies a description if it is newer than the one in the table. Descriptions that
// this node requested are not gossiped further, because other nodes already have them.
func (s *System) merge(w *carobworld.World, now carobinstant.Instant, mb carobmember.Member, requested bool) {
	if mb.Node == w.Self.Node {
		s.mergeSelf(w, mb)
		return
	}
	old := w.Peers.Get(mb.Node)
	if old == nil && mb.Liveness.Down() || old != nil && !mb.Newer(old.Member) {
		return
	}
	unchanged := old != nil && sameTargets(old.Member, mb)
	if w.Peers.Put(mb.Node, nextRow(old, mb, now)) == nil {
		return
	}
	w.PeerChanges++
	if !requested {
		w.PendingGossip.Put(mb.Node, struct{}{})
	}
	if !unchanged {
		replaceTargets(w, mb)
	}
}

// nextRow returns the row for a newer description. It keeps the times and the route version
// of the old row, which may be nil, if incarnation and liveness state are unchanged.
func nextRow(old *carobpeer.Peer, mb carobmember.Member, now carobinstant.Instant) carobpeer.Peer {
	next := carobpeer.Peer{Member: mb, LastContactAt: now, LivenessSince: now}
	if old != nil && old.Member.Liveness == mb.Liveness && old.Member.Incarnation == mb.Incarnation {
		next.LastContactAt, next.LivenessSince, next.RoutesVersion = old.LastContactAt, old.LivenessSince, old.RoutesVersion
	}
	return next
}

// mergeSelf handles a description of this node that came from another one. It refutes a
// suspicion, and records in the audit trail if another node uses the same id.
func (s *System) mergeSelf(w *carobworld.World, mb carobmember.Member) {
	if mb.Incarnation == w.Self.Incarnation {
		if mb.Liveness != carobliveness.Alive && mb.Sequence >= w.Self.Sequence && !w.LeaveAnnounced {
			w.Self.Sequence = mb.Sequence + 1
		}
		return
	}
	if mb.Incarnation > w.Self.Incarnation && mb.Incarnation > s.duplicate {
		s.duplicate = mb.Incarnation
		w.Audit("member", string(mb.Node), "name is used twice", string(w.Self.PeerAddress), string(mb.PeerAddress))
	}
}

// sameTargets reports whether two descriptions of a node make no difference for routing.
func sameTargets(a, b carobmember.Member) bool {
	return a.Liveness.Down() == b.Liveness.Down() && a.Leaving == b.Leaving && slices.Equal(a.Targets, b.Targets)
}

// replaceTargets replaces a node's rows in the target table by those of its description.
// The targets of a node that is down are removed there, but stay in the peer's row.
func replaceTargets(w *carobworld.World, mb carobmember.Member) {
	w.DropTargets(mb.Node)
	if mb.Liveness.Down() {
		return
	}
	for _, tg := range mb.Targets {
		addTarget(w, mb, tg)
	}
}

// addTarget adds a target of another node to the target table, unless this node has a
// target of the same id itself.
func addTarget(w *carobworld.World, mb carobmember.Member, tg carobtarget.Target) {
	tg.Node = mb.Node
	if mb.Leaving {
		tg.Readiness = carobreadiness.Leaving
	}
	if existing := w.Targets.Get(tg.ID); existing != nil && w.Owns(existing) {
		return
	}
	w.Targets.Put(tg.ID, tg)
}

// dropExpired removes the peers that have been down for longer than their retention time.
func dropExpired(w *carobworld.World, now carobinstant.Instant) {
	for id, pr := range w.Peers.All() {
		age := now.Sub(pr.LivenessSince)
		if pr.Member.Liveness == carobliveness.Unreachable && age > unreachableRetention ||
			pr.Member.Liveness == carobliveness.Left && age > leftRetention {
			w.Peers.Delete(id)
			w.PeerChanges++
		}
	}
}
