// Package carobdissemination gossips changes in the descriptions of nodes.
//
// Each node that learns a description forwards it a limited number of times within its data
// centre: at once to a few random nodes, and then along with heartbeats, which are sent
// anyway. A description thus reaches nearly all nodes in a number of steps that grows with
// the logarithm of the cluster size; reconciliation covers the rest. Nothing is sent while no
// change is pending, and a throttle limits the bandwidth that many changes take.
//
// Only the node that made a change sends it to other data centres, to a few nodes of each.
// If all nodes forwarded it there, the bytes between data centres, which are expensive, would
// grow with the number of nodes for each change.
package carobdissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobthrottle"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// roundInterval is the time between two rounds of gossip.
	roundInterval = 50 * time.Millisecond
	// fanout is the number of nodes that a round goes to.
	fanout = 3
	// maxRoundSends is the number of times a description is sent in rounds, and maxSends the
	// number of times it is sent in total.
	maxRoundSends = 2
	maxSends      = 6
	// roundSize and piggybackSize are the approximate maximum sizes of the descriptions
	// sent in a round and along with a heartbeat, in bytes.
	roundSize     = 4096
	piggybackSize = 1024
	// centreCopies is the number of nodes of each other data centre that the node that made a
	// change sends it to. More than one, since a node may have failed unnoticed.
	centreCopies = 2
)

// System gossips pending changes.
type System struct {
	throttle *carobthrottle.Throttle
	// sequence is the update sequence of this node's own description that was last seen,
	// and sent the number of times that it was sent.
	sequence uint64
	sent     int
	// nextRound is when the next round may start; Never before the first.
	nextRound carobinstant.Instant
	contacts  contactSet
	centres   centreSet
}

// NewSystem returns a System that is throttled to 8 KiB a second, with bursts of 64 KiB.
func NewSystem() *System {
	return &System{centres: centreSet{informed: map[carobcentre.Centre]bool{}}, throttle: carobthrottle.NewThrottle(carobthrottle.Config{
		Rate: carobrate.Rate(8 * carobsize.KiB), Burst: 64 * carobsize.KiB,
	})}
}

// Run sends pending changes. It has to run after all systems that change descriptions or
// send heartbeats.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	if world.Outbox.Stopped {
		s.announceLeave(world, now)
		return
	}
	if world.Self.Sequence != s.sequence {
		s.sequence, s.sent = world.Self.Sequence, 0
		s.centres.reset()
	}
	s.piggyback(world)
	s.startRound(world, now)
	s.sendToCentres(world, now)
}

// startRound starts a round: it sends the pending descriptions to some random nodes. A
// change of this node's own description does not wait for the interval, because it may
// announce that a target is leaving.
func (s *System) startRound(world *carobworld.World, now carobinstant.Instant) {
	if !s.hasPending(world) {
		return
	}
	if s.sent > 0 && s.nextRound != carobinstant.Never && !s.nextRound.Reached(now) {
		world.WakeAt(s.nextRound)
		return
	}
	s.nextRound = now.Add(roundInterval)
	world.WakeAt(s.nextRound)
	to := s.contacts.recipients(world, now)
	if len(to) == 0 && world.Peers.Len() > 0 {
		s.dropPending(world)
	}
	if len(to) == 0 || !s.throttle.Allow(now, 0) {
		return
	}
	members := s.takePending(world, maxRoundSends, roundSize)
	for _, peer := range to {
		send(world, peer.Member, members)
		s.throttle.Allow(now, totalSize(members))
	}
}

// dropPending marks all descriptions as sent, since there is no other node in this data centre.
func (s *System) dropPending(world *carobworld.World) {
	s.sent = maxSends
	for id := range world.PendingGossip.All() {
		if peer := world.Peers.Get(id); peer == nil || !peer.Originated {
			world.PendingGossip.Delete(id)
		}
	}
}

// sendToCentres sends the changes that this node made to a few nodes of each other data
// centre: its own description, and the liveness states that it set.
func (s *System) sendToCentres(world *carobworld.World, now carobinstant.Instant) {
	due := s.centres.isDue(world)
	if !due && !anyOriginated(world) {
		return
	}
	if !s.throttle.Allow(now, 0) {
		world.WakeAt(now.Add(roundInterval))
		return
	}
	changes, to := takeOriginated(world), s.centres.recipients(world)
	for _, peer := range to {
		members := changes
		if due && !s.centres.informed[peer.Member.Centre] {
			members = append([]carobmember.Member{world.DescribeSelf()}, changes...)
		}
		if len(members) > 0 {
			send(world, peer.Member, members)
			s.throttle.Allow(now, totalSize(members))
		}
	}
	s.centres.markInformed(to)
}

