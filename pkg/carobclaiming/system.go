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
	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobclaimstate"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobrecord"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
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
}

// homeInputs is the state that the choice of homes depends on.
type homeInputs struct {
	// peerChanges is the world's count of peer changes plus one, or 0 before the
	// first tick, so that the first tick always updates the homes.
	peerChanges uint64
	stopping    bool
}

// NewSystem returns a system that is not the home of any shard yet.
func NewSystem(c Config) *System {
	return &System{config: c}
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
		if home := homeOfStream(world, bounds.Stream); home != nil && home.NextOffset >= bounds.Next {
			home.CaughtUp = true
		}
	}
}

// Home returns the node that is the home of a key's shard in this node's view,
// and its address.
func Home(world *carobworld.World, key carobkey.Key) (carobnodeid.ID, carobaddress.Address) {
	return homeOf(world, carobshard.Of(key))
}

// homeOf returns the live node with the highest weight for a shard. A leaving
// node is the home only if all live nodes are leaving, so that calls in flight
// can still claim keys until the last node has stopped.
func homeOf(world *carobworld.World, shard carobshard.Shard) (carobnodeid.ID, carobaddress.Address) {
	bestNode, address, leaving := world.Self.Node, world.Self.PeerAddress, world.Stopping
	for id, peer := range world.Peers.All() {
		member := &peer.Member
		if member.Liveness != carobliveness.Alive || member.Leaving && !leaving {
			continue
		}
		if leaving && !member.Leaving || shard.Weight(id) > shard.Weight(bestNode) {
			bestNode, address, leaving = id, member.PeerAddress, member.Leaving
		}
	}
	return bestNode, address
}

