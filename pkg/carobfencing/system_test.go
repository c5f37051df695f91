package carobfencing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobfence"
	"github.com/carobknot/carobknot/pkg/carobfencing"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrefusal"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	nodeIncarnation = carobincarnation.Incarnation(7)
	timeout         = 10 * time.Second
)

var target = carobtargetid.ID{Service: "payouts", Name: "a"}

// rig runs the fencing and admission systems of a node whose target has one slot.
type rig struct {
	world *carobworld.World
	now   carobinstant.Instant
}

func newRig(jobs int) *rig {
	limits := caroblimits.NewLimits()
	limits.Jobs, limits.Peers = jobs, 1
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here", Incarnation: nodeIncarnation}, Limits: limits})
	world.Targets.Put(target, carobtarget.Target{ID: target, Node: "here", Profile: "p", Slots: 1, Readiness: carobreadiness.Ready})
	world.AdmissionStates.Put(target, carobadmissionstate.AdmissionState{Limit: 1})
	rv := carobrevision.Revision{}
	rv.Change.Profile = carobprofile.NewProfile("p")
	world.Profiles.Put("p", rv)
	return &rig{world: world, now: 1}
}

func (r *rig) step(in carobinbox.Inbox) {
	r.now++
	r.world.BeginTick(in)
	carobfencing.NewSystem().Run(r.world, r.now)
	carobadmission.NewSystem(carobadmission.Config{}).Run(r.world, r.now)
}

// job returns the ID of the first attempt of a call of another node.
func job(sequence uint64) carobjobid.ID {
	return carobjobid.ID{Call: carobcallid.ID{Node: "entry", Incarnation: 1, Sequence: sequence}, Attempt: 1}
}

func offer(id carobjobid.ID) caroboffer.Offer {
	return caroboffer.Offer{Job: id, Target: target, Incarnation: nodeIncarnation, TimeLeft: timeout}
}

func (r *rig) offer(id carobjobid.ID) {
	r.step(carobinbox.Inbox{Offers: []caroboffer.Offer{offer(id)}})
}

func (r *rig) finish(id carobjobid.ID) {
	r.step(carobinbox.Inbox{Finishes: []carobfinish.Finish{{Job: id}}})
}

// complete starts and ends a job.
func (r *rig) complete(id carobjobid.ID) {
	r.offer(id)
	r.finish(id)
}

// fence steps with a fence message from another node and returns the replied state.
func (r *rig) fence(id carobjobid.ID) carobjobstate.JobState {
	fc := &carobfence.Fence{Job: id, Incarnation: nodeIncarnation}
	r.step(carobinbox.Inbox{Messages: []carobmessage.Message{{ReplyTo: "entry", Fence: fc}}})
	return r.world.Outbox.Messages[0].FenceReply.State
}

func (r *rig) started() int { return len(r.world.Outbox.Starts) }

// Guards against a fence reply that does not match the state of the job.
func TestFenceReturnsJobState(t *testing.T) {
	cases := map[string]struct {
		before func(r *rig)
		want   carobjobstate.JobState
	}{
		"not offered": {func(*rig) {}, carobjobstate.Never},
		"running":     {func(r *rig) { r.offer(job(2)) }, carobjobstate.Running},
		"ended":       {func(r *rig) { r.complete(job(2)) }, carobjobstate.Done},
		"queued": {func(r *rig) {
			r.offer(job(1))
			r.offer(job(2))
		}, carobjobstate.Never},
		"fenced before": {func(r *rig) { r.fence(job(2)) }, carobjobstate.Never},
		"expired in the queue": {func(r *rig) {
			r.offer(job(1))
			r.offer(job(2))
			r.now = r.now.Add(timeout)
			r.step(carobinbox.Inbox{})
		}, carobjobstate.Never},
		"cancelled in the queue": {func(r *rig) {
			r.offer(job(1))
			r.offer(job(2))
			r.finish(job(2))
		}, carobjobstate.Never},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(10)
			c.before(r)
			require.Equal(t, c.want, r.fence(job(2)))
		})
	}
}

// Guards against a fenced job that starts because its offer arrives after the fence,
// possibly more than once.
func TestFencedJobNeverStarts(t *testing.T) {
	r := newRig(10)
	require.Equal(t, carobjobstate.Never, r.fence(job(1)))
	for range 2 {
		r.offer(job(1))
		require.Zero(t, r.started())
		require.Equal(t, []carobrefusal.Refusal{{Job: job(1), Kind: carobkind.Withdrawn}}, r.world.Outbox.Refusals)
	}
}

