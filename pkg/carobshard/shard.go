// Package carobshard spreads the idempotency keys.
package carobshard

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// Shard is a share of all keys. Each has its own stream of claims.
type Shard int

// Count is how many shards there are. It must be the same on all nodes.
const Count = 8

// Of returns the shard of a key.
func Of(key carobkey.Key) Shard {
	return Shard(xxhash.Sum64String(string(key.Service)+"/"+key.Text) % Count) //nolint:gosec // below Count
}

// Stream returns the stream that the claims of the shard stand in.
func (s Shard) Stream() carobstream.Stream {
	return carobstream.Claims + carobstream.Stream("-"+strconv.Itoa(int(s)))
}

// Weight ranks a node as the home of the shard. The highest is the home, so
// that a node that comes or goes moves no shards but its own.
func (s Shard) Weight(node carobnodeid.ID) uint64 {
	return xxhash.Sum64String(strconv.Itoa(int(s)) + "/" + string(node))
}
