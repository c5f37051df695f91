package carobadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobgate"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobpressure"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobwish"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

var target = carobtargetid.ID{Service: "lookups", Name: "a"}

// rig is a target's node.
type rig struct {
	world  *carobworld.World
	system *carobadmission.System
	now    carobinstant.Instant
	next   uint64
}

func newRig(slots, queue int) *rig {
	w := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here", Incarnation: 1}, Limits: caroblimits.NewLimits()})
	pf := carobprofile.NewProfile("p")
	pf.Queue = queue
	w.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: pf}})
	w.Targets.Put(target, carobtarget.Target{ID: target, Node: "here", Profile: "p", Slots: slots, State: carobreadiness.Ready})
	w.Gates.Put(target, carobgate.Gate{Slots: slots, Limit: slots})
	return &rig{world: w, system: carobadmission.NewSystem(), now: carobinstant.Instant(time.Hour)}
}

func (r *rig) step(d time.Duration, in carobinbox.Inbox) {
	r.now = r.now.Add(d)
	r.world.Begin(in)
	r.system.Run(r.world, r.now)
}

// offer offers a job and returns its id.
func (r *rig) offer(ws carobwish.Wish) carobjobid.ID {
	r.next++
	job := carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1, Sequence: r.next}, Attempt: 1}
	r.step(time.Millisecond, carobinbox.Inbox{Offers: []caroboffer.Offer{
		{Job: job, Target: target, Incarnation: 1, Patience: 10 * time.Second, Wish: ws},
	}})
	return job
}

// finish ends a job and returns the jobs that were started for it.
func (r *rig) finish(job carobjobid.ID, slowness float64) []carobjobid.ID {
	r.step(time.Millisecond, carobinbox.Inbox{Finishes: []carobfinish.Finish{
		{Job: job, Status: 200, Pressure: &carobpressure.Pressure{Slots: 12, Slowness: slowness}},
	}})
	var started []carobjobid.ID
	for _, st := range r.world.Outbox.Starts {
		started = append(started, st.Job)
	}
	return started
}

func wish(rank int, slo time.Duration) carobwish.Wish {
	return carobwish.Wish{Rank: rank, Slo: slo, Whole: slo}
}

func TestMostUrgentJobStartsFirst(t *testing.T) {
	const usual = 500 * time.Millisecond
	for _, c := range []struct {
		name          string
		first, second carobwish.Wish
		secondGoes    bool
	}{
		{"rank", wish(2, usual), wish(1, usual), true},
		{"rank, in the order of coming", wish(1, usual), wish(2, usual), false},
		{"call that another call waits for", wish(1, usual), wish(2, 120*time.Millisecond), true},
		{"wanted sooner", wish(1, time.Second), wish(1, usual), true},
		{"call that another call waits for, late", wish(1, usual), carobwish.Wish{Rank: 2, Slo: -1, Whole: 120 * time.Millisecond}, true},
		{"late already", carobwish.Wish{Rank: 1, Slo: -1, Whole: usual}, wish(2, usual), true},
		{"equal", wish(1, usual), wish(1, usual), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(1, 4)
			running := r.offer(wish(1, usual))
			first, second := r.offer(c.first), r.offer(c.second)
			want := first
			if c.secondGoes {
				want = second
			}
			require.Equal(t, []carobjobid.ID{want}, r.finish(running, 1))
		})
	}
}

func TestLeastUrgentJobGivesWay(t *testing.T) {
	r := newRig(1, 1)
	r.offer(wish(1, time.Second))
	lookup := r.offer(wish(2, time.Second))
	require.Empty(t, r.world.Outbox.Refusals)
	r.offer(wish(1, time.Second))
	require.Len(t, r.world.Outbox.Refusals, 1)
	require.Equal(t, lookup, r.world.Outbox.Refusals[0].Job)
	require.Equal(t, carobkind.Busy, r.world.Outbox.Refusals[0].Kind)
	last := r.offer(wish(2, time.Second))
	require.Equal(t, last, r.world.Outbox.Refusals[0].Job, "who is least urgent is refused at once")
}

func TestSlowVMIsGivenLess(t *testing.T) {
	r := newRig(10, 20)
	var jobs []carobjobid.ID
	for range 14 {
		jobs = append(jobs, r.offer(wish(1, time.Second)))
	}
	require.Len(t, r.finish(jobs[0], 1), 1, "as usual, a slot is filled again")
	require.Empty(t, r.finish(jobs[1], 5), "on a slow VM it is not")
	require.Less(t, r.world.Gates.Get(target).Limit, 10)
	r.step(time.Second, carobinbox.Inbox{})
	require.Len(t, r.finish(jobs[2], 1), 2, "as fast as usual again")
}

func TestEndingNodeStartsNothingThatItWouldCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		once  carobonce.Once
		left  time.Duration
		taken bool
	}{
		{"ends behind the deadline", carobonce.Call, 11 * time.Second, true},
		{"ends before it", carobonce.Call, 9 * time.Second, false},
		{"ends before it, but may run again elsewhere", carobonce.No, 9 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(1, 4)
			r.step(0, carobinbox.Inbox{Ending: r.now.Add(c.left)})
			r.offer(carobwish.Wish{Once: c.once})
			if c.taken {
				require.Len(t, r.world.Outbox.Starts, 1)
				return
			}
			require.Len(t, r.world.Outbox.Refusals, 1)
			require.Equal(t, carobkind.Leaving, r.world.Outbox.Refusals[0].Kind)
		})
	}
}

// Jobs that make calls hold their slots until the calls are answered. If they held all
// of them on all targets, no call would be.
func TestRoomIsKeptForCallsThatOthersWaitFor(t *testing.T) {
	const usual, soon = 500 * time.Millisecond, 120 * time.Millisecond
	r := newRig(12, 4)
	r.offer(wish(1, soon))
	require.Len(t, r.world.Outbox.Starts, 1)
	for range 9 {
		r.offer(wish(1, usual))
		require.Len(t, r.world.Outbox.Starts, 1)
	}
	r.offer(wish(1, usual))
	require.Empty(t, r.world.Outbox.Starts, "two slots are kept")
	for range 2 {
		r.offer(wish(1, soon))
		require.Len(t, r.world.Outbox.Starts, 1)
	}
	r.offer(wish(1, soon))
	require.Empty(t, r.world.Outbox.Starts, "and are taken now")
}