// Guards against a fenced job that starts because its offer arrives in the same tick as
// the fence.
func TestFenceAndOfferInOneTick(t *testing.T) {
	r := newRig(10)
	r.step(carobinbox.Inbox{
		Messages: []carobmessage.Message{{Fence: &carobfence.Fence{Job: job(1), Incarnation: nodeIncarnation}}},
		Offers:   []caroboffer.Offer{offer(job(1))},
	})
	require.Equal(t, carobjobstate.Never, r.world.Outbox.Messages[0].FenceReply.State)
	require.Zero(t, r.started())
}

// Guards against a withdrawn job that still counts as queued, in the admission state or in the
// published report.
func TestFenceOfQueuedJobFreesItsQueuePlace(t *testing.T) {
	r := newRig(10)
	r.offer(job(1))
	r.offer(job(2))
	require.Equal(t, 1, r.world.AdmissionStates.Get(target).Queued)
	r.fence(job(2))
	require.Zero(t, r.world.AdmissionStates.Get(target).Queued)
	require.Equal(t, 1, r.world.Jobs.Len())
	require.Zero(t, r.world.Outbox.Reports[0].Queued, "the report counts no queued job")
}

// Guards against a duplicate offer that starts its job again, or that is refused and so
// reports a job that ran as not run.
func TestDuplicateOfferIsIgnored(t *testing.T) {
	r := newRig(10)
	r.offer(job(1))
	require.Equal(t, 1, r.started())
	r.offer(job(1))
	require.Zero(t, r.started())
	require.Empty(t, r.world.Outbox.Refusals)
	r.finish(job(1))
	r.offer(job(1))
	require.Zero(t, r.started())
	require.Empty(t, r.world.Outbox.Refusals)
}

// Guards against a definite reply about jobs of an earlier incarnation of the node,
// whose records are lost.
func TestFenceForOtherIncarnationIsUnknown(t *testing.T) {
	r := newRig(10)
	fc := carobfence.Fence{Job: job(1), Incarnation: nodeIncarnation - 1}
	require.Equal(t, carobjobstate.Unknown, carobfencing.Fence(r.world, fc))
}

// Guards against wrong replies about jobs whose entries were evicted from the bounded
// records.
func TestEvictedJobsAreNeverMisreported(t *testing.T) {
	const limit = 3
	t.Run("ended jobs", func(t *testing.T) {
		r := newRig(limit)
		for sequence := range uint64(limit + 2) {
			r.complete(job(sequence + 10))
		}
		require.Equal(t, carobjobstate.Unknown, r.fence(job(10)), "it ran and its entry was evicted")
		require.Equal(t, carobjobstate.Unknown, r.fence(job(9)), "it may have run and its entry may have been evicted")
		require.Equal(t, carobjobstate.Done, r.fence(job(12)))
		require.Equal(t, carobjobstate.Never, r.fence(job(99)))
		r.offer(job(8))
		require.Equal(t, 1, r.started(), "a first offer below EndedSequence is no duplicate")
	})
	t.Run("tombstones", func(t *testing.T) {
		r := newRig(limit)
		for sequence := range uint64(limit + 2) {
			require.Equal(t, carobjobstate.Never, r.fence(job(sequence+10)))
		}
		for _, sequence := range []uint64{9, 10, 11, 12} {
			r.offer(job(sequence))
			require.Zero(t, r.started())
		}
		r.offer(job(15))
		require.Equal(t, 1, r.started())
	})
	t.Run("watermarks", func(t *testing.T) {
		r := newRig(limit)
		for _, entry := range []string{"x", "y"} {
			for sequence := range uint64(limit + 1) {
				id := job(sequence)
				id.Call.Node = "entry-a"
				if entry == "y" {
					id.Call.Node = "other"
				}
				r.fence(id)
			}
		}
		for sequence := range uint64(limit) {
			id := job(sequence + 1)
			id.Call.Node = "third"
			r.fence(id)
		}
		id := job(0)
		id.Call.Node = "entry-a"
		r.offer(id)
		require.Zero(t, r.started(), "its tombstone and the watermark of its entry node were evicted")
	})
	t.Run("older incarnation of the entry node", func(t *testing.T) {
		r := newRig(limit)
		old := job(1)
		r.fence(old)
		for sequence := range uint64(2 * limit) {
			id := job(sequence)
			id.Call.Incarnation++
			r.fence(id)
		}
		r.offer(old)
		require.Zero(t, r.started())
	})
}

// Guards against a fence that returns Never for a job that ran, since the records of both the job and a later fenced one of its entry node were evicted.
func TestFenceAfterEvictionsDoesNotDenyThatAJobRan(t *testing.T) {
	const limit = 3
	r := newRig(limit)
	r.complete(job(10))
	for sequence := uint64(11); sequence < 11+limit; sequence++ {
		r.complete(job(sequence))
	}
	for sequence := uint64(20); sequence < 20+limit+1; sequence++ {
		require.Equal(t, carobjobstate.Never, r.fence(job(sequence)))
	}
	require.Equal(t, carobjobstate.Unknown, r.fence(job(10)))
}
