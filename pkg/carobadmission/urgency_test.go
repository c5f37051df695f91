package carobadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobadmission"
	"github.com/carobknot/carobknot/pkg/carobadmissionstate"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrequirements"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

var target = carobtargetid.ID{Service: "lookups", Name: "a"}

// rig runs the admission system of a node with one target.
type rig struct {
	world  *carobworld.World
	system *carobadmission.System
	now    carobinstant.Instant
	next   uint64
}

func newRig(slots, queue int) *rig {
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here", Incarnation: 1}, Limits: caroblimits.NewLimits()})
	profile := carobprofile.NewProfile("p")
	profile.QueueLimit = queue
	world.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: profile}})
	world.Targets.Put(target, carobtarget.Target{ID: target, Node: "here", Profile: "p", Slots: slots, Readiness: carobreadiness.Ready})
	world.AdmissionStates.Put(target, carobadmissionstate.AdmissionState{Slots: slots, Limit: slots})
	return &rig{world: world, system: carobadmission.NewSystem(carobadmission.Config{}), now: carobinstant.Instant(time.Hour)}
}

func (r *rig) step(d time.Duration, in carobinbox.Inbox) {
	r.now = r.now.Add(d)
	r.world.BeginTick(in)
	r.system.Run(r.world, r.now)
}

// offer steps with the offer of a new job and returns the job's ID.
func (r *rig) offer(required carobrequirements.Requirements) carobjobid.ID {
	return r.offerAttempt(required, 1, "there")
}

// offerAttempt steps with the offer of an attempt at a new call of an entry node.
func (r *rig) offerAttempt(required carobrequirements.Requirements, attempt int, entry carobnodeid.ID) carobjobid.ID {
	r.next++
	offer := r.newOffer(r.next, required)
	offer.Job.Attempt, offer.Job.Call.Node = attempt, entry
	r.step(time.Millisecond, carobinbox.Inbox{Offers: []caroboffer.Offer{offer}})
	return offer.Job
}

// newOffer returns the offer of the first attempt at the call of the given number.
func (r *rig) newOffer(number uint64, required carobrequirements.Requirements) caroboffer.Offer {
	return caroboffer.Offer{
		Job: carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1, Sequence: number}, Attempt: 1}, Target: target, Incarnation: 1,
		TimeLeft: 10 * time.Second, Requirements: required,
	}
}

// finish steps with the end of a job and returns the jobs that the step started.
func (r *rig) finish(job carobjobid.ID, slowness float64) []carobjobid.ID {
	r.step(time.Millisecond, carobinbox.Inbox{Finishes: []carobfinish.Finish{
		{Job: job, Status: 200, TargetLoad: &carobtargetload.TargetLoad{Slots: 12, Slowness: slowness}},
	}})
	var started []carobjobid.ID
	for _, st := range r.world.Outbox.Starts {
		started = append(started, st.Job)
	}
	return started
}

// requirements returns requirements of the given priority whose SLO has just begun.
func requirements(priority int, slo time.Duration) carobrequirements.Requirements {
	return carobrequirements.Requirements{Priority: priority, SLOTimeLeft: slo, SLO: slo}
}

// fromOrganisation returns required with an organisation of the given priority.
func fromOrganisation(priority int, required carobrequirements.Requirements) carobrequirements.Requirements {
	required.Organisation, required.OrganisationPriority = "clinic", priority
	return required
}

// Guards against a queue that starts jobs in another order than by urgency.
func TestMostUrgentJobStartsFirst(t *testing.T) {
	const usual = 500 * time.Millisecond
	for _, c := range []struct {
		name          string
		first, second carobrequirements.Requirements
		secondFirst   bool
	}{
		{"rank", requirements(2, usual), requirements(1, usual), true},
		{"rank, in order of arrival", requirements(1, usual), requirements(2, usual), false},
		{"organisation before rank", fromOrganisation(2, requirements(1, usual)), fromOrganisation(1, requirements(2, usual)), true},
		{"organisation in order of arrival", fromOrganisation(1, requirements(2, usual)), fromOrganisation(2, requirements(1, usual)), false},
		{"rank within a priority of organisations", fromOrganisation(1, requirements(2, usual)), fromOrganisation(1, requirements(1, usual)), true},
		{"no organisation counts as 0", fromOrganisation(1, requirements(1, usual)), requirements(2, usual), true},
		{"no organisation and one of 0", requirements(2, usual), fromOrganisation(0, requirements(1, usual)), true},
		{"nested call before organisation", fromOrganisation(0, requirements(1, usual)), fromOrganisation(9, requirements(2, 120*time.Millisecond)), true},
		{"call past its SLO after organisation", fromOrganisation(0, carobrequirements.Requirements{Priority: 1, SLOTimeLeft: -1, SLO: usual}), fromOrganisation(9, requirements(2, usual)), true},
		{"nested call", requirements(1, usual), requirements(2, 120*time.Millisecond), true},
		{"due sooner", requirements(1, time.Second), requirements(1, usual), true},
		{"nested call past its SLO", requirements(1, usual), carobrequirements.Requirements{Priority: 2, SLOTimeLeft: -1, SLO: 120 * time.Millisecond}, true},
		{"call past its SLO", carobrequirements.Requirements{Priority: 1, SLOTimeLeft: -1, SLO: usual}, requirements(2, usual), true},
		{"equal", requirements(1, usual), requirements(1, usual), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(1, 4)
			running := r.offer(requirements(1, usual))
			first, second := r.offer(c.first), r.offer(c.second)
			want := first
			if c.secondFirst {
				want = second
			}
			require.Equal(t, []carobjobid.ID{want}, r.finish(running, 1))
		})
	}
}

