package carobregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobregistry"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// newRestartedRig returns a rig of a node that has just started and does not know what the
// process before it has acknowledged.
func newRestartedRig() *rig {
	r := newRig()
	r.system = carobregistry.NewSystem(carobregistry.Config{AnnouncementTimeout: 4 * time.Second, ConfirmationPeriod: 8 * time.Second})
	r.step()
	return r
}

// check runs a tick with the result of a health check of the target.
func (r *rig) check(available bool) {
	r.now = r.now.Add(time.Millisecond)
	r.world.BeginTick(carobinbox.Inbox{CheckResults: []carobcheckresult.CheckResult{
		{Target: carobtargetid.ID{Service: "lookups", Name: "i-1"}, Available: available},
	}})
	r.system.Run(r.world, r.now)
}

// Guards against a target that is in use again after its leave was acknowledged: the node has restarted since, and a heartbeat that was sent before the leave arrives late.
func TestLateAnnouncementAfterARestartNeedsConfirmation(t *testing.T) {
	r := newRestartedRig()
	r.step(announcement("i-1", 7, 3, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Leaving, r.readiness("i-1"))
	require.Len(t, r.world.Outbox.HealthChecks, 1, "the target itself is asked")
	for range 10 {
		r.check(false)
		r.now = r.now.Add(checkInterval)
		r.step()
		require.Equal(t, carobreadiness.Leaving, r.readiness("i-1"))
	}
}

// checkInterval is longer than the time between two health checks of a target.
const checkInterval = 600 * time.Millisecond

// Guards against a node that keeps out a target that serves, after it has restarted beside it.
func TestTargetIsReadyOnceItHasConfirmedItself(t *testing.T) {
	r := newRestartedRig()
	r.step(announcement("i-1", 7, 3, carobreadiness.Ready))
	r.check(true)
	require.Equal(t, carobreadiness.Ready, r.readiness("i-1"))
	r.step(announcement("i-1", 7, 4, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("i-1"), "it is asked once")
	require.Empty(t, r.world.Outbox.HealthChecks)
}

// Guards against a target that stays out for good because its health check fails although it serves.
func TestTargetIsReadyWhenItsAnnouncementsGoOn(t *testing.T) {
	r := newRestartedRig()
	for sequence := range uint64(3) {
		r.step(announcement("i-1", 7, sequence+1, carobreadiness.Ready))
		r.check(false)
		require.Equal(t, carobreadiness.Leaving, r.readiness("i-1"))
		r.now = r.now.Add(1400 * time.Millisecond)
	}
	r.step(announcement("i-1", 7, 5, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("i-1"))
}

// Guards against health checks in steady state, and against new lifetimes that have to wait for one.
func TestTargetsThatStartLaterNeedNoConfirmation(t *testing.T) {
	r := newRestartedRig()
	r.now = r.now.Add(8 * time.Second)
	r.step(announcement("i-1", 7, 1, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("i-1"))
	require.Empty(t, r.world.Outbox.HealthChecks)
}

// Guards against a leave that is forgotten because it came before any announcement. It need not name the incarnation.
func TestWithdrawalBeforeAnyAnnouncementIsKept(t *testing.T) {
	r := newRestartedRig()
	r.now = r.now.Add(time.Minute)
	r.step(withdrawal("i-1", 7))
	r.step(announcement("i-1", 7, 9, carobreadiness.Ready))
	require.Empty(t, r.readiness("i-1"), "the incarnation has withdrawn")
	r.step(announcement("i-1", 8, 1, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("i-1"), "a new lifetime is not kept out")
	r.step(withdrawal("i-2", 0))
	late := announcement("i-2", 7, 9, carobreadiness.Ready)
	late.Address = "127.0.0.1:2"
	r.step(late)
	require.Equal(t, carobreadiness.Leaving, r.readiness("i-2"), "it may be the lifetime that has withdrawn")
}

// Guards against a health check that was answered before a leave and makes the target ready after it.
func TestAnswerFromBeforeAWithdrawalIsIgnored(t *testing.T) {
	r := newRestartedRig()
	r.step(withdrawal("i-1", 0))
	discovered := announcement("i-1", 0, 0, carobreadiness.Ready)
	discovered.Confirmed = true
	r.step(discovered)
	require.Empty(t, r.readiness("i-1"))
	r.step(announcement("i-1", 7, 1, carobreadiness.Ready))
	r.step(withdrawal("i-1", 7))
	r.check(true)
	require.Empty(t, r.readiness("i-1"))
}
