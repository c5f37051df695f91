// Package carobarrival holds the message that a call has come from a caller.
package carobarrival

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Arrival says that a call has come to this node, which is its entry from now on.
type Arrival struct {
	Call carobcallid.ID
	// Request is the caller's name for the call.
	Request carobrequestid.ID
	// Service is whose targets are called. If it is empty, the route that Host and
	// Path lead to says so.
	Service carobservice.Service
	Host    string
	Path    string
	// Patience is the time that the caller gives; 0 if it names none.
	Patience time.Duration
	// Key is the idempotency key; empty if there is none.
	Key string
	// Size is how long the body is, if it is kept.
	Size carobsize.Size
	// Streamed says that the body is too long to be kept for another attempt.
	Streamed bool
	// Trace is the trace context of the caller, as W3C writes it.
	Trace string
}
