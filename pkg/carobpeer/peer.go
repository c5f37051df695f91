// Package carobpeer holds the rows of the other nodes.
package carobpeer

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
)

// Peer is what a node knows of another node.
type Peer struct {
	// Member is the newest word of the other node about itself.
	Member carobmember.Member
	// Heard is when that word came.
	Heard carobinstant.Instant
}
