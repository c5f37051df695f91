// Package caroboutcome says what became of a call.
package caroboutcome

// Outcome is what the caller is told of its call.
type Outcome string

// The outcomes.
const (
	// Answered: a target's whole answer is what follows.
	Answered Outcome = "answered"
	// NotRun: no target ran the call, and none will.
	NotRun Outcome = "not-run"
	// Unknown: a target may have run the call, or may still.
	Unknown Outcome = "unknown"
)
