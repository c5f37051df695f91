// Package carobfollowing decides which nodes follow the operator's records in
// the store, where each call has its price.
//
// In each data centre one node follows: the first by name of those that are
// there and can read the store. All nodes work that out alike from what they
// know of each other, without a vote. A node that cannot read says so in its
// word, and the next one follows; two at once do no harm.
package carobfollowing

import (
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// System decides whether this node follows.
type System struct{}

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
