// Package carobtargetdirective holds what a target requests of the nodes in its responses.
package carobtargetdirective

import "github.com/carobknot/carobknot/pkg/carobcallrate"

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
}
