// Package carobtargetload holds the load that a target reports of itself.
package carobtargetload

// TargetLoad is a target's own measurement of its load. It is as recent as the
// response that it was attached to.
type TargetLoad struct {
	// Running and Queued count the calls at the target, of all callers; at least 0.
	Running, Queued int
	// Slots is the number of calls that the target runs at once; 0 if not
	// reported.
	Slots int
	// Slowness is how many times longer than usual work takes on the VM now; 1
	// is the usual speed, 0 if not reported.
	Slowness float64
}
