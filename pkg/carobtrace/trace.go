// Package carobtrace holds the rows of the hops that are under way, which become
// trace records when they are over.
package carobtrace

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobparent"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Trace is the hop of one call at its entry, or of one job at its target's node.
type Trace struct {
	// Own is the hop's span, which the next hop has as its parent.
	Own carobparent.Parent
	// Parent is the span that the hop came from; zero if the trace began here.
	Parent carobparent.Parent
	Start  carobinstant.Instant
	// Targets has the target of attempt n at index n-1.
	Targets []carobtargetid.ID
}
