// Package carobhome holds the rows of the shards that this node is the home of.
package carobhome

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaims"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Home is the state of a shard whose claims this node appends to the log.
type Home struct {
	// Claimed is the state folded from the records of the stream.
	Claimed *carobclaims.Claims
	// Since is when this node became the home in its own view.
	Since carobinstant.Instant
	// Read is true once the stream has been read up to the end that a read found.
	Read bool
	// Next is the offset of the next record to fold. It only grows.
	Next caroboffset.Offset
	// Flight is the batch that was sent to the log and has not been read back, or
	// nil.
	Flight *carobclaimbatch.Batch
	// Sent is when a batch was last sent to the log, and Taken when a takeover was
	// last created; both are Never before the first.
	Sent, Taken carobinstant.Instant
	// Pause is the minimum time between Taken and the next takeover.
	Pause time.Duration
	// Due is when Flight is sent again.
	Due carobinstant.Instant
	// Claims and Settlements are queued for the next batch.
	Claims      []carobclaim.Claim
	Settlements []carobsettlement.Settlement
	// Back maps the calls that are queued or in flight to the addresses of their
	// entry nodes, which get the replies.
	Back map[carobcallid.ID]carobaddress.Address
}
