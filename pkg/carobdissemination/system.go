// Package carobdissemination passes news about nodes on.
//
// Each word is passed on a few times by each node that learns it: at once to some
// nodes at random, and then along with probes, which go anyway. The word reaches
// nearly all nodes so, in a number of steps that grows with the logarithm of
// their number; reconciliation makes up for the rest. Nothing is sent when there
// is no news, and a throttle caps what much news costs.
package carobdissemination

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobrate"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobthrottle"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// interval is the time between two floods of news.
	interval = 50 * time.Millisecond
	// fanout is how many nodes a flood goes to.
	fanout = 3
	// floods is how often a word is flooded, and passes how often it is passed on
	// in all.
	floods = 2
	passes = 6
	// large and small are about how many bytes of words a flood and a probe take.
	large = 4096
	small = 1024
)

// System passes news on.
type System struct {
	throttle *carobthrottle.Throttle
	// beat is that of the newest own word, and passed how often it was passed on.
	beat   uint64
	passed int
	// next is when the next flood may start.
	next carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{throttle: carobthrottle.NewThrottle(carobthrottle.Config{
		Rate: carobrate.Rate(8 * carobsize.KiB), Burst: 64 * carobsize.KiB,
	})}
}

// Run passes on what is new. It runs after all systems that make news.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	if w.Outbox.Stopped {
		sayGoodbye(w)
		return
	}
	if w.Self.Beat != s.beat {
		s.beat, s.passed = w.Self.Beat, 0
	}
	s.ride(w)
	s.flood(w, now)
}

// flood sends the newest words to some nodes at once. A new own word does not wait
// for the interval: it may say that a target is leaving.
func (s *System) flood(w *carobworld.World, now carobinstant.Instant) {
	if !s.hasNews(w) {
		return
	}
	if s.passed > 0 && s.next != carobinstant.Never && !s.next.Reached(now) {
		w.WakeAt(s.next)
		return
	}
	s.next = now.Add(interval)
	w.WakeAt(s.next)
	to := recipients(w)
	if len(to) == 0 || !s.throttle.Spend(now, 0) {
		return
	}
	members := s.pick(w, floods, large)
	for _, pr := range to {
		send(w, pr.Member, members)
		s.throttle.Spend(now, weigh(members))
	}
}

func (s *System) hasNews(w *carobworld.World) bool {
	if s.passed < floods {
		return true
	}
	for id := range w.News.All() {
		if pr := w.Peers.Get(id); pr != nil && pr.Told < floods {
			return true
		}
	}
	return false
}

// ride adds words to the probes of this tick.
func (s *System) ride(w *carobworld.World) {
	if s.passed >= passes && w.News.Len() == 0 {
		return
	}
	for _, ms := range w.Outbox.Messages {
		if ms.Probe == nil {
			continue
		}
		if members := s.pick(w, passes, small); len(members) > 0 {
			w.Tell(carobmessage.Message{To: ms.To, Gossip: &carobgossip.Gossip{Members: members}})
		}
	}
}

// pick returns words that were passed on less often than most, the newest first,
// and counts them as passed on. Words that were passed on enough are news no more.
func (s *System) pick(w *carobworld.World, most, weight int) []carobmember.Member {
	var members []carobmember.Member
	if s.passed < most {
		s.passed++
		mb := w.Describe()
		members = append(members, mb)
		weight -= mb.Weight()
	}
	for _, pr := range candidates(w, most) {
		weight -= pr.Member.Weight()
		if weight < 0 && len(members) > 0 || len(members) == carobgossip.Most {
			break
		}
		pr.Told++
		members = append(members, pr.Member)
	}
	return members
}

func candidates(w *carobworld.World, most int) []*carobpeer.Peer {
	var rows []*carobpeer.Peer
	for id := range w.News.All() {
		pr := w.Peers.Get(id)
		if pr == nil || pr.Told >= passes {
			w.News.Delete(id)
			continue
		}
		if pr.Told < most {
			rows = append(rows, pr)
		}
	}
	slices.SortStableFunc(rows, func(a, b *carobpeer.Peer) int { return cmp.Compare(a.Told, b.Told) })
	return rows
}

// recipients picks nodes at random, most of them in the own data centre.
func recipients(w *carobworld.World) []*carobpeer.Peer {
	near := w.SomePeers(fanout, func(pr *carobpeer.Peer) bool { return reachable(pr) && pr.Member.Centre == w.Self.Centre })
	far := w.SomePeers(fanout, func(pr *carobpeer.Peer) bool { return reachable(pr) && pr.Member.Centre != w.Self.Centre })
	fromFar := min(len(far), max(1, fanout-len(near)))
	return append(far[:fromFar], near[:min(len(near), fanout-fromFar)]...)
}

func reachable(pr *carobpeer.Peer) bool {
	return !pr.Member.Standing.Lost()
}

// sayGoodbye tells some nodes that this one is about to end.
func sayGoodbye(w *carobworld.World) {
	if w.Farewell {
		return
	}
	w.Farewell = true
	w.Self.Beat++
	mb := w.Describe()
	mb.Standing = carobstanding.Gone
	w.Note("member", string(w.Self.Node), "node "+string(w.Self.Node), carobstanding.Alive.String(), mb.Standing.String())
	for _, pr := range recipients(w) {
		send(w, pr.Member, []carobmember.Member{mb})
	}
}

// weigh returns about how many bytes some words take.
func weigh(members []carobmember.Member) int {
	weight := 0
	for i := range members {
		weight += members[i].Weight()
	}
	return weight
}

func send(w *carobworld.World, to carobmember.Member, members []carobmember.Member) {
	w.Tell(carobmessage.Message{To: to.Peer, Gossip: &carobgossip.Gossip{Members: members}})
}
