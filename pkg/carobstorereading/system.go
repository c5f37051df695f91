// Package carobstorereading selects the nodes that read the operator's records from the
// store, where each read has a cost.
//
// In each data centre one node reads: the one with the lowest ID among those that are
// alive, not leaving, and can read the store. All nodes derive this from their peer
// tables, without a vote. A node that cannot read the store announces this in its
// description, and the next one takes over; two readers at once do no harm.
//
// A reader sends short reads only, when the route table has to be confirmed
// (carobrouteconfirmation). Reads that the store holds open until there is a newer table are
// for nodes without a table: a held read can miss a record. This was observed after the
// store had been slow, for all readers at once.
//
// A node that starts usually gets the table from another node. It reads the store itself if
// it is the reader of its data centre, or if it gets no table in time.
package carobstorereading

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// readInterval is the mean time between the starts of two held reads, over the readers
	// of all data centres together.
	readInterval = 750 * time.Millisecond
	// startDelay is the time that a node that has started takes to learn of other nodes.
	startDelay = 300 * time.Millisecond
	// tableTimeout is how long after its start a node without a table relies on the reader of
	// its data centre.
	tableTimeout = 1500 * time.Millisecond
)

// System decides whether this node reads from the store.
type System struct {
	// startedAt is the instant of the first tick; Never before it.
	startedAt carobinstant.Instant
	// readers is the cached number of data centres, and countedAt is 1 above the number of
	// peer changes at which it was determined; 0 if it was not.
	readers   int
	countedAt uint64
}

// NewSystem returns a System with an empty cache.
func NewSystem() *System {
	return &System{}
}

// Run applies changes in whether the store can be read, and decides whether this node is the
// reader of its data centre, and whether it waits for a table with held reads.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, unreadable := range world.Inbox.StoreUnreadable {
		if unreadable != world.Self.StoreUnreadable {
			world.Self.StoreUnreadable = unreadable
			world.Self.Sequence++
		}
	}
	if s.startedAt == carobinstant.Never {
		s.startedAt = now
	}
	world.Outbox.ReadingStore = !world.Stopping && takesPrecedence(world)
	world.Outbox.AwaitingTable = !world.Stopping && s.awaitsTable(world, now)
	if world.Outbox.AwaitingTable {
		world.Outbox.LongPollTimeout = readInterval * time.Duration(s.countReaders(world))
	}
}

// awaitsTable reports whether a node without a route table reads the store.
func (s *System) awaitsTable(world *carobworld.World, now carobinstant.Instant) bool {
	if world.RouteTable != nil {
		return false
	}
	delay := tableTimeout
	if world.Outbox.ReadingStore && !otherIsLogged(world) {
		delay = startDelay
	}
	due := s.startedAt.Add(delay)
	if !due.Reached(now) {
		world.WakeAt(due)
		return false
	}
	return true
}

// otherIsLogged reports whether the log names a node of this data centre that comes before
// this one if it is alive. When many nodes start together, most know it from the log before
// they know it as a peer.
func otherIsLogged(world *carobworld.World) bool {
	for _, member := range world.LoggedMembers.All() {
		if member.Centre == world.Self.Centre && member.Node < world.Self.Node {
			return true
		}
	}
	return false
}

// countReaders returns the number of nodes that read from the store: one in each data
// centre with a live node.
func (s *System) countReaders(world *carobworld.World) int {
	if s.countedAt == world.PeerChanges+1 {
		return s.readers
	}
	centres := map[carobcentre.Centre]struct{}{world.Self.Centre: {}}
	for _, peer := range world.Peers.All() {
		if peer.Member.Liveness == carobliveness.Alive {
			centres[peer.Member.Centre] = struct{}{}
		}
	}
	s.readers, s.countedAt = len(centres), world.PeerChanges+1
	return s.readers
}

// takesPrecedence reports whether no other live node of this data centre comes before this
// one. A node that can read the store comes before one that cannot; among equals the lower
// ID does.
func takesPrecedence(world *carobworld.World) bool {
	return !world.AnyPeer(func(peer *carobpeer.Peer) bool {
		member := &peer.Member
		if member.Centre != world.Self.Centre || member.Liveness != carobliveness.Alive || member.Leaving {
			return false
		}
		if member.StoreUnreadable != world.Self.StoreUnreadable {
			return world.Self.StoreUnreadable
		}
		return member.Node < world.Self.Node
	})
}
