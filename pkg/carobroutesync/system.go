// Package carobroutesync applies newer route tables and distributes them among nodes.
//
// Each control message carries the version of its sender's route table, so a node that has
// an older one learns so from any message. Tables are sent only on request, and preferably
// between nodes of one data centre, where traffic is cheapest.
package carobroutesync

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// answerTimeout is how long to wait for an answer before the request is sent to
	// another node.
	answerTimeout = 250 * time.Millisecond
	// localHeadStart is how long to wait for a node of this data centre to announce a newer
	// table before it is requested from a node elsewhere.
	localHeadStart = 150 * time.Millisecond
)

// System keeps the route table up to date. The version never decreases.
type System struct {
	// behindSince is since when a peer is known to have a newer version; Never if none has.
	behindSince carobinstant.Instant
	// newest is the newest version that a message named.
	newest carobrouteversion.Version
	// requestDeadline is when the pending request times out; Never if there is none.
	requestDeadline carobinstant.Instant
}

// NewSystem returns a System without a pending request.
func NewSystem() *System {
	return &System{}
}

// Run applies newer tables, answers requests, and requests a newer table if a peer has
// one.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	for _, rejection := range world.Inbox.RouteRejections {
		world.RouteRejection = rejection
	}
	for _, table := range world.Inbox.RouteTables {
		if apply(world, now, table, "store") {
			announce(world)
		}
	}
	for i := range world.Inbox.Messages {
		message := &world.Inbox.Messages[i]
		if message.RouteTable != nil && apply(world, now, message.RouteTable, string(message.From)) {
			s.requestDeadline = carobinstant.Never
		}
		if message.RouteFetch != nil && world.RouteTable != nil && world.RouteTable.Version > message.RouteFetch.Version {
			world.SendMessage(carobmessage.Message{To: message.ReplyTo, RouteTable: world.RouteTable})
		}
		recordVersion(world, message)
		s.newest = max(s.newest, message.RoutesVersion)
	}
	s.requestNewer(world, now)
}

// apply applies a table and reports true if it is newer than the one in force.
func apply(world *carobworld.World, now carobinstant.Instant, table *carobroutetable.RouteTable, from string) bool {
	if table.Version <= world.RoutesVersion() {
		return false
	}
	world.AuditRoutes(now, from, table)
	world.RouteTable = table
	if world.RouteRejection != nil && world.RouteRejection.Version <= table.Version {
		world.RouteRejection = nil
	}
	return true
}

// recordVersion records which version of the route table a peer has.
func recordVersion(world *carobworld.World, message *carobmessage.Message) {
	if peer := world.Peers.Get(message.From); peer != nil && message.Incarnation == peer.Member.Incarnation {
		peer.RoutesVersion = max(peer.RoutesVersion, message.RoutesVersion)
	}
}

// announce sends the version of a new table to the nodes of this data centre that have an
// older one.
func announce(world *carobworld.World) {
	for _, peer := range world.Peers.All() {
		if peer.Member.Centre == world.Self.Centre && !peer.Member.Liveness.Down() && peer.RoutesVersion < world.RouteTable.Version {
			world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress})
		}
	}
}

// requestNewer requests a newer table from a peer that has one, preferably of this data
// centre. Only one request is pending at a time. A node without any table does not wait
// for its data centre.
func (s *System) requestNewer(world *carobworld.World, now carobinstant.Instant) {
	have := world.RoutesVersion()
	if s.newest <= have {
		s.behindSince = carobinstant.Never
		return
	}
	ahead := func(peer *carobpeer.Peer) bool { return peer.RoutesVersion > have && !peer.Member.Liveness.Down() }
	near := world.SamplePeers(1, func(peer *carobpeer.Peer) bool { return ahead(peer) && peer.Member.Centre == world.Self.Centre })
	far := world.SamplePeers(1, ahead)
	if len(far) == 0 {
		s.behindSince = carobinstant.Never
		return
	}
	if s.behindSince == carobinstant.Never {
		s.behindSince = now
	}
	switch wait := s.behindSince.Add(localHeadStart); {
	case s.requestDeadline != carobinstant.Never && !s.requestDeadline.Reached(now):
		world.WakeAt(s.requestDeadline)
	case len(near) > 0:
		s.request(world, now, near[0])
	case wait.Reached(now) || world.RouteTable == nil:
		s.request(world, now, far[0])
	default:
		world.WakeAt(wait)
	}
}

func (s *System) request(world *carobworld.World, now carobinstant.Instant, peer *carobpeer.Peer) {
	s.requestDeadline = now.Add(answerTimeout)
	world.WakeAt(s.requestDeadline)
	world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress, RouteFetch: &carobroutefetch.RouteFetch{Version: world.RoutesVersion()}})
}
