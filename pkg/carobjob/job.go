// Package carobjob holds the rows of the table of jobs at a target's node.
package carobjob

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffer"
)

// Job is an attempt that an entry node has sent to one of this node's targets.
type Job struct {
	// Offer is the accepted offer.
	Offer caroboffer.Offer
	// ArrivedAt is when the offer arrived.
	ArrivedAt carobinstant.Instant
	// Deadline is when the call times out.
	Deadline carobinstant.Instant
	// StartedAt is when the job was started; Never while it is queued.
	StartedAt carobinstant.Instant
}
