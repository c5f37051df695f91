package carobadmission

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
)

const (
	// slownessThreshold is the slowness above which a VM counts as slow. The slowness of
	// a target that is only cold is lower.
	slownessThreshold = 2
	// slowSlotShare is the share of a target's slots that may be used while its VM is
	// slow.
	slowSlotShare = 0.4
	// reservedSlotShare is the share of the job limit, and of the tokens of a rate limit, that
	// is reserved for nested calls.
	reservedSlotShare = 1.0 / 6
	// reservationPeriod is how long slots stay reserved after the newest nested call.
	reservationPeriod = 2 * time.Second
	// maxLimitReadingAge is the age up to which a slowness reading lowers the job limit.
	maxLimitReadingAge = 300 * time.Millisecond
)

// jobLimit returns how many jobs may run at a target now, at least 1. The limit is
// lower while neighbours of the VM use its processor: jobs then take several times as
// long, and starting more of them would only delay all of them.
func jobLimit(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) int {
	slots := float64(state.Slots)
	if state.Slowness > slownessThreshold && now.Sub(state.SlownessReadAt) < maxLimitReadingAge {
		slots *= slowSlotShare
	}
	return max(1, int(slots+0.5))
}

// jobLimitFor returns the number of running jobs below which the job may start, at
// least 1. Some slots are reserved for nested calls because targets that call each
// other would deadlock if jobs waiting for nested calls held every slot.
func jobLimitFor(state *carobadmissionstate.AdmissionState, now carobinstant.Instant, job *carobjob.Job) int {
	if isNested(job) || !nestedCallsExpected(state, now) {
		return state.Limit
	}
	return max(1, state.Limit-int(reservedSlotShare*float64(state.Limit)+0.5))
}

// nestedCallsExpected reports whether nested calls have arrived lately.
func nestedCallsExpected(state *carobadmissionstate.AdmissionState, now carobinstant.Instant) bool {
	return state.LastNestedAt != carobinstant.Never && now.Sub(state.LastNestedAt) <= reservationPeriod
}
