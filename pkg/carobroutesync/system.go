// Package carobroutesync puts newer route tables into force and brings them to
// the other nodes.
//
// Each control message says which version its sender has, so that a node that
// is behind finds out soon, whoever told. Tables travel only on request, and
// first between nodes of one data centre, where bytes cost least.
package carobroutesync

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutes"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// patience is how long an answer may take before another node is asked.
	patience = 250 * time.Millisecond
	// headStart is how long nodes of the own data centre have to tell of a new
	// table before one elsewhere is asked for it.
	headStart = 150 * time.Millisecond
)

// System keeps the route table up to date. Versions only ever go up.
type System struct {
	// behind is since when a newer version is known of; Never if none is.
	behind carobinstant.Instant
	// until is when the question on its way counts as lost; Never if there is none.
	until carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem() *System {
	return &System{}
}

// Run takes in tables, answers those who are behind, and asks if this node is.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, rs := range w.Inbox.Routes {
		if adopt(w, rs, "store") {
			announce(w)
		}
	}
	for i := range w.Inbox.Messages {
		ms := &w.Inbox.Messages[i]
		if ms.Routes != nil && adopt(w, ms.Routes, string(ms.From)) {
			s.until = carobinstant.Never
		}
		if ms.RouteFetch != nil && w.Routes != nil && w.Routes.Version > ms.RouteFetch.Have {
			w.Tell(carobmessage.Message{To: ms.Back, Routes: w.Routes})
		}
		note(w, ms)
	}
	s.catchUp(w, now)
}

// adopt puts a table into force if it is newer.
func adopt(w *carobworld.World, rs *carobroutes.Routes, from string) bool {
	if rs.Version <= w.RoutesVersion() {
		return false
	}
	w.NoteRoutes(from, rs)
	w.Routes = rs
	return true
}

// note remembers which version a peer has.
func note(w *carobworld.World, ms *carobmessage.Message) {
	if pr := w.Peers.Get(ms.From); pr != nil && ms.Incarnation == pr.Member.Incarnation {
		pr.Routes = max(pr.Routes, ms.RoutesVersion)
	}
}

// announce tells the nodes of the data centre that there is a newer table.
func announce(w *carobworld.World) {
	for _, pr := range w.Peers.All() {
		if pr.Member.Centre == w.Self.Centre && !pr.Member.Standing.Lost() && pr.Routes < w.Routes.Version {
			w.Tell(carobmessage.Message{To: pr.Member.Peer})
		}
	}
}

// catchUp asks a node that has a newer table, one of the own data centre first.
func (s *System) catchUp(w *carobworld.World, now carobinstant.Instant) {
	have := w.RoutesVersion()
	ahead := func(pr *carobpeer.Peer) bool { return pr.Routes > have && !pr.Member.Standing.Lost() }
	near := w.SomePeers(1, func(pr *carobpeer.Peer) bool { return ahead(pr) && pr.Member.Centre == w.Self.Centre })
	far := w.SomePeers(1, ahead)
	if len(far) == 0 {
		s.behind = carobinstant.Never
		return
	}
	if s.behind == carobinstant.Never {
		s.behind = now
	}
	switch wait := s.behind.Add(headStart); {
	case s.until != carobinstant.Never && !s.until.Reached(now):
		w.WakeAt(s.until)
	case len(near) > 0:
		s.ask(w, now, near[0])
	case wait.Reached(now) || w.Routes == nil:
		s.ask(w, now, far[0])
	default:
		w.WakeAt(wait)
	}
}

func (s *System) ask(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer) {
	s.until = now.Add(patience)
	w.WakeAt(s.until)
	w.Tell(carobmessage.Message{To: pr.Member.Peer, RouteFetch: &carobroutefetch.Fetch{Have: w.RoutesVersion()}})
}
