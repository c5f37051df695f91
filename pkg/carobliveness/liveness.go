// Package carobliveness holds the liveness states of a node.
package carobliveness

import "github.com/carobknot/carobknot/pkg/carobkind"

// Liveness is the liveness state that nodes assign to another node. Of two descriptions
// with the same update sequence the one with the higher state is newer. The node itself
// refutes a state by increasing its update sequence.
type Liveness uint8

// The liveness states, in increasing order of precedence.
const (
	// Alive: the node answers heartbeats.
	Alive Liveness = iota
	// Suspect: the node did not answer, and may still refute the suspicion.
	Suspect
	// Unreachable: the node did not refute the suspicion in time. It may recover.
	Unreachable
	// Left: the node announced that it leaves.
	Left
)

// String returns the name of the state, as it appears in the audit trail.
func (l Liveness) String() string {
	return [...]string{"alive", "suspect", "unreachable", "gone"}[min(l, Left)]
}

// Down reports whether the node is down: unreachable or left. Calls are not sent to it.
func (l Liveness) Down() bool {
	return l >= Unreachable
}

// Check returns an error of kind Invalid if the state is not one of those above.
func (l Liveness) Check() error {
	if l > Left {
		return carobkind.New(carobkind.Invalid, "liveness state %d is unknown", uint8(l))
	}
	return nil
}
