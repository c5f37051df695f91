// Package carobinstance holds the newest instance of a target at an address on the
// node's VM.
package carobinstance

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Instance is one instance of a target, from its start to its end. The registry
// uses it to ignore announcements that were overtaken by newer ones.
type Instance struct {
	Target carobtargetid.ID
	// Incarnation counts the starts of the target; it never decreases at one
	// address. It is 0 for targets that do not announce it; every announcement
	// of those counts as the newest.
	Incarnation carobincarnation.Incarnation
	// Sequence is the number of the newest announcement; it never decreases
	// within an incarnation. 0 if the target does not number them.
	Sequence uint64
	// Withdrawn is true if the target has withdrawn: later announcements of this
	// incarnation are ignored.
	Withdrawn bool
	// AnnouncedAt is when the first announcement of this incarnation arrived.
	AnnouncedAt carobinstant.Instant
	// Confirmed is true once it is certain that this incarnation has not withdrawn before
	// the node started. Its announcements make it ready only then.
	Confirmed bool
	// AwaitsCheck is true if the newest announcement was ready and takes effect once a
	// health check confirms the instance.
	AwaitsCheck bool
	// Leaving is true if a response of this incarnation has stated that the target leaves.
	// Its announcements do not make it ready again.
	Leaving bool
}

// Outdated reports whether an announcement is out of date: it is of an earlier
// incarnation, or of this one after the target withdrew or with a number that
// is not above Sequence.
func (i *Instance) Outdated(incarnation carobincarnation.Incarnation, sequence uint64) bool {
	if incarnation != i.Incarnation {
		return incarnation < i.Incarnation
	}
	return incarnation > 0 && (i.Withdrawn || sequence > 0 && sequence <= i.Sequence)
}
