// Package carobload holds an entry node's view of the load of a target.
package carobload

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobreport"
)

// Load is the view that one node has of one target.
type Load struct {
	// Report is the newest report, already stale when it comes.
	Report carobreport.Report
	// At is when the report came; Never before the first.
	At carobinstant.Instant
	// Looked is when the target was last among the candidates for a call.
	Looked carobinstant.Instant
	// Asked is when the last probe was sent; Never if none was.
	Asked carobinstant.Instant
	// Sent counts the own attempts made since the report that have no reply.
	Sent int
	// Open counts the own attempts that have no reply yet, at least 0.
	Open int
	// Turn is higher for targets that were chosen later.
	Turn uint64
	// Latency is the estimated time from sending to the reply, network included.
	Latency time.Duration
	// Successes and Failures decay with time; together they give the error rate.
	Successes, Failures float64
	// Streak is the failures since the last success.
	Streak int
	// Counted is as of when Successes and Failures have decayed.
	Counted carobinstant.Instant
	// Ejected is until when the target gets no calls; Never if it is in.
	Ejected carobinstant.Instant
	// Trial says that the target is out but for one call at a time.
	Trial bool
}
