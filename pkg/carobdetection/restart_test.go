package carobdetection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobdetection"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// A node that left may be restarting at its address, with no way to find its peers if it
// cannot read their addresses. Its old peers must send it heartbeats for a limited time,
// with the checksums that make both sides compare their peer tables.
func TestNodeThatLeftGetsHeartbeatsWhileItMayRestart(t *testing.T) {
	start := carobinstant.Instant(time.Hour)
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "self", PeerAddress: "127.0.0.1:1"}, Limits: caroblimits.NewLimits()})
	world.Peers.Put("gone", carobpeer.Peer{
		Member: carobmember.Member{Node: "gone", PeerAddress: "127.0.0.1:2", Liveness: carobliveness.Left}, LivenessSince: start,
	})
	system := carobdetection.NewSystem()
	sent := map[bool]int{}
	for now := start; now.Sub(start) < time.Minute; now = now.Add(100 * time.Millisecond) {
		world.BeginTick(carobinbox.Inbox{})
		system.Run(world, now)
		for _, ms := range world.Outbox.Messages {
			require.EqualValues(t, "127.0.0.1:2", ms.To)
			require.NotEmpty(t, ms.Heartbeat.Checksums, "checksums let both sides compare their peer tables")
			sent[now.Sub(start) < 25*time.Second]++
		}
	}
	require.GreaterOrEqual(t, sent[true], 5)
	require.Zero(t, sent[false], "the node is no longer expected to restart")
}
