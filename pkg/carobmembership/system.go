// Package carobmembership keeps the tables of other nodes and of their targets.
package carobmembership

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Config is how the system is made.
type Config struct {
	// Period is the time between two rounds of gossip.
	Period time.Duration
	// Fanout is how many nodes a round reaches.
	Fanout int
	// Seeds are addresses of nodes to begin with.
	Seeds []carobaddress.Address
}

// System merges what other nodes tell, and tells them what this node knows.
type System struct {
	config Config
	// due is when the next round starts.
	due carobinstant.Instant
	// told is the beat of this node that others were last told.
	told uint64
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{config: c}
}

// Run takes in gossip and starts a round when one is due or this node changed.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	s.join(w, now)
	for _, ms := range w.Inbox.Messages {
		if ms.Gossip != nil {
			hear(w, now, ms.Gossip)
		}
	}
	if s.due == carobinstant.Never || s.due.Reached(now) || s.told != w.Self.Beat {
		s.round(w)
		s.due = now.Add(s.config.Period)
	}
	w.WakeAt(s.due)
}

// join takes in the nodes that announced themselves in the log.
func (s *System) join(w *carobworld.World, now carobinstant.Instant) {
	for _, rc := range w.Inbox.Records {
		if rc.Stream != carobstream.Nodes {
			continue
		}
		var mb carobmember.Member
		if json.Unmarshal(rc.Data, &mb) == nil {
			merge(w, now, mb)
		}
	}
}

func hear(w *carobworld.World, now carobinstant.Instant, gs *carobgossip.Gossip) {
	for _, mb := range gs.Members {
		merge(w, now, mb)
	}
}

func merge(w *carobworld.World, now carobinstant.Instant, mb carobmember.Member) {
	if mb.Node == w.Self.Node {
		return
	}
	if pr := w.Peers.Get(mb.Node); pr != nil && !mb.Newer(pr.Member) {
		return
	}
	if w.Peers.Put(mb.Node, carobpeer.Peer{Member: mb, Heard: now}) == nil {
		return
	}
	replaceTargets(w, mb)
}

// replaceTargets makes the table of targets match a node's word.
func replaceTargets(w *carobworld.World, mb carobmember.Member) {
	for id, tg := range w.Targets.All() {
		if tg.Node == mb.Node {
			w.Targets.Delete(id)
		}
	}
	for _, tg := range mb.Targets {
		tg.Node = mb.Node
		if own := w.Targets.Get(tg.ID); own != nil && w.Owns(own) {
			continue
		}
		w.Targets.Put(tg.ID, tg)
	}
	w.TargetsChanged = true
}

// round tells this node's view to some other nodes.
func (s *System) round(w *carobworld.World) {
	w.Self.Beat++
	s.told = w.Self.Beat
	members := []carobmember.Member{describe(w)}
	var addresses []carobaddress.Address
	for _, pr := range w.Peers.All() {
		members = append(members, pr.Member)
		addresses = append(addresses, pr.Member.Peer)
	}
	addresses = append(addresses, s.config.Seeds...)
	w.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, ad := range addresses[:min(s.config.Fanout, len(addresses))] {
		if ad != w.Self.Peer {
			w.Tell(carobmessage.Message{To: ad, Gossip: &carobgossip.Gossip{Members: members}})
		}
	}
}

// describe returns this node as others hear of it.
func describe(w *carobworld.World) carobmember.Member {
	mb := w.Self
	mb.Leaving = w.Stopping
	mb.Targets = nil
	for _, tg := range w.Targets.All() {
		if w.Owns(tg) {
			mb.Targets = append(mb.Targets, *tg)
		}
	}
	return mb
}
