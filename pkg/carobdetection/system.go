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
	// pauseThreshold is the time between two ticks from which on this node counts as
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
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.resetAfterPause(w, now)
	for i := range w.Inbox.Messages {
		receive(w, now, &w.Inbox.Messages[i])
	}
	s.expireHeartbeats(w, now)
	if s.nextHeartbeat == carobinstant.Never || s.nextHeartbeat.Reached(now) {
		s.nextHeartbeat = now.Add(heartbeatInterval)
		expireSuspicions(w, now)
		s.monitorNext(w, now)
		s.retryDown(w, now)
	}
	w.WakeAt(s.nextHeartbeat)
}

// resetAfterPause discards pending heartbeats and restarts the suspicion time-outs after
// this node was paused, so that a pause of this node does not make others unreachable.
func (s *System) resetAfterPause(w *carobworld.World, now carobinstant.Instant) {
	paused := s.lastTick != carobinstant.Never && now.Sub(s.lastTick) > pauseThreshold
	s.lastTick = now
	if !paused {
		return
	}
	for number := range w.PendingHeartbeats.All() {
		w.PendingHeartbeats.Delete(number)
	}
	for _, pr := range w.Peers.All() {
		if pr.Member.Liveness == carobliveness.Suspect {
			pr.LivenessSince = now
		}
	}
}

// receive handles one message from another node.
func receive(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message) {
	if pr := w.Peers.Get(ms.From); pr != nil {
		recordContact(w, now, ms, pr)
	}
	if hb := ms.Heartbeat; hb != nil {
		answer(w, ms, hb)
	}
}

// recordContact records that a peer is alive. If this node has the peer as suspect or down,
// or with a newer incarnation, it sends the peer that description, so that the peer can
// refute it.
func recordContact(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message, pr *carobpeer.Peer) {
	if ms.Incarnation == pr.Member.Incarnation {
		pr.LastContactAt = now
	}
	outdated := ms.Incarnation < pr.Member.Incarnation ||
		ms.Incarnation == pr.Member.Incarnation && pr.Member.Liveness != carobliveness.Alive
	if outdated && ms.Heartbeat != nil {
		w.SendMessage(carobmessage.Message{To: ms.ReplyTo, Gossip: &carobgossip.Gossip{Members: []carobmember.Member{pr.Member}}})
	}
}

// answer handles a heartbeat: it forwards a relayed answer to the node that requested the
// relay, removes an answered heartbeat from the pending ones, relays a heartbeat for
// another node, or answers a heartbeat to this node.
func answer(w *carobworld.World, ms *carobmessage.Message, hb *carobpeerheartbeat.PeerHeartbeat) {
	switch {
	case hb.Answer && hb.RelayFor != "" && hb.RelayFor != w.Self.PeerAddress:
		w.SendMessage(carobmessage.Message{To: hb.RelayFor, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: hb.Number, Node: hb.Node, Answer: true, ProfilesRead: w.ProfilesRead,
		}})
	case hb.Answer:
		if ph := w.PendingHeartbeats.Get(hb.Number); ph != nil && ph.Node == hb.Node {
			w.PendingHeartbeats.Delete(hb.Number)
		}
	case hb.RelayTo != "":
		w.SendMessage(carobmessage.Message{To: hb.RelayTo, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: hb.Number, Node: hb.Node, RelayFor: ms.ReplyTo, ProfilesRead: w.ProfilesRead,
		}})
	case hb.Node == "" || hb.Node == w.Self.Node:
		w.SendMessage(carobmessage.Message{To: ms.ReplyTo, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: hb.Number, Node: w.Self.Node, Answer: true, RelayFor: hb.RelayFor, ProfilesRead: w.ProfilesRead, Checksums: w.Checksums(),
		}})
	}
}

