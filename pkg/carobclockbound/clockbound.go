// Package carobclockbound converts instants of this node's clock to the clock of another node,
// although nodes have no common clock and messages take any time.
//
// Messages carry the reading that the sender's clock had when they were sent. When one arrives,
// the sender's clock has at least this reading, however long the message took, and both clocks
// have advanced alike since. So the converted instant is a lower bound: the other node's clock
// showed it, or a later reading, at the instant that was converted. Something that was true at
// that instant looks as old as it is to the other node, or older.
package carobclockbound

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// maxDrift is by how much two clocks diverge in a second at most.
const maxDrift = time.Millisecond

// ClockBound is a lower bound of another node's clock. The zero value knows nothing of it.
type ClockBound struct {
	// Incarnation is that of the other node. Each one has a clock of its own.
	Incarnation carobincarnation.Incarnation
	// Reading is a reading of the other node's clock. Never if there is none.
	Reading carobinstant.Instant
	// ReceivedAt is when the message arrived that carried Reading, on this node's clock. Never
	// only if Reading is.
	ReceivedAt carobinstant.Instant
}

// Update takes over a reading that has arrived, if it gives a higher bound than the earlier ones
// or is of another incarnation.
func (c *ClockBound) Update(incarnation carobincarnation.Incarnation, reading, receivedAt carobinstant.Instant) {
	if reading == carobinstant.Never {
		return
	}
	if c.Reading == carobinstant.Never || incarnation != c.Incarnation || reading >= c.Convert(receivedAt) {
		*c = ClockBound{Incarnation: incarnation, Reading: reading, ReceivedAt: receivedAt}
	}
}

// Convert returns a reading that the other node's clock had reached at an instant of this node's
// clock. It is Never if nothing is known of the other clock.
func (c *ClockBound) Convert(at carobinstant.Instant) carobinstant.Instant {
	if c.Reading == carobinstant.Never || at == carobinstant.Never {
		return carobinstant.Never
	}
	elapsed := at.Sub(c.ReceivedAt)
	drift := time.Duration(elapsed.Abs().Seconds() * float64(maxDrift))
	return max(carobinstant.Never, c.Reading.Add(elapsed-drift))
}
