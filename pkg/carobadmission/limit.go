package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
)

const (
	// slow is the slowness above which a target gets fewer jobs at once, and slowPart
	// the part of its slots that it gets then. A target that is cold is less slow.
	slow     = 2
	slowPart = 0.4
	// fresh is how long a target's word of its slowness counts.
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
