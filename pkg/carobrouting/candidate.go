package carobrouting

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// candidate is a target that may get an attempt.
type candidate struct {
	target carobtargetid.ID
	node   carobnodeid.ID
	// peer is empty if the target is this node's own.
	peer        carobaddress.Address
	incarnation carobincarnation.Incarnation
	// slots is at least 1.
	slots int
	// near says that the target is in this node's data centre.
	near bool
	// distance is what the way to the target costs, in calls for each of its slots.
	distance float64
	// reported is the calls at the target by the newest report, queued ones
	// included, and the own attempts made since.
	reported float64
	// flight estimates the calls at the target now.
	flight float64
	// latency estimates the time that the target takes over a call; 0 if unknown.
	latency time.Duration
	// heard is when the report came; Never if none did.
	heard carobinstant.Instant
	// age is that of the report; 0 for an own target.
	age time.Duration
	// load is the row in the table of loads.
	load *carobload.Load
}

// crowd returns the reported calls at the target for each of its slots.
func (c *candidate) crowd() float64 {
	return c.reported / float64(c.slots)
}