// Guards against a full queue that refuses the newest job instead of the least urgent.
func TestFullQueueShedsLeastUrgentJob(t *testing.T) {
	r := newRig(1, 1)
	r.offer(requirements(1, time.Second))
	lowPriority := r.offer(requirements(2, time.Second))
	require.Empty(t, r.world.Outbox.Refusals)
	r.offer(requirements(1, time.Second))
	require.Len(t, r.world.Outbox.Refusals, 1)
	require.Equal(t, lowPriority, r.world.Outbox.Refusals[0].Job)
	require.Equal(t, carobkind.Busy, r.world.Outbox.Refusals[0].Kind)
	last := r.offer(requirements(2, time.Second))
	require.Equal(t, last, r.world.Outbox.Refusals[0].Job, "the offered job is refused at once if it is the least urgent")
}

// Guards against a target that is not told whose call it runs, and against refusals that an
// operator cannot assign to an organisation.
func TestStartsAndRefusalsNameTheOrganisation(t *testing.T) {
	r := newRig(1, 0)
	r.offer(fromOrganisation(1, requirements(1, time.Second)))
	require.Len(t, r.world.Outbox.Starts, 1)
	require.EqualValues(t, "clinic", r.world.Outbox.Starts[0].Organisation)
	r.offer(fromOrganisation(1, requirements(1, time.Second)))
	require.Len(t, r.world.Outbox.Refusals, 1)
	require.EqualValues(t, "clinic", r.world.Outbox.Decisions[0].Organisation)
	r = newRig(1, 0)
	r.offer(requirements(1, time.Second))
	require.Empty(t, r.world.Outbox.Starts[0].Organisation)
}

// Guards against jobs that start on a slow VM and delay the jobs that already run.
func TestSlowVMGetsFewerSlots(t *testing.T) {
	r := newRig(10, 20)
	var jobs []carobjobid.ID
	for range 14 {
		jobs = append(jobs, r.offer(requirements(1, time.Second)))
	}
	require.Len(t, r.finish(jobs[0], 1), 1, "at the usual speed a free slot is filled")
	require.Empty(t, r.finish(jobs[1], 5), "on a slow VM a free slot stays empty")
	require.Less(t, r.world.AdmissionStates.Get(target).Limit, 10)
	r.step(time.Second, carobinbox.Inbox{})
	require.Len(t, r.finish(jobs[2], 1), 2, "at the usual speed both free slots are filled")
}

// Guards against starting a call that may run only once on a node that may exit before
// the call's deadline: the outcome of the call would then be unknown.
func TestShutdownRefusesOnceCallsThatMayOutlastIt(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee carobguarantee.Guarantee
		untilExit time.Duration
		accepted  bool
	}{
		{"exits after the deadline", carobguarantee.OncePerCall, 11 * time.Second, true},
		{"exits before the deadline", carobguarantee.OncePerCall, 9 * time.Second, false},
		{"exits before the deadline, call may run again elsewhere", carobguarantee.Idempotent, 9 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(1, 4)
			r.step(0, carobinbox.Inbox{ShutdownDeadline: r.now.Add(c.untilExit)})
			r.offer(carobrequirements.Requirements{Guarantee: c.guarantee})
			if c.accepted {
				require.Len(t, r.world.Outbox.Starts, 1)
				return
			}
			require.Len(t, r.world.Outbox.Refusals, 1)
			require.Equal(t, carobkind.Leaving, r.world.Outbox.Refusals[0].Kind)
		})
	}
}

// Guards against a deadlock: jobs that make nested calls hold their slots until those
// calls are answered. If such jobs held all slots of all targets, no nested call could
// start.
func TestSlotsAreReservedForNestedCalls(t *testing.T) {
	const outer, nested = 500 * time.Millisecond, 120 * time.Millisecond
	r := newRig(12, 4)
	r.offer(requirements(1, nested))
	require.Len(t, r.world.Outbox.Starts, 1)
	for range 9 {
		r.offer(requirements(1, outer))
		require.Len(t, r.world.Outbox.Starts, 1)
	}
	r.offer(requirements(1, outer))
	require.Empty(t, r.world.Outbox.Starts, "two slots are reserved")
	for range 2 {
		r.offer(requirements(1, nested))
		require.Len(t, r.world.Outbox.Starts, 1)
	}
	r.offer(requirements(1, nested))
	require.Empty(t, r.world.Outbox.Starts, "the reserved slots are in use")
}
