// Package carobfollowing decides which nodes follow the operator's records in
// the store, where each call has its price.
//
// In each data centre one node follows: the first by name of those that are
// there and can read the store. All nodes work that out alike from what they
// know of each other, without a vote. A node that cannot read says so in its
// word, and the next one follows; two at once do no harm.
//
// A read that the store holds until something comes may miss it: seen when the
// store had been slow, for all followers at once. So no read is held for long, and
// the followers' reads end at different times; what one finds all others hear of.
package carobfollowing

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// fresh is the mean time between the beginnings of two reads, of all followers
// together.
const fresh = 750 * time.Millisecond

// System decides whether this node follows.
type System struct {
	// centres counts the data centres as of the change of Peers that counted is one
	// more than.
	centres int
	counted uint64
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes in how the store answers, and decides anew.
func (s *System) Run(w *carobworld.World, _ carobinstant.Instant) {
	for _, blind := range w.Inbox.Blind {
		if blind != w.Self.Blind {
			w.Self.Blind = blind
			w.Self.Beat++
		}
	}
	// A node that knows no routes looks for them itself, whoever else does.
	w.Outbox.Following = !w.Stopping && (w.Routes == nil || first(w))
	if w.Outbox.Following {
		w.Outbox.Hold = fresh * time.Duration(s.followers(w))
	}
}

// followers returns how many nodes follow, one in each data centre.
func (s *System) followers(w *carobworld.World) int {
	if s.counted == w.PeerChanges+1 {
		return s.centres
	}
	centres := map[carobcentre.Centre]struct{}{w.Self.Centre: {}}
	for _, pr := range w.Peers.All() {
		if pr.Member.Standing == carobstanding.Alive {
			centres[pr.Member.Centre] = struct{}{}
		}
	}
	s.centres, s.counted = len(centres), w.PeerChanges+1
	return s.centres
}

// first reports whether no other node of the data centre comes before this one.
func first(w *carobworld.World) bool {
	return len(w.SomePeers(1, func(pr *carobpeer.Peer) bool {
		mb := &pr.Member
		if mb.Centre != w.Self.Centre || mb.Standing != carobstanding.Alive || mb.Leaving {
			return false
		}
		if mb.Blind != w.Self.Blind {
			return w.Self.Blind
		}
		return mb.Node < w.Self.Node
	})) == 0
}
