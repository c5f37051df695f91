// Package carobdetection detects which nodes are alive, in the manner of SWIM.
//
// Each node sends heartbeats to a few others in turn: to its successors on a ring of all
// nodes, so that every node is monitored by some, and to random nodes, more of them in
// its own data centre than elsewhere. If a node does not answer, others are requested to
// send it a heartbeat too. If that fails, the node is suspected, and it becomes
// unreachable unless it refutes the suspicion in time. Unreachable nodes are still sent
// a heartbeat occasionally.
package carobdetection

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobpendingheartbeat"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// answerTimeout is how long to wait for an answer. After that other nodes are
	// requested to relay the heartbeat, and the wait is as long again.
	answerTimeout = 500 * time.Millisecond
	// suspicionTimeout is how long a suspected node has to refute the suspicion.
	suspicionTimeout = 3 * time.Second
	// relayFanout is the number of nodes that are requested to relay a heartbeat.
	relayFanout = 3
	// downInterval is the time between two rounds of heartbeats to nodes that are down.
	downInterval = 2 * time.Second
	// downFanout is the number of such nodes per round. It is above 1 because several nodes
	// may be restarting at once in a rolling restart.
	downFanout = 3
	// restartWindow is how long a node that left is expected to restart at its address.
	restartWindow = 20 * time.Second
	// pauseThreshold is the time between two ticks above which this node counts as
	// paused. The answers of others went unread meanwhile, so a missing answer does not
	// show that a node is down.
	pauseThreshold = 2 * time.Second
)

// System sends heartbeats to other nodes and sets their liveness state.
type System struct {
	monitored monitorSet
	// number is that of the last heartbeat sent.
	number uint64
	// nextHeartbeat is when the next heartbeat is sent, and nextDownRound when nodes
	// that are down are next sent one. Both are Never before the first.
	nextHeartbeat, nextDownRound carobinstant.Instant
	// lastTick is the instant of the last tick; Never before the first.
	lastTick carobinstant.Instant
}

// NewSystem returns a System that draws its monitor set on the first tick.
func NewSystem() *System {
	return &System{}
}

// Run answers heartbeats, sends new ones, and updates the state of nodes that did not
// answer.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	s.resetAfterPause(world, now)
	for i := range world.Inbox.Messages {
		receive(world, now, &world.Inbox.Messages[i])
	}
	s.expireHeartbeats(world, now)
	if s.nextHeartbeat == carobinstant.Never || s.nextHeartbeat.Reached(now) {
		s.nextHeartbeat = now.Add(heartbeatInterval)
		expireSuspicions(world, now)
		s.monitorNext(world, now)
		s.retryDown(world, now)
	}
	world.WakeAt(s.nextHeartbeat)
}

// resetAfterPause discards pending heartbeats and restarts the suspicion timeouts after
// this node was paused, so that a pause of this node does not make others unreachable.
func (s *System) resetAfterPause(world *carobworld.World, now carobinstant.Instant) {
	paused := s.lastTick != carobinstant.Never && now.Sub(s.lastTick) > pauseThreshold
	s.lastTick = now
	if !paused {
		return
	}
	for number := range world.PendingHeartbeats.All() {
		world.PendingHeartbeats.Delete(number)
	}
	for _, peer := range world.Peers.All() {
		if peer.Member.Liveness == carobliveness.Suspect {
			peer.LivenessSince = now
		}
	}
}

// receive handles one message from another node.
func receive(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message) {
	if peer := world.Peers.Get(message.From); peer != nil {
		recordContact(world, now, message, peer)
	}
	if heartbeat := message.Heartbeat; heartbeat != nil {
		answer(world, message, heartbeat)
	}
}

// recordContact records that a peer is alive. If the peer sent a heartbeat, and this node has
// it as suspect or down, or with a newer incarnation, this node sends the peer that
// description, so that the peer can refute it.
func recordContact(world *carobworld.World, now carobinstant.Instant, message *carobmessage.Message, peer *carobpeer.Peer) {
	if message.Incarnation == peer.Member.Incarnation {
		peer.LastContactAt = now
	}
	outdated := message.Incarnation < peer.Member.Incarnation ||
		message.Incarnation == peer.Member.Incarnation && peer.Member.Liveness != carobliveness.Alive
	if outdated && message.Heartbeat != nil {
		world.SendMessage(carobmessage.Message{To: message.ReplyTo, Gossip: &carobgossip.Gossip{Members: []carobmember.Member{peer.Member}}})
	}
}

// answer handles a heartbeat: it forwards a relayed answer to the node that requested the
// relay, removes an answered heartbeat from the pending ones, relays a heartbeat for
// another node, or answers a heartbeat to this node.
func answer(world *carobworld.World, message *carobmessage.Message, heartbeat *carobpeerheartbeat.PeerHeartbeat) {
	switch {
	case heartbeat.Answer && heartbeat.RelayFor != "" && heartbeat.RelayFor != world.Self.PeerAddress:
		world.SendMessage(carobmessage.Message{To: heartbeat.RelayFor, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: heartbeat.Number, Node: heartbeat.Node, Answer: true, ProfilesRead: world.ProfilesRead,
		}})
	case heartbeat.Answer:
		if pending := world.PendingHeartbeats.Get(heartbeat.Number); pending != nil && pending.Node == heartbeat.Node {
			world.PendingHeartbeats.Delete(heartbeat.Number)
		}
	case heartbeat.RelayTo != "":
		world.SendMessage(carobmessage.Message{To: heartbeat.RelayTo, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: heartbeat.Number, Node: heartbeat.Node, RelayFor: message.ReplyTo, ProfilesRead: world.ProfilesRead,
		}})
	case heartbeat.Node == "" || heartbeat.Node == world.Self.Node:
		world.SendMessage(carobmessage.Message{To: message.ReplyTo, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: heartbeat.Number, Node: world.Self.Node, Answer: true, RelayFor: heartbeat.RelayFor, ProfilesRead: world.ProfilesRead, Checksums: world.Checksums(),
		}})
	}
}

