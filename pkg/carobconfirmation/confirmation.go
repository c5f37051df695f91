// Package carobconfirmation holds the statement of a node to another one of how recent its route table is.
package carobconfirmation

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Confirmation states that the store had no newer route table than the sender at an instant.
type Confirmation struct {
	// At is that instant on the receiver's clock, or an earlier one. It is positive.
	At carobinstant.Instant `json:"at"`
	// Clock is the incarnation of the receiver whose clock At refers to.
	Clock carobincarnation.Incarnation `json:"clock"`
}

// Check returns an error of kind Invalid if a field is out of bounds.
func (c Confirmation) Check() error {
	if c.At <= carobinstant.Never {
		return carobkind.New(carobkind.Invalid, "confirmation: the instant is not positive")
	}
	return nil
}
