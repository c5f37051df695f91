// Package carobquotaallocation is the allocator's side of quotas: it counts the shares that nodes
// lend, and grants them tokens.
//
// A lease is safe without a bound on the delays of messages. The lender sends back a reading of
// this node's clock that it received. The allocator counts the share until that reading plus
// the period of a lease, and the lender considers itself bound until it received the reading,
// which was later, plus the same period. So a share is never counted after its node uses it again.
package carobquotaallocation

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobquotabucket"
	"github.com/carobknot/carobknot/pkg/carobquotaledger"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System keeps the buckets and leases, and answers requests.
type System struct {
	// version is the version of the route table that the buckets follow.
	version carobrouteversion.Version
	// nodes is the number of counted nodes that the lent share was last computed with.
	nodes int
}

// NewSystem returns a System for empty tables.
func NewSystem() *System {
	return &System{}
}

// Run ends leases, follows the limits of the route table in force, and answers the requests of
// other nodes.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if !world.QuotasInForce {
		s.clear(world)
		return
	}
	expire(world, now)
	world.QuotaLedger.Advance(now)
	if s.version != world.RoutesVersion() {
		s.version = world.RoutesVersion()
		followLimits(world)
	}
	if s.nodes != world.QuotaNodes {
		s.nodes = world.QuotaNodes
		updateShare(world, now)
	}
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		if message.QuotaRequest == nil {
			continue
		}
		if reply := Answer(world, now, message.From, message.Incarnation, message.QuotaRequest); reply != nil {
			world.SendMessage(carobmessage.Message{To: message.ReplyTo, QuotaReply: reply})
		}
	}
	world.Outbox.QuotaLeases = world.QuotaLedger.Leases
}

// clear drops all rows once no organisation has a quota any more.
func (s *System) clear(world *carobworld.World) {
	if s.version == carobrouteversion.None {
		return
	}
	s.version = carobrouteversion.None
	for id := range world.QuotaBuckets.All() {
		world.QuotaBuckets.Delete(id)
	}
	for id := range world.QuotaLeases.All() {
		world.QuotaLeases.Delete(id)
	}
	world.QuotaLedger = carobquotaledger.QuotaLedger{}
}

// expire ends the leases and holdings whose time is over. If a lease has ended since the last
// tick, the time since then is credited without its share.
func expire(world *carobworld.World, now carobinstant.Instant) {
	ledger := &world.QuotaLedger
	if !ledger.NextExpiry.Reached(now) {
		return
	}
	ledger.NextExpiry = carobinstant.Never
	ended := false
	for id, lease := range world.QuotaLeases.All() {
		if lease.CountedUntil.Reached(now) {
			lease.CountedUntil, ended = carobinstant.Never, true
		}
		ledger.NextExpiry = carobinstant.Earlier(ledger.NextExpiry, lease.CountedUntil)
		if lease.HoldingsEnd.Reached(now) {
			release(world, lease.Holdings)
			lease.Holdings, lease.HoldingsEnd = nil, carobinstant.Never
		}
		ledger.NextExpiry = carobinstant.Earlier(ledger.NextExpiry, lease.HoldingsEnd)
		if lease.CountedUntil == carobinstant.Never && lease.HoldingsEnd == carobinstant.Never {
			world.QuotaLeases.Delete(id)
		}
	}
	if ended {
		settle(world)
		setShare(world, now)
	}
}

// followLimits applies the limits of the route table in force, and removes the buckets of
// organisations that have no quota any more.
func followLimits(world *carobworld.World) {
	ledger := &world.QuotaLedger
	for id, bucket := range world.QuotaBuckets.All() {
		bucket.Settle(ledger.Credit, ledger.Share)
		organisation := world.RouteTable.OrganisationByID(id)
		if organisation == nil || !organisation.Limited() {
			removeBucket(world, id)
			continue
		}
		bucket.Rate, bucket.MaxTokens = organisation.Rate, world.QuotaSettings.MaxTokens(organisation.Rate, organisation.Burst)
		bucket.Settle(ledger.Credit, ledger.Share)
	}
	addBuckets(world)
}

// removeBucket removes a bucket and the records of the tokens that nodes hold of it. The nodes
// drop these when they have the route table.
func removeBucket(world *carobworld.World, id caroborganisationid.ID) {
	world.QuotaBuckets.Delete(id)
	for _, lease := range world.QuotaLeases.All() {
		delete(lease.Holdings, id)
	}
}

// addBuckets adds an empty bucket for each organisation with a quota that has none, if a share is
// lent. An organisation that is used later has its burst then.
func addBuckets(world *carobworld.World) {
	if world.QuotaLedger.Share == 0 {
		return
	}
	for i := range world.RouteTable.Organisations {
		organisation := &world.RouteTable.Organisations[i]
		if organisation.Limited() && world.QuotaBuckets.Get(organisation.ID) == nil {
			world.QuotaBuckets.Put(organisation.ID, carobquotabucket.QuotaBucket{
				Rate: organisation.Rate, MaxTokens: world.QuotaSettings.MaxTokens(organisation.Rate, organisation.Burst), Credit: world.QuotaLedger.Credit,
			})
		}
	}
}

// settle fills and trims all buckets with the share that was lent until now.
func settle(world *carobworld.World) {
	for _, bucket := range world.QuotaBuckets.All() {
		bucket.Settle(world.QuotaLedger.Credit, world.QuotaLedger.Share)
	}
}

// updateShare computes the lent share after leases or the number of nodes have changed. All
// buckets are settled first: what was not yet filled is limited by the share of before.
func updateShare(world *carobworld.World, now carobinstant.Instant) {
	world.QuotaLedger.Advance(now)
	settle(world)
	setShare(world, now)
}

// setShare sets the share of all quotas that is lent to this node: the number of valid leases,
// divided by the largest number of nodes that this node or a lender counts. The share of a node
// that has left is part of the other shares already.
func setShare(world *carobworld.World, now carobinstant.Instant) {
	leases, nodes := 0, world.QuotaNodes
	for id, lease := range world.QuotaLeases.All() {
		row := world.CountedNodes.Get(id)
		if !lease.Valid(now) || row != nil && row.Left && row.Incarnation == lease.Incarnation {
			continue
		}
		leases++
		nodes = max(nodes, lease.Nodes)
	}
	before := world.QuotaLedger.Share
	world.QuotaLedger.Share, world.QuotaLedger.Leases = min(1, float64(leases)/float64(nodes)), leases
	if before == 0 {
		addBuckets(world)
	}
}

// EndOwnLease ends the lease of this node with itself, because it lends its share to another node
// or uses it without an allocator.
func EndOwnLease(world *carobworld.World, now carobinstant.Instant) {
	if lease := world.QuotaLeases.Get(world.Self.Node); lease != nil {
		end(world, now, lease)
	}
}