// expireHeartbeats handles the heartbeats that timed out: it first requests other nodes to
// relay them, and after a second timeout suspects the node.
func (s *System) expireHeartbeats(world *carobworld.World, now carobinstant.Instant) {
	for number, pending := range world.PendingHeartbeats.All() {
		due := pending.SentAt.Add(answerTimeout)
		if pending.Relayed {
			due = due.Add(answerTimeout)
		}
		if !due.Reached(now) {
			world.WakeAt(due)
			continue
		}
		peer := world.Peers.Get(pending.Node)
		switch {
		case peer == nil || peer.LastContactAt > pending.SentAt:
			world.PendingHeartbeats.Delete(number)
		case pending.Relayed:
			world.PendingHeartbeats.Delete(number)
			suspect(world, now, peer)
		default:
			pending.Relayed = true
			relay(world, number, peer)
			world.WakeAt(due.Add(answerTimeout))
		}
	}
}

// relay requests random live peers to send the heartbeat to a node in place of this one.
func relay(world *carobworld.World, number uint64, peer *carobpeer.Peer) {
	others := world.SamplePeers(relayFanout, func(o *carobpeer.Peer) bool {
		return o.Member.Liveness == carobliveness.Alive && o.Member.Node != peer.Member.Node
	})
	for _, o := range others {
		world.SendMessage(carobmessage.Message{To: o.Member.PeerAddress, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: number, Node: peer.Member.Node, RelayTo: peer.Member.PeerAddress, ProfilesRead: world.ProfilesRead,
		}})
	}
}

func suspect(world *carobworld.World, now carobinstant.Instant, peer *carobpeer.Peer) {
	if peer.Member.Liveness != carobliveness.Alive {
		return
	}
	setLiveness(world, now, peer, carobliveness.Suspect)
}

// expireSuspicions marks suspects as unreachable that did not refute the suspicion in
// time, and removes their targets from the target table.
func expireSuspicions(world *carobworld.World, now carobinstant.Instant) {
	for _, peer := range world.Peers.All() {
		if peer.Member.Liveness == carobliveness.Suspect && peer.LivenessSince.Add(suspicionTimeout).Reached(now) {
			setLiveness(world, now, peer, carobliveness.Unreachable)
			world.DropTargets(peer.Member.Node)
		}
	}
}

// setLiveness sets the liveness state of a peer, records it in the audit trail, and
// schedules it for gossip.
func setLiveness(world *carobworld.World, now carobinstant.Instant, peer *carobpeer.Peer, liveness carobliveness.Liveness) {
	world.Audit("member", string(world.Self.Node), "node "+string(peer.Member.Node), peer.Member.Liveness.String(), liveness.String())
	peer.Member.Liveness, peer.LivenessSince, peer.GossipCount, peer.Originated = liveness, now, 0, true
	world.PeerChanges++
	world.PendingGossip.Put(peer.Member.Node, struct{}{})
}

// monitorNext sends a heartbeat to the next node of the monitor set.
func (s *System) monitorNext(world *carobworld.World, now carobinstant.Instant) {
	peer := s.monitored.next(world, now)
	if peer == nil {
		return
	}
	s.number++
	world.PendingHeartbeats.Put(s.number, carobpendingheartbeat.PendingHeartbeat{Node: peer.Member.Node, SentAt: now})
	s.sendHeartbeat(world, peer.Member)
}

// retryDown sends heartbeats to some of the nodes that are down.
func (s *System) retryDown(world *carobworld.World, now carobinstant.Instant) {
	if s.nextDownRound != carobinstant.Never && !s.nextDownRound.Reached(now) {
		return
	}
	s.nextDownRound = now.Add(downInterval)
	for _, peer := range world.SamplePeers(downFanout, func(peer *carobpeer.Peer) bool { return shouldRetry(now, peer) }) {
		s.number++
		s.sendHeartbeat(world, peer.Member)
	}
}

// shouldRetry reports whether a node that is down is to be sent a heartbeat. A node that
// left may be starting again at its address, and cannot find its peers by itself if it
// cannot read their addresses.
func shouldRetry(now carobinstant.Instant, peer *carobpeer.Peer) bool {
	switch peer.Member.Liveness {
	case carobliveness.Unreachable:
		return true
	case carobliveness.Left:
		return now.Sub(peer.LivenessSince) < restartWindow
	default:
		return false
	}
}

// sendHeartbeat sends a direct heartbeat with the checksums of this node's peer table.
func (s *System) sendHeartbeat(world *carobworld.World, member carobmember.Member) {
	world.SendMessage(carobmessage.Message{To: member.PeerAddress, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
		Number: s.number, Node: member.Node, Checksums: world.Checksums(), ProfilesRead: world.ProfilesRead,
	}})
}
