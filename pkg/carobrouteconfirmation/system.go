// Package carobrouteconfirmation limits how long a route table may stay in force after the
// store has acknowledged a newer one.
//
// A table is confirmed as of an instant if the node knows that the store had nothing newer
// then: from a read of its own that began at the instant, or from another node. Most nodes get
// theirs from others without reading: control messages carry the sender's, as an instant on the
// receiver's clock. This instant is the true one or an earlier one (carobclockbound), whatever
// time messages take and however many nodes pass it on. It is not an age, which would be wrong by
// the unknown time between the stamping of a message and its receipt.
//
// A node whose confirmation is too old reads the store itself, whatever it knows of other nodes.
// So the limit holds at each node that can reach the store, even if the nodes that usually read
// cannot, or if nodes cannot reach each other.
//
// A read may get no response, or a late one. So the next read is requested without waiting for
// the end of the one before, early enough for two of them to fail before the limit, and while the
// store cannot be read often enough for the table to be in force in time after the outage.
//
// The readers of the data centres read earlier than other nodes. They announce a newer
// confirmation in their data centre at once, and to the readers elsewhere if it comes from a
// read of their own. An announcement to a node whose clock they do not know requests a message
// in return, and the confirmation follows.
package carobrouteconfirmation

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
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
	// RecoveryTimeout is the time after an outage of the store within which the newest table
	// must be in force.
	RecoveryTimeout time.Duration
}

// Fractions of the apply timeout. The ages at which nodes read are spread, since many nodes
// have a confirmation of the same age.
const (
	// A reader reads when its confirmation has the age readerAge, or up to readerSpread more.
	readerAge, readerSpread = 0.4, 0.1
	// Another node reads when it has the age maxAge, or up to maxSpread more. This leaves
	// time for the read.
	maxAge, maxSpread = 0.55, 0.15
	// minRetry is the shortest time before another read if the last one has brought no
	// confirmation yet. A node that nobody sends confirmations is in time though two reads in
	// a row fail.
	minRetry = 0.1
	// retryJitter is the largest random part of the time between two reads, as a part of it.
	retryJitter = 0.25
	// minAdvance is by how much a confirmation must be newer than the one announced last. The
	// same read arrives as slightly different instants if it comes from several nodes.
	minAdvance = 0.125
)

// maxRetry, as a fraction of Config.RecoveryTimeout and without the jitter, is the longest time
// between two reads. In that timeout, a read that fails leaves time for another one.
const maxRetry = 0.36

// overlap is how many reads are in progress at most, about, if the store's responses take longer
// than confirmations may be old.
const overlap = 4

// clockInterval is the time after which a reader requests another reading of a node's clock. It
// bounds for how long a reading that arrived late makes confirmations look too old.
const clockInterval = 5 * time.Second

// System decides when the node reads the store to confirm its route table.
type System struct {
	config Config
	// spread is the random part of the age at which the node reads next, from 0 to 1.
	spread float64
	// reads is the number of reads requested since the last confirmation, and nextRead the
	// earliest instant of another one; Never if there is no such limit.
	reads    int
	nextRead carobinstant.Instant
	// requestedAt is when a read was requested last; Never if none was. readDuration is how long
	// the last read of this node took that brought a newer confirmation; 0 if none has.
	requestedAt  carobinstant.Instant
	readDuration time.Duration
	// announced is the confirmation that was announced last; Never before the first.
	announced carobinstant.Instant
	// awaitingClock has the nodes that were sent the last announcement without the confirmation,
	// because their clocks were unknown.
	awaitingClock map[carobaddress.Address]struct{}
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
		if at > world.RoutesConfirmedAt {
			s.readDuration = now.Sub(at)
		}
		s.confirm(world, at, true)
	}
	for i := range world.Inbox.Messages {
		s.receive(world, now, &world.Inbox.Messages[i])
	}
	s.announce(world, now)
	s.requestRead(world, now)
}

