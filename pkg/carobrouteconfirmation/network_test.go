package carobrouteconfirmation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
)

// networkNode is a node whose clock has an offset and a drift.
type networkNode struct {
	*rig
	offset time.Duration
	drift  float64
	// pausedUntil is the time until which the node receives nothing.
	pausedUntil time.Duration
}

// clock returns the node's clock at a time of the test.
func (n *networkNode) clock(elapsed time.Duration) carobinstant.Instant {
	return carobinstant.Instant(time.Hour).Add(n.offset + elapsed + time.Duration(n.drift*float64(elapsed)))
}

// transfer is a message that is under way until arrivesAt.
type transfer struct {
	message   carobmessage.Message
	arrivesAt time.Duration
}

// network is a set of nodes whose messages take random times.
type network struct {
	t       *testing.T
	random  *rand.Rand
	nodes   []*networkNode
	transit []transfer
	elapsed time.Duration
	// readAt is when the newest read of any node began.
	readAt time.Duration
	// incarnation is that of the newest process.
	incarnation carobincarnation.Incarnation
}

// start starts a process at a place, with a clock of its own.
func (n *network) start(place int) *networkNode {
	const maxDrift = 0.0005
	n.incarnation++
	node := &networkNode{
		rig: newRig(n.t), offset: time.Duration(n.random.Int64N(int64(time.Minute))), drift: (2*n.random.Float64() - 1) * maxDrift,
	}
	name := fmt.Sprintf("n%d", place)
	node.world.Self.Node, node.world.Self.PeerAddress, node.world.Self.Incarnation = carobnodeid.ID(name), carobaddress.Address(name), n.incarnation
	node.now = node.clock(n.elapsed)
	return node
}

// send sends a message from a node to another one. It takes up to 3 s, or is lost.
func (n *network) send(from, to int) {
	node := n.nodes[from]
	node.world.BeginTick(carobinbox.Inbox{})
	node.world.SendMessage(carobmessage.Message{To: n.nodes[to].world.Self.PeerAddress})
	node.world.EndTick(node.clock(n.elapsed))
	if n.random.IntN(10) == 0 {
		return
	}
	longest := []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[n.random.IntN(3)]
	n.transit = append(n.transit, transfer{node.world.Outbox.Messages[0], n.elapsed + time.Duration(n.random.Int64N(int64(longest)))})
}

// deliver passes the messages that have arrived to their nodes.
func (n *network) deliver() {
	rest := n.transit[:0]
	for _, sent := range n.transit {
		var receiver *networkNode
		for _, node := range n.nodes {
			if node.world.Self.PeerAddress == sent.message.To {
				receiver = node
			}
		}
		if sent.arrivesAt > n.elapsed || receiver.pausedUntil > n.elapsed {
			rest = append(rest, sent)
			continue
		}
		receiver.now = receiver.clock(n.elapsed)
		receiver.step(0, carobinbox.Inbox{Messages: []carobmessage.Message{sent.message}})
	}
	n.transit = rest
}

// act sends a message, and at times pauses or restarts a node, or lets one read.
func (n *network) act() {
	place := n.random.IntN(len(n.nodes))
	node := n.nodes[place]
	switch n.random.IntN(60) {
	case 0:
		node.pausedUntil = n.elapsed + time.Duration(n.random.Int64N(int64(5*time.Second)))
	case 1:
		n.nodes[place] = n.start(place)
	case 2:
		node.now, n.readAt = node.clock(n.elapsed), n.elapsed
		node.confirm()
	default:
		n.send(place, (place+1+n.random.IntN(len(n.nodes)-1))%len(n.nodes))
	}
}

// Guards against a confirmation that is younger than its read at any node, after any number of hops, delays, pauses and restarts.
func TestNoConfirmationIsYoungerThanItsRead(t *testing.T) {
	taken := 0
	for seed := range uint64(60) {
		n := &network{t: t, random: rand.New(rand.NewPCG(seed, 1))}
		for place := range 2 + int(seed%6) {
			n.nodes = append(n.nodes, n.start(place))
		}
		for range 600 {
			n.elapsed += time.Duration(n.random.Int64N(int64(100 * time.Millisecond)))
			n.act()
			n.deliver()
			for _, node := range n.nodes {
				if node.world.RoutesConfirmedAt != carobinstant.Never {
					taken++
				}
				require.LessOrEqual(t, node.world.RoutesConfirmedAt, node.clock(n.readAt), "seed %d, node %s", seed, node.world.Self.Node)
			}
		}
	}
	require.Positive(t, taken)
}
