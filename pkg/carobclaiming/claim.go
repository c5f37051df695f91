package carobclaiming

import (
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobhome"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobshard"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

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
