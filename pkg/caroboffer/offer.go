// Package caroboffer holds the message that an attempt has arrived at a target's node.
package caroboffer

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobwish"
)

// Offer is the request to a target's node to run a job.
type Offer struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// Incarnation is the incarnation of the target's node that the entry node addressed.
	Incarnation carobincarnation.Incarnation
	// Patience is the time left until the call's deadline.
	Patience time.Duration
	// Wish holds the caller's requirements for the call.
	Wish carobwish.Requirements
	// Key is the idempotency key; empty if there is none.
	Key string
	// Trace is the trace context in W3C format; empty if there is none.
	Trace string
}
