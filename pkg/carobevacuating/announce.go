package carobevacuating

import (
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// forwardFanout is the number of nodes to which a node that is no reader forwards a change. It
// reaches nodes that the reader of their data centre does not reach.
const forwardFanout = 2

// announceEverywhere announces a change that this node has read from the store: to all nodes of
// its data centre, and to one of each other, which forwards it there.
func announceEverywhere(world *carobworld.World) {
	announceInCentre(world)
	first := map[carobcentre.Centre]*carobmember.Member{}
	for _, peer := range world.Peers.All() {
		member := &peer.Member
		if member.Centre != world.Self.Centre && !member.Liveness.Down() && precedes(member, first[member.Centre]) {
			first[member.Centre] = member
		}
	}
	for _, peer := range world.Peers.All() {
		if first[peer.Member.Centre] == &peer.Member {
			world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress})
		}
	}
}

// precedes reports whether a node comes before another of its data centre as the reader of the
// store there; any comes before nil.
func precedes(member, other *carobmember.Member) bool {
	switch {
	case other == nil:
		return true
	case member.Leaving != other.Leaving:
		return other.Leaving
	case member.StoreUnreadable != other.StoreUnreadable:
		return other.StoreUnreadable
	default:
		return member.Node < other.Node
	}
}

// forward announces a change that another node has sent.
func forward(world *carobworld.World) {
	if world.Outbox.ReadingStore {
		announceInCentre(world)
		return
	}
	for _, peer := range world.SamplePeers(forwardFanout, func(peer *carobpeer.Peer) bool { return !peer.Member.Liveness.Down() }) {
		world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress})
	}
}

// announceInCentre announces a change to all nodes of this data centre.
func announceInCentre(world *carobworld.World) {
	for _, peer := range world.Peers.All() {
		if peer.Member.Centre == world.Self.Centre && !peer.Member.Liveness.Down() {
			world.SendMessage(carobmessage.Message{To: peer.Member.PeerAddress})
		}
	}
}
