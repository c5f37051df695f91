package carobdetection_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobdetection"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobstanding"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

func TestNodeThatSaidGoodbyeIsLookedForWhileItMayComeBack(t *testing.T) {
	start := carobinstant.Instant(time.Hour)
	w := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "self", Peer: "127.0.0.1:1"}, Limits: caroblimits.NewLimits()})
	w.Peers.Put("gone", carobpeer.Peer{
		Member: carobmember.Member{Node: "gone", Peer: "127.0.0.1:2", Standing: carobstanding.Gone}, Since: start,
	})
	system := carobdetection.NewSystem()
	asked := map[bool]int{}
	for now := start; now.Sub(start) < time.Minute; now = now.Add(100 * time.Millisecond) {
		w.Begin(carobinbox.Inbox{})
		system.Run(w, now)
		for _, ms := range w.Outbox.Messages {
			require.EqualValues(t, "127.0.0.1:2", ms.To)
			require.NotEmpty(t, ms.Probe.Sums, "so that both compare what they know")
			asked[now.Sub(start) < 25*time.Second]++
		}
	}
	require.GreaterOrEqual(t, asked[true], 5)
	require.Zero(t, asked[false], "it is not expected back any more")
}
