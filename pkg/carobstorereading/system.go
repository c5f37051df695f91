// Package carobstorereading selects the nodes that read the operator's records from the
// store, where each read has a cost.
//
// In each data centre one node reads: the one with the lowest ID among those that are
// alive, not leaving, and can read the store. All nodes derive this from their peer
// tables, without a vote. A node that cannot read the store announces this in its
// description, and the next one takes over; two readers at once do no harm.
//
// A long-poll read that the store holds open can miss a record. This was observed after
// the store had been slow, for all readers at once. So no read is held open for long, and
// the readers' polls end at different times; a record found by one reaches all other nodes.
package carobstorereading

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// readInterval is the mean time between the starts of two reads, over all readers together.
const readInterval = 750 * time.Millisecond

// System decides whether this node reads from the store.
type System struct {
	// readers is the cached number of data centres, and countedAt is 1 above the number of
	// peer changes at which it was determined; 0 if it was not.
	readers   int
	countedAt uint64
}

// NewSystem returns a System with an empty cache.
func NewSystem() *System {
	return &System{}
}

// Run applies changes in whether the store can be read, and decides whether this node
// reads from it and for how long each read may be held open.
func (s *System) Run(world *carobworld.World, _ carobinstant.Instant) {
	for _, unreadable := range world.Inbox.StoreUnreadable {
		if unreadable != world.Self.StoreUnreadable {
			world.Self.StoreUnreadable = unreadable
			world.Self.Sequence++
		}
	}
	// A node without a route table reads the store itself, even if another node does too.
	world.Outbox.ReadingStore = !world.Stopping && (world.RouteTable == nil || takesPrecedence(world))
	if world.Outbox.ReadingStore {
		world.Outbox.LongPollTimeout = readInterval * time.Duration(s.countReaders(world))
	}
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
	return len(world.SamplePeers(1, func(peer *carobpeer.Peer) bool {
		member := &peer.Member
		if member.Centre != world.Self.Centre || member.Liveness != carobliveness.Alive || member.Leaving {
			return false
		}
		if member.StoreUnreadable != world.Self.StoreUnreadable {
			return world.Self.StoreUnreadable
		}
		return member.Node < world.Self.Node
	})) == 0
}
