package carobquotalending

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcapacity"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// candidate is a node that may be chosen as the allocator.
type candidate struct {
	node      carobnodeid.ID
	address   carobaddress.Address
	allocates bool
	capacity  carobcapacity.Capacity
}

// precedes reports whether c is preferred to o: if it allocates already, has more capacity, or has
// the lower ID.
func (c candidate) precedes(o candidate) bool {
	if c.allocates != o.allocates {
		return c.allocates
	}
	if c.capacity != o.capacity {
		return c.capacity > o.capacity
	}
	return c.node < o.node
}

// chooser chooses the allocator among the nodes that are alive, are not leaving, and replied in
// time to the last request.
type chooser struct {
	// best is the first choice as of the instant scannedAt, when the number of peer changes was
	// scannedChanges; scannedAt is Never if it has to be chosen again.
	best           candidate
	scannedAt      carobinstant.Instant
	scannedChanges uint64
	// mayAllocate is whether this node itself could be chosen at that time.
	mayAllocate bool
	// avoidedUntil has the nodes that did not reply in time.
	avoidedUntil map[carobnodeid.ID]carobinstant.Instant
}

const (
	// scanInterval is the shortest time between two scans of the peer table, unless the allocator
	// did not reply.
	scanInterval = 100 * time.Millisecond
	// rescanInterval is the longest one while nodes are avoided.
	rescanInterval = 500 * time.Millisecond
)

// avoid excludes a node from the choice until an instant.
func (c *chooser) avoid(node carobnodeid.ID, until carobinstant.Instant) {
	if c.avoidedUntil == nil {
		c.avoidedUntil = map[carobnodeid.ID]carobinstant.Instant{}
	}
	c.avoidedUntil[node], c.scannedAt = until, carobinstant.Never
}

// avoided reports whether a node is excluded.
func (c *chooser) avoided(node carobnodeid.ID, now carobinstant.Instant) bool {
	return now.Before(c.avoidedUntil[node]) && c.avoidedUntil[node] != carobinstant.Never
}

// choose returns the allocator, which is this node if there is no better one.
func (c *chooser) choose(world *carobworld.World, now carobinstant.Instant) candidate {
	since := now.Sub(c.scannedAt)
	changed := c.scannedChanges != world.PeerChanges && since >= scanInterval || c.mayAllocate != selfMayAllocate(world)
	if c.scannedAt == carobinstant.Never || changed || len(c.avoidedUntil) > 0 && since >= rescanInterval {
		c.scan(world, now)
	}
	return c.best
}

func (c *chooser) scan(world *carobworld.World, now carobinstant.Instant) {
	c.scannedAt, c.scannedChanges, c.mayAllocate = now, world.PeerChanges, selfMayAllocate(world)
	for node := range c.avoidedUntil {
		if !c.avoided(node, now) {
			delete(c.avoidedUntil, node)
		}
	}
	c.best = candidate{}
	if c.mayAllocate {
		c.best = ownCandidate(world)
	}
	for _, peer := range world.Peers.All() {
		if !mayAllocate(peer) {
			continue
		}
		other := candidate{
			node: peer.Member.Node, address: peer.Member.PeerAddress,
			allocates: peer.Member.Allocates, capacity: peer.Member.Capacity,
		}
		if !c.avoided(other.node, now) && (c.best.node == "" || other.precedes(c.best)) {
			c.best = other
		}
	}
	if c.best.node == "" {
		c.best = ownCandidate(world)
	}
}

// mayAllocate reports whether a peer is alive and stays.
func mayAllocate(peer *carobpeer.Peer) bool {
	return peer != nil && peer.Member.Liveness == carobliveness.Alive && !peer.Member.Leaving
}

// selfMayAllocate reports whether this node stays and has its share.
func selfMayAllocate(world *carobworld.World) bool {
	return !world.Stopping && world.QuotaShareUsable
}

func ownCandidate(world *carobworld.World) candidate {
	return candidate{node: world.Self.Node, address: world.Self.PeerAddress, allocates: world.Self.Allocates, capacity: world.Capacity}
}
