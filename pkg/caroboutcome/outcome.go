// Package caroboutcome lists the outcomes of a call.
package caroboutcome

// Outcome tells the caller whether its call has run. Each response carries it.
type Outcome string

// The outcomes of a call.
const (
	// Answered: the response is the complete answer of a target.
	Answered Outcome = "answered"
	// NotRun: no target has run the call, and none will.
	NotRun Outcome = "not-run"
	// Unknown: a target may have run the call, or may run it later.
	Unknown Outcome = "unknown"
)
