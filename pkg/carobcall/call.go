// Package carobcall defines the row of a call in the table of its entry node.
package carobcall

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobstage"
)

// Call is the state of a call from its arrival until the response is sent to the
// caller.
type Call struct {
	// Arrival is the request as the traffic goroutine reported it, with the service
	// of the route filled in.
	Arrival carobarrival.Arrival
	// Profile is the service's profile at the time of arrival, with the settings of
	// the route applied. Later revisions do not change it.
	Profile carobprofile.Profile
	// Route is the route that the call matched; nil if the caller named the service.
	Route *carobroute.Route
	// RoutesVersion is the version of the route table in force at arrival. RoutesConfirmedAt and
	// RoutesReadAt are those of the world at arrival.
	RoutesVersion                   carobrouteversion.Version
	RoutesConfirmedAt, RoutesReadAt carobinstant.Instant
	// Organisation is the organisation whose API key the call carries, from the route table
	// in force at arrival; nil if the call has none, as on anonymous routes.
	Organisation *caroborganisation.Organisation
	// RequiresKey is set if the route table in force at arrival requires API keys, also if
	// the call's own route is anonymous. The key must not leave this node then.
	RequiresKey bool
	// SLODeadline is the instant by which the caller should have its answer, from
	// the SLO of the route; Never if there is none.
	SLODeadline carobinstant.Instant
	// ArrivedAt is the instant of arrival.
	ArrivedAt carobinstant.Instant
	// Deadline is the instant at which the call times out.
	Deadline carobinstant.Instant
	// ClaimSentAt is when a claim for the call's idempotency key was last sent;
	// Never if the call needs no key or no claim was sent yet.
	ClaimSentAt carobinstant.Instant
	// KeyHeld is set once a claim reply states that another call holds the
	// idempotency key.
	KeyHeld bool
	// TokenDeadline is until when the call waits for a token of its organisation's quota; Never
	// if it does not.
	TokenDeadline carobinstant.Instant
	// TokenTakenAt is when the call took a token; Never if it has none.
	TokenTakenAt carobinstant.Instant
	// GraceEnd is the instant at which a call that is past its deadline is concluded
	// even if fence replies are missing; Never before the deadline.
	GraceEnd carobinstant.Instant
	// Stage only increases, except that a retry sets it from Attempting or Fencing back
	// to Waiting.
	Stage carobstage.Stage
	// HedgeDue is set if the call should be hedged: the next tick sends a second
	// attempt beside the open one if a target is free and the retry budget has a
	// token.
	HedgeDue bool
	// NoTarget is set if the last tick that tried to place the call found no target.
	NoTarget bool
	// BackoffEnd is the end of the call's backoff after its targets refused it as busy;
	// Never if it does not back off.
	BackoffEnd carobinstant.Instant
	// Attempts holds attempt number n at index n-1.
	Attempts []carobattempt.Attempt
	// LastKind is the kind of the most recent failure of an attempt.
	LastKind carobkind.Kind
}

// OpenAttempts returns the number of attempts that have not ended.
func (c *Call) OpenAttempts() int {
	count := 0
	for i := range c.Attempts {
		if !c.Attempts[i].Ended {
			count++
		}
	}
	return count
}

// PossibleRuns returns the number of attempts that may have run.
func (c *Call) PossibleRuns() int {
	count := 0
	for i := range c.Attempts {
		if !c.Attempts[i].NotRun() {
			count++
		}
	}
	return count
}

// NotRun reports whether it is certain that no attempt so far has run or ever will.
func (c *Call) NotRun() bool {
	for i := range c.Attempts {
		if !c.Attempts[i].NotRun() {
			return false
		}
	}
	return true
}

// Requirements returns the attributes of the call that go to the target's node with
// an attempt that is sent at now.
func (c *Call) Requirements(now carobinstant.Instant) carobrequirements.Requirements {
	requirements := carobrequirements.Requirements{Request: c.Arrival.Request, Priority: c.Priority(), Guarantee: c.Profile.Guarantee}
	if c.Organisation != nil {
		requirements.Organisation, requirements.OrganisationPriority = c.Organisation.ID, c.Organisation.Priority
	}
	if c.SLODeadline != carobinstant.Never {
		requirements.SLOTimeLeft, requirements.SLO = c.SLODeadline.Sub(now), c.SLODeadline.Sub(c.ArrivedAt)
	}
	return requirements
}

// OrganisationID returns the ID of the organisation that makes the call; empty if there is
// none.
func (c *Call) OrganisationID() caroborganisationid.ID {
	if c.Organisation == nil {
		return ""
	}
	return c.Organisation.ID
}

// Priority returns the priority of the call, from its route; 0 is the highest.
func (c *Call) Priority() int {
	if c.Route == nil {
		return 0
	}
	return c.Route.Priority
}

// Key returns the idempotency key that the call must claim before it runs. It is
// zero if the call needs none.
func (c *Call) Key() carobkey.Key {
	if c.Profile.Guarantee != carobguarantee.OncePerKey || c.Arrival.Key == "" {
		return carobkey.Key{}
	}
	return carobkey.Key{Service: c.Arrival.Service, Text: c.Arrival.Key}
}
