package carobregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcheckresult"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjob"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

var (
	lookups = carobtargetid.ID{Service: "lookups", Name: "a"}
	leaves  = &carobtargetdirective.TargetDirective{Leaving: true}
)

// startJob adds a job that starts now at the target.
func (r *rig) startJob() carobjobid.ID {
	id := carobjobid.ID{Call: carobcallid.ID{Node: "there", Incarnation: 1, Sequence: 1}, Attempt: 1}
	r.world.Jobs.Put(id, carobjob.Job{Offer: caroboffer.Offer{Job: id, Target: lookups}, StartedAt: r.now})
	return id
}

// respond lets the target's response to a job arrive.
func (r *rig) respond(job carobjobid.ID, directive *carobtargetdirective.TargetDirective) {
	r.now = r.now.Add(time.Millisecond)
	r.world.BeginTick(carobinbox.Inbox{Finishes: []carobfinish.Finish{{Job: job, Status: 200, Directive: directive}}})
	r.system.Run(r.world, r.now)
}

// Guards against a target that says that it leaves in its responses only, and that its next heartbeat makes ready again.
func TestTargetLeavesByItsResponses(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	r.respond(r.startJob(), &carobtargetdirective.TargetDirective{})
	require.Equal(t, carobreadiness.Ready, r.readiness("a"))
	before := r.world.Self.Sequence
	r.respond(r.startJob(), leaves)
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"))
	require.Greater(t, r.world.Self.Sequence, before, "other nodes learn it")
	r.step(announcement("a", 5, 2, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"))
	r.step(announcement("a", 6, 1, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("a"), "a new incarnation does not leave")
}

// Guards against a target that counts as leaving for its silence, says in a response that it leaves, and is made ready by its next heartbeat.
func TestSilentTargetThatLeavesIsNotMadeReady(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	job := r.startJob()
	r.now = r.now.Add(5 * time.Second)
	r.step()
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"), "silent")
	r.respond(job, leaves)
	r.step(announcement("a", 5, 2, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"))
}

// Guards against a target whose response to a health check says that it leaves, and that gets calls until one of them says so too.
func TestTargetLeavesByItsHealthCheck(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	r.world.BeginTick(carobinbox.Inbox{CheckResults: []carobcheckresult.CheckResult{{Target: lookups, Directive: leaves}}})
	r.system.Run(r.world, r.now)
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"))
}

// Guards against a late response of an earlier incarnation that takes a target out which has just started.
func TestResponsesOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	job := r.startJob()
	r.step(announcement("a", 6, 1, carobreadiness.Ready))
	r.respond(job, leaves)
	require.Equal(t, carobreadiness.Ready, r.readiness("a"))
}
