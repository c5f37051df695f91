// Package carobsend holds the order to send an attempt.
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

// Send orders an attempt to be sent to a target's node.
type Send struct {
	Job    carobjobid.ID
	Target carobtargetid.ID
	// Peer is the address of the target's node; empty if that is this node.
	Peer        carobaddress.Address
	Incarnation carobincarnation.Incarnation
	// Patience is the time left to the call.
	Patience time.Duration
	// Once says how often the call may run.
	Once carobonce.Once
	// Wish is what the caller wants of the call.
	Wish carobwish.Wish
	// Trace is the trace context for the target's node, as W3C writes it.
	Trace string
}
