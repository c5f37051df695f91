// Package carobgate holds the rows of the gates that a node keeps before its
// own targets.
package carobgate

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobbucket"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

// Gate is the admission side's state of one of the node's own targets.
type Gate struct {
	// Limit is the number of jobs that may run now: the announced slots, or
	// fewer while the target is cold or slow. It is at least 1.
	Limit int
	// Slots is the number of jobs that the target says it runs at once.
	Slots int
	// Running is the number of started jobs that have not ended.
	Running int
	// Queued is the number of jobs that wait for a slot.
	Queued int
	// Latency is the estimated time that the target takes over a call.
	Latency time.Duration
	// Slowness is how much longer than usual work takes on the VM, by the target's
	// newest reading, which is of Told; 1 is as usual.
	Slowness float64
	Told     carobinstant.Instant
	// Usual is the Slowness that lasts; 0 is that of a VM as usual.
	Usual float64
	// SlowSince is since when all readings were above that, and SlowLeast the
	// least of them; Never if the newest was not.
	SlowSince carobinstant.Instant
	SlowLeast float64
	// Asked is when the health check was ordered that is under way; Never if none is.
	Asked carobinstant.Instant
	// QuietUntil is until when the target is not asked, since it did not answer.
	QuietUntil carobinstant.Instant
	// Checks is the budget of health checks.
	Checks carobbucket.Bucket
	// Awaited is when the newest job came that another call waits for; Never before the
	// first.
	Awaited carobinstant.Instant
	// Changed says that the newest report of the target's load is out of date.
	Changed bool
	// Learned is when the newest call that Latency is made of started; Never before
	// the first call.
	Learned carobinstant.Instant
	// Since is when the target came, for the ramp of a cold start.
	Since carobinstant.Instant
}
