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
	// duplicate is the highest incarnation of a different node with this node's ID that was
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
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, message := range world.Inbox.Messages {
		if message.Gossip == nil {
			continue
		}
		for _, member := range message.Gossip.Members {
			s.merge(world, now, member, message.Gossip.Requested)
		}
	}
	if s.nextSweep == carobinstant.Never || s.nextSweep.Reached(now) {
		dropExpired(world, now)
		s.nextSweep = now.Add(sweepInterval)
	}
	world.WakeAt(s.nextSweep)
}

// merge applies a description if it is newer than the one in the table. Descriptions that
// this node requested are not gossiped further, because other nodes already have them.
func (s *System) merge(world *carobworld.World, now carobinstant.Instant, member carobmember.Member, requested bool) {
	if member.Node == world.Self.Node {
		s.mergeSelf(world, member)
		return
	}
	old := world.Peers.Get(member.Node)
	if old == nil && member.Liveness.Down() || old != nil && !member.Newer(old.Member) {
		return
	}
	unchanged := old != nil && sameTargets(old.Member, member)
	if world.Peers.Put(member.Node, nextRow(old, member, now)) == nil {
		return
	}
	world.PeerChanges++
	if !requested {
		world.PendingGossip.Put(member.Node, struct{}{})
	}
	if !unchanged {
		replaceTargets(world, member)
	}
}

// nextRow returns the row for a newer description. It keeps the times and the route version
// of the old row, which may be nil, if incarnation and liveness state are unchanged.
func nextRow(old *carobpeer.Peer, member carobmember.Member, now carobinstant.Instant) carobpeer.Peer {
	next := carobpeer.Peer{Member: member, LastContactAt: now, LivenessSince: now}
	if old != nil && old.Member.Liveness == member.Liveness && old.Member.Incarnation == member.Incarnation {
		next.LastContactAt, next.LivenessSince, next.RoutesVersion = old.LastContactAt, old.LivenessSince, old.RoutesVersion
	}
	return next
}

// mergeSelf handles a description of this node that came from another one. It refutes a
// suspicion, and records in the audit trail if another node uses the same ID.
func (s *System) mergeSelf(world *carobworld.World, member carobmember.Member) {
	if member.Incarnation == world.Self.Incarnation {
		if member.Liveness != carobliveness.Alive && member.Sequence >= world.Self.Sequence && !world.LeaveAnnounced {
			world.Self.Sequence = member.Sequence + 1
		}
		return
	}
	if member.Incarnation > world.Self.Incarnation && member.Incarnation > s.duplicate {
		s.duplicate = member.Incarnation
		world.Audit("member", string(member.Node), "name is used twice", string(world.Self.PeerAddress), string(member.PeerAddress))
	}
}

// sameTargets reports whether two descriptions of a node make no difference for routing.
func sameTargets(a, b carobmember.Member) bool {
	return a.Liveness.Down() == b.Liveness.Down() && a.Leaving == b.Leaving && slices.Equal(a.Targets, b.Targets)
}

// replaceTargets replaces a node's rows in the target table by those of its description.
// The targets of a node that is down are removed there, but stay in the peer's row.
func replaceTargets(world *carobworld.World, member carobmember.Member) {
	world.DropTargets(member.Node)
	if member.Liveness.Down() {
		return
	}
	for _, target := range member.Targets {
		addTarget(world, member, target)
	}
}

// addTarget adds a target of another node to the target table, unless this node has a
// target of the same ID itself.
func addTarget(world *carobworld.World, member carobmember.Member, target carobtarget.Target) {
	target.Node = member.Node
	if member.Leaving {
		target.Readiness = carobreadiness.Leaving
	}
	if existing := world.Targets.Get(target.ID); existing != nil && world.Owns(existing) {
		return
	}
	world.Targets.Put(target.ID, target)
}

// dropExpired removes the peers that have been down for longer than their retention time.
func dropExpired(world *carobworld.World, now carobinstant.Instant) {
	for id, peer := range world.Peers.All() {
		age := now.Sub(peer.LivenessSince)
		if peer.Member.Liveness == carobliveness.Unreachable && age > unreachableRetention ||
			peer.Member.Liveness == carobliveness.Left && age > leftRetention {
			world.Peers.Delete(id)
			world.PeerChanges++
		}
	}
}
