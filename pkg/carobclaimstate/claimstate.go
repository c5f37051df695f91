// Package carobclaimstate folds the stream of claims of a shard into its state:
// which node may write claims, and which call holds which key.
//
// Only the order of the log matters. The epoch is the offset of the newest
// takeover record, so it only grows, even if the log no longer keeps older
// takeovers. The claims of a batch with an older epoch that follows the takeover
// are ignored, whichever node wrote them.
package carobclaimstate

import (
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobholding"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffset"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
)

// Config bounds the state of a shard.
type Config struct {
	// MaxKeys is the maximum number of keys held at once.
	MaxKeys int
	// MaxStoredBytes is the maximum total size of stored answer bodies, in bytes.
	MaxStoredBytes int
}

// ClaimState is the state of a shard after the records folded so far.
type ClaimState struct {
	config Config
	// epoch is the epoch of valid claims, or BeforeFirst before the first takeover.
	epoch caroboffset.Offset
	// node and incarnation identify the writer of the takeover.
	node        carobnodeid.ID
	incarnation carobincarnation.Incarnation
	// number is the number of the newest batch of the epoch. Batches up to it are
	// copies of batches that were folded before.
	number   uint64
	holdings map[carobkey.Key]*carobholding.Holding
	// claimOrder lists the claims by offset, oldest first. It may contain claims whose keys
	// were released, and claimed again since.
	claimOrder []claimedKey
	// storedOrder lists the keys with stored answers, oldest first, and storedBytes
	// is the total size of those answers.
	storedOrder []carobkey.Key
	storedBytes int
	// overflow is the offset of the newest claim that was not recorded because
	// the table was full, or BeforeFirst. While the log keeps that claim, a key that
	// is not held may have been claimed, so no new key is accepted.
	overflow caroboffset.Offset
}

// claimedKey is a key and the offset of its claim.
type claimedKey struct {
	key    carobkey.Key
	offset caroboffset.Offset
}

// NewClaimState returns the state of a shard whose stream is empty.
func NewClaimState(c Config) *ClaimState {
	return &ClaimState{
		config: c, epoch: caroboffset.BeforeFirst, overflow: caroboffset.BeforeFirst,
		holdings: map[carobkey.Key]*carobholding.Holding{},
	}
}

// Epoch returns the epoch of valid claims.
func (c *ClaimState) Epoch() caroboffset.Offset {
	return c.epoch
}

// OwnedBy reports whether an incarnation of a node wrote the newest takeover.
func (c *ClaimState) OwnedBy(node carobnodeid.ID, incarnation carobincarnation.Incarnation) bool {
	return c.epoch != caroboffset.BeforeFirst && c.node == node && c.incarnation == incarnation
}

// Holding returns the holding of a key, or nil if no call holds it.
func (c *ClaimState) Holding(key carobkey.Key) *carobholding.Holding {
	return c.holdings[key]
}

// HasRoom reports whether a key that is not held may be claimed: the number of keys
// is below its limit, and the log keeps no claim that exceeded the limit.
func (c *ClaimState) HasRoom() bool {
	return len(c.holdings) < c.config.MaxKeys && c.overflow == caroboffset.BeforeFirst
}

// Fold applies the record at an offset. Records have to be folded in the order of
// their offsets. A takeover starts a new epoch, claims count only in the current
// epoch and once, and settlements count whatever the epoch of their batch is.
func (c *ClaimState) Fold(offset caroboffset.Offset, batch carobclaimbatch.Batch) {
	switch {
	case batch.Takeover:
		c.epoch, c.node, c.incarnation, c.number = offset, batch.Node, batch.Incarnation, batch.Number
	case batch.Epoch > c.epoch:
		c.adoptEpoch(batch)
	}
	if batch.Epoch == c.epoch && batch.Epoch != caroboffset.BeforeFirst && !batch.Takeover && batch.Number > c.number {
		c.number = batch.Number
		for _, claim := range batch.Claims {
			c.hold(offset, claim)
		}
	}
	for _, settlement := range batch.Settlements {
		c.settle(settlement)
	}
}

// adoptEpoch switches to an epoch whose takeover record the log no longer keeps.
// Claims at offsets after that takeover were of an older epoch, so it removes them.
func (c *ClaimState) adoptEpoch(batch carobclaimbatch.Batch) {
	c.epoch, c.node, c.incarnation, c.number = batch.Epoch, batch.Node, batch.Incarnation, 0
	for key, holding := range c.holdings {
		if holding.Offset > batch.Epoch {
			c.remove(key)
		}
	}
}

// hold records a claim whose key is not held. If there is no room, it notes the
// offset in overflow.
func (c *ClaimState) hold(offset caroboffset.Offset, claim carobclaim.Claim) {
	if c.holdings[claim.Key] != nil {
		return
	}
	if len(c.holdings) >= c.config.MaxKeys {
		c.overflow = offset
		return
	}
	c.holdings[claim.Key] = &carobholding.Holding{Call: claim.Call, Offset: offset}
	c.claimOrder = append(c.claimOrder, claimedKey{claim.Key, offset})
}

// settle records the end of the call that holds a key, and releases the key if the
// call did not run. Only the first settlement counts.
func (c *ClaimState) settle(settlement carobsettlement.Settlement) {
	holding := c.holdings[settlement.Claim.Key]
	if holding == nil || holding.Call != settlement.Claim.Call || holding.Settled {
		return
	}
	if settlement.Kind != carobkind.None && settlement.Kind.NotRun() {
		c.remove(settlement.Claim.Key)
		return
	}
	holding.Settled, holding.Kind, holding.StoredAnswer = true, settlement.Kind, settlement.StoredAnswer
	if holding.StoredAnswer != nil {
		c.storedOrder = append(c.storedOrder, settlement.Claim.Key)
		c.storedBytes += len(holding.StoredAnswer.Body)
		c.evictStored()
	}
}

// evictStored drops the oldest stored answers while their total size exceeds the
// limit. Their keys stay held.
func (c *ClaimState) evictStored() {
	for c.storedBytes > c.config.MaxStoredBytes && len(c.storedOrder) > 0 {
		if holding := c.holdings[c.storedOrder[0]]; holding != nil && holding.StoredAnswer != nil {
			c.storedBytes -= len(holding.StoredAnswer.Body)
			holding.StoredAnswer = nil
		}
		c.storedOrder = c.storedOrder[1:]
	}
}

// DropBefore removes the keys whose claims the log no longer keeps. first is the
// lowest offset that the log still keeps.
func (c *ClaimState) DropBefore(first caroboffset.Offset) {
	if c.overflow < first {
		c.overflow = caroboffset.BeforeFirst
	}
	for len(c.claimOrder) > 0 && c.claimOrder[0].offset < first {
		oldest := c.claimOrder[0]
		if holding := c.holdings[oldest.key]; holding != nil && holding.Offset == oldest.offset {
			c.remove(oldest.key)
		}
		c.claimOrder = c.claimOrder[1:]
	}
}

// remove releases a held key together with its stored answer.
func (c *ClaimState) remove(key carobkey.Key) {
	if holding := c.holdings[key]; holding.StoredAnswer != nil {
		c.storedBytes -= len(holding.StoredAnswer.Body)
	}
	delete(c.holdings, key)
}
