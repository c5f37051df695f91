// Package carobhome holds the rows of the shards of keys that a node is home of.
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

// Home is a shard whose claims this node appends.
type Home struct {
	Claimed *carobclaims.Claims
	// Since is when this node took itself for the home.
	Since carobinstant.Instant
	// Read says that the stream was read to what was its end then.
	Read bool
	// Next is the offset of the record that is folded next. It only grows.
	Next caroboffset.Offset
	// Flight is the batch that was sent to the log and has not been read back;
	// nil if there is none.
	Flight *carobclaimbatch.Batch
	// Sent is when a batch was last sent to the log, and Taken when a takeover
	// was; Never before the first.
	Sent, Taken carobinstant.Instant
	// Pause is the time from Taken to the next takeover at the earliest.
	Pause time.Duration
	// Due is when Flight is sent again.
	Due carobinstant.Instant
	// Claims and Settlements wait for the next batch.
	Claims      []carobclaim.Claim
	Settlements []carobsettlement.Settlement
	// Back has where the entries of the calls in Claims, Settlements and Flight
	// take answers.
	Back map[carobcallid.ID]carobaddress.Address
}
