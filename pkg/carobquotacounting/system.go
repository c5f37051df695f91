// Package carobquotacounting counts the nodes that the quotas of organisations are divided by.
//
// Each node may use 1/F of each quota, by itself or through an allocator. The shares in use add
// up to at most the whole quota if no node counts fewer nodes than may be using their share. So
// a node that is no longer heard of counts for another hour, because it may be cut off and using
// its share, and it stops using its share before that hour is over.
package carobquotacounting

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcountednode"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// retention is how long a node counts after it was last heard of.
	retention = time.Hour
	// isolationLimit is how long a node that hears of no other node uses its share. The others
	// count it for longer.
	isolationLimit = 55 * time.Minute
	// scanInterval is the shortest time between two scans of the peer table.
	scanInterval = 100 * time.Millisecond
	// sweepInterval is the longest time between two scans.
	sweepInterval = time.Minute
)

// System keeps the number of nodes, and whether this node may use its share.
type System struct {
	// version is the version of the route table that was examined last.
	version carobrouteversion.Version
	// startedAt is the instant of the first tick, and heardAt when the last message of another
	// node arrived.
	startedAt, heardAt carobinstant.Instant
	// isolated is true if this node has heard of no other one for isolationLimit while others
	// counted. It stays true until a message arrives, also when those no longer count.
	isolated bool
	// directoryRead is true once the members recorded in the log are known.
	directoryRead bool
	// scannedAt is the instant of the last scan; Never if there was none since quotas are in
	// force. scannedChanges is the number of peer changes at that time, and recordsPending is true
	// if members were recorded after it.
	scannedAt      carobinstant.Instant
	scannedChanges uint64
	recordsPending bool
}

// NewSystem returns a System that has counted no nodes.
func NewSystem() *System {
	return &System{}
}

// Run determines whether quotas are in force. If they are, it updates the number of nodes and
// whether this node may use its share.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if s.startedAt == carobinstant.Never {
		s.startedAt, s.heardAt = now, now
	}
	if len(world.Inbox.Messages) > 0 {
		s.heardAt, s.isolated = now, false
	}
	for i := range world.Inbox.Records {
		if world.Inbox.Records[i].Stream == carobstream.Nodes {
			s.directoryRead, s.recordsPending = true, true
			break
		}
	}
	if s.version != world.RoutesVersion() {
		s.version = world.RoutesVersion()
		world.QuotasInForce = hasQuota(world)
	}
	if !world.QuotasInForce {
		s.clear(world)
		return
	}
	s.scanIfDue(world, now)
	world.QuotaShareUsable = s.shareUsable(world, now)
	world.Outbox.QuotaNodes = world.QuotaNodes
}

// hasQuota reports whether an organisation of the route table in force has a quota.
func hasQuota(world *carobworld.World) bool {
	for i := range world.RouteTable.Organisations {
		if world.RouteTable.Organisations[i].Limited() {
			return true
		}
	}
	return false
}

// clear drops what was counted once no organisation has a quota any more.
func (s *System) clear(world *carobworld.World) {
	if s.scannedAt == carobinstant.Never {
		return
	}
	s.scannedAt, world.QuotaShareUsable, world.QuotaNodes = carobinstant.Never, false, 1
	for id := range world.CountedNodes.All() {
		world.CountedNodes.Delete(id)
	}
}

// scanIfDue updates the rows of the other nodes if peers or recorded members have changed.
func (s *System) scanIfDue(world *carobworld.World, now carobinstant.Instant) {
	changed := s.recordsPending || s.scannedChanges != world.PeerChanges
	switch since := now.Sub(s.scannedAt); {
	case s.scannedAt == carobinstant.Never, since >= sweepInterval, changed && since >= scanInterval:
		s.scan(world, now)
	case changed:
		world.WakeAt(s.scannedAt.Add(scanInterval))
	}
}

func (s *System) scan(world *carobworld.World, now carobinstant.Instant) {
	s.scannedAt, s.scannedChanges, s.recordsPending = now, world.PeerChanges, false
	for _, peer := range world.Peers.All() {
		countPeer(world, now, peer)
	}
	for id, member := range world.LoggedMembers.All() {
		row := world.CountedNodes.Get(id)
		if row == nil || member.Incarnation > row.Incarnation {
			world.CountedNodes.Put(id, carobcountednode.CountedNode{Incarnation: member.Incarnation, HeardAt: now})
		}
	}
	nodes := 1
	// A row stays as long as there is a record of the node, so that the record does not make it
	// count again.
	for id, row := range world.CountedNodes.All() {
		switch expired := now.Sub(row.HeardAt) >= retention; {
		case expired && world.LoggedMembers.Get(id) == nil:
			world.CountedNodes.Delete(id)
		case !expired && !row.Left:
			nodes++
		}
	}
	world.QuotaNodes = nodes
}

// countPeer updates the row of a peer. A peer that was found to be unreachable was heard of
// until then. If the row is of a newer incarnation, which the directory names, that one has not
// left.
func countPeer(world *carobworld.World, now carobinstant.Instant, peer *carobpeer.Peer) {
	node := carobcountednode.CountedNode{
		Incarnation: peer.Member.Incarnation, HeardAt: now, Left: peer.Member.Liveness == carobliveness.Left,
	}
	if peer.Member.Liveness.Down() {
		node.HeardAt = peer.LivenessSince
	}
	if row := world.CountedNodes.Get(peer.Member.Node); row != nil {
		node.HeardAt = max(node.HeardAt, row.HeardAt)
		if row.Incarnation > node.Incarnation {
			node.Incarnation, node.Left = row.Incarnation, row.Left
		}
	}
	world.CountedNodes.Put(peer.Member.Node, node)
}

// shareUsable reports whether this node may use its share or lend it. After a start it waits until
// a lease of the previous process has ended, which also lets nodes that start together learn of
// each other. A node that knows no other may use its share once it has read which members are
// recorded. A node that has lost contact may not, even when it no longer counts the others: these
// may be using the whole quota.
func (s *System) shareUsable(world *carobworld.World, now carobinstant.Instant) bool {
	settled := s.startedAt.Add(carobquotaperiods.Of(world.QuotaNodes).Lease)
	if !settled.Reached(now) {
		world.WakeAt(settled)
		return false
	}
	if world.LeaveAnnounced || !s.directoryRead && world.CountedNodes.Len() == 0 {
		return false
	}
	if world.QuotaNodes > 1 && now.Sub(s.heardAt) >= isolationLimit {
		s.isolated = true
	}
	return !s.isolated
}
