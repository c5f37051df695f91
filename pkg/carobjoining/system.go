// Package carobjoining connects nodes that do not know each other yet.
//
// Each node appends its description to a stream of the log when it starts, and again
// before the record expires. A record states where a node was, not whether it is still
// there. So records only supply addresses to contact; an answer shows that the node is
// alive.
package carobjoining

import (
	"encoding/json"
	"time"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobgossip"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobretriedappend"
	"github.com/carobknot/carobknot/pkg/carobstream"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	// renewInterval is the longest time after which the node's own record is appended
	// again; a random jitter of up to a quarter shortens it. The log's retention has to
	// be longer.
	renewInterval = time.Hour
	// maxRewriteDelay is the longest delay before the own record is appended again after the
	// store was restored, which may have lost it. All nodes do so, each after a random delay.
	maxRewriteDelay = 2 * time.Second
	// isolatedInterval is the time between two contact rounds while no other node is
	// known, and isolatedContacts the number of nodes contacted in each.
	isolatedInterval = 500 * time.Millisecond
	isolatedContacts = 3
	// contactInterval is the time between two contact rounds while other nodes are
	// known. Unknown nodes are contacted even then, because they may have formed a
	// separate group.
	contactInterval = 10 * time.Second
	// contactDelay is the shortest delay before a node with a record in the log is
	// contacted; a random jitter at most doubles it. It is not contacted if gossip about
	// it arrives within the delay.
	contactDelay = time.Second
)

// Config holds the settings of the system.
type Config struct {
	// Seeds are addresses of other nodes to contact at the start.
	Seeds []carobaddress.Address
}

// System contacts nodes that are not known as peers.
type System struct {
	seeds []carobaddress.Address
	// nextContact is when the next contact round is, and nextRenewal when the node's own
	// record is appended again. Both are Never before the first tick.
	nextContact, nextRenewal carobinstant.Instant
}

// NewSystem returns a System that contacts nodes and appends its record on the first tick.
func NewSystem(c Config) *System {
	return &System{seeds: c.Seeds}
}

// Run stores the descriptions in the log's records, appends the node's own record when it is
// due, and contacts some unknown nodes.
func (s *System) Run(world *carobworld.World, now carobinstant.Instant) {
	found := storeMembers(world)
	s.renew(world, now)
	if found && s.nextContact != carobinstant.Never {
		s.nextContact = carobinstant.Earlier(s.nextContact, now.Add(contactDelay+time.Duration(world.Random.Int64N(int64(contactDelay)))))
	}
	isolated := !world.AnyPeer(isReachable)
	if s.nextContact == carobinstant.Never || s.nextContact.Reached(now) || found && isolated {
		s.contactUnknown(world, isolated)
		s.nextContact = now.Add(contactInterval)
		if isolated {
			s.nextContact = now.Add(isolatedInterval)
		}
	}
	world.WakeAt(carobinstant.Earlier(s.nextContact, s.nextRenewal))
}

// renew appends the node's own record when it is due: at the start, before it expires, and
// after the store was restored.
func (s *System) renew(world *carobworld.World, now carobinstant.Instant) {
	if s.nextRenewal == carobinstant.Never {
		world.Audit("member", string(world.Self.Node), "node "+string(world.Self.Node), "none", carobliveness.Alive.String())
	} else if world.StoreRestored {
		s.nextRenewal = carobinstant.Earlier(s.nextRenewal, now.Add(time.Duration(world.Random.Int64N(int64(maxRewriteDelay)))))
	}
	if s.nextRenewal == carobinstant.Never || s.nextRenewal.Reached(now) {
		s.nextRenewal = now.Add(renewInterval - time.Duration(world.Random.Int64N(int64(renewInterval/4))))
		appendOwnRecord(world)
	}
}

func isReachable(peer *carobpeer.Peer) bool {
	return !peer.Member.Liveness.Down()
}

// storeMembers stores the descriptions of other nodes from the log records of this tick,
// and reports whether there were any. Invalid records are skipped.
func storeMembers(world *carobworld.World) bool {
	found := false
	for _, record := range world.Inbox.Records {
		if record.Stream != carobstream.Nodes {
			continue
		}
		var member carobmember.Member
		if json.Unmarshal(record.Data, &member) != nil || member.Check() != nil || member.Node == world.Self.Node {
			continue
		}
		world.LoggedMembers.Put(member.Node, member)
		found = true
	}
	return found
}

// appendOwnRecord appends this node's description to the log.
func appendOwnRecord(world *carobworld.World) {
	member := world.Self
	data, err := json.Marshal(member)
	if err != nil {
		return
	}
	world.Outbox.RetriedAppends = append(world.Outbox.RetriedAppends, carobretriedappend.RetriedAppend{Stream: carobstream.Nodes, Data: data})
}

// contactUnknown contacts a random sample of the seeds and of the logged members that
// are no known peers, and drops the logged members that are.
func (s *System) contactUnknown(world *carobworld.World, isolated bool) {
	known := map[carobaddress.Address]bool{world.Self.PeerAddress: true}
	for _, peer := range world.Peers.All() {
		if isReachable(peer) {
			known[peer.Member.PeerAddress] = true
		}
	}
	var unknown []carobaddress.Address
	for _, address := range s.seeds {
		if !known[address] {
			unknown = append(unknown, address)
		}
	}
	for id, member := range world.LoggedMembers.All() {
		if known[member.PeerAddress] {
			world.LoggedMembers.Delete(id)
			continue
		}
		unknown = append(unknown, member.PeerAddress)
	}
	world.Random.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	limit := 1
	if isolated {
		limit = isolatedContacts
	}
	for _, address := range unknown[:min(limit, len(unknown))] {
		contact(world, address)
	}
}

// contact sends this node's description to an address, and a heartbeat with checksums that
// makes the receiver compare its peer table with this node's.
func contact(world *carobworld.World, to carobaddress.Address) {
	world.SendMessage(carobmessage.Message{To: to, Gossip: &carobgossip.Gossip{Members: []carobmember.Member{world.DescribeSelf()}}})
	world.SendMessage(carobmessage.Message{To: to, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{Checksums: world.Checksums(), ProfilesRead: world.ProfilesRead}})
}
