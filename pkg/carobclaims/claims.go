// Package carobclaims folds a stream of claims: who may write claims, and which
// call holds which key.
//
// The order of the log decides and nothing else. The epoch is the offset of the
// newest record that took the shard over, so it can only grow, also when the log
// has forgotten older takeovers. A batch of an older epoch that comes behind it
// is void, whoever wrote it and whatever its writer believes.
package carobclaims

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

// Config is how claims are made.
type Config struct {
	// Keys is the most keys that are held at once.
	Keys int
	// Kept is the most bytes of kept answers.
	Kept int
}

// Claims is what a shard's stream says so far.
type Claims struct {
	config Config
	// epoch is that of valid claims; None before the first takeover.
	epoch caroboffset.Offset
	// node and incarnation wrote the takeover.
	node        carobnodeid.ID
	incarnation carobincarnation.Incarnation
	// number is that of the newest batch of the epoch.
	number   uint64
	holdings map[carobkey.Key]*carobholding.Holding
	// order has the keys by the offsets of their claims, the oldest first.
	order []carobkey.Key
	// kept has the keys with kept answers, the oldest first, and bytes their sum.
	kept  []carobkey.Key
	bytes int
	// missed is the offset of the newest claim that found no room; None if none
	// did. While the log keeps it, a key that is not held may be claimed.
	missed caroboffset.Offset
}

// NewClaims returns the claims of an empty stream.
func NewClaims(c Config) *Claims {
	return &Claims{
		config: c, epoch: caroboffset.None, missed: caroboffset.None,
		holdings: map[carobkey.Key]*carobholding.Holding{},
	}
}

// Epoch returns the epoch of valid claims.
func (c *Claims) Epoch() caroboffset.Offset {
	return c.epoch
}

// OwnedBy reports whether an incarnation of a node took the shard over last.
func (c *Claims) OwnedBy(node carobnodeid.ID, incarnation carobincarnation.Incarnation) bool {
	return c.epoch != caroboffset.None && c.node == node && c.incarnation == incarnation
}

// Holding returns who holds a key, or nil if nobody does.
func (c *Claims) Holding(key carobkey.Key) *carobholding.Holding {
	return c.holdings[key]
}

// Room reports whether a key that is not held may be claimed.
func (c *Claims) Room() bool {
	return len(c.holdings) < c.config.Keys && c.missed == caroboffset.None
}

// Fold takes in the record at an offset.
func (c *Claims) Fold(offset caroboffset.Offset, bt carobclaimbatch.Batch) {
	switch {
	case bt.Take:
		c.epoch, c.node, c.incarnation, c.number = offset, bt.Node, bt.Incarnation, bt.Number
	case bt.Epoch > c.epoch:
		c.adopt(bt)
	}
	if bt.Epoch == c.epoch && !bt.Take && bt.Number > c.number {
		c.number = bt.Number
		for _, cm := range bt.Claims {
			c.claim(offset, cm)
		}
	}
	for _, sm := range bt.Settlements {
		c.settle(sm)
	}
}

// adopt takes in an epoch whose takeover the log has forgotten. Claims that were
// read behind that takeover were of an older epoch, so they are void.
func (c *Claims) adopt(bt carobclaimbatch.Batch) {
	c.epoch, c.node, c.incarnation, c.number = bt.Epoch, bt.Node, bt.Incarnation, 0
	for key, hd := range c.holdings {
		if hd.Offset > bt.Epoch {
			c.free(key)
		}
	}
}

func (c *Claims) claim(offset caroboffset.Offset, cm carobclaim.Claim) {
	if c.holdings[cm.Key] != nil {
		return
	}
	if len(c.holdings) >= c.config.Keys {
		c.missed = offset
		return
	}
	c.holdings[cm.Key] = &carobholding.Holding{Call: cm.Call, Offset: offset}
	c.order = append(c.order, cm.Key)
}

// settle notes the end of the call that holds a key, once.
func (c *Claims) settle(sm carobsettlement.Settlement) {
	hd := c.holdings[sm.Claim.Key]
	if hd == nil || hd.Call != sm.Claim.Call || hd.Ended {
		return
	}
	if sm.Kind != carobkind.None && sm.Kind.NotRun() {
		c.free(sm.Claim.Key)
		return
	}
	hd.Ended, hd.Kind, hd.Kept = true, sm.Kind, sm.Kept
	if hd.Kept != nil {
		c.kept = append(c.kept, sm.Claim.Key)
		c.bytes += len(hd.Kept.Body)
		c.trim()
	}
}

// trim forgets the oldest kept answers while there are too many bytes of them.
func (c *Claims) trim() {
	for c.bytes > c.config.Kept && len(c.kept) > 0 {
		if hd := c.holdings[c.kept[0]]; hd != nil && hd.Kept != nil {
			c.bytes -= len(hd.Kept.Body)
			hd.Kept = nil
		}
		c.kept = c.kept[1:]
	}
}

// Forget drops the keys whose claims the log does not keep any more: first is
// the oldest offset that it does.
func (c *Claims) Forget(first caroboffset.Offset) {
	if c.missed < first {
		c.missed = caroboffset.None
	}
	for len(c.order) > 0 {
		hd := c.holdings[c.order[0]]
		if hd != nil && hd.Offset >= first {
			return
		}
		if hd != nil {
			c.free(c.order[0])
		}
		c.order = c.order[1:]
	}
}

func (c *Claims) free(key carobkey.Key) {
	if hd := c.holdings[key]; hd.Kept != nil {
		c.bytes -= len(hd.Kept.Body)
	}
	delete(c.holdings, key)
}
