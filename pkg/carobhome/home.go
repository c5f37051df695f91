// Package carobhome holds the rows of the shards that this node is the home of.
package carobhome

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimstate"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Home is the state of a shard whose claims this node appends to the log.
type Home struct {
	// State is the state folded from the records of the stream.
	State *carobclaimstate.ClaimState
	// BecameHomeAt is when this node became the home in its own view.
	BecameHomeAt carobinstant.Instant
	// CaughtUp is true once all records up to the end of the stream at that time have
	// been folded.
	CaughtUp bool
	// NextOffset is the offset of the next record to fold. It only grows.
	NextOffset caroboffset.Offset
	// InFlight is the batch that was sent to the log and has not been read back, or
	// nil.
	InFlight *carobclaimbatch.Batch
	// SentAt is when a batch was last sent to the log, and TakeoverAt when a
	// takeover was last created; both are Never before the first.
	SentAt, TakeoverAt carobinstant.Instant
	// TakeoverBackoff is the minimum time between the last takeover and the next.
	TakeoverBackoff time.Duration
	// ResendAt is when the batch in flight is sent again.
	ResendAt carobinstant.Instant
	// QueuedClaims holds the claims for the next batch.
	QueuedClaims []carobclaim.Claim
	// QueuedSettlements holds the settlements for the next batch.
	QueuedSettlements []carobsettlement.Settlement
	// ReplyTo maps the calls that are queued or in flight to the addresses of their
	// entry nodes, which get the replies.
	ReplyTo map[carobcallid.ID]carobaddress.Address
}
