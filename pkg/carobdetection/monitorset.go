package carobdetection

import (
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmemberversion"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// The composition of the monitor set. It changes slowly so that connections can be
// reused: a connection to each of 660 nodes would take more memory than a node has.
const (
	successors = 3
	randomNear = 3
	randomFar  = 2
	// redrawInterval is the time between two draws of the random members.
	redrawInterval = 10 * time.Second
)

// monitorSet is the set of nodes that this node sends heartbeats to, in turn.
type monitorSet struct {
	nodes []carobnodeid.ID
	// current is the index of the node that was chosen last.
	current int
	// nextDraw is when the set is drawn again, and peerCount the number of peers at the
	// last draw. A changed number of peers makes a new draw due at once.
	nextDraw  carobinstant.Instant
	peerCount int
}

// next returns the next peer that is not down; nil if there is none.
func (m *monitorSet) next(world *carobworld.World, now carobinstant.Instant) *carobpeer.Peer {
	if m.nextDraw == carobinstant.Never || m.nextDraw.Reached(now) || m.peerCount != world.Peers.Len() {
		m.draw(world)
		m.nextDraw, m.peerCount = now.Add(redrawInterval), world.Peers.Len()
	}
	for range m.nodes {
		m.current = (m.current + 1) % len(m.nodes)
		peer := world.Peers.Get(m.nodes[m.current])
		if peer != nil && !peer.Member.Liveness.Down() {
			return peer
		}
	}
	return nil
}

// draw fills the set with the successors on the ring and random peers of this node's data
// centre and of others.
func (m *monitorSet) draw(world *carobworld.World) {
	m.nodes = ringSuccessors(world)
	add := func(sample []*carobpeer.Peer) {
		for _, peer := range sample {
			if !slices.Contains(m.nodes, peer.Member.Node) {
				m.nodes = append(m.nodes, peer.Member.Node)
			}
		}
	}
	add(world.SamplePeers(randomNear, func(peer *carobpeer.Peer) bool {
		return !peer.Member.Liveness.Down() && peer.Member.Centre == world.Self.Centre
	}))
	add(world.SamplePeers(randomFar, func(peer *carobpeer.Peer) bool {
		return !peer.Member.Liveness.Down() && peer.Member.Centre != world.Self.Centre
	}))
}

// ringSuccessors returns the nearest nodes that follow this one on the hash ring of node
// IDs.
func ringSuccessors(world *carobworld.World) []carobnodeid.ID {
	type successor struct {
		node     carobnodeid.ID
		distance uint64
	}
	own := carobmemberversion.HashNode(world.Self.Node)
	var next []successor
	for id, peer := range world.Peers.All() {
		if peer.Member.Liveness.Down() {
			continue
		}
		next = append(next, successor{id, carobmemberversion.HashNode(id) - own})
		if i := len(next) - 1; i >= successors {
			slices.SortFunc(next, func(a, b successor) int {
				if a.distance < b.distance {
					return -1
				}
				return 1
			})
			next = next[:successors]
		}
	}
	nodes := make([]carobnodeid.ID, 0, successors)
	for _, p := range next {
		nodes = append(nodes, p.node)
	}
	return nodes
}
