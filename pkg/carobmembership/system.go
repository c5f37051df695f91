// Package carobmembership keeps the tables of other nodes and of their targets
// from the words about them.
//
// Of two words about a node the newer one stands: the higher incarnation, then
// the higher beat, which the node itself raises, then the worse standing, which
// others give it. So a node that was replaced is taken over at once, and a node
// that is wrongly suspected refutes that by a new beat.
package carobmembership

import (
	"slices"
	"time"

	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// keepUnreachable is how long a node that does not answer is kept, and tried
	// again. Regions lose each other for an hour now and then.
	keepUnreachable = 6 * time.Hour
	// keepGone is how long a node that said goodbye is kept, so that an old word
	// about it does not bring it back.
	keepGone = 10 * time.Minute
	// sweep is the time between two looks for rows to drop.
	sweep = time.Minute
)

// System merges the words about other nodes.
type System struct {
	// twin is the newest other incarnation of this node's name that was noted.
	twin carobincarnation.Incarnation
	// due is when rows are next dropped.
	due carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run merges what came and drops rows that are lost for long.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, ms := range w.Inbox.Messages {
		if ms.Gossip == nil {
			continue
		}
		for _, mb := range ms.Gossip.Members {
			s.merge(w, now, mb, ms.Gossip.Asked)
		}
	}
	if s.due == carobinstant.Never || s.due.Reached(now) {
		drop(w, now)
		s.due = now.Add(sweep)
	}
	w.WakeAt(s.due)
}

func (s *System) merge(w *carobworld.World, now carobinstant.Instant, mb carobmember.Member, asked bool) {
	if mb.Node == w.Self.Node {
		s.hearOfSelf(w, mb)
		return
	}
	old := w.Peers.Get(mb.Node)
	if old == nil && mb.Standing.Lost() || old != nil && !mb.Newer(old.Member) {
		return
	}
	same := old != nil && sameTargets(old.Member, mb)
	if w.Peers.Put(mb.Node, follow(old, mb, now)) == nil {
		return
	}
	w.PeerChanges++
	if !asked {
		w.News.Put(mb.Node, struct{}{})
	}
	if !same {
		replaceTargets(w, mb)
	}
}

// follow returns the row that a newer word makes of an old row, or of none.
func follow(old *carobpeer.Peer, mb carobmember.Member, now carobinstant.Instant) carobpeer.Peer {
	next := carobpeer.Peer{Member: mb, Heard: now, Since: now}
	if old != nil && old.Member.Standing == mb.Standing && old.Member.Incarnation == mb.Incarnation {
		next.Heard, next.Since, next.Routes = old.Heard, old.Since, old.Routes
	}
	return next
}

// hearOfSelf refutes a bad standing, and notes a twin.
func (s *System) hearOfSelf(w *carobworld.World, mb carobmember.Member) {
	if mb.Incarnation == w.Self.Incarnation {
		if mb.Standing != carobstanding.Alive && mb.Beat >= w.Self.Beat && !w.Farewell {
			w.Self.Beat = mb.Beat + 1
		}
		return
	}
	if mb.Incarnation > w.Self.Incarnation && mb.Incarnation > s.twin {
		s.twin = mb.Incarnation
		w.Note("member", string(mb.Node), "name is used twice", string(w.Self.Peer), string(mb.Peer))
	}
}

// sameTargets reports whether two words of a node mean the same for calls.
func sameTargets(a, b carobmember.Member) bool {
	return a.Standing.Lost() == b.Standing.Lost() && a.Leaving == b.Leaving && slices.Equal(a.Targets, b.Targets)
}

// replaceTargets makes the table of targets match a node's word. Those of a lost
// node are taken out, and stay in the node's row.
func replaceTargets(w *carobworld.World, mb carobmember.Member) {
	w.DropTargets(mb.Node)
	if mb.Standing.Lost() {
		return
	}
	for _, tg := range mb.Targets {
		place(w, mb, tg)
	}
}

// place puts a target in the table, unless it is this node's own or stands on a
// node that was heard of later.
func place(w *carobworld.World, mb carobmember.Member, tg carobtarget.Target) {
	tg.Node = mb.Node
	if mb.Leaving {
		tg.State = carobreadiness.Leaving
	}
	if there := w.Targets.Get(tg.ID); there != nil && w.Owns(there) {
		return
	}
	w.Targets.Put(tg.ID, tg)
}

func drop(w *carobworld.World, now carobinstant.Instant) {
	for id, pr := range w.Peers.All() {
		age := now.Sub(pr.Since)
		if pr.Member.Standing == carobstanding.Unreachable && age > keepUnreachable ||
			pr.Member.Standing == carobstanding.Gone && age > keepGone {
			w.Peers.Delete(id)
			w.PeerChanges++
		}
	}
}
