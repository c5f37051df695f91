// Package carobsend holds the order to send an attempt.
package carobsend

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
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
	// Trace is the trace context for the target's node, as W3C writes it.
	Trace string
}
