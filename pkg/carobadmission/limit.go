package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

const (
	// slow is the slowness from which on a target gets fewer jobs at once, and slowPart
	// the part of the usual limit that it gets then.
	slow     = 2
	slowPart = 0.4
	// fresh is how long a target's word of its slowness counts.
	fresh = 300 * time.Millisecond
	// fill is the part of its slots that a target is given at most.
	fill = 1.0
)

// limit returns how many jobs may run at a target now. It answers a VM whose
// neighbours take its processor: what runs there then takes several times as long,
// and starting more only makes all of it late.
func limit(gt *carobgate.Gate, now carobinstant.Instant) int {
	most := fill * float64(gt.Slots)
	if gt.Slowness >= slow && now.Sub(gt.Told) < fresh {
		most *= slowPart
	}
	return max(1, int(most+0.5))
}
