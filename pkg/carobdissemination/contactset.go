package carobdissemination

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// maxContacts is the number of nodes that gossip goes to between two draws.
	maxContacts = 6
	// drawInterval is the time between two draws.
	drawInterval = 10 * time.Second
)

// contactSet has the nodes of this data centre that rounds of gossip choose from. It changes
// slowly, so that connections are reused: if each round went to any node, a node of a large
// cluster that has just started would soon have a connection to most others.
type contactSet struct {
	nodes []carobnodeid.ID
	// nextDraw is when the set is drawn again; Never before the first draw.
	nextDraw carobinstant.Instant
	// peerCount is the number of peers at the last draw.
	peerCount int
}

// recipients returns up to fanout random contacts that are not down.
func (c *contactSet) recipients(world *carobworld.World, now carobinstant.Instant) []*carobpeer.Peer {
	peers := sample(world, c.nodes)
	if len(peers) < min(fanout, len(c.nodes)) || c.drawIsDue(world, now) {
		c.draw(world, now)
		peers = sample(world, c.nodes)
	}
	return peers
}

// drawIsDue reports whether a draw is due: after the interval, if there are other peers while
// the set has room, and if there are twice as many peers, or the first nodes of a cluster
// would get most gossip of all that follow.
func (c *contactSet) drawIsDue(world *carobworld.World, now carobinstant.Instant) bool {
	count := world.Peers.Len()
	return c.nextDraw == carobinstant.Never || c.nextDraw.Reached(now) || count > 2*c.peerCount || len(c.nodes) < maxContacts && count != c.peerCount
}

// draw draws the contacts among the nodes of this data centre that are not down.
func (c *contactSet) draw(world *carobworld.World, now carobinstant.Instant) {
	c.nextDraw, c.peerCount = now.Add(drawInterval), world.Peers.Len()
	c.nodes = idsOf(world.SamplePeers(maxContacts, func(peer *carobpeer.Peer) bool {
		return isReachable(peer) && peer.Member.Centre == world.Self.Centre
	}))
}

// sample returns up to fanout of the given nodes that are not down, in random order.
func sample(world *carobworld.World, ids []carobnodeid.ID) []*carobpeer.Peer {
	var peers []*carobpeer.Peer
	for _, i := range world.Random.Perm(len(ids)) {
		if peer := world.Peers.Get(ids[i]); peer != nil && isReachable(peer) && len(peers) < fanout {
			peers = append(peers, peer)
		}
	}
	return peers
}

func idsOf(peers []*carobpeer.Peer) []carobnodeid.ID {
	ids := make([]carobnodeid.ID, 0, len(peers))
	for _, peer := range peers {
		ids = append(ids, peer.Member.Node)
	}
	return ids
}

func isReachable(peer *carobpeer.Peer) bool {
	return !peer.Member.Liveness.Down()
}
