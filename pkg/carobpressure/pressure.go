// Package carobpressure holds what a target tells of its load.
package carobpressure

// Pressure is a target's own word of its load, as fresh as the answer that it
// came with.
type Pressure struct {
	// Running and Waiting are calls at the target, of all callers; at least 0.
	Running, Waiting int
	// Slots is how many calls the target runs at once; 0 if it does not tell.
	Slots int
	// Slowness is how much longer than usual work takes on the VM now; 1 is as
	// usual, 0 if the target does not tell.
	Slowness float64
}
