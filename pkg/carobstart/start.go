// Package carobstart holds the effect that starts a job on its target.
package carobstart

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// Start orders the traffic goroutines to send a job to its target.
type Start struct {
	Job carobjobid.ID
	// Address is the target's address.
	Address carobaddress.Address
	// TimeLeft is the time left until the call's deadline.
	TimeLeft time.Duration
	// Guarantee states how often the call may run.
	Guarantee carobguarantee.Guarantee
	// Organisation is the organisation that makes the call, which the target is told; empty if
	// the call has none.
	Organisation caroborganisationid.ID
	// Traceparent is the trace context for the target in W3C format; empty if it is not
	// propagated.
	Traceparent string
}
