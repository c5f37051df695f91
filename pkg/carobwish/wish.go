// Package carobwish holds what a caller wants of its call, beyond an answer.
package carobwish

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
)

// Wish travels with an attempt, so that the target's node can put calls into an
// order.
type Wish struct {
	// Request is the caller's name for the call.
	Request carobrequestid.ID
	// Rank is the priority, 0 the highest.
	Rank int
	// Slo is the time left until the answer is wanted, below 0 if that has passed;
	// 0 if nobody said.
	Slo time.Duration
	// Whole is the time that the caller wanted the answer in when it came; 0 if
	// nobody said.
	Whole time.Duration
	// Once says how often the call may run.
	Once carobonce.Once
	// Movable says that the call has another target at little cost, and need not wait
	// for one that is slow.
	Movable bool
}
