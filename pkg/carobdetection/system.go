// Package carobdetection finds out which nodes are there.
//
// Each node probes a few others in turn: those that follow it on a ring of all
// nodes, so that every node has some that probe it, and some at random, more in
// its own data centre than elsewhere. One that does not answer is probed through
// others. Then it is suspected, and unless it refutes that, it is unreachable. It
// is not forgotten: now and then an unreachable node is probed again.
package carobdetection

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinquiry"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// period is the time between two probes.
	period = 500 * time.Millisecond
	// patience is how long an answer may take; then others are asked to probe too,
	// and get as long again.
	patience = 500 * time.Millisecond
	// suspicion is how long a node has to refute that it is unreachable.
	suspicion = 3 * time.Second
	// relays is how many others are asked to probe.
	relays = 3
	// revisit is the time between two probes of unreachable nodes.
	revisit = 2 * time.Second
	// revisits is how many of them are probed at once: in a rolling restart several
	// are expected back.
	revisits = 3
	// restart is how long after its goodbye a node may be expected back.
	restart = 20 * time.Second
	// pause is the time without a tick after which this node was stopped for a
	// while, so that others seem silent and are not.
	pause = 2 * time.Second
)

// System probes other nodes and judges them.
type System struct {
	circle circle
	// number is that of the newest probe.
	number uint64
	// due and again are when the next probe, and that of an unreachable node, is.
	due, again carobinstant.Instant
	// last is when the newest tick was.
	last carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run answers probes, sends some, and judges those that did not answer.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.forgivePause(w, now)
	for i := range w.Inbox.Messages {
		listen(w, now, &w.Inbox.Messages[i])
	}
	s.chase(w, now)
	if s.due == carobinstant.Never || s.due.Reached(now) {
		s.due = now.Add(period)
		condemn(w, now)
		s.probe(w, now)
		s.revisit(w, now)
	}
	w.WakeAt(s.due)
}

// forgivePause gives everyone more time after this node was stopped.
func (s *System) forgivePause(w *carobworld.World, now carobinstant.Instant) {
	stopped := s.last != carobinstant.Never && now.Sub(s.last) > pause
	s.last = now
	if !stopped {
		return
	}
	for number := range w.Inquiries.All() {
		w.Inquiries.Delete(number)
	}
	for _, pr := range w.Peers.All() {
		if pr.Member.Standing == carobstanding.Suspect {
			pr.Since = now
		}
	}
}

func listen(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message) {
	if pr := w.Peers.Get(ms.From); pr != nil {
		hear(w, now, ms, pr)
	}
	if pb := ms.Probe; pb != nil {
		answer(w, ms, pb)
	}
}

// hear notes that a node is there. One that others take for lost, or for another
// incarnation, is told so, that it may refute it.
func hear(w *carobworld.World, now carobinstant.Instant, ms *carobmessage.Message, pr *carobpeer.Peer) {
	if ms.Incarnation == pr.Member.Incarnation {
		pr.Heard = now
	}
	wrong := ms.Incarnation < pr.Member.Incarnation ||
		ms.Incarnation == pr.Member.Incarnation && pr.Member.Standing != carobstanding.Alive
	if wrong && ms.Probe != nil {
		w.Tell(carobmessage.Message{To: ms.Back, Gossip: &carobgossip.Gossip{Members: []carobmember.Member{pr.Member}}})
	}
}

func answer(w *carobworld.World, ms *carobmessage.Message, pb *carobprobe.Probe) {
	switch {
	case pb.Answer && pb.Origin != "" && pb.Origin != w.Self.Peer:
		w.Tell(carobmessage.Message{To: pb.Origin, Probe: &carobprobe.Probe{
			Number: pb.Number, Node: pb.Node, Answer: true, Read: w.ProfilesRead,
		}})
	case pb.Answer:
		if iq := w.Inquiries.Get(pb.Number); iq != nil && iq.Node == pb.Node {
			w.Inquiries.Delete(pb.Number)
		}
	case pb.Goal != "":
		w.Tell(carobmessage.Message{To: pb.Goal, Probe: &carobprobe.Probe{
			Number: pb.Number, Node: pb.Node, Origin: ms.Back, Read: w.ProfilesRead,
		}})
	case pb.Node == "" || pb.Node == w.Self.Node:
		w.Tell(carobmessage.Message{To: ms.Back, Probe: &carobprobe.Probe{
			Number: pb.Number, Node: w.Self.Node, Answer: true, Origin: pb.Origin, Read: w.ProfilesRead, Sums: w.Sums(),
		}})
	}
}

