package carobpause_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobpause"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	maxTickInterval = 200 * time.Millisecond
	threshold       = time.Second
)

// Guards against a node that, after a pause, starts jobs which were queued before the
// pause or arrived during it, although their callers may have given up.
func TestPausedNodeRefusesOldJobs(t *testing.T) {
	for name, c := range map[string]struct {
		gap    time.Duration
		paused bool
	}{"in time": {maxTickInterval, false}, "paused": {threshold + 1, true}} {
		t.Run(name, func(t *testing.T) {
			world := newWorld()
			pause := carobpause.NewSystem(carobpause.Config{MaxTickInterval: maxTickInterval, Threshold: threshold})
			step := func(now carobinstant.Instant, in carobinbox.Inbox) {
				world.BeginTick(in)
				pause.Run(world, now)
				carobadmission.NewSystem(carobadmission.Config{}).Run(world, now)
			}
			now := carobinstant.Instant(1)
			step(now, carobinbox.Inbox{Offers: []caroboffer.Offer{offer(1), offer(2)}})
			require.Len(t, world.Outbox.Starts, 1)
			require.True(t, world.Wake().Reached(now.Add(maxTickInterval)), "an idle node schedules its next tick")

			now = now.Add(c.gap)
			step(now, carobinbox.Inbox{
				Offers: []caroboffer.Offer{offer(3)}, Finishes: []carobfinish.Finish{{Job: offer(1).Job}},
			})
			if !c.paused {
				require.Equal(t, offer(2).Job, world.Outbox.Starts[0].Job)
				return
			}
			require.Empty(t, world.Outbox.Starts)
			require.Equal(t, []carobrefusal.Refusal{
				{Job: offer(2).Job, Kind: carobkind.Withdrawn}, {Job: offer(3).Job, Kind: carobkind.Withdrawn},
			}, world.Outbox.Refusals)

			step(now+1, carobinbox.Inbox{Offers: []caroboffer.Offer{offer(4)}})
			require.Len(t, world.Outbox.Starts, 1, "a job that is offered after the pause starts")
		})
	}
}

var target = carobtargetid.ID{Service: "payouts", Name: "a"}

func offer(sequence uint64) caroboffer.Offer {
	id := carobjobid.ID{Call: carobcallid.ID{Node: "entry", Incarnation: 1, Sequence: sequence}, Attempt: 1}
	return caroboffer.Offer{Job: id, Target: target, Incarnation: 7, TimeLeft: time.Minute}
}

// newWorld returns the tables of a node whose target has one slot.
func newWorld() *carobworld.World {
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "here", Incarnation: 7}, Limits: caroblimits.NewLimits(),
	})
	world.Targets.Put(target, carobtarget.Target{ID: target, Node: "here", Profile: "p", Slots: 1, Readiness: carobreadiness.Ready})
	world.AdmissionStates.Put(target, carobadmissionstate.AdmissionState{Limit: 1})
	rv := carobrevision.Revision{}
	rv.Change.Profile = carobprofile.NewProfile("p")
	world.Profiles.Put("p", rv)
	return world
}
