// Package carobstart holds the order to start a job on its target.
package carobstart

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobjobid"
)

// Start orders that a job is sent to its target.
type Start struct {
	Job carobjobid.ID
	// Address is the target's.
	Address carobaddress.Address
	// Patience is the time left to the call.
	Patience time.Duration
	// Trace is the trace context for the target, as W3C writes it.
	Trace string
}
