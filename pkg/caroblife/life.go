// Package caroblife holds what a node remembers of the lives of the targets at
// an address on its VM.
package caroblife

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Life is the newest life of a target at one address.
type Life struct {
	Target carobtargetid.ID
	// Incarnation never goes down at one address. It is 0 for targets that do not
	// tell theirs; those are taken at their newest word.
	Incarnation carobincarnation.Incarnation
	// Sequence is that of the newest announcement; it never goes down in a life.
	Sequence uint64
	// Left says that the target took its leave: no later word of this life counts.
	Left bool
}

// Older reports whether a word of a life comes too late to count.
func (l *Life) Older(incarnation carobincarnation.Incarnation, sequence uint64) bool {
	if incarnation != l.Incarnation {
		return incarnation < l.Incarnation
	}
	return incarnation > 0 && (l.Left || sequence > 0 && sequence <= l.Sequence)
}
