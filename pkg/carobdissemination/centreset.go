package carobdissemination

import (
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// centreSet records which other data centres got this node's current description.
type centreSet struct {
	informed map[carobcentre.Centre]bool
	// checkedAt is 1 above the number of peer changes at which all known data centres were
	// informed; 0 if they are not.
	checkedAt uint64
}

// reset makes all data centres due to get a new description.
func (c *centreSet) reset() {
	c.informed, c.checkedAt = map[carobcentre.Centre]bool{}, 0
}

// isDue reports whether a known data centre has not got the description yet.
func (c *centreSet) isDue(world *carobworld.World) bool {
	if c.checkedAt == world.PeerChanges+1 {
		return false
	}
	due := world.AnyPeer(func(peer *carobpeer.Peer) bool { return isElsewhere(world, peer) && !c.informed[peer.Member.Centre] })
	if !due {
		c.checkedAt = world.PeerChanges + 1
	}
	return due
}

// isElsewhere reports whether a peer is not down and in another data centre.
func isElsewhere(world *carobworld.World, peer *carobpeer.Peer) bool {
	return isReachable(peer) && peer.Member.Centre != world.Self.Centre
}

// markInformed records that the data centres of some nodes got the description.
func (c *centreSet) markInformed(peers []*carobpeer.Peer) {
	for _, peer := range peers {
		c.informed[peer.Member.Centre] = true
	}
}

// recipients returns up to centreCopies random nodes that are not down of each other data
// centre.
func (c *centreSet) recipients(world *carobworld.World) []*carobpeer.Peer {
	var peers []*carobpeer.Peer
	for _, peer := range world.Peers.All() {
		if isElsewhere(world, peer) {
			peers = append(peers, peer)
		}
	}
	chosen := map[carobcentre.Centre]int{}
	world.Random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	kept := peers[:0]
	for _, peer := range peers {
		if chosen[peer.Member.Centre] < centreCopies {
			chosen[peer.Member.Centre]++
			kept = append(kept, peer)
		}
	}
	return kept
}
