package carobquotalending

import (
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobquotaperiods"
	"github.com/carobknot/carobknot/pkg/carobquotarequest"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

type incarnation = carobincarnation.Incarnation

// stamp is a reading of an allocator's clock.
type stamp struct {
	node    carobnodeid.ID
	issuer  incarnation
	reading carobinstant.Instant
	// receivedAt is when it was received, on this node's clock.
	receivedAt carobinstant.Instant
}

// binding is a lease of this node's share with another node. It ends by time only.
type binding struct {
	to     candidate
	issuer incarnation
	until  carobinstant.Instant
}

// holds reports whether the share is lent.
func (b *binding) holds(now carobinstant.Instant) bool {
	return b.until != carobinstant.Never && !b.until.Reached(now)
}

// lends reports whether the next request to a node lends it this node's share: it is the chosen
// allocator, there is a stamp of it that is new enough, and no other node holds the share.
func (s *System) lends(world *carobworld.World, now carobinstant.Instant, choice, partner candidate) bool {
	if !world.QuotaShareUsable || partner.node != choice.node || s.stamp.node != partner.node ||
		s.stamp.receivedAt.Add(carobquotaperiods.Of(world.QuotaNodes).Lease).Reached(now) {
		return false
	}
	return !s.bound.holds(now) || s.bound.to.node == partner.node && s.bound.issuer == s.stamp.issuer
}

// newRequest returns the next request. A share that it lends is bound until the allocator no
// longer counts it, whether or not the request arrives.
func (s *System) newRequest(world *carobworld.World, now carobinstant.Instant, choice, partner candidate) *carobquotarequest.QuotaRequest {
	request := &carobquotarequest.QuotaRequest{Number: s.number + 1}
	switch {
	case partner.node == world.Self.Node:
		if world.QuotaShareUsable && !s.bound.holds(now) {
			request.Stamp, request.Issuer, request.Nodes = now, world.Self.Incarnation, world.QuotaNodes
		}
	case s.lends(world, now, choice, partner):
		request.Stamp, request.Issuer, request.Nodes = s.stamp.reading, s.stamp.issuer, world.QuotaNodes
		s.bound.to, s.bound.issuer = partner, s.stamp.issuer
		s.bound.until = max(s.bound.until, s.stamp.receivedAt.Add(carobquotaperiods.Of(world.QuotaNodes).Lease))
		world.OwnQuotaSince = carobinstant.Never
		world.WakeAt(s.bound.until)
	}
	request.Complete = s.recorded != partner.node
	request.Demands, s.recorded = demands(world, now, request.Complete), ""
	return request
}

func messageTo(partner candidate, request *carobquotarequest.QuotaRequest) carobmessage.Message {
	return carobmessage.Message{To: partner.address, QuotaRequest: request}
}
