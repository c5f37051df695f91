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

// hopNode is a node whose clock has an offset and a drift.
type hopNode struct {
	*rig
	offset time.Duration
	drift  float64
	// pausedUntil is the time until which the node receives nothing.
	pausedUntil time.Duration
}

// clock returns the node's clock at a time of the test.
func (n *hopNode) clock(elapsed time.Duration) carobinstant.Instant {
	return carobinstant.Instant(time.Hour).Add(n.offset + elapsed + time.Duration(n.drift*float64(elapsed)))
}

// transfer is a message that is under way until arrivesAt.
type transfer struct {
	message   carobmessage.Message
	arrivesAt time.Duration
}

// hops is a set of nodes that exchange messages of random length of way.
type hops struct {
	t       *testing.T
	random  *rand.Rand
	nodes   []*hopNode
	transit []transfer
	elapsed time.Duration
	// readAt is when the newest read of any node began.
	readAt time.Duration
	// incarnation is that of the newest process.
	incarnation carobincarnation.Incarnation
}

// start starts a process at a place, with a clock of its own.
func (h *hops) start(place int) *hopNode {
	const maxDrift = 0.0005
	h.incarnation++
	node := &hopNode{
		rig: newRig(h.t), offset: time.Duration(h.random.Int64N(int64(time.Minute))), drift: (2*h.random.Float64() - 1) * maxDrift,
	}
	name := fmt.Sprintf("n%d", place)
	node.world.Self.Node, node.world.Self.PeerAddress, node.world.Self.Incarnation = carobnodeid.ID(name), carobaddress.Address(name), h.incarnation
	node.now = node.clock(h.elapsed)
	return node
}

// send sends a message from a node to another one. It takes up to 3 s, or is lost.
func (h *hops) send(from, to int) {
	node := h.nodes[from]
	node.world.BeginTick(carobinbox.Inbox{})
	node.world.SendMessage(carobmessage.Message{To: h.nodes[to].world.Self.PeerAddress})
	node.world.EndTick(node.clock(h.elapsed))
	if h.random.IntN(10) == 0 {
		return
	}
	longest := []time.Duration{5 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second}[h.random.IntN(3)]
	h.transit = append(h.transit, transfer{node.world.Outbox.Messages[0], h.elapsed + time.Duration(h.random.Int64N(int64(longest)))})
}

// deliver passes the messages that have arrived to their nodes.
func (h *hops) deliver() {
	rest := h.transit[:0]
	for _, moved := range h.transit {
		var receiver *hopNode
		for _, node := range h.nodes {
			if node.world.Self.PeerAddress == moved.message.To {
				receiver = node
			}
		}
		if moved.arrivesAt > h.elapsed || receiver.pausedUntil > h.elapsed {
			rest = append(rest, moved)
			continue
		}
		receiver.now = receiver.clock(h.elapsed)
		receiver.step(0, carobinbox.Inbox{Messages: []carobmessage.Message{moved.message}})
	}
	h.transit = rest
}

// act sends a message, and at times pauses or restarts a node, or lets one read.
func (h *hops) act() {
	place := h.random.IntN(len(h.nodes))
	node := h.nodes[place]
	switch h.random.IntN(60) {
	case 0:
		node.pausedUntil = h.elapsed + time.Duration(h.random.Int64N(int64(5*time.Second)))
	case 1:
		h.nodes[place] = h.start(place)
	case 2:
		node.now, h.readAt = node.clock(h.elapsed), h.elapsed
		node.confirm()
	default:
		h.send(place, (place+1+h.random.IntN(len(h.nodes)-1))%len(h.nodes))
	}
}

// Guards against a confirmation that is younger than its read at any node, after any number of hops, delays, pauses and restarts.
func TestNoConfirmationIsYoungerThanItsRead(t *testing.T) {
	taken := 0
	for seed := range uint64(60) {
		h := &hops{t: t, random: rand.New(rand.NewPCG(seed, 1))}
		for place := range 2 + int(seed%6) {
			h.nodes = append(h.nodes, h.start(place))
		}
		for range 600 {
			h.elapsed += time.Duration(h.random.Int64N(int64(100 * time.Millisecond)))
			h.act()
			h.deliver()
			for _, node := range h.nodes {
				if node.world.RoutesConfirmedAt != carobinstant.Never {
					taken++
				}
				require.LessOrEqual(t, node.world.RoutesConfirmedAt, node.clock(h.readAt), "seed %d, node %s", seed, node.world.Self.Node)
			}
		}
	}
	require.Positive(t, taken)
}
