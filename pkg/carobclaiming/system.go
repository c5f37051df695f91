// Package carobclaiming implements the home's part of idempotency keys: it
// appends claims to the log streams of the shards that this node is the home of,
// and answers each claim after reading it back from the log.
//
// A claim is granted only after its batch has been read back from the log, in
// order, with a valid epoch and as the first claim of its key. This is safe when
// two nodes both act as the home of a shard, when a home resumes after a pause
// with a batch still in flight, and when the response to an append is lost:
// every node, the writer included, ignores claims of an older epoch that follow
// a takeover in the log.
package carobclaiming

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimstate"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobsubscription"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the intervals and bounds of a System.
type Config struct {
	// AppendInterval is the minimum interval between two appends to a stream.
	AppendInterval time.Duration
	// SettlementInterval is the minimum interval between the last append and a
	// batch of settlements alone. Settlements that are queued when claims are
	// appended go into the same batch.
	SettlementInterval time.Duration
	// ReadBackTimeout is the time after which a batch that has not been read back is
	// appended again. It is also the maximum backoff between takeovers.
	ReadBackTimeout time.Duration
	// RetryDelay is the delay before a retry of an append that certainly failed.
	RetryDelay time.Duration
	// MaxKeys and MaxStoredBytes limit each shard: the number of claimed keys, and
	// the total size of the stored answers in bytes.
	MaxKeys, MaxStoredBytes int
}

const (
	// maxBatch limits the claims, and likewise the settlements, of one batch.
	maxBatch = 500
	// maxPending limits the unanswered claims and settlements of a shard.
	maxPending = 10_000
)

// System appends claims to the log and answers them.
type System struct {
	config Config
	// lastInputs holds the inputs of the last run of updateHomes.
	lastInputs homeInputs
	// weights has the weights of the nodes for all shards, which depend on their IDs alone.
	weights map[carobnodeid.ID]shardWeights
}

// shardWeights has the weight of one node for each shard.
type shardWeights [carobshard.Count]uint64

// homeInputs is the state that the choice of homes depends on.
type homeInputs struct {
	// peerChanges is the world's count of peer changes plus one, or 0 before the
	// first tick, so that the first tick always updates the homes.
	peerChanges uint64
	stopping    bool
}

// NewSystem returns a system that is not the home of any shard yet.
func NewSystem(c Config) *System {
	return &System{config: c, weights: map[carobnodeid.ID]shardWeights{}}
}

// Run updates the shards that this node is the home of, folds the records that
// were read, handles new claims and settlements, and appends the due batches.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if inputs := (homeInputs{peerChanges: world.PeerChanges + 1, stopping: world.Stopping}); inputs != s.lastInputs {
		s.lastInputs = inputs
		s.updateHomes(world, now)
	}
	readStreams(world)
	for _, result := range world.Inbox.AppendResults {
		s.handleAppendResult(world, now, result)
	}
	for _, message := range world.Inbox.Messages {
		if message.Claim != nil {
			handleClaim(world, message.ReplyTo, *message.Claim)
		}
		if message.Settlement != nil {
			handleSettlement(world, message.ReplyTo, *message.Settlement)
		}
	}
	for shard, home := range world.Homes.All() {
		s.append(world, now, shard, home)
	}
}

// readStreams folds the records of this tick into their shards, and drops the
// claims that the log no longer keeps.
func readStreams(world *carobworld.World) {
	for _, bounds := range world.Inbox.StreamBounds {
		if home := homeOfStream(world, bounds.Stream); home != nil {
			home.NextOffset = max(home.NextOffset, bounds.First)
			home.State.DropBefore(bounds.First)
		}
	}
	for _, record := range world.Inbox.Records {
		if home := homeOfStream(world, record.Stream); home != nil {
			foldRecord(world, home, record)
		}
	}
	for _, bounds := range world.Inbox.StreamBounds {
		if home := homeOfStream(world, bounds.Stream); home != nil && bounds.AtEnd && home.NextOffset >= bounds.Next {
			home.CaughtUp = true
		}
	}
}

// Home returns the node that is the home of a key's shard in this node's view,
// and its address.
func Home(world *carobworld.World, key carobkey.Key) (carobnodeid.ID, carobaddress.Address) {
	return homeOf(world, carobshard.Of(key))
}

