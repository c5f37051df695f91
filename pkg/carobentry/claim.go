package carobentry

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobclaim"
	"github.com/carobknot/carobknot/pkg/carobclaiming"
	"github.com/carobknot/carobknot/pkg/carobclaimreply"
	"github.com/carobknot/carobknot/pkg/carobclaimresult"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkey"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpendingsettlement"
	"github.com/carobknot/carobknot/pkg/carobsettlement"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// claimRetryInterval is the time between two sendings of a claim that is not
	// granted yet.
	claimRetryInterval = 50 * time.Millisecond
	// The backoff between two sendings of a settlement doubles from
	// minSettlementBackoff up to maxSettlementBackoff.
	minSettlementBackoff, maxSettlementBackoff = 100 * time.Millisecond, 2 * time.Second
)

// sendClaim sends a claim for the call's idempotency key to the home of that key,
// at most once every claimRetryInterval. It concludes the call at its deadline.
func sendClaim(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call) {
	if call.Deadline.Reached(now) {
		conclude(world, now, call, claimFailureKind(call))
		return
	}
	world.WakeAt(call.Deadline)
	if due := call.ClaimSentAt.Add(claimRetryInterval); call.ClaimSentAt != carobinstant.Never && !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	world.WakeAt(now.Add(claimRetryInterval))
	call.ClaimSentAt = now
	_, home := carobclaiming.Home(world, call.Key())
	world.SendMessage(carobmessage.Message{To: home, Claim: &carobclaim.Claim{Key: call.Key(), Call: call.Arrival.Call}})
}

// claimFailureKind returns the kind with which to conclude a call that was not
// granted its key before its deadline.
func claimFailureKind(call *carobcall.Call) carobkind.Kind {
	if call.KeyHeld {
		return carobkind.KeyUnknown
	}
	return carobkind.Unclaimed
}

// handleClaimReply handles the reply to a claim. It drops replies for calls that
// are not waiting for a claim.
func handleClaimReply(world *carobworld.World, now carobinstant.Instant, reply *carobclaimreply.ClaimReply) {
	call := world.Calls.Get(reply.Call)
	if call == nil || call.Stage != carobstage.Claiming {
		return
	}
	switch reply.Result {
	case carobclaimresult.Granted:
		call.Stage = carobstage.Waiting
	case carobclaimresult.Held:
		call.KeyHeld = true
	case carobclaimresult.Repeated:
		concludeRepeated(world, now, call, reply.StoredAnswer)
	case carobclaimresult.Unclaimed:
		conclude(world, now, call, carobkind.Unclaimed)
	default:
		conclude(world, now, call, carobkind.KeyUnknown)
	}
}

// concludeRepeated concludes a call with the stored answer to an earlier call that
// had the same key, or with the kind Repeated if that answer was not stored.
func concludeRepeated(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, stored *carobstoredanswer.StoredAnswer) {
	if stored == nil {
		conclude(world, now, call, carobkind.Repeated)
		return
	}
	world.Outbox.Conclusions = append(world.Outbox.Conclusions, carobconclusion.Conclusion{Call: call.Arrival.Call, StoredAnswer: stored})
	if call.NotRun() {
		returnToken(world, now, call)
	}
	world.Calls.Delete(call.Arrival.Call)
}

// addSettlement stores the settlement of a call that may hold its key, until the
// home of the key acknowledges it, and sends it for the first time. If the table
// is full, the key stays claimed and later calls with it do not run.
func addSettlement(world *carobworld.World, now carobinstant.Instant, call *carobcall.Call, kind carobkind.Kind, stored *carobstoredanswer.StoredAnswer) {
	if call.Key() == (carobkey.Key{}) || call.ClaimSentAt == carobinstant.Never {
		return
	}
	pending := world.PendingSettlements.Put(call.Arrival.Call, carobpendingsettlement.PendingSettlement{
		Settlement: carobsettlement.Settlement{
			Claim: carobclaim.Claim{Key: call.Key(), Call: call.Arrival.Call}, Kind: kind, StoredAnswer: stored,
		},
		ResendAt: now, Backoff: minSettlementBackoff,
	})
	if pending != nil {
		sendSettlement(world, now, pending)
	}
}

// sendSettlement sends a settlement to the home of its key if it is due, and
// doubles the backoff.
func sendSettlement(world *carobworld.World, now carobinstant.Instant, pending *carobpendingsettlement.PendingSettlement) {
	if !pending.ResendAt.Reached(now) {
		world.WakeAt(pending.ResendAt)
		return
	}
	pending.ResendAt = now.Add(pending.Backoff)
	pending.Backoff = min(2*pending.Backoff, maxSettlementBackoff)
	world.WakeAt(pending.ResendAt)
	_, home := carobclaiming.Home(world, pending.Settlement.Claim.Key)
	world.SendMessage(carobmessage.Message{To: home, Settlement: &pending.Settlement})
}
