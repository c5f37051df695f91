package carobquotaallocation

import (
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobquotabucket"
	"github.com/carobknot/carobknot/pkg/carobquotademand"
	"github.com/carobknot/carobknot/pkg/carobquotagrant"
	"github.com/carobknot/carobknot/pkg/carobquotalease"
	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
	"github.com/carobknot/carobknot/pkg/carobquotareply"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Answer handles a request of a node, which may be this one, and returns the reply. It returns
// nil for a request that is older than another one of the node.
func Answer(world *carobworld.World, now carobinstant.Instant, from carobnodeid.ID, incarnation carobincarnation.Incarnation, request *carobquotarequest.QuotaRequest) *carobquotareply.QuotaReply {
	lease := world.QuotaLeases.Get(from)
	if lease == nil {
		lease = world.QuotaLeases.Put(from, carobquotalease.QuotaLease{})
	}
	if lease == nil || incarnation < lease.Incarnation || incarnation == lease.Incarnation && request.Number <= lease.Number {
		return nil
	}
	lease.Incarnation, lease.Number = incarnation, request.Number
	world.QuotaLedger.Advance(now)
	reply := &carobquotareply.QuotaReply{Number: request.Number, Stamp: now, Released: world.Stopping && from != world.Self.Node}
	if reply.Released {
		end(world, now, lease)
	} else {
		renew(world, now, lease, request)
	}
	before := lease.Holdings
	if request.Complete {
		lease.Holdings = nil
	}
	serve(world, lease, before, request, reply)
	if request.Complete {
		release(world, before)
	}
	lease.HoldingsEnd = now.Add(carobquotaperiods.Of(request.Nodes).TokenLifetime)
	world.QuotaLedger.NextExpiry = carobinstant.Earlier(world.QuotaLedger.NextExpiry, lease.HoldingsEnd)
	return reply
}

// serve grants what a request needs, and records the tokens that the node may hold then. It removes
// those that were recorded before.
func serve(world *carobworld.World, lease *carobquotalease.QuotaLease, before map[caroborganisationid.ID]int, request *carobquotarequest.QuotaRequest, reply *carobquotareply.QuotaReply) {
	for i := range request.Demands {
		demand := &request.Demands[i]
		bucket := world.QuotaBuckets.Get(demand.Organisation)
		if bucket == nil {
			continue
		}
		grant := allocate(world, bucket, demand, before[demand.Organisation])
		delete(before, demand.Organisation)
		if lease.Holdings == nil {
			lease.Holdings = make(map[caroborganisationid.ID]int, len(request.Demands))
		}
		if tokens := demand.Held + grant.Tokens; tokens > 0 {
			lease.Holdings[demand.Organisation] = tokens
		}
		world.Outbox.QuotaTokens += grant.Tokens
		if grant.Tokens > 0 || grant.Wait > 0 {
			reply.Grants = append(reply.Grants, grant)
		}
	}
}

// end ends a lease before its time. Requests that the node sent before are ignored, or are too old
// to start another one.
func end(world *carobworld.World, now carobinstant.Instant, lease *carobquotalease.QuotaLease) {
	if lease.CountedUntil != carobinstant.Never {
		lease.CountedUntil = carobinstant.Never
		updateShare(world, now)
	}
}

// renew renews a lease from the stamp that a request returns. A stamp of another incarnation of
// this node is from another clock.
func renew(world *carobworld.World, now carobinstant.Instant, lease *carobquotalease.QuotaLease, request *carobquotarequest.QuotaRequest) {
	if request.Nodes < 1 || request.Stamp == carobinstant.Never || request.Stamp > now || request.Issuer != world.Self.Incarnation {
		return
	}
	until := request.Stamp.Add(carobquotaperiods.Of(request.Nodes).Lease)
	if until <= lease.CountedUntil || !now.Before(until) {
		return
	}
	changed := !lease.Valid(now) || lease.Nodes != request.Nodes
	lease.CountedUntil, lease.Nodes = until, request.Nodes
	world.QuotaLedger.NextExpiry = carobinstant.Earlier(world.QuotaLedger.NextExpiry, until)
	if changed {
		updateShare(world, now)
	}
}

// allocate brings the tokens that a node holds up to date, and grants it what it needs. What the
// node returns is credited only as far as it is known to have held it.
func allocate(world *carobworld.World, bucket *carobquotabucket.QuotaBucket, demand *carobquotademand.QuotaDemand, recorded int) carobquotagrant.QuotaGrant {
	ledger := &world.QuotaLedger
	bucket.Settle(ledger.Credit, ledger.Share)
	bucket.Outstanding += demand.Held - recorded
	bucket.Tokens += float64(max(0, min(demand.Returned, recorded-demand.Held)))
	bucket.Settle(ledger.Credit, ledger.Share)
	grant := carobquotagrant.QuotaGrant{Organisation: demand.Organisation}
	grant.Tokens = bucket.Grant(demand.Waiting, demand.Stock, ledger.Share)
	if grant.Tokens < demand.Waiting {
		grant.Wait = carobduration.Duration(bucket.Wait(ledger.Share))
	}
	return grant
}

// release stops counting the tokens that were recorded of a node.
func release(world *carobworld.World, holdings map[caroborganisationid.ID]int) {
	for organisation, tokens := range holdings {
		if bucket := world.QuotaBuckets.Get(organisation); bucket != nil {
			bucket.Settle(world.QuotaLedger.Credit, world.QuotaLedger.Share)
			bucket.Outstanding -= tokens
		}
	}
}