// homeOf returns the candidate with the highest weight for a shard.
func homeOf(world *carobworld.World, shard carobshard.Shard) (carobnodeid.ID, carobaddress.Address) {
	var home *carobmember.Member
	var highest uint64
	for _, member := range candidates(world) {
		if weight := shard.Weight(member.Node); home == nil || weight > highest {
			home, highest = member, weight
		}
	}
	return home.Node, home.PeerAddress
}

// candidates returns the live nodes that may be homes. A leaving node is one of them only if
// all live nodes are leaving, so that calls in flight can still claim keys until the last
// node has stopped.
func candidates(world *carobworld.World) []*carobmember.Member {
	var staying, leaving []*carobmember.Member
	add := func(member *carobmember.Member, leaves bool) {
		if leaves {
			leaving = append(leaving, member)
		} else {
			staying = append(staying, member)
		}
	}
	add(&world.Self, world.Stopping)
	for _, peer := range world.Peers.All() {
		if peer.Member.Liveness == carobliveness.Alive {
			add(&peer.Member, peer.Member.Leaving)
		}
	}
	if len(staying) > 0 {
		return staying
	}
	return leaving
}

// ownShards returns the shards that this node is the home of, as homeOf decides, and reads
// the weights from the cache.
func (s *System) ownShards(world *carobworld.World) [carobshard.Count]bool {
	var homes [carobshard.Count]carobnodeid.ID
	var highest shardWeights
	for _, member := range candidates(world) {
		for shard, weight := range s.weightsOf(world, member.Node) {
			if homes[shard] == "" || weight > highest[shard] {
				homes[shard], highest[shard] = member.Node, weight
			}
		}
	}
	var own [carobshard.Count]bool
	for shard, home := range homes {
		own[shard] = home == world.Self.Node
	}
	return own
}

// weightsOf returns the weights of a node. The cache is cleared once most of its nodes are
// not known as peers any more.
func (s *System) weightsOf(world *carobworld.World, node carobnodeid.ID) shardWeights {
	weights, ok := s.weights[node]
	if ok {
		return weights
	}
	for shard := range carobshard.Shard(carobshard.Count) {
		weights[shard] = shard.Weight(node)
	}
	if len(s.weights) > 2*(world.Peers.Len()+1) {
		clear(s.weights)
	}
	s.weights[node] = weights
	return weights
}

// updateHomes subscribes to the streams of the shards that this node has become
// the home of. It unsubscribes from those of the shards that this node is no
// longer the home of, and deletes their rows.
func (s *System) updateHomes(world *carobworld.World, now carobinstant.Instant) {
	own := s.ownShards(world)
	for shard := range carobshard.Shard(carobshard.Count) {
		isHome, home := own[shard], world.Homes.Get(shard)
		if isHome == (home != nil) {
			continue
		}
		world.Outbox.Subscriptions = append(world.Outbox.Subscriptions, carobsubscription.Subscription{Stream: shard.Stream(), Active: isHome})
		if !isHome {
			world.Homes.Delete(shard)
			continue
		}
		world.Homes.Put(shard, carobhome.Home{
			State:        carobclaimstate.NewClaimState(carobclaimstate.Config{MaxKeys: s.config.MaxKeys, MaxStoredBytes: s.config.MaxStoredBytes}),
			BecameHomeAt: now,
			ReplyTo:      map[carobcallid.ID]carobaddress.Address{},
		})
	}
}

// homeOfStream returns the row of the shard that has its claims in the stream,
// or nil if this node is not its home.
func homeOfStream(world *carobworld.World, stream carobstream.Stream) *carobhome.Home {
	for shard, home := range world.Homes.All() {
		if shard.Stream() == stream {
			return home
		}
	}
	return nil
}

// foldRecord folds the next record of a stream and answers the batch in flight if
// the record holds it. Records at any other offset are skipped: they are copies,
// or late records from an earlier subscription to the stream.
func foldRecord(world *carobworld.World, home *carobhome.Home, record carobrecord.Record) {
	if record.Offset != home.NextOffset {
		return
	}
	home.NextOffset++
	var batch carobclaimbatch.Batch
	if json.Unmarshal(record.Data, &batch) != nil {
		return
	}
	home.State.Fold(record.Offset, batch)
	if home.InFlight != nil && batch.Node == world.Self.Node &&
		batch.Incarnation == world.Self.Incarnation && batch.Number == home.InFlight.Number {
		answerBatch(world, home)
	}
}
