package carobshutdown_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobpendingsettlement"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobshutdown"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const settleTimeout = time.Second

// Guards against a node that stops while calls or jobs are in flight or settlements
// are pending, and against one that waits for settlements longer than its limit.
func TestNodeStopsWhenNothingIsInFlight(t *testing.T) {
	call := carobcallid.ID{Node: "here", Sequence: 1}
	cases := map[string]struct {
		add, remove func(world *carobworld.World)
	}{
		"call": {
			func(world *carobworld.World) { world.Calls.Put(call, carobcall.Call{}) },
			func(world *carobworld.World) { world.Calls.Delete(call) },
		},
		"job": {
			func(world *carobworld.World) { world.Jobs.Put(carobjobid.ID{Call: call}, carobjob.Job{}) },
			func(world *carobworld.World) { world.Jobs.Delete(carobjobid.ID{Call: call}) },
		},
		"pending settlement": {
			func(world *carobworld.World) {
				world.PendingSettlements.Put(call, carobpendingsettlement.PendingSettlement{})
			},
			func(world *carobworld.World) { world.PendingSettlements.Delete(call) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
			s := carobshutdown.NewSystem(carobshutdown.Config{SettleTimeout: settleTimeout})
			now := carobinstant.Instant(1)
			step := func(in carobinbox.Inbox) bool {
				now++
				world.BeginTick(in)
				s.Run(world, now)
				return world.Outbox.Stopped
			}
			require.False(t, step(carobinbox.Inbox{}))
			c.add(world)
			require.False(t, step(carobinbox.Inbox{Stop: true}))
			require.False(t, step(carobinbox.Inbox{}))
			if world.PendingSettlements.Len() > 0 {
				now = world.Wake()
				require.True(t, step(carobinbox.Inbox{}), "the home may be unreachable")
				return
			}
			c.remove(world)
			require.True(t, step(carobinbox.Inbox{}))
		})
	}
}

// Guards against a job that starts in the tick in which the stop is requested.
func TestStopPreventsStartsInSameTick(t *testing.T) {
	target := carobtargetid.ID{Service: "payouts", Name: "a"}
	core := carobcore.NewCore(carobcore.Config{World: carobworld.Config{
		Self: carobmember.Member{Node: "here", Incarnation: 7}, Limits: caroblimits.NewLimits(),
	}})
	now := carobinstant.Instant(time.Hour)
	core.World().Targets.Put(target, carobtarget.Target{
		ID: target, Node: "here", Slots: 4, Readiness: carobreadiness.Ready, AnnouncedAt: now,
	})
	of := caroboffer.Offer{
		Job:    carobjobid.ID{Call: carobcallid.ID{Node: "entry", Sequence: 1}, Attempt: 1},
		Target: target, Incarnation: 7, TimeLeft: time.Second,
	}
	out := core.Tick(now, carobinbox.Inbox{Stop: true, Offers: []caroboffer.Offer{of}})
	require.Empty(t, out.Starts)
	require.Len(t, out.Refusals, 1)
	require.Equal(t, carobkind.Leaving, out.Refusals[0].Kind)
}
