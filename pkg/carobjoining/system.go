// Package carobjoining brings nodes together that do not know each other yet.
//
// Each node appends its word to a stream of the log when it starts, and again
// before the record expires. The records say where nodes were, not whether they
// are there still; so they are only used to say hello. Who answers is there.
package carobjoining

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobappend"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprobe"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// renewal is the time after which the record is appended again, up to a
	// quarter less. The log's retention has to be longer.
	renewal = time.Hour
	// alone is the time between two hellos while no other node is known, and
	// greetings how many nodes they go to.
	alone     = 500 * time.Millisecond
	greetings = 3
	// settled is the time between two hellos to nodes that are not known, though
	// others are: they may have found together apart from this one.
	settled = 10 * time.Second
	// heard is the time, up to twice, after which a node that the log names gets
	// a hello, if news of it has not come otherwise by then.
	heard = time.Second
)

// Config is how the system is made.
type Config struct {
	// Seeds are addresses of nodes to begin with.
	Seeds []carobaddress.Address
}

// System says hello to nodes that are not known.
type System struct {
	seeds []carobaddress.Address
	// due is when the next hello is; renew, when the own record is appended.
	due, renew carobinstant.Instant
}

// NewSystem returns the system.
func NewSystem(c Config) *System {
	return &System{seeds: c.Seeds}
}

// Run notes the nodes that the log names, and says hello to some.
func (s *System) Run(w *carobworld.World, now carobinstant.Instant) {
	found := read(w)
	if s.renew == carobinstant.Never {
		w.Note("member", string(w.Self.Node), "node "+string(w.Self.Node), "none", carobstanding.Alive.String())
	}
	if s.renew == carobinstant.Never || s.renew.Reached(now) {
		s.renew = now.Add(renewal - time.Duration(w.Random.Int64N(int64(renewal/4))))
		register(w)
	}
	if found && s.due != carobinstant.Never {
		s.due = carobinstant.Earlier(s.due, now.Add(heard+time.Duration(w.Random.Int64N(int64(heard)))))
	}
	lonely := len(w.SomePeers(1, answers)) == 0
	if s.due == carobinstant.Never || s.due.Reached(now) || found && lonely {
		s.greet(w, lonely)
		s.due = now.Add(settled)
		if lonely {
			s.due = now.Add(alone)
		}
	}
	w.WakeAt(carobinstant.Earlier(s.due, s.renew))
}

func answers(pr *carobpeer.Peer) bool {
	return !pr.Member.Standing.Lost()
}

// read notes where nodes were, and reports whether there were any.
func read(w *carobworld.World) bool {
	found := false
	for _, rc := range w.Inbox.Records {
		if rc.Stream != carobstream.Nodes {
			continue
		}
		var mb carobmember.Member
		if json.Unmarshal(rc.Data, &mb) != nil || mb.Check() != nil || mb.Node == w.Self.Node {
			continue
		}
		w.Hints.Put(mb.Node, mb.Peer)
		found = true
	}
	return found
}

// register appends the own word to the log.
func register(w *carobworld.World) {
	mb := w.Self
	data, err := json.Marshal(mb)
	if err != nil {
		return
	}
	w.Outbox.Appends = append(w.Outbox.Appends, carobappend.Append{Stream: carobstream.Nodes, Data: data})
}

func (s *System) greet(w *carobworld.World, lonely bool) {
	known := map[carobaddress.Address]bool{w.Self.Peer: true}
	for _, pr := range w.Peers.All() {
		if answers(pr) {
			known[pr.Member.Peer] = true
		}
	}
	var strangers []carobaddress.Address
	for _, ad := range s.seeds {
		if !known[ad] {
			strangers = append(strangers, ad)
		}
	}
	for id, ad := range w.Hints.All() {
		if known[*ad] {
			w.Hints.Delete(id)
			continue
		}
		strangers = append(strangers, *ad)
	}
	w.Random.Shuffle(len(strangers), func(i, j int) { strangers[i], strangers[j] = strangers[j], strangers[i] })
	most := 1
	if lonely {
		most = greetings
	}
	for _, ad := range strangers[:min(most, len(strangers))] {
		hello(w, ad)
	}
}

func hello(w *carobworld.World, to carobaddress.Address) {
	w.Tell(carobmessage.Message{To: to, Gossip: &carobgossip.Gossip{Members: []carobmember.Member{w.Describe()}}})
	w.Tell(carobmessage.Message{To: to, Probe: &carobprobe.Probe{Sums: w.Sums(), Read: w.ProfilesRead}})
}
