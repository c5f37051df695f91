// Package carobpeer holds the rows of the other nodes.
package carobpeer

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
)

// Peer is what a node knows of another node.
type Peer struct {
	// Member is the newest word about the other node.
	Member carobmember.Member
	// Heard is when the other node itself was last heard; before that, when the
	// first word about it came.
	Heard carobinstant.Instant
	// Since is when the standing came to be what it is.
	Since carobinstant.Instant
	// Routes is the newest route table that the other node is known to have.
	Routes carobrouteversion.Version
	// Told is how often this node has passed the word on.
	Told int
}