// anyOriginated reports whether a liveness state that this node set is still to be sent to
// other data centres.
func anyOriginated(world *carobworld.World) bool {
	for id := range world.PendingGossip.All() {
		if peer := world.Peers.Get(id); peer != nil && peer.Originated {
			return true
		}
	}
	return false
}

// takeOriginated returns the descriptions whose liveness state this node set, as many as fit
// into a message beside its own, and counts them as sent to other data centres.
func takeOriginated(world *carobworld.World) []carobmember.Member {
	var members []carobmember.Member
	for id := range world.PendingGossip.All() {
		peer := world.Peers.Get(id)
		if peer != nil && peer.Originated && len(members) < carobgossip.MaxMembers-1 {
			peer.Originated = false
			members = append(members, peer.Member)
		}
	}
	return members
}

// hasPending reports whether a description is still to be sent in a round.
func (s *System) hasPending(world *carobworld.World) bool {
	if s.sent < maxRoundSends {
		return true
	}
	for id := range world.PendingGossip.All() {
		if peer := world.Peers.Get(id); peer != nil && peer.GossipCount < maxRoundSends {
			return true
		}
	}
	return false
}

// piggyback sends pending descriptions along with the heartbeats of this tick to nodes of this
// data centre.
func (s *System) piggyback(world *carobworld.World) {
	if s.sent >= maxSends && world.PendingGossip.Len() == 0 {
		return
	}
	for _, message := range world.Outbox.Messages {
		if message.Heartbeat == nil || !isNear(world, &message) {
			continue
		}
		if members := s.takePending(world, maxSends, piggybackSize); len(members) > 0 {
			world.SendMessage(carobmessage.Message{To: message.To, Gossip: &carobgossip.Gossip{Members: members}})
		}
	}
}

// isNear reports whether a heartbeat goes directly to a node of this data centre.
func isNear(world *carobworld.World, message *carobmessage.Message) bool {
	peer := world.Peers.Get(message.Heartbeat.Node)
	return peer != nil && peer.Member.Centre == world.Self.Centre && peer.Member.PeerAddress == message.To
}

// takePending returns descriptions that were sent fewer than maxSent times, those sent
// least often first, and counts them as sent. They take up to space bytes, or more if
// the first one alone does.
func (s *System) takePending(world *carobworld.World, maxSent, space int) []carobmember.Member {
	var members []carobmember.Member
	if s.sent < maxSent {
		s.sent++
		member := world.DescribeSelf()
		members = append(members, member)
		space -= member.EncodedSize()
	}
	for _, peer := range pendingPeers(world, maxSent) {
		space -= peer.Member.EncodedSize()
		if space < 0 && len(members) > 0 || len(members) == carobgossip.MaxMembers {
			break
		}
		peer.GossipCount++
		members = append(members, peer.Member)
	}
	return members
}

// pendingPeers returns the peers whose pending description was sent fewer than maxSent
// times, those sent least often first. It removes the ones that were sent often enough, except
// those that other data centres have yet to get: the throttle may delay these for longer than
// this data centre takes.
func pendingPeers(world *carobworld.World, maxSent int) []*carobpeer.Peer {
	var rows []*carobpeer.Peer
	for id := range world.PendingGossip.All() {
		peer := world.Peers.Get(id)
		if peer == nil || peer.GossipCount >= maxSends && !peer.Originated {
			world.PendingGossip.Delete(id)
			continue
		}
		if peer.GossipCount < maxSent {
			rows = append(rows, peer)
		}
	}
	slices.SortStableFunc(rows, func(a, b *carobpeer.Peer) int { return cmp.Compare(a.GossipCount, b.GossipCount) })
	return rows
}

// announceLeave announces to some random nodes of each data centre that this node leaves. It
// does so only once.
func (s *System) announceLeave(world *carobworld.World, now carobinstant.Instant) {
	if world.LeaveAnnounced {
		return
	}
	world.LeaveAnnounced = true
	world.Self.Sequence++
	member := world.DescribeSelf()
	member.Liveness = carobliveness.Left
	world.Audit("member", string(world.Self.Node), "node "+string(world.Self.Node), carobliveness.Alive.String(), member.Liveness.String())
	for _, peer := range append(s.contacts.recipients(world, now), s.centres.recipients(world)...) {
		send(world, peer.Member, []carobmember.Member{member})
	}
}

// totalSize returns the approximate size of descriptions in a message, in bytes.
func totalSize(members []carobmember.Member) int {
	size := 0
	for i := range members {
		size += members[i].EncodedSize()
	}
	return size
}

func send(world *carobworld.World, to carobmember.Member, members []carobmember.Member) {
	world.SendMessage(carobmessage.Message{To: to.PeerAddress, Gossip: &carobgossip.Gossip{Members: members}})
}
