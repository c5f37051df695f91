package carobrouting

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// candidate is a target that may receive an attempt.
type candidate struct {
	targetID carobtargetid.ID
	// nodeID is the node on the target's VM.
	nodeID carobnodeid.ID
	// peerAddress is the address of the target's node; empty if that is this
	// node.
	peerAddress carobaddress.Address
	// incarnation is the incarnation of the target's node.
	incarnation carobincarnation.Incarnation
	// slots is at least 1.
	slots int
	// sameCentre is true if the target is in this node's data centre.
	sameCentre bool
	// distance is the network cost of reaching the target, in calls per slot.
	distance float64
	// reportedCalls is the number of running and queued calls in the newest
	// report, plus the attempts that this node has sent since.
	reportedCalls float64
	// inFlight is the estimated number of calls at the target now.
	inFlight float64
	// latency is the estimated time that the target needs for a call; 0 if
	// unknown.
	latency time.Duration
	// reportedAt is when the report was received; Never before the first report.
	reportedAt carobinstant.Instant
	// reportAge is the time since the report was received; 0 for this node's own target.
	reportAge time.Duration
	// latencyAge is the time since latency was up to date: reportAge, and for this node's own
	// target the time for which it has had no calls.
	latencyAge time.Duration
	// load is the target's row in World.Loads.
	load *carobload.Load
}

// limitSlots lowers the slots to the number of calls that are in flight at once when they
// come at the target's rate limit. Otherwise the target, which refuses the rest, would look
// idle and be tried first by each call.
func (c *candidate) limitSlots(limit carobcallrate.CallRate) {
	if limit > 0 {
		c.slots = max(1, min(c.slots, int(float64(limit)*c.latency.Seconds()+0.5)))
	}
}

// utilisation returns the reported calls per slot.
func (c *candidate) utilisation() float64 {
	return c.reportedCalls / float64(c.slots)
}
