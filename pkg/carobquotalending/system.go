// Package carobquotalending is the node's side of quotas: it lends this node's share of all quotas
// to an allocator, requests tokens from it, and uses the share itself while there is none.
//
// All nodes choose the allocator by the same rule, without a vote. While they choose differently,
// each share is still lent to one allocator at a time, so that the quotas hold.
package carobquotalending

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
	"github.com/carobknot/carobknot/pkg/carobquotaallocation"
	"github.com/carobknot/carobknot/pkg/carobquotademand"
	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
	"github.com/carobknot/carobknot/pkg/carobquotareply"
	"github.com/carobknot/carobknot/pkg/carobquotastock"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// urgentInterval is the shortest time between two requests. It bounds the requests of a node
	// whose calls each have to wait for a token.
	urgentInterval = 20 * time.Millisecond
	// waitingInterval is the time between two requests for calls that still wait after a reply,
	// because nothing is known about when there are tokens.
	waitingInterval = 50 * time.Millisecond
	// replyTimeout is how long a request waits for its reply. It is several times what messages
	// between data centres take.
	replyTimeout = 250 * time.Millisecond
	// avoidTime is how long a node that did not reply in time is not chosen.
	avoidTime = 2 * time.Second
)

// System chooses an allocator and exchanges requests and replies with it.
type System struct {
	chooser chooser
	// version is the version of the route table that the stocks follow.
	version carobrouteversion.Version
	// table is the route table of that version.
	table *carobroutetable.RouteTable
	// number is that of the last request, sentAt when it was sent and sentTo the node that it
	// was sent to; sentAt is Never before the first.
	number uint64
	sentAt carobinstant.Instant
	sentTo carobnodeid.ID
	// lentNodes is the number of nodes that the request named with the share that it lent; 0 if
	// it lent none.
	lentNodes int
	// recorded is the node whose record of the tokens in stock is known, because it replied to the
	// last request; empty if there is none.
	recorded carobnodeid.ID
	// open is true while that request has no reply and has not timed out.
	open bool
	// stamp is the newest clock reading of an allocator, and when it was received.
	stamp stamp
	// bound is the lease of this node with another one.
	bound binding
}

// NewSystem returns a System that has lent nothing.
func NewSystem() *System {
	return &System{}
}

// Run follows the limits in force, handles the reply to the open request, and sends the next one
// when it is due.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if !world.QuotasInForce {
		s.clear(world)
		return
	}
	changed := s.version != world.RoutesVersion()
	if changed {
		followLimits(world, s.table)
		s.version, s.table = world.RoutesVersion(), world.RouteTable
	}
	if world.Paused {
		// The reply may have arrived long ago, so its absence shows nothing.
		s.open, s.stamp, s.recorded = false, stamp{}, ""
		world.OwnQuotaSince = carobinstant.Never
	}
	for i := range world.Inbox.Messages {
		if message := &world.Inbox.Messages[i]; message.QuotaReply != nil && s.open && message.From == s.sentTo {
			s.handleReply(world, now, message.QuotaReply, message.Incarnation, message.RoutesVersion)
		}
	}
	if changed {
		// Stocks may have been removed of which the allocator has a record.
		s.recorded = ""
	}
	if s.open && s.sentAt.Add(replyTimeout).Reached(now) {
		s.open = false
		s.chooser.avoid(s.sentTo, now.Add(avoidTime))
	}
	choice := s.chooser.choose(world, now)
	describe(world, choice.node == world.Self.Node && world.QuotaShareUsable)
	partner := s.partner(world, now, choice)
	s.updateOwnShare(world, now, partner)
	s.exchange(world, now, choice, partner)
}

// clear drops all state once no organisation has a quota any more.
func (s *System) clear(world *carobworld.World) {
	if s.version == carobrouteversion.None {
		return
	}
	bound := s.bound
	*s = System{number: s.number, bound: bound}
	for id := range world.QuotaStocks.All() {
		world.QuotaStocks.Delete(id)
	}
	for id := range world.LoweredQuotas.All() {
		world.LoweredQuotas.Delete(id)
	}
	world.OwnQuotaSince = carobinstant.Never
	if world.Self.Capacity != 0 || world.Self.Allocates {
		world.Self.Capacity, world.Self.Allocates = 0, false
		world.Self.Sequence++
	}
}

