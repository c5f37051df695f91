package carobdissemination

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// newWorld returns a node of the first of some data centres with a number of peers.
func newWorld(peers, centres int) *carobworld.World {
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "self", Centre: "c0"}, Limits: caroblimits.NewLimits()})
	for i := range peers {
		addPeer(world, i, centres)
	}
	return world
}

func addPeer(world *carobworld.World, number, centres int) {
	id := carobnodeid.ID(fmt.Sprintf("n%d", number))
	world.Peers.Put(id, carobpeer.Peer{Member: carobmember.Member{Node: id, Centre: carobcentre.Centre(fmt.Sprintf("c%d", number%centres))}})
}

// gossipRounds runs rounds of gossip within one draw interval and returns the different nodes
// that they went to.
func gossipRounds(world *carobworld.World, contacts *contactSet, now carobinstant.Instant) map[carobnodeid.ID]bool {
	const rounds = 150
	to := map[carobnodeid.ID]bool{}
	for i := range rounds {
		for _, peer := range contacts.recipients(world, now.Add(time.Duration(i)*roundInterval)) {
			to[peer.Member.Node] = true
		}
	}
	return to
}

// Guards against a connection from each node to nearly all others, which gossip to random
// nodes opens within seconds.
func TestGossipGoesToFewNodes(t *testing.T) {
	for _, test := range []struct{ peers, centres, most int }{
		{0, 1, 0}, {1, 1, 1}, {2, 1, 2}, {300, 1, maxContacts}, {300, 6, maxContacts}, {5, 6, 1},
	} {
		t.Run(fmt.Sprintf("%d peers in %d data centres", test.peers, test.centres), func(t *testing.T) {
			to := gossipRounds(newWorld(test.peers, test.centres), &contactSet{}, carobinstant.Instant(time.Hour))
			require.LessOrEqual(t, len(to), test.most)
			require.Equal(t, test.peers > 0, len(to) > 0)
		})
	}
}

// Guards against gossip that goes nowhere once the contacts are down, or only to the first
// nodes of a cluster.
func TestContactsAreReplaced(t *testing.T) {
	now := carobinstant.Instant(time.Hour)
	world, contacts := newWorld(300, 6), &contactSet{}
	for id := range gossipRounds(world, contacts, now) {
		world.Peers.Get(id).Member.Liveness = carobliveness.Unreachable
	}
	require.Len(t, contacts.recipients(world, now), fanout, "all contacts are down")

	growing, contacts := newWorld(3, 1), &contactSet{}
	require.Len(t, gossipRounds(growing, contacts, now), 3)
	addPeer(growing, 3, 1)
	require.Contains(t, gossipRounds(growing, contacts, now), carobnodeid.ID("n3"))
}
