// Package carobtargetdirective holds what a target requests of the nodes in its responses.
package carobtargetdirective

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcallrate"
)

// TargetDirective is what one response of a target requests. It holds until the next
// response.
type TargetDirective struct {
	// RateLimit is the number of calls a second that the target takes from all nodes
	// together; 0 if it states no limit.
	RateLimit carobcallrate.CallRate
	// RateLimitUnreadable is true if the target states a malformed limit. The limit before it
	// then stays.
	RateLimitUnreadable bool
	// Leaving is true if the target leaves and is to get no new calls.
	Leaving bool
	// WarmupLeft is how much longer the target is cold; 0 if it does not say that it is. Only
	// responses to health checks are expected to say it.
	WarmupLeft time.Duration
	// WarmupUnreadable is true if the target states a malformed time. The response then does
	// not show whether the target is cold.
	WarmupUnreadable bool
}
