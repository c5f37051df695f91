// Package carobstart holds the order to start a job on its target.
package carobstart

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobonce"
)

// Start orders that a job is sent to its target.
type Start struct {
	Job carobjobid.ID
	// Address is the target's.
	Address carobaddress.Address
	// Patience is the time left to the call.
	Patience time.Duration
	// Once says how often the call may run.
	Once carobonce.Once
	// Trace is the trace context for the target, as W3C writes it.
	Trace string
}