// describe keeps this node's description up to date, by which others choose an allocator.
func describe(world *carobworld.World, allocates bool) {
	world.Outbox.Allocating = allocates
	if world.Self.Capacity == world.Capacity && world.Self.Allocates == allocates {
		return
	}
	if world.Self.Allocates != allocates {
		world.Audit("quota", string(world.Self.Node), "allocator", allocatorText(world.Self.Allocates), allocatorText(allocates))
	}
	world.Self.Capacity, world.Self.Allocates = world.Capacity, allocates
	world.Self.Sequence++
}

// allocatorText returns the audit trail's text for whether this node is the allocator.
func allocatorText(allocates bool) string {
	if allocates {
		return "this node"
	}
	return "another node"
}

// followLimits applies changed limits to the stocks, and removes those of organisations that have
// no quota any more. It records which limits were lowered since the table before, because tokens
// that an allocator granted under the older table may not be used. A node without an older table
// takes all limits as lowered.
func followLimits(world *carobworld.World, old *carobroutetable.RouteTable) {
	for i := range world.RouteTable.Organisations {
		organisation := &world.RouteTable.Organisations[i]
		if organisation.Limited() && isLower(organisation, old) {
			world.LoweredQuotas.Put(organisation.ID, world.RoutesVersion())
		}
	}
	for id, stock := range world.QuotaStocks.All() {
		organisation := world.RouteTable.OrganisationByID(id)
		if organisation == nil || !organisation.Limited() {
			world.QuotaStocks.Delete(id)
			continue
		}
		stock.Limit(organisation.Rate, organisation.Burst)
	}
}

// isLower reports whether the limit of an organisation is lower than in an older table, which may
// be nil.
func isLower(organisation *caroborganisation.Organisation, old *carobroutetable.RouteTable) bool {
	if old == nil {
		return true
	}
	before := old.OrganisationByID(organisation.ID)
	return before != nil && (!before.Limited() || organisation.Rate < before.Rate || organisation.Burst < before.Burst)
}

// partner returns the node to send requests to. While another node than the chosen allocator holds
// this node's lease, that node is the partner as long as it is alive and replies, even if it is
// leaving, because it then releases the share.
func (s *System) partner(world *carobworld.World, now carobinstant.Instant, choice candidate) candidate {
	holder := s.bound.to.node
	if !s.bound.holds(now) || holder == choice.node || s.chooser.avoided(holder, now) {
		return choice
	}
	if peer := world.Peers.Get(holder); peer == nil || peer.Member.Liveness != carobliveness.Alive {
		return choice
	}
	return s.bound.to
}

// isLeaving reports whether a node is known to be leaving.
func isLeaving(world *carobworld.World, node carobnodeid.ID) bool {
	peer := world.Peers.Get(node)
	return peer != nil && peer.Member.Leaving
}

// updateOwnShare starts or ends the use of this node's own share, which is used while it is lent
// to no node.
func (s *System) updateOwnShare(world *carobworld.World, now carobinstant.Instant, partner candidate) {
	self := partner.node == world.Self.Node
	if !self || !world.QuotaShareUsable {
		carobquotaallocation.EndOwnLease(world, now)
	}
	if self || s.bound.holds(now) || !world.QuotaShareUsable {
		world.OwnQuotaSince = carobinstant.Never
	} else if world.OwnQuotaSince == carobinstant.Never {
		world.OwnQuotaSince = now
	}
	if s.bound.holds(now) {
		world.WakeAt(s.bound.until)
	}
}

// exchange sends the next request if it is due.
func (s *System) exchange(world *carobworld.World, now carobinstant.Instant, choice, partner candidate) {
	if s.open {
		world.WakeAt(s.sentAt.Add(replyTimeout))
		return
	}
	self := partner.node == world.Self.Node
	if due := s.due(world, now, choice, partner); !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	request := s.newRequest(world, now, choice, partner)
	s.number, s.sentAt, s.sentTo, s.lentNodes, s.open = request.Number, now, partner.node, request.Nodes, true
	world.QuotaUrgent = false
	if !self {
		world.SendMessage(messageTo(partner, request))
		world.WakeAt(s.sentAt.Add(replyTimeout))
		return
	}
	if reply := carobquotaallocation.Answer(world, now, world.Self.Node, world.Self.Incarnation, request); reply != nil {
		s.handleReply(world, now, reply, world.Self.Incarnation, world.RoutesVersion())
	}
	s.open = false
	world.WakeAt(s.due(world, now, choice, partner))
}

