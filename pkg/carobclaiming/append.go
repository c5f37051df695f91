package carobclaiming

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobappendrequest"
	"github.com/carobknot/carobknot/pkg/carobappendresult"
	"github.com/carobknot/carobknot/pkg/carobclaimbatch"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

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
