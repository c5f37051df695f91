package carobadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

const usualSLO = 500 * time.Millisecond

// newCheckedRig returns a rig whose target reported the usual speed of its VM one
// second ago.
func newCheckedRig(slots, queue int) *rig {
	r := newRig(slots, queue)
	r.world.ProbeLimits.ChecksPerSecond = 40
	r.completeCheck(1)
	r.step(time.Second, carobinbox.Inbox{})
	return r
}

// completeCheck steps with a health check result of the given slowness and returns how
// many jobs the step started.
func (r *rig) completeCheck(slowness float64) int {
	r.step(time.Millisecond, carobinbox.Inbox{CheckResults: []carobcheckresult.CheckResult{
		{Target: target, TargetLoad: &carobtargetload.TargetLoad{Slots: 12, Slowness: slowness}},
	}})
	return len(r.world.Outbox.Starts)
}

// stepToWake steps at the instant for which the world scheduled its next tick.
func (r *rig) stepToWake(t *testing.T) {
	t.Helper()
	require.Positive(t, r.world.Wake(), "a wake-up is scheduled")
	r.step(r.world.Wake().Sub(r.now), carobinbox.Inbox{})
}

// Guards against jobs that start on an outdated reading, and against one health check
// for each queued job.
func TestJobStartsAfterReadingOfUsualSpeed(t *testing.T) {
	r := newCheckedRig(4, 4)
	r.offer(requirements(1, usualSLO))
	require.Empty(t, r.world.Outbox.Starts, "the last reading is a second old")
	require.Len(t, r.world.Outbox.HealthChecks, 1)
	r.offer(requirements(1, usualSLO))
	require.Empty(t, r.world.Outbox.HealthChecks, "one check serves all queued jobs")
	require.Equal(t, 2, r.completeCheck(1))
	r.offer(requirements(1, usualSLO))
	require.Len(t, r.world.Outbox.Starts, 1, "the reading is recent")
	require.Empty(t, r.world.Outbox.HealthChecks)
}

// Guards against a job that starts while the VM is slow and stays slow to its end.
func TestJobWaitsWhileTheVMIsSlow(t *testing.T) {
	r := newCheckedRig(4, 4)
	r.offer(requirements(1, usualSLO))
	for range 3 {
		require.Zero(t, r.completeCheck(5))
		r.stepToWake(t)
		require.Len(t, r.world.Outbox.HealthChecks, 1, "a new check follows once the reading is outdated")
	}
	require.Equal(t, 1, r.completeCheck(1))
}

// Guards against jobs that wait past their SLO for a VM that stays slow. Persistent
// slowness has to become the baseline, and a fast reading has to reset the baseline.
func TestSlownessThatLastsHoldsNothingUp(t *testing.T) {
	r := newCheckedRig(12, 4)
	r.offer(requirements(1, usualSLO))
	offered := r.now
	for r.completeCheck(5) == 0 {
		require.Less(t, r.now.Sub(offered), usualSLO, "a job starts on a VM that stays slow")
		r.stepToWake(t)
	}
	r.offer(requirements(1, usualSLO))
	require.Len(t, r.world.Outbox.Starts, 1, "a slowness of 5 is the baseline")
	r.step(time.Second, carobinbox.Inbox{})
	r.offer(requirements(1, usualSLO))
	require.Zero(t, r.completeCheck(25), "a slowness of 25 is above the baseline")
	r.stepToWake(t)
	require.Equal(t, 1, r.completeCheck(1))
	r.step(time.Second, carobinbox.Inbox{})
	r.offer(requirements(1, usualSLO))
	require.Zero(t, r.completeCheck(5), "a fast reading has reset the baseline")
}

// Guards against nested calls, whose SLO is short, that make a short period of slowness the
// baseline, so that all jobs start in it and stay slow to their end.
func TestNestedCallDoesNotShortenTheHold(t *testing.T) {
	const nestedSLO, slowFor = 120 * time.Millisecond, 400 * time.Millisecond
	r := newCheckedRig(12, 4)
	r.offer(requirements(1, nestedSLO))
	r.offer(requirements(1, usualSLO))
	for offered := r.now; r.now.Sub(offered) < slowFor; r.stepToWake(t) {
		require.Zero(t, r.completeCheck(5))
	}
	require.Equal(t, 2, r.completeCheck(1))
}

