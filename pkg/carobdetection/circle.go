package carobdetection

import (
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Who is in the circle. It changes slowly, so that connections can be kept: a
// connection to each of 660 nodes would cost more memory than a node has.
const (
	successors = 3
	near       = 3
	far        = 2
	// redraw is the time between two draws of those at random.
	redraw = 10 * time.Second
)

// circle is the nodes that this node probes.
type circle struct {
	nodes []carobnodeid.ID
	// turn is the index of the next one.
	turn int
	// due is when the circle is drawn anew; known is how many peers there were.
	due   carobinstant.Instant
	known int
}

// next returns the node whose turn it is, or nil if there is none.
func (c *circle) next(w *carobworld.World, now carobinstant.Instant) *carobpeer.Peer {
	if c.due == carobinstant.Never || c.due.Reached(now) || c.known != w.Peers.Len() {
		c.draw(w)
		c.due, c.known = now.Add(redraw), w.Peers.Len()
	}
	for range c.nodes {
		c.turn = (c.turn + 1) % len(c.nodes)
		pr := w.Peers.Get(c.nodes[c.turn])
		if pr != nil && !pr.Member.Standing.Lost() {
			return pr
		}
	}
	return nil
}

func (c *circle) draw(w *carobworld.World) {
	c.nodes = followers(w)
	add := func(some []*carobpeer.Peer) {
		for _, pr := range some {
			if !slices.Contains(c.nodes, pr.Member.Node) {
				c.nodes = append(c.nodes, pr.Member.Node)
			}
		}
	}
	add(w.SomePeers(near, func(pr *carobpeer.Peer) bool {
		return !pr.Member.Standing.Lost() && pr.Member.Centre == w.Self.Centre
	}))
	add(w.SomePeers(far, func(pr *carobpeer.Peer) bool {
		return !pr.Member.Standing.Lost() && pr.Member.Centre != w.Self.Centre
	}))
}

// followers returns the nodes that come next on the ring of all nodes, which are
// placed by the hash of their names.
func followers(w *carobworld.World) []carobnodeid.ID {
	type place struct {
		node     carobnodeid.ID
		distance uint64
	}
	own := carobversion.Hash(w.Self.Node)
	var next []place
	for id, pr := range w.Peers.All() {
		if pr.Member.Standing.Lost() {
			continue
		}
		next = append(next, place{id, carobversion.Hash(id) - own})
		if i := len(next) - 1; i >= successors {
			slices.SortFunc(next, func(a, b place) int {
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
