// Package carobshard partitions the idempotency keys.
package carobshard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Shard is the number of a partition of all keys, from 0 to Count-1. Each shard
// has its own stream of claims.
type Shard int

// Count is the number of shards. It must be the same on all nodes.
const Count = 8

// Of returns the shard of a key.
func Of(key carobkey.Key) Shard {
	return Shard(xxhash.Sum64String(string(key.Service)+"/"+key.Text) % Count) //nolint:gosec // the remainder is below Count
}

// Stream returns the log stream with the claims of the shard.
func (s Shard) Stream() carobstream.Stream {
	return carobstream.Claims + carobstream.Stream("-"+strconv.Itoa(int(s)))
}

// Weight returns the weight of a node for rendezvous hashing: the node with the
// highest weight is the home of the shard, so that a node that joins or leaves
// moves only the shards that it gets or had.
func (s Shard) Weight(node carobnodeid.ID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(int(s)) + "/" + string(node))
}
