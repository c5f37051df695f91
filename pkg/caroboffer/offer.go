// Package caroboffer holds the message that a job has come to a target's node.
package caroboffer

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobwish"
)

// Offer asks a target's node to run a job.
type Offer struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// Incarnation is the one that the entry meant.
	Incarnation carobincarnation.Incarnation
	// Patience is the time left to the call.
	Patience time.Duration
	// Wish is what the caller wants of the call.
	Wish carobwish.Wish
	// Key is the idempotency key; empty if there is none.
	Key string
	// Trace is the trace context, as W3C writes it.
	Trace string
}
