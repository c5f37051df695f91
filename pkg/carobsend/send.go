// Package carobsend defines the effect that sends an attempt.
package carobsend

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobwish"
)

// Send orders that an attempt is sent to a target's node.
type Send struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// Peer is the address of the target's node; empty if that is this node.
	Peer carobaddress.Address
	// Incarnation is that of the target's node; another incarnation refuses the job.
	Incarnation carobincarnation.Incarnation
	// Patience is the time left until the deadline of the call.
	Patience time.Duration
	// Once is how often the call may run.
	Once carobonce.Once
	// Wish holds the priority and the SLO, by which the target's node orders its queue.
	Wish carobwish.Wish
	// Trace is the W3C traceparent header for the target's node.
	Trace string
}
