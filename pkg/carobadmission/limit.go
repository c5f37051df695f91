package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
)

const (
	// slow is the slowness above which a target gets fewer jobs at once, and slowPart
	// the part of its slots that it gets then. A target that is cold is less slow.
	slow     = 2
	slowPart = 0.4
	// keptPart is the part of the limit that is kept for calls which other calls wait
	// for, while such come, and awaitedFor how long after the newest that is.
	keptPart   = 1.0 / 6
	awaitedFor = 2 * time.Second
	// fresh is how long a reading of the slowness counts.
	fresh = 300 * time.Millisecond
)

// limit returns how many jobs may run at a target now. It answers a VM whose
// neighbours take its processor: what runs there then takes several times as long,
// and starting more only makes all of it late.
func limit(gt *carobgate.Gate, now carobinstant.Instant) int {
	most := float64(gt.Slots)
	if gt.Slowness > slow && now.Sub(gt.Told) < fresh {
		most *= slowPart
	}
	return max(1, int(most+0.5))
}

// room returns how many jobs may run at a target for one more to start. It answers
// targets that call each other: where all slots are taken by jobs that wait for such
// calls, nothing moves.
func room(gt *carobgate.Gate, now carobinstant.Instant, jb *carobjob.Job) int {
	if short(jb) || gt.Awaited == carobinstant.Never || now.Sub(gt.Awaited) > awaitedFor {
		return gt.Limit
	}
	return max(1, gt.Limit-int(keptPart*float64(gt.Limit)+0.5))
}
