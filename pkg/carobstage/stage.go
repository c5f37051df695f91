// Package carobstage says how far a call has come on its entry node.
package carobstage

// Stage is a step in the life of a call.
type Stage int

// The stages, in order.
const (
	// Waiting: the call needs a target.
	Waiting Stage = iota
	// Placed: an attempt is under way.
	Placed
	// Fencing: it is being found out whether the attempts ran.
	Fencing
	// Delivering: an answer is on its way to the caller.
	Delivering
	// Settled: the caller has been told.
	Settled
)
