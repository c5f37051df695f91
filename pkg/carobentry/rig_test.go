package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobentry"
	"github.com/carobknot/carobknot/pkg/carobfencereply"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobjobstate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobmessage"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobnodeid"
	"github.com/carobknot/carobknot/pkg/carobpeer"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobrouting"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

const (
	service     = carobservice.Service("payouts")
	callTimeout = time.Second
	// maxOverrun is how long after its deadline a call may be concluded.
	maxOverrun        = 100 * time.Millisecond
	targetIncarnation = 5
)

// rig is an entry node with one call, and four targets on other nodes.
type rig struct {
	t      *testing.T
	world  *carobworld.World
	now    carobinstant.Instant
	call   carobcallid.ID
	entry  *carobentry.System
	router *carobrouting.System
}

func newRig(t *testing.T, guarantee carobguarantee.Guarantee) *rig {
	t.Helper()
	world := carobworld.NewWorld(carobworld.Config{
		Self: carobmember.Member{Node: "here", Incarnation: 3}, Limits: caroblimits.NewLimits(), Seed: 1,
	})
	group := carobgroup.Group{Profile: "p"}
	for _, name := range []string{"a", "b", "c", "d"} {
		id := carobtargetid.ID{Service: service, Name: carobname.Name(name)}
		node := carobnodeid.ID("node-" + name)
		world.Targets.Put(id, carobtarget.Target{ID: id, Node: node, Profile: "p", Slots: 4, Readiness: carobreadiness.Ready})
		world.Peers.Put(node, carobpeer.Peer{Member: carobmember.Member{Node: node, Incarnation: targetIncarnation, PeerAddress: "peer"}})
		group.Targets = append(group.Targets, id)
	}
	world.Groups.Put(service, group)
	revision := carobrevision.Revision{}
	revision.Change.Profile = carobprofile.NewProfile("p")
	revision.Change.Profile.Guarantee = guarantee
	world.Profiles.Put("p", revision)
	r := &rig{
		t: t, world: world, now: 1, entry: carobentry.NewSystem(), router: carobrouting.NewSystem(),
		call: carobcallid.ID{Node: "here", Incarnation: 3, Sequence: 1},
	}
	return r
}

// step runs one tick with the given inbox.
func (r *rig) step(inbox carobinbox.Inbox) {
	r.now++
	r.world.BeginTick(inbox)
	r.entry.Run(r.world, r.now)
	r.router.Run(r.world, r.now)
}

// advance moves the clock by d and runs the ticks that are due. It stops early at
// the first tick that concludes a call.
func (r *rig) advance(d time.Duration) {
	end := r.now.Add(d)
	for wake := r.world.Wake(); wake.Reached(end); wake = r.world.Wake() {
		r.now = max(r.now, wake)
		r.step(carobinbox.Inbox{})
		if len(r.world.Outbox.Conclusions) > 0 {
			return
		}
	}
	r.now = end
}

// arrive runs a tick in which a call to the service arrives, and requires that the
// first attempt of the call is sent.
func (r *rig) arrive(streamed bool) {
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{
		{Call: r.call, Service: service, Timeout: callTimeout, Streamed: streamed},
	}})
	r.requireSent(1)
}

func (r *rig) reply(attempt int, kind carobkind.Kind) {
	r.step(carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Job: r.job(attempt), Kind: kind}}})
}

func (r *rig) fenceReply(attempt int, state carobjobstate.JobState) {
	r.step(carobinbox.Inbox{Messages: []carobmessage.Message{
		{FenceReply: &carobfencereply.FenceReply{Job: r.job(attempt), State: state}},
	}})
}

func (r *rig) job(attempt int) carobjobid.ID { return carobjobid.ID{Call: r.call, Attempt: attempt} }

// requireSent requires that the last tick sent exactly one attempt, with this
// number.
func (r *rig) requireSent(attempt int) {
	r.t.Helper()
	require.Len(r.t, r.world.Outbox.Sends, 1)
	require.Equal(r.t, r.job(attempt), r.world.Outbox.Sends[0].Job)
}

// fencedAttempts returns the numbers of the attempts for which the last tick sent a
// fence.
func (r *rig) fencedAttempts() []int {
	var attempts []int
	for _, message := range r.world.Outbox.Messages {
		if message.Fence != nil {
			require.EqualValues(r.t, targetIncarnation, message.Fence.Incarnation)
			attempts = append(attempts, message.Fence.Job.Attempt)
		}
	}
	return attempts
}

// requireConcluded requires that the last tick concluded the call with this kind,
// and that no call is left.
func (r *rig) requireConcluded(kind carobkind.Kind) {
	r.t.Helper()
	require.Equal(r.t, []carobconclusion.Conclusion{{Call: r.call, Kind: kind}}, r.world.Outbox.Conclusions)
	require.Zero(r.t, r.world.Calls.Len())
}

// requireOpen requires that the last tick concluded no call.
func (r *rig) requireOpen() {
	r.t.Helper()
	require.Empty(r.t, r.world.Outbox.Conclusions)
}