// due returns when the next request is to be sent.
func (s *System) due(world *carobworld.World, now carobinstant.Instant, choice, partner candidate) carobinstant.Instant {
	self := partner.node == world.Self.Node
	switch {
	case s.sentAt == carobinstant.Never, self && (world.QuotaUrgent || s.mayStartOwnLease(world, now)):
		return now
	case s.sentTo != partner.node, world.QuotaUrgent, s.mayStartLease(world, now, choice, partner):
		return s.sentAt.Add(urgentInterval)
	case world.QuotaWaiting > 0, partner.node != choice.node && isLeaving(world, partner.node):
		return s.sentAt.Add(waitingInterval)
	default:
		return s.sentAt.Add(carobquotaperiods.Of(world.QuotaNodes).Renewal)
	}
}

// mayStartOwnLease reports whether this node, as its own allocator, has yet to lend its share to
// itself.
func (s *System) mayStartOwnLease(world *carobworld.World, now carobinstant.Instant) bool {
	if !world.QuotaShareUsable || s.bound.holds(now) {
		return false
	}
	lease := world.QuotaLeases.Get(world.Self.Node)
	return lease == nil || !lease.Valid(now)
}

// mayStartLease reports whether this node has a stamp of the chosen allocator and has lent nothing
// yet.
func (s *System) mayStartLease(world *carobworld.World, now carobinstant.Instant, choice, partner candidate) bool {
	return partner.node != world.Self.Node && !s.bound.holds(now) && s.lends(world, now, choice, partner)
}

// handleReply adds the granted tokens to the stocks. A reply to an earlier request is ignored.
func (s *System) handleReply(world *carobworld.World, now carobinstant.Instant, reply *carobquotareply.QuotaReply, issuer incarnation, version carobrouteversion.Version) {
	if reply.Number != s.number {
		return
	}
	s.open, s.recorded = false, s.sentTo
	if s.stamp.node == s.sentTo && s.stamp.issuer != issuer {
		// The allocator has restarted and may lack what the request left out.
		s.recorded = ""
	}
	s.stamp = stamp{node: s.sentTo, issuer: issuer, reading: reply.Stamp, receivedAt: now}
	if reply.Released && s.bound.to.node == s.sentTo && s.bound.issuer == issuer {
		s.bound, s.stamp = binding{}, stamp{}
		s.chooser.avoid(s.sentTo, now.Add(avoidTime))
	}
	s.renewStocks(world, now)
	for _, grant := range reply.Grants {
		stock := world.QuotaStocks.Get(grant.Organisation)
		if stock == nil {
			continue
		}
		stock.Recorded += grant.Tokens
		if lowered := world.LoweredQuotas.Get(grant.Organisation); lowered != nil && version < *lowered {
			continue
		}
		stock.Tokens += grant.Tokens
		if grant.Wait > 0 {
			stock.DeniedUntil = now.Add(grant.Wait.Duration())
		}
	}
}

// renewStocks renews the tokens in stock, all of which the allocator has on record.
func (s *System) renewStocks(world *carobworld.World, now carobinstant.Instant) {
	for _, stock := range world.QuotaStocks.All() {
		stock.Expire(now)
		stock.ExpiresAt, stock.DeniedUntil = s.sentAt.Add(carobquotaperiods.Of(s.lentNodes).TokenLifetime), carobinstant.Never
	}
}

// demands returns what this node holds and needs, and removes the tokens that it returns and the
// stocks that are no longer in use. A list that is not complete has what differs from the
// allocator's record only.
func demands(world *carobworld.World, now carobinstant.Instant, complete bool) []carobquotademand.QuotaDemand {
	var list []carobquotademand.QuotaDemand
	for id, stock := range world.QuotaStocks.All() {
		if complete {
			stock.Recorded = 0
		}
		demand := demandOf(now, id, stock)
		switch {
		case demand.Returned+demand.Waiting+demand.Stock > 0 || demand.Held != stock.Recorded:
			stock.Recorded = demand.Held
			list = append(list, demand)
		case stock.Idle(now) && world.OwnQuotaSince == carobinstant.Never:
			world.QuotaStocks.Delete(id)
		}
	}
	return list
}

// demandOf returns what this node holds and needs of one organisation.
func demandOf(now carobinstant.Instant, id caroborganisationid.ID, stock *carobquotastock.QuotaStock) carobquotademand.QuotaDemand {
	stock.Expire(now)
	target := stock.Target(now)
	demand := carobquotademand.QuotaDemand{Organisation: id, Waiting: stock.Waiting}
	// One token more than the target is kept, because the target changes all the time.
	if stock.Tokens > target+1 || target == 0 {
		demand.Returned, stock.Tokens = stock.Tokens-target, target
	}
	demand.Held, demand.Stock = stock.Tokens, max(0, target-stock.Tokens)
	return demand
}
