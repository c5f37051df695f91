// Package carobroutesync applies newer route tables and distributes them among nodes.
//
// Each control message carries the version of its sender's route table, so a node that has
// an older one learns so from any message. Tables are sent only on request, and preferably
// between nodes of one data centre, where traffic is cheapest.
package carobroutesync

import (
	"time"

	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobroutefetch"
	"github.com/carobknot/carobknot/pkg/carobroutetable"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// answerTimeout is how long to wait for an answer before the request is sent to
	// another node.
	answerTimeout = 250 * time.Millisecond
	// localHeadStart is how long to wait for a node of this data centre to announce a newer
	// table before it is requested from a node elsewhere.
	localHeadStart = 150 * time.Millisecond
)

// System keeps the route table up to date. The version never decreases.
type System struct {
	// behindSince is since when a peer is known to have a newer version; Never if none has.
	behindSince carobinstant.Instant
	// requestDeadline is when the pending request times out; Never if there is none.
	requestDeadline carobinstant.Instant
}

// NewSystem returns a System without a pending request.
func NewSystem() *System {
	return &System{}
}

// Run applies newer tables, answers requests, and requests a newer table if a peer has
// one.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	for _, table := range w.Inbox.RouteTables {
		if apply(w, table, "store") {
			announce(w)
		}
	}
	for i := range w.Inbox.Messages {
		ms := &w.Inbox.Messages[i]
		if ms.RouteTable != nil && apply(w, ms.RouteTable, string(ms.From)) {
			s.requestDeadline = carobinstant.Never
		}
		if ms.RouteFetch != nil && w.RouteTable != nil && w.RouteTable.Version > ms.RouteFetch.Version {
			w.SendMessage(carobmessage.Message{To: ms.ReplyTo, RouteTable: w.RouteTable})
		}
		recordVersion(w, ms)
	}
	s.requestNewer(w, now)
}

// apply applies a table and reports true if it is newer than the one in force.
func apply(w *carobworld.World, table *carobroutetable.RouteTable, from string) bool {
	if table.Version <= w.RoutesVersion() {
		return false
	}
	w.AuditRoutes(from, table)
	w.RouteTable = table
	return true
}

// recordVersion records which version of the route table a peer has.
func recordVersion(w *carobworld.World, ms *carobmessage.Message) {
	if pr := w.Peers.Get(ms.From); pr != nil && ms.Incarnation == pr.Member.Incarnation {
		pr.RoutesVersion = max(pr.RoutesVersion, ms.RoutesVersion)
	}
}

// announce sends the version of a new table to the nodes of this data centre that have an
// older one.
func announce(w *carobworld.World) {
	for _, pr := range w.Peers.All() {
		if pr.Member.Centre == w.Self.Centre && !pr.Member.Liveness.Down() && pr.RoutesVersion < w.RouteTable.Version {
			w.SendMessage(carobmessage.Message{To: pr.Member.PeerAddress})
		}
	}
}

// requestNewer requests a newer table from a peer that has one, preferably of this data
// centre. Only one request is pending at a time. A node without any table does not wait
// for its data centre.
func (s *System) requestNewer(w *carobworld.World, now carobinstant.Instant) {
	have := w.RoutesVersion()
	ahead := func(pr *carobpeer.Peer) bool { return pr.RoutesVersion > have && !pr.Member.Liveness.Down() }
	near := w.SamplePeers(1, func(pr *carobpeer.Peer) bool { return ahead(pr) && pr.Member.Centre == w.Self.Centre })
	far := w.SamplePeers(1, ahead)
	if len(far) == 0 {
		s.behindSince = carobinstant.Never
		return
	}
	if s.behindSince == carobinstant.Never {
		s.behindSince = now
	}
	switch wait := s.behindSince.Add(localHeadStart); {
	case s.requestDeadline != carobinstant.Never && !s.requestDeadline.Reached(now):
		w.WakeAt(s.requestDeadline)
	case len(near) > 0:
		s.request(w, now, near[0])
	case wait.Reached(now) || w.RouteTable == nil:
		s.request(w, now, far[0])
	default:
		w.WakeAt(wait)
	}
}

func (s *System) request(w *carobworld.World, now carobinstant.Instant, pr *carobpeer.Peer) {
	s.requestDeadline = now.Add(answerTimeout)
	w.WakeAt(s.requestDeadline)
	w.SendMessage(carobmessage.Message{To: pr.Member.PeerAddress, RouteFetch: &carobroutefetch.Fetch{Version: w.RoutesVersion()}})
}
