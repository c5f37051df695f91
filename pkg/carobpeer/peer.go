// Package carobpeer holds the rows of the peer table.
package carobpeer

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// Peer is the state that a node keeps of another node.
type Peer struct {
	// Member is the newest description of the peer.
	Member carobmember.Member
	// LastContactAt is when the last message from the peer itself arrived, or when gossip last
	// added the row or changed its incarnation or liveness state, if that was later.
	LastContactAt carobinstant.Instant
	// LivenessSince is when the liveness state of the peer last changed.
	LivenessSince carobinstant.Instant
	// RoutesVersion is the newest version of the route table that the peer is known to have.
	RoutesVersion carobrouteversion.Version
	// GossipCount is the number of times that this node has sent the current description by
	// gossip.
	GossipCount int
	// Originated is true if this node changed the liveness state and has not yet sent the
	// description to other data centres.
	Originated bool
}
