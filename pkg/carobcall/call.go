// Package carobcall holds the rows of the calls that a node is the entry of.
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

// Call is a call from its arrival until its caller has the answer or the error.
type Call struct {
	Arrival carobarrival.Arrival
	// Profile is the one in force when the call came. It stays for the call.
	Profile carobprofile.Profile
	// Route is the one that the call took; nil if its caller named the service.
	Route *carobroute.Route
	// Slo is when the answer is wanted; Never if nobody said.
	Slo carobinstant.Instant
	// Came is when the call came.
	Came carobinstant.Instant
	// Deadline is when the caller's patience ends.
	Deadline carobinstant.Instant
	// Asked is when its home was last asked for the call's key; Never if the call
	// needs none, or it was not asked yet.
	Asked carobinstant.Instant
	// Contested says that another call holds the key.
	Contested bool
	// Grace is when a call whose deadline has come is settled though fence replies
	// are missing; Never before the deadline.
	Grace carobinstant.Instant
	// Stage only ever goes up, but for Placed and Fencing back to Waiting.
	Stage carobstage.Stage
	// Extra says that a second attempt is wanted beside the one under way.
	Extra bool
	// Starved says that no target was found for the call when one was last looked
	// for.
	Starved bool
	// Rest is until when a call waits that all its tries were refused for want of
	// room; Never if it need not.
	Rest carobinstant.Instant
	// Attempts has attempt n at index n-1.
	Attempts []carobattempt.Attempt
	// Last is the kind of the newest failed attempt.
	Last carobkind.Kind
}

// Open returns how many attempts have no reply yet.
func (c *Call) Open() int {
	n := 0
	for i := range c.Attempts {
		if !c.Attempts[i].Over {
			n++
		}
	}
	return n
}

// Runs returns on how many targets the call may have run.
func (c *Call) Runs() int {
	n := 0
	for i := range c.Attempts {
		if !c.Attempts[i].NotRun() {
			n++
		}
	}
	return n
}

// NotRun reports whether the call has certainly not run and never will, unless
// it is sent again.
func (c *Call) NotRun() bool {
	for i := range c.Attempts {
		if !c.Attempts[i].NotRun() {
			return false
		}
	}
	return true
}

// Wish returns what the caller wants, as of now.
func (c *Call) Wish(now carobinstant.Instant) carobwish.Wish {
	ws := carobwish.Wish{Request: c.Arrival.Request, Rank: c.Rank(), Once: c.Profile.Once}
	if c.Slo != carobinstant.Never {
		ws.Slo, ws.Whole = c.Slo.Sub(now), c.Slo.Sub(c.Came)
	}
	return ws
}

// Rank returns the priority of the call, 0 the highest.
func (c *Call) Rank() int {
	if c.Route == nil {
		return 0
	}
	return c.Route.Rank
}

// Key returns the idempotency key that the call must claim before it runs. It is
// empty if the call needs none.
func (c *Call) Key() carobkey.Key {
	if c.Profile.Once != carobonce.Key || c.Arrival.Key == "" {
		return carobkey.Key{}
	}
	return carobkey.Key{Service: c.Arrival.Service, Text: c.Arrival.Key}
}
