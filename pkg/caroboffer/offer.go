// Package caroboffer holds the tick input that reports the arrival of an attempt at a
// target's node.
package caroboffer

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Offer is the request to a target's node to run a job.
type Offer struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// Incarnation is the incarnation of the target's node that the entry node addressed.
	Incarnation carobincarnation.Incarnation
	// TimeLeft is the time left until the call's deadline.
	TimeLeft time.Duration
	// Requirements holds the caller's requirements for the call.
	Requirements carobrequirements.Requirements
	// RateLimit is the target's rate limit as the entry node knows it; 0 if it knows of none.
	RateLimit carobcallrate.CallRate
	// Traceparent is the trace context in W3C format; empty if there is none.
	Traceparent string
}
