// Package carobheader defines the headers of the system, encodes the structured
// ones, and checks and cleans the headers of requests and answers.
package carobheader

// Headers between callers, nodes and targets.
const (
	// Deadline is the time left until the deadline, in milliseconds.
	Deadline = "Carobknot-Deadline"
	// Outcome is the outcome of the call: answered, not run, or unknown.
	Outcome = "Carobknot-Outcome"
	// CallID is the call ID.
	CallID = "Carobknot-Call"
	// ErrorKind is the error kind. It is absent if there is no error.
	ErrorKind = "Carobknot-Kind"
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey = "Idempotency-Key"
	// TraceContext is the W3C trace context.
	TraceContext = "Traceparent"
)

// Headers between nodes. Callers and targets cannot set them.
const (
	// Offer describes an attempt to the target's node. FormatOffer encodes it.
	Offer = "Carobknot-Offer"
	// Report is the target's load. FormatReport encodes it.
	Report = "Carobknot-Report"
	// RateLimit is the rate limit of the target, in calls a second. It accompanies Offer and
	// Report if there is a limit.
	RateLimit = "Carobknot-Limit"
)

// ChunkedLength is the length by which the HTTP library denotes a body in chunks.
const ChunkedLength = -1

// Prefix is the prefix of all headers that are reserved for the system.
const Prefix = "Carobknot-"
