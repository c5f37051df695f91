package carobdissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobliveness"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeerheartbeat"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

// Guards against a failure that only the data centre of its detector learns of, because the
// heartbeats of this data centre used up its sends while the throttle held back those to others.
func TestThrottledChangeStillReachesOtherCentres(t *testing.T) {
	now := carobinstant.Instant(time.Hour)
	world, system := newWorld(6, 2), NewSystem()
	system.centres.informed["c1"] = true
	failed := world.Peers.Get("n0")
	failed.Member.Liveness, failed.Originated = carobliveness.Unreachable, true
	world.PendingGossip.Put("n0", struct{}{})

	require.True(t, system.throttle.Allow(now, 0))
	system.throttle.Allow(now, int(128*carobsize.KiB))
	for range 2 * maxSends {
		world.BeginTick(carobinbox.Inbox{})
		world.Outbox.Messages = []carobmessage.Message{{To: world.Peers.Get("n2").Member.PeerAddress, Heartbeat: &carobpeerheartbeat.PeerHeartbeat{Node: "n2"}}}
		system.Run(world, now)
	}
	require.True(t, failed.Originated, "the throttle allows no message to other data centres yet")

	world.BeginTick(carobinbox.Inbox{})
	system.Run(world, now.Add(time.Minute))
	told := map[carobnodeid.ID]bool{}
	for _, message := range world.Outbox.Messages {
		if message.Gossip != nil {
			for _, member := range message.Gossip.Members {
				told[member.Node] = true
			}
		}
	}
	require.True(t, told["n0"])
}
