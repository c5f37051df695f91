// Package carobcountednode holds the rows of the nodes that the quotas are divided by.
package carobcountednode

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// CountedNode is another node that may be using its share of the quotas.
type CountedNode struct {
	// Incarnation is the newest one known.
	Incarnation carobincarnation.Incarnation
	// HeardAt is when the node was last known to be alive.
	HeardAt carobinstant.Instant
	// Left is set if that incarnation announced that it leaves. The node does not count then.
	Left bool
}
