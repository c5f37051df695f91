package carobrouting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Guards against a node that never sends a call to its own target again because the last call there was slow, and against one that forgets the slowness while calls run.
func TestOwnTargetThatWasSlowOnceGetsCallsAgain(t *testing.T) {
	const (
		now     = carobinstant.Instant(time.Hour)
		slow    = 20 * time.Millisecond
		fast    = time.Millisecond
		slots   = 8
		ownName = carobname.Name("own")
	)
	for _, c := range []struct {
		name    string
		idle    time.Duration
		running int
		own     bool
	}{
		{"just after the slow call", 0, 0, false},
		{"idle for a minute", time.Minute, 0, true},
		{"with a call that has run for a minute", time.Minute, 1, false},
	} {
		for _, policy := range []carobname.Name{"expected", "local"} {
			t.Run(c.name+", "+string(policy), func(t *testing.T) {
				world, s := newWaitingWorld(1, 0, carobreadiness.Ready), NewSystem()
				own := carobtargetid.ID{Service: "lookups", Name: ownName}
				other := carobtargetid.ID{Service: "lookups", Name: "other"}
				world.Targets.Put(own, carobtarget.Target{ID: own, Node: "self", Slots: slots, Readiness: carobreadiness.Ready})
				world.Targets.Put(other, carobtarget.Target{ID: other, Node: "there", Slots: slots, Readiness: carobreadiness.Ready})
				world.Peers.Put("there", carobpeer.Peer{Member: carobmember.Member{Node: "there", PeerAddress: "there:1"}})
				world.Groups.Get("lookups").Targets = []carobtargetid.ID{own, other}
				world.AdmissionStates.Put(own, carobadmissionstate.AdmissionState{
					Limit: slots, Running: c.running, Latency: slow, LatencyStart: now.Add(-c.idle),
				})
				world.Loads.Put(other, carobload.Load{
					Report: carobreport.Report{Target: other, Running: 1, Slots: slots, Latency: carobduration.Duration(fast)}, ReportedAt: now,
				})
				for _, call := range world.Calls.All() {
					call.Profile.Policy = policy
				}
				world.BeginTick(carobinbox.Inbox{})
				s.Run(world, now)
				require.Len(t, world.Outbox.Sends, 1)
				require.Equal(t, c.own, world.Outbox.Sends[0].Target == own)
			})
		}
	}
}
