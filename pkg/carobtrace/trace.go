// Package carobtrace holds the rows of the tables of hops in progress, which become trace
// records when they end.
package carobtrace

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobparent"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Trace is the hop in progress of one call at its entry node, or of one job at its
// target's node.
type Trace struct {
	// Own is the hop's own span, which is the parent of the next hop's span.
	Own carobparent.SpanContext
	// Parent is the span of the previous hop; zero if the trace began here.
	Parent carobparent.SpanContext
	// Start is when the hop started.
	Start carobinstant.Instant
	// Targets holds the target of attempt n of a call at index n-1. For a job it holds
	// the job's target.
	Targets []carobtargetid.ID
}
