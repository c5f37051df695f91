// Package carobheader has the names of the headers that the system reads and
// writes.
package carobheader

// Headers between callers, nodes and targets.
const (
	// Deadline is the time left, in milliseconds.
	Deadline = "Carobknot-Deadline"
	// Outcome is what became of the call.
	Outcome = "Carobknot-Outcome"
	// Call is the call's id.
	Call = "Carobknot-Call"
	// Kind is the kind of an error.
	Kind = "Carobknot-Kind"
	// Key is the caller's idempotency key.
	Key = "Idempotency-Key"
	// Trace is the W3C trace context.
	Trace = "Traceparent"
)

// Headers between nodes only. Callers can not set them.
const (
	// Attempt counts the attempts at a call.
	Attempt = "Carobknot-Attempt"
	// Target is the target that an attempt is meant for.
	Target = "Carobknot-Target"
	// Incarnation is the node's life that an attempt is meant for.
	Incarnation = "Carobknot-Incarnation"
	// Patience is the time left, in nanoseconds.
	Patience = "Carobknot-Patience"
	// Wish is what the caller wants of the call.
	Wish = "Carobknot-Wish"
	// Report is the load of the target.
	Report = "Carobknot-Report"
)

// Prefix starts all headers that are reserved to the system.
const Prefix = "Carobknot-"
