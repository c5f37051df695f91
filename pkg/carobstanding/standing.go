// Package carobstanding says whether a node is taken to be alive.
package carobstanding

import "github.com/carobknot/carobknot/pkg/carobkind"

// Standing is what nodes say of a node. Of two words about one beat of a node,
// the higher standing is the later one; the node itself refutes it by a new beat.
type Standing uint8

// The standings.
const (
	// Alive: the node answers.
	Alive Standing = iota
	// Suspect: the node did not answer, and may refute this.
	Suspect
	// Unreachable: the node did not refute it in time. It may come back.
	Unreachable
	// Gone: the node said goodbye.
	Gone
)

// String names the standing.
func (s Standing) String() string {
	return [...]string{"alive", "suspect", "unreachable", "gone"}[min(s, Gone)]
}

// Lost reports whether calls to the node are pointless.
func (s Standing) Lost() bool {
	return s >= Unreachable
}

// Check tells whether the standing is one of those above.
func (s Standing) Check() error {
	if s > Gone {
		return carobkind.New(carobkind.Invalid, "standing %d is not known", uint8(s))
	}
	return nil
}
