// Package carobsend defines the effect that sends an attempt.
package carobsend

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Send orders that an attempt is sent to a target's node.
type Send struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// PeerAddress is the address of the target's node; empty if that is this node.
	PeerAddress carobaddress.Address
	// Incarnation is the incarnation of the target's node. Another incarnation
	// refuses the job.
	Incarnation carobincarnation.Incarnation
	// TimeLeft is the time left until the deadline of the call.
	TimeLeft time.Duration
	// Guarantee is how often the call may run.
	Guarantee carobguarantee.Guarantee
	// Requirements holds the priority and the SLO, by which the target's node orders
	// its queue.
	Requirements carobrequirements.Requirements
	// RemoveIdentity is set if the headers by which the caller identifies its organisation
	// must not leave this node.
	RemoveIdentity bool
	// RateLimit is the target's rate limit in its newest report; 0 if there is none.
	RateLimit carobcallrate.CallRate
	// Traceparent is the W3C traceparent header for the target's node.
	Traceparent string
}
