// Package caroboutcome lists the outcomes of a call.
package caroboutcome

// Outcome states whether a call has run. Each response to a caller carries it.
type Outcome string

// The outcomes of a call.
const (
	// Answered means that the response is the complete answer of a target.
	Answered Outcome = "answered"
	// NotRun means that no target has run the call, and none will.
	NotRun Outcome = "not-run"
	// Unknown means that a target may have run the call, or may run it later.
	Unknown Outcome = "unknown"
)