// Guards against a job that has just arrived and makes a slowness the baseline that began
// before it: the period may be about to end.
func TestJobIsHeldForItsOwnWait(t *testing.T) {
	r := newCheckedRig(12, 4)
	r.offer(requirements(1, time.Minute))
	for began := r.now; r.now.Sub(began) < usualSLO; r.stepToWake(t) {
		require.Zero(t, r.completeCheck(5))
	}
	r.offer(requirements(1, usualSLO))
	for arrived := r.now; r.now.Sub(arrived) < usualSLO/2; r.stepToWake(t) {
		require.Zero(t, r.completeCheck(5))
	}
	require.Equal(t, 2, r.completeCheck(1))
}

// Guards against jobs that wait for a slowness reading that cannot be obtained.
func TestJobStartsWithoutReading(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, r *rig)
	}{
		{"no checks allowed", func(_ *testing.T, r *rig) {
			r.world.ProbeLimits.ChecksPerSecond = 0
			r.offer(requirements(1, usualSLO))
		}},
		{"the target reports no slowness", func(_ *testing.T, r *rig) {
			r.offer(requirements(1, usualSLO))
			require.Equal(t, 1, r.completeCheck(0))
			r.step(time.Second, carobinbox.Inbox{})
			r.offer(requirements(1, usualSLO))
			require.Empty(t, r.world.Outbox.HealthChecks, "no further check during the backoff")
		}},
		{"the check fails", func(_ *testing.T, r *rig) {
			r.offer(requirements(1, usualSLO))
			r.step(time.Millisecond, carobinbox.Inbox{CheckResults: []carobcheckresult.CheckResult{{Target: target}}})
		}},
		{"the check takes long", func(t *testing.T, r *rig) {
			t.Helper()
			r.offer(requirements(1, usualSLO))
			r.stepToWake(t)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newCheckedRig(4, 4)
			c.play(t, r)
			require.Len(t, r.world.Outbox.Starts, 1)
		})
	}
}

// Guards against a first job that starts before any slowness reading exists.
func TestTargetIsCheckedBeforeFirstJob(t *testing.T) {
	r := newRig(4, 4)
	r.world.ProbeLimits.ChecksPerSecond = 40
	r.offer(requirements(1, usualSLO))
	require.Empty(t, r.world.Outbox.Starts)
	require.Equal(t, 1, r.completeCheck(1))
}

// Guards against a job limit that counts a cold target as slow. After a data centre
// returns from an outage all its targets are cold while most calls are queued.
func TestColdTargetKeepsItsSlots(t *testing.T) {
	r := newCheckedRig(10, 20)
	for range 10 {
		r.offer(requirements(1, usualSLO))
	}
	require.Equal(t, 10, r.completeCheck(2))
}

// Guards against more health checks than the configured rate allows.
func TestChecksStayWithinRate(t *testing.T) {
	r := newCheckedRig(1000, 4)
	checks, start := 0, r.now
	for r.now.Sub(start) < 10*time.Second {
		r.offer(requirements(1, usualSLO))
		checks += len(r.world.Outbox.HealthChecks)
		if len(r.world.Outbox.HealthChecks) > 0 {
			r.completeCheck(1)
		}
		r.step(11*time.Millisecond, carobinbox.Inbox{})
	}
	require.LessOrEqual(t, checks, 40*10+10)
	require.Greater(t, checks, 40*9)
}

// Guards against a movable job that waits for a slow VM while another target could run
// it.
func TestMovableJobIsRefusedWhileVMIsSlow(t *testing.T) {
	r := newCheckedRig(4, 4)
	movable, fixed := requirements(1, usualSLO), requirements(1, usualSLO)
	movable.Movable = true
	movableJob := r.offer(movable)
	r.offer(fixed)
	require.Empty(t, r.world.Outbox.Refusals, "there is no recent reading yet")
	require.Zero(t, r.completeCheck(5))
	require.Len(t, r.world.Outbox.Refusals, 1)
	require.Equal(t, movableJob, r.world.Outbox.Refusals[0].Job)
	require.Equal(t, carobkind.Busy, r.world.Outbox.Refusals[0].Kind)
	r.offer(movable)
	require.Len(t, r.world.Outbox.Refusals, 1, "refused at once while the slow reading is recent")
	r.stepToWake(t)
	require.Equal(t, 1, r.completeCheck(1), "the job that is not movable starts")
}

// Guards against a response without a slowness reading that counts as one of a fast VM.
func TestResponseWithoutReadingKeepsTheBaseline(t *testing.T) {
	r := newCheckedRig(12, 4)
	job := r.offer(requirements(1, usualSLO))
	require.Equal(t, 1, r.completeCheck(1))
	r.step(time.Second, carobinbox.Inbox{})
	r.completeCheck(5)
	r.finish(job, 0)
	require.InDelta(t, 5, r.world.AdmissionStates.Get(target).Slowness, 0)
}
