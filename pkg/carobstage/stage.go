// Package carobstage says how far a call has come on its entry node.
package carobstage

// Stage is a step in the life of a call.
type Stage int

// The stages, in order. Waiting is the zero value, since most calls begin there.
const (
	// Claiming: the call needs its idempotency key.
	Claiming Stage = iota - 1
	// Waiting: the call needs a target.
	Waiting
	// Placed: an attempt is under way.
	Placed
	// Fencing: it is being found out whether the attempts ran.
	Fencing
	// Delivering: an answer is on its way to the caller.
	Delivering
	// Settled: the caller has been told.
	Settled
)
