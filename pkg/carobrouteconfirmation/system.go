// Package carobrouteconfirmation limits how long a route table may stay in force after the
// store has acknowledged a newer one.
//
// A table is confirmed as of an instant if the node knows that the store had nothing newer
// then: from a read of its own that began at the instant, or from another node. Each control
// message carries the age of its sender's confirmation, which is how most nodes get theirs
// without reading. A node whose confirmation is too old reads the store itself, whatever it
// knows of other nodes. So the limit holds at each node that can reach the store, even if the
// nodes that usually read cannot, or if nodes cannot reach each other.
//
// The readers of the data centres read earlier than other nodes. They announce a newer
// confirmation in their data centre at once, and to the readers elsewhere if it comes from a
// read of their own.
package carobrouteconfirmation

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config holds the parameters of a System.
type Config struct {
	// ApplyTimeout is the time within which a table must be in force after the store has
	// acknowledged it.
	ApplyTimeout time.Duration
}

// Fractions of the apply timeout. The ages at which nodes read are spread, since many nodes
// have a confirmation of the same age.
const (
	// A reader reads when its confirmation has the age readerAge, or up to readerSpread more.
	readerAge, readerSpread = 0.4, 0.1
	// Another node reads when it has the age maxAge, or up to maxSpread more. This leaves
	// time for the read.
	maxAge, maxSpread = 0.55, 0.15
	// firstRetry is the time before the second read if the first brings no confirmation. It
	// doubles with each further one, up to readerRetry or otherRetry.
	firstRetry, readerRetry, otherRetry = 0.25, 1, 2
	// announceInterval is the shortest time between two announcements.
	announceInterval = 0.125
	// transitAge is the age that a confirmation gains on its way to another node.
	transitAge = 0.025
)

// System decides when the node reads the store to confirm its route table.
type System struct {
	config Config
	// spread is the random part of the age at which the node reads next, from 0 to 1.
	spread float64
	// reads is the number of reads requested since the last confirmation, and nextRead the
	// earliest instant of another one; Never if there is no such limit.
	reads    int
	nextRead carobinstant.Instant
	// announced is the confirmation that was announced last, and nextAnnouncement the
	// earliest instant of the next announcement. Both are Never before the first.
	announced, nextAnnouncement carobinstant.Instant
	// ownRead is true if the newest confirmation comes from a read of this node.
	ownRead bool
}

// NewSystem returns a System of a node without a confirmation.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run takes over newer confirmations, announces them, and requests a read if the
// confirmation is too old. It has to run after the systems that apply route tables and
// select the readers.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if world.RouteTable == nil {
		return
	}
	for _, at := range world.Inbox.StoreReads {
		s.confirm(world, at, true)
	}
	for i := range world.Inbox.Messages {
		s.receive(world, now, &world.Inbox.Messages[i])
	}
	s.announce(world, now)
	s.requestRead(world, now)
}

// receive takes over the sender's confirmation, unless the sender has a newer table. The age
// in a message was correct when it was sent, so the longest time that a message usually takes
// is added to it. Without that, a confirmation that nodes send back and forth would not age.
// Messages that may have waited while this node was paused are ignored.
func (s *System) receive(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	if message.RoutesAge > 0 && message.RoutesVersion <= world.RoutesVersion() && !world.Paused {
		s.confirm(world, now.Add(-message.RoutesAge.Duration()-s.part(transitAge)), false)
	}
}

// confirm records a confirmation if it is newer than the last one.
func (s *System) confirm(world *carobworld.World, at carobinstant.Instant, ownRead bool) {
	if at <= world.RoutesConfirmedAt {
		return
	}
	world.RoutesConfirmedAt, s.ownRead = at, ownRead
	if ownRead {
		world.RoutesReadAt = at
	}
	s.reads, s.nextRead, s.spread = 0, carobinstant.Never, world.Random.Float64()
}

// announce sends the confirmation of a reader to the nodes that depend on it.
func (s *System) announce(world *carobworld.World, now carobinstant.Instant) {
	due := s.nextAnnouncement == carobinstant.Never || s.nextAnnouncement.Reached(now)
	if !world.Outbox.ReadingStore || world.RoutesConfirmedAt <= s.announced || !due {
		return
	}
	s.announced, s.nextAnnouncement = world.RoutesConfirmedAt, now.Add(s.part(announceInterval))
	readers := map[carobcentre.Centre]*carobmember.Member{}
	for _, peer := range world.Peers.All() {
		switch member := &peer.Member; {
		case member.Centre == world.Self.Centre:
			if !member.Liveness.Down() {
				world.SendMessage(carobmessage.Message{To: member.PeerAddress})
			}
		case precedes(member, readers[member.Centre]):
			readers[member.Centre] = member
		}
	}
	if !s.ownRead {
		return
	}
	for _, peer := range world.Peers.All() {
		if readers[peer.Member.Centre] == &peer.Member {
			world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress})
		}
	}
}

// precedes reports whether a node of a data centre is preferred to another one as reader;
// nil is preferred to none.
func precedes(member, other *carobmember.Member) bool {
	if member.Liveness != carobliveness.Alive || member.Leaving || member.StoreUnreadable {
		return false
	}
	return other == nil || member.Node < other.Node
}

// requestRead requests a read of the store when the confirmation reaches its maximum age,
// and again, with backoff, until there is a newer one.
func (s *System) requestRead(world *carobworld.World, now carobinstant.Instant) {
	if world.Stopping {
		return
	}
	age, retry := maxAge+maxSpread*s.spread, float64(otherRetry)
	if world.Outbox.ReadingStore {
		age, retry = readerAge+readerSpread*s.spread, readerRetry
	}
	due := world.RoutesConfirmedAt.Add(s.part(age))
	if s.nextRead != carobinstant.Never {
		due = s.nextRead
	}
	if !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	world.Outbox.ConfirmRoutes = true
	backoff := min(firstRetry*float64(int(1)<<min(s.reads, maxDoublings)), retry)
	s.reads++
	s.nextRead = now.Add(s.part(backoff * (1 + world.Random.Float64()/2)))
	world.WakeAt(s.nextRead)
}

// maxDoublings is the number of doublings after which each backoff has its maximum.
const maxDoublings = 4

// part returns a fraction of the apply timeout.
func (s *System) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.config.ApplyTimeout))
}