// chase asks others to probe nodes that do not answer, and then suspects them.
func (s *System) chase(w *carobworld.World, now carobinstant.Instant) {
	for number, iq := range w.Inquiries.All() {
		due := iq.Sent.Add(patience)
		if iq.Relayed {
			due = due.Add(patience)
		}
		if !due.Reached(now) {
			w.WakeAt(due)
			continue
		}
		pr := w.Peers.Get(iq.Node)
		switch {
		case pr == nil || pr.Heard > iq.Sent:
			w.Inquiries.Delete(number)
		case iq.Relayed:
			w.Inquiries.Delete(number)
			suspect(w, now, pr)
		default:
			iq.Relayed = true
			relay(w, number, pr)
			w.WakeAt(due.Add(patience))
		}
	}
}

func relay(w *carobworld.World, number uint64, pr *carobpeer.Peer) {
	others := w.SomePeers(relays, func(o *carobpeer.Peer) bool {
		return o.Member.Standing == carobstanding.Alive && o.Member.Node != pr.Member.Node
	})
	for _, o := range others {
		w.Tell(carobmessage.Message{To: o.Member.Peer, Probe: &carobprobe.Probe{
			Number: number, Node: pr.Member.Node, Goal: pr.Member.Peer, Read: w.ProfilesRead,
		}})
	}
}

func suspect(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer) {
	if pr.Member.Standing != carobstanding.Alive {
		return
	}
	judge(w, now, pr, carobstanding.Suspect)
}

// condemn gives up suspects that did not refute in time.
func condemn(w *carobworld.World, now carobinstant.Instant) {
	for _, pr := range w.Peers.All() {
		if pr.Member.Standing == carobstanding.Suspect && pr.Since.Add(suspicion).Reached(now) {
			judge(w, now, pr, carobstanding.Unreachable)
			w.DropTargets(pr.Member.Node)
		}
	}
}

// judge gives a node a standing, which others will hear of.
func judge(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer, sd carobstanding.Standing) {
	w.Note("member", string(w.Self.Node), "node "+string(pr.Member.Node), pr.Member.Standing.String(), sd.String())
	pr.Member.Standing, pr.Since, pr.Told = sd, now, 0
	w.PeerChanges++
	w.News.Put(pr.Member.Node, struct{}{})
}

// probe asks the next node of the circle.
func (s *System) probe(w *carobworld.World, now carobinstant.Instant) {
	pr := s.circle.next(w, now)
	if pr == nil {
		return
	}
	s.number++
	w.Inquiries.Put(s.number, carobinquiry.Inquiry{Node: pr.Member.Node, Sent: now})
	s.ask(w, pr.Member)
}

// revisit asks some of the nodes that count as lost.
func (s *System) revisit(w *carobworld.World, now carobinstant.Instant) {
	if s.again != carobinstant.Never && !s.again.Reached(now) {
		return
	}
	s.again = now.Add(revisit)
	for _, pr := range w.SomePeers(revisits, func(pr *carobpeer.Peer) bool { return mayBeBack(now, pr) }) {
		s.number++
		s.ask(w, pr.Member)
	}
}

// mayBeBack reports whether a node is to be probed that counts as lost. One that
// said goodbye may be starting again at its address, and know nobody if it cannot
// read where the others are.
func mayBeBack(now carobinstant.Instant, pr *carobpeer.Peer) bool {
	switch pr.Member.Standing {
	case carobstanding.Unreachable:
		return true
	case carobstanding.Gone:
		return now.Sub(pr.Since) < restart
	default:
		return false
	}
}

func (s *System) ask(w *carobworld.World, mb carobmember.Member) {
	w.Tell(carobmessage.Message{To: mb.Peer, Probe: &carobprobe.Probe{
		Number: s.number, Node: mb.Node, Sums: w.Sums(), Read: w.ProfilesRead,
	}})
}
