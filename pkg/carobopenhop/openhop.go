// Package carobopenhop holds the rows of the tables of hops in progress, which become trace
// records when they end.
package carobopenhop

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobspancontext"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// OpenHop is the hop in progress of one call at its entry node, or of one job at its
// target's node.
type OpenHop struct {
	// Context identifies the hop's own span, which is the parent of the next hop's span.
	Context carobspancontext.SpanContext
	// Parent is the span of the previous hop; zero if the trace began here.
	Parent carobspancontext.SpanContext
	// StartedAt is when the hop started.
	StartedAt carobinstant.Instant
	// Targets holds the target of attempt n of a call at index n-1. For a job it holds
	// the job's target.
	Targets []carobtargetid.ID
}