// expireHeartbeats handles the heartbeats that timed out: it first requests other nodes to
// relay them, and after a second time-out suspects the node.
func (s *System) expireHeartbeats(w *carobworld.World, now carobinstant.Instant) {
	for number, ph := range w.PendingHeartbeats.All() {
		due := ph.SentAt.Add(answerTimeout)
		if ph.Relayed {
			due = due.Add(answerTimeout)
		}
		if !due.Reached(now) {
			w.WakeAt(due)
			continue
		}
		pr := w.Peers.Get(ph.Node)
		switch {
		case pr == nil || pr.LastContactAt > ph.SentAt:
			w.PendingHeartbeats.Delete(number)
		case ph.Relayed:
			w.PendingHeartbeats.Delete(number)
			suspect(w, now, pr)
		default:
			ph.Relayed = true
			relay(w, number, pr)
			w.WakeAt(due.Add(answerTimeout))
		}
	}
}

// relay requests random live peers to send the heartbeat to a node in place of this one.
func relay(w *carobworld.World, number uint64, pr *carobpeer.Peer) {
	others := w.SamplePeers(relayFanout, func(o *carobpeer.Peer) bool {
		return o.Member.Liveness == carobliveness.Alive && o.Member.Node != pr.Member.Node
	})
	for _, o := range others {
		w.SendMessage(carobmessage.Message{To: o.Member.PeerAddress, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
			Number: number, Node: pr.Member.Node, RelayTo: pr.Member.PeerAddress, ProfilesRead: w.ProfilesRead,
		}})
	}
}

func suspect(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer) {
	if pr.Member.Liveness != carobliveness.Alive {
		return
	}
	setLiveness(w, now, pr, carobliveness.Suspect)
}

// expireSuspicions marks suspects as unreachable that did not refute the suspicion in
// time, and removes their targets from the target table.
func expireSuspicions(w *carobworld.World, now carobinstant.Instant) {
	for _, pr := range w.Peers.All() {
		if pr.Member.Liveness == carobliveness.Suspect && pr.LivenessSince.Add(suspicionTimeout).Reached(now) {
			setLiveness(w, now, pr, carobliveness.Unreachable)
			w.DropTargets(pr.Member.Node)
		}
	}
}

// setLiveness sets the liveness state of a peer, records it in the audit trail, and
// schedules it for gossip.
func setLiveness(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer, liveness carobliveness.Liveness) {
	w.Audit("member", string(w.Self.Node), "node "+string(pr.Member.Node), pr.Member.Liveness.String(), liveness.String())
	pr.Member.Liveness, pr.LivenessSince, pr.GossipCount = liveness, now, 0
	w.PeerChanges++
	w.PendingGossip.Put(pr.Member.Node, struct{}{})
}

// monitorNext sends a heartbeat to the next node of the monitor set.
func (s *System) monitorNext(w *carobworld.World, now carobinstant.Instant) {
	pr := s.monitored.next(w, now)
	if pr == nil {
		return
	}
	s.number++
	w.PendingHeartbeats.Put(s.number, carobpendingheartbeat.PendingHeartbeat{Node: pr.Member.Node, SentAt: now})
	s.sendHeartbeat(w, pr.Member)
}

// retryDown sends heartbeats to some of the nodes that are down.
func (s *System) retryDown(w *carobworld.World, now carobinstant.Instant) {
	if s.nextDownRound != carobinstant.Never && !s.nextDownRound.Reached(now) {
		return
	}
	s.nextDownRound = now.Add(downInterval)
	for _, pr := range w.SamplePeers(downFanout, func(pr *carobpeer.Peer) bool { return shouldRetry(now, pr) }) {
		s.number++
		s.sendHeartbeat(w, pr.Member)
	}
}

// shouldRetry reports whether a node that is down is to be sent a heartbeat. A node that
// left may be starting again at its address, and cannot find its peers by itself if it
// cannot read their addresses.
func shouldRetry(now carobinstant.Instant, pr *carobpeer.Peer) bool {
	switch pr.Member.Liveness {
	case carobliveness.Unreachable:
		return true
	case carobliveness.Left:
		return now.Sub(pr.LivenessSince) < restartWindow
	default:
		return false
	}
}

// sendHeartbeat sends a direct heartbeat with the checksums of this node's peer table.
func (s *System) sendHeartbeat(w *carobworld.World, mb carobmember.Member) {
	w.SendMessage(carobmessage.Message{To: mb.PeerAddress, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{
		Number: s.number, Node: mb.Node, Checksums: w.Checksums(), ProfilesRead: w.ProfilesRead,
	}})
}
