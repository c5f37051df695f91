// Package carobrequirements defines the attributes of a call by which a target's
// node orders its queue.
package carobrequirements

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
)

// Requirements is sent with each attempt. The target's node uses it to decide
// which queued job to start first and which to shed.
type Requirements struct {
	// Request is the caller's ID of the request; empty if it sent none.
	Request carobrequestid.ID
	// Organisation is the organisation that makes the call; empty if the call has none.
	Organisation caroborganisationid.ID
	// OrganisationPriority is the priority of the organisation, which precedes Priority; 0 is
	// the highest, and that of a call without an organisation.
	OrganisationPriority int
	// Priority is the priority of the call; 0 is the highest.
	Priority int
	// SLOTimeLeft is the time left until the SLO of the call is missed, negative if
	// it has been missed; 0 if the call has no SLO.
	SLOTimeLeft time.Duration
	// SLO is the SLO of the call, counted from its arrival at the entry node; 0 if
	// the call has none.
	SLO time.Duration
	// Guarantee is how often the call may run.
	Guarantee carobguarantee.Guarantee
	// Behind is set if the organisation or the route of the call has lately had far fewer of
	// its calls served at the entry node than the average. It is sent for calls with an
	// organisation only.
	Behind bool
	// Movable is set if the call can be sent to another target at little cost,
	// instead of waiting for a slow one.
	Movable bool
}
