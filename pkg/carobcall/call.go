// Package carobcall defines the row of a call in the table of its entry node.
package carobcall

import (
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobroute"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobwish"
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
	// Slo is the instant by which the caller should have its answer, from the SLO of
	// the route; Never if there is none.
	Slo carobinstant.Instant
	// Came is the instant of arrival.
	Came carobinstant.Instant
	// Deadline is the instant at which the call times out.
	Deadline carobinstant.Instant
	// Asked is when a claim for the call's idempotency key was last sent; Never if
	// the call needs no key or no claim was sent yet.
	Asked carobinstant.Instant
	// Contested is set if another call holds the idempotency key.
	Contested bool
	// Grace is the instant at which a call that is past its deadline is concluded
	// even if fence replies are missing; Never before the deadline.
	Grace carobinstant.Instant
	// Stage only increases, except that a retry sets it from Placed or Fencing back
	// to Waiting.
	Stage carobstage.Stage
	// Extra is set if the call should be hedged: the next tick sends a second attempt
	// beside the open one if a target is free and the retry budget has a token.
	Extra bool
	// Starved is set if the last tick that tried to place the call found no target.
	Starved bool
	// Rest is the end of the call's backoff after its targets refused it as busy;
	// Never if it does not back off.
	Rest carobinstant.Instant
	// Attempts holds attempt number n at index n-1.
	Attempts []carobattempt.Attempt
	// Last is the kind of the most recent failure of an attempt.
	Last carobkind.Kind
}

// Open returns the number of attempts that have not ended.
func (c *Call) Open() int {
	count := 0
	for i := range c.Attempts {
		if !c.Attempts[i].Over {
			count++
		}
	}
	return count
}

// Runs returns the number of attempts that may have run.
func (c *Call) Runs() int {
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

// Wish returns what an attempt that is sent now tells the target's node about the
// call's priority and SLO.
func (c *Call) Wish(now carobinstant.Instant) carobwish.Wish {
	wish := carobwish.Wish{Request: c.Arrival.Request, Rank: c.Rank(), Once: c.Profile.Once}
	if c.Slo != carobinstant.Never {
		wish.Slo, wish.Whole = c.Slo.Sub(now), c.Slo.Sub(c.Came)
	}
	return wish
}

// Rank returns the priority of the call, from its route; 0 is the highest.
func (c *Call) Rank() int {
	if c.Route == nil {
		return 0
	}
	return c.Route.Priority
}

// Key returns the idempotency key that the call must claim before it runs. It is
// zero if the call needs none.
func (c *Call) Key() carobkey.Key {
	if c.Profile.Once != carobonce.Key || c.Arrival.Key == "" {
		return carobkey.Key{}
	}
	return carobkey.Key{Service: c.Arrival.Service, Text: c.Arrival.Key}
}
