// Package carobjob holds the rows of the jobs at a target's node.
package carobjob

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffer"
)

// Job is an attempt of some entry node at one of this node's targets.
type Job struct {
	Offer caroboffer.Offer
	// Came is when the offer came.
	Came carobinstant.Instant
	// Deadline is when the caller's patience ends.
	Deadline carobinstant.Instant
	// Started is when the job was started; Never while it waits.
	Started carobinstant.Instant
}
