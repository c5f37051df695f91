// Package carobarrival defines the message that a call has arrived from a caller.
package carobarrival

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcredential"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Arrival reports to the control goroutine that a call has arrived at this node,
// its entry.
type Arrival struct {
	Call carobcallid.ID
	// Request is the caller's ID of the request; empty if it sent none.
	Request carobrequestid.ID
	// Caller is the service of the VM at which the call arrived, which is sent to the target;
	// empty if it is not.
	Caller carobservice.Service
	// Service is the service that the call is for. If it is empty, the route that
	// matches Host and Path determines it.
	Service carobservice.Service
	Host    string
	Path    string
	// Timeout is the caller's timeout; 0 if it gave none.
	Timeout time.Duration
	// Key is the idempotency key; empty if there is none.
	Key string
	// Size is the length of the body in bytes, if the body is buffered.
	Size carobsize.Size
	// Streamed is set if the body is not buffered for another attempt, because it is
	// too long or the memory for buffers is used up.
	Streamed bool
	// Credential is the API key that the request carries, as a digest.
	Credential carobcredential.Credential
	// Traceparent is the caller's W3C traceparent header; empty if there was none.
	Traceparent string
}
