// Package carobstage lists the stages of a call at its entry node.
package carobstage

// Stage is the progress of a call.
type Stage int

// The stages, in order. Waiting is the zero value, because most calls need no
// idempotency key and no token, and start there.
const (
	// Acquiring means that the call waits for a token of its organisation's quota.
	Acquiring Stage = iota - 2
	// Claiming means that the call waits until its idempotency key is granted.
	Claiming
	// Waiting means that the call waits until a target is chosen for the next attempt.
	Waiting
	// Attempting means that at least one attempt is open.
	Attempting
	// Fencing means that fences are sent to find out whether the attempts ran.
	Fencing
	// Delivering means that an answer is being forwarded to the caller.
	Delivering
	// Concluded means that the caller has its response.
	Concluded
)