// updateHomes subscribes to the streams of the shards that this node has become
// the home of. It unsubscribes from those of the shards that this node is no
// longer the home of, and deletes their rows.
func (s *System) updateHomes(world *carobworld.World, now carobinstant.Instant) {
	for shard := range carobshard.Shard(carobshard.Count) {
		node, _ := homeOf(world, shard)
		isHome, home := node == world.Self.Node, world.Homes.Get(shard)
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

// answerBatch answers the claims and settlements of the batch in flight, which
// has been read back from the log.
func answerBatch(world *carobworld.World, home *carobhome.Home) {
	batch := home.InFlight
	home.InFlight = nil
	for _, claim := range batch.Claims {
		replyToClaim(world, home, home.ReplyTo[claim.Call], claim)
		delete(home.ReplyTo, claim.Call)
	}
	for _, settlement := range batch.Settlements {
		confirmSettlement(world, home.ReplyTo[settlement.Claim.Call], settlement)
		delete(home.ReplyTo, settlement.Claim.Call)
	}
}

// handleAppendResult schedules an earlier retry if the append in flight certainly
// failed. All other results are ignored, since only reading the batch back from
// the log proves that it was appended.
func (s *System) handleAppendResult(world *carobworld.World, now carobinstant.Instant, result carobappendresult.AppendResult) {
	home := homeOfStream(world, result.Stream)
	if home != nil && home.InFlight != nil && home.InFlight.Number == result.Number && result.Kind == carobkind.LogUnavailable {
		home.ResendAt = now.Add(s.config.RetryDelay)
	}
}

// append sends the next batch to the log, or resends the batch in flight if that
// is due.
func (s *System) append(world *carobworld.World, now carobinstant.Instant, shard carobshard.Shard, home *carobhome.Home) {
	if home.InFlight == nil {
		if home.InFlight = s.nextBatch(world, now, home); home.InFlight == nil {
			return
		}
		home.ResendAt = now
	}
	if !home.ResendAt.Reached(now) {
		world.WakeAt(home.ResendAt)
		return
	}
	data, err := json.Marshal(home.InFlight)
	if err != nil {
		return
	}
	home.SentAt, home.ResendAt = now, now.Add(s.config.ReadBackTimeout)
	world.WakeAt(home.ResendAt)
	world.Outbox.AppendRequests = append(world.Outbox.AppendRequests, carobappendrequest.AppendRequest{
		Stream: shard.Stream(), Number: home.InFlight.Number, Data: data,
	})
}

// nextBatch returns the batch to append now, or nil. The first batch of a home
// waits until its stream has been read to the end, or for one settlement interval
// at most, so that it names the newest epoch. The claims of a batch that names an
// outdated epoch are ignored when the batch is folded: a claim whose key is free
// gets no reply, and its entry node has to send it again.
func (s *System) nextBatch(world *carobworld.World, now carobinstant.Instant, home *carobhome.Home) *carobclaimbatch.Batch {
	if due := home.BecameHomeAt.Add(s.config.SettlementInterval); !home.CaughtUp && !due.Reached(now) {
		world.WakeAt(due)
		return nil
	}
	owner := home.State.OwnedBy(world.Self.Node, world.Self.Incarnation)
	if owner && len(home.QueuedClaims)+len(home.QueuedSettlements) == 0 {
		return nil
	}
	if !s.mayAppend(world, now, home, owner) {
		return nil
	}
	world.AppendCount++
	batch := &carobclaimbatch.Batch{
		Node: world.Self.Node, Incarnation: world.Self.Incarnation, Number: world.AppendCount, Epoch: home.State.Epoch(), Takeover: !owner,
	}
	if !owner {
		home.TakeoverBackoff = s.nextTakeoverBackoff(now, home)
		home.TakeoverAt = now
		return batch
	}
	batch.Claims, home.QueuedClaims = cutBatch(home.QueuedClaims)
	batch.Settlements, home.QueuedSettlements = cutBatch(home.QueuedSettlements)
	return batch
}

// nextTakeoverBackoff returns the minimum time between this takeover and the next.
// It doubles, up to ReadBackTimeout, while another node keeps taking the shard
// back, and is as short as AppendInterval again when this node has not taken the
// shard over for twice ReadBackTimeout. It starts short because nodes that start
// together agree within milliseconds on the home, and claims must not wait long
// for the last of their takeovers.
func (s *System) nextTakeoverBackoff(now carobinstant.Instant, home *carobhome.Home) time.Duration {
	if home.TakeoverAt == carobinstant.Never || now.Sub(home.TakeoverAt) > 2*s.config.ReadBackTimeout {
		return s.config.AppendInterval
	}
	return min(2*home.TakeoverBackoff, s.config.ReadBackTimeout)
}

// mayAppend reports whether enough time has passed since the last append, so that
// claims in quick succession share a batch. A takeover is limited by the time
// since the last takeover instead, so that two nodes that both act as the home
// do not keep taking the shard from each other.
func (s *System) mayAppend(world *carobworld.World, now carobinstant.Instant, home *carobhome.Home, owner bool) bool {
	lastAppend, interval := home.SentAt, s.config.AppendInterval
	switch {
	case !owner:
		lastAppend, interval = home.TakeoverAt, home.TakeoverBackoff
	case len(home.QueuedClaims) == 0:
		interval = s.config.SettlementInterval
	}
	due := lastAppend.Add(interval)
	if lastAppend == carobinstant.Never || due.Reached(now) {
		return true
	}
	world.WakeAt(due)
	return false
}

// cutBatch returns the first maxBatch items and the remaining ones.
func cutBatch[T any](all []T) (first, remaining []T) {
	n := min(maxBatch, len(all))
	return all[:n:n], all[n:]
}

// handleClaim answers a claim at once if its key is held or the shard is full, and
// otherwise queues it for the next batch. Without an answer, as during a takeover
// of the shard or when too many claims are pending, the entry node retries.
func handleClaim(world *carobworld.World, replyTo carobaddress.Address, claim carobclaim.Claim) {
	home := world.Homes.Get(carobshard.Of(claim.Key))
	if home == nil || !home.State.OwnedBy(world.Self.Node, world.Self.Incarnation) || claim.Key.Check() != nil {
		return
	}
	if home.State.Holding(claim.Key) != nil || !home.State.HasRoom() {
		replyToClaim(world, home, replyTo, claim)
		return
	}
	if _, pending := home.ReplyTo[claim.Call]; pending || len(home.ReplyTo) >= maxPending {
		return
	}
	home.ReplyTo[claim.Call] = replyTo
	home.QueuedClaims = append(home.QueuedClaims, claim)
}

// handleSettlement queues the settlement of a call for the next batch; it is
// confirmed after it has been read back from the log. If the call does not hold
// the key or is settled already, it is confirmed at once.
func handleSettlement(world *carobworld.World, replyTo carobaddress.Address, settlement carobsettlement.Settlement) {
	home := world.Homes.Get(carobshard.Of(settlement.Claim.Key))
	if home == nil || !home.State.OwnedBy(world.Self.Node, world.Self.Incarnation) {
		return
	}
	if _, pending := home.ReplyTo[settlement.Claim.Call]; pending || len(home.ReplyTo) >= maxPending {
		return
	}
	if holding := home.State.Holding(settlement.Claim.Key); holding == nil || holding.Call != settlement.Claim.Call || holding.Settled {
		confirmSettlement(world, replyTo, settlement)
		return
	}
	home.ReplyTo[settlement.Claim.Call] = replyTo
	home.QueuedSettlements = append(home.QueuedSettlements, settlement)
}

// replyToClaim sends the result of a claim to its entry node. It sends nothing
// while the result is open, as for a free key whose claim was in a batch of an
// outdated epoch, or if the claiming call itself held the key and is already
// settled.
func replyToClaim(world *carobworld.World, home *carobhome.Home, replyTo carobaddress.Address, claim carobclaim.Claim) {
	holding := home.State.Holding(claim.Key)
	result := carobclaimreply.ClaimReply{Call: claim.Call}
	switch {
	case holding == nil && home.State.HasRoom(), holding != nil && holding.Call == claim.Call && holding.Settled:
		return
	case holding == nil:
		result.Result = carobclaimresult.Unclaimed
	case holding.Call == claim.Call:
		result.Result = carobclaimresult.Granted
	case !holding.Settled && !entryReplaced(world, holding.Call):
		result.Result = carobclaimresult.Held
	case holding.Settled && holding.Kind == carobkind.None:
		result.Result, result.StoredAnswer = carobclaimresult.Repeated, holding.StoredAnswer
	default:
		result.Result = carobclaimresult.Unknown
	}
	world.SendMessage(carobmessage.Message{To: replyTo, ClaimReply: &result})
}

// entryReplaced reports whether the entry node of a call has been replaced by a
// newer incarnation, so that the call will never be settled.
func entryReplaced(world *carobworld.World, call carobcallid.ID) bool {
	if call.Node == world.Self.Node {
		return call.Incarnation < world.Self.Incarnation
	}
	peer := world.Peers.Get(call.Node)
	return peer != nil && call.Incarnation < peer.Member.Incarnation
}

// confirmSettlement notifies the entry node, so that it stops resending a
// settlement.
func confirmSettlement(world *carobworld.World, replyTo carobaddress.Address, settlement carobsettlement.Settlement) {
	world.SendMessage(carobmessage.Message{To: replyTo, Settled: &settlement.Claim.Call})
}
