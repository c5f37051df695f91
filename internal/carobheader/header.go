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
	// Offer is what a target's node needs to know of an attempt.
	Offer = "Carobknot-Offer"
	// Report is the load of the target.
	Report = "Carobknot-Report"
)

// Prefix starts all headers that are reserved to the system.
const Prefix = "Carobknot-"