// receive takes over the sender's confirmation, unless the sender has a newer table. An instant
// on another clock, or one that has not come yet, is ignored. If the sender's clock was unknown at
// the last announcement, it gets the confirmation now.
func (s *System) receive(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	confirmation := message.Confirmation
	valid := confirmation != nil && confirmation.Clock == world.Self.Incarnation && confirmation.At <= now
	if valid && message.RoutesVersion <= world.RoutesVersion() {
		s.confirm(world, confirmation.At, false)
	}
	if _, ok := s.awaitingClock[message.ReplyTo]; ok && message.Clock != carobinstant.Never {
		delete(s.awaitingClock, message.ReplyTo)
		world.SendMessage(carobmessage.Message{To: message.ReplyTo})
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
	if !world.Outbox.ReadingStore || world.RoutesConfirmedAt.Sub(s.announced) < s.part(minAdvance) {
		return
	}
	s.announced = world.RoutesConfirmedAt
	s.awaitingClock = map[carobaddress.Address]struct{}{}
	readers := map[carobcentre.Centre]*carobmember.Member{}
	for _, peer := range world.Peers.All() {
		switch member := &peer.Member; {
		case member.Centre == world.Self.Centre:
			if !member.Liveness.Down() {
				s.announceTo(world, now, member)
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
			s.announceTo(world, now, &peer.Member)
		}
	}
}

// announceTo sends a node a message, to which the confirmation is added if the node's clock is
// known.
func (s *System) announceTo(world *carobworld.World, now carobinstant.Instant, member *carobmember.Member) {
	bound, ok := world.ClockBounds.Get(member.PeerAddress)
	if !ok {
		s.awaitingClock[member.PeerAddress] = struct{}{}
	}
	outdated := !ok || bound.ReceivedAt.Add(clockInterval).Reached(now)
	world.SendMessage(carobmessage.Message{To: member.PeerAddress, ClockRequest: outdated})
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
// and again, with backoff, until there is a newer one. It does not wait for earlier reads.
func (s *System) requestRead(world *carobworld.World, now carobinstant.Instant) {
	if world.Stopping {
		return
	}
	due := s.nextRead
	if due == carobinstant.Never {
		due = s.firstRead(world)
	}
	if !due.Reached(now) {
		world.WakeAt(due)
		return
	}
	world.Outbox.ConfirmRoutes = true
	s.requestedAt, s.nextRead = now, now.Add(s.retryInterval(world))
	s.reads++
	world.WakeAt(s.nextRead)
}

// firstRead returns when the first read after a confirmation is due. If reads take so long that
// they confirm the table as of an instant that is too old already, they are requested at an
// interval.
func (s *System) firstRead(world *carobworld.World) carobinstant.Instant {
	age, interval := maxAge+maxSpread*s.spread, s.maxInterval()
	if world.Outbox.ReadingStore {
		age, interval = readerAge+readerSpread*s.spread, s.part(minRetry)
	}
	due := world.RoutesConfirmedAt.Add(s.part(age))
	if s.requestedAt == carobinstant.Never {
		return due
	}
	return max(due, s.requestedAt.Add(max(interval, s.readDuration/overlap)))
}

// retryInterval returns the time until another read is due if there is no confirmation. It
// doubles from the second retry on.
func (s *System) retryInterval(world *carobworld.World) time.Duration {
	interval := s.part(minRetry) << min(max(s.reads-1, 0), maxDoublings)
	interval = min(max(interval, s.readDuration/overlap), s.maxInterval())
	return interval + time.Duration(float64(interval)*retryJitter*world.Random.Float64())
}

// maxInterval returns the longest time between two reads without the jitter.
func (s *System) maxInterval() time.Duration {
	return time.Duration(maxRetry * float64(s.config.RecoveryTimeout))
}

// maxDoublings is the number of doublings after which each interval has its maximum.
const maxDoublings = 4

// part returns a fraction of the apply timeout.
func (s *System) part(fraction float64) time.Duration {
	return time.Duration(fraction * float64(s.config.ApplyTimeout))
}
