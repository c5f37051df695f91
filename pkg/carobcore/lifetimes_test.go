package carobcore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobcore"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Guards against new targets that get no calls, because a node keeps a row for each target that ever was: a service whose targets crash and restart fills the table.
func TestNewTargetsAreServedAfterManyLifetimes(t *testing.T) {
	limits := caroblimits.NewLimits()
	limits.Targets = 32
	core := carobcore.NewCore(carobcore.Config{
		World:    carobworld.Config{Self: carobmember.Member{Node: "n", Incarnation: 1}, Limits: limits, Seed: 1},
		Profiles: []carobprofile.Profile{carobprofile.NewProfile("p")},
	})
	now := carobinstant.Instant(0).Add(time.Hour)
	for lifetime := range 10 * limits.Targets {
		target := carobtargetid.ID{Service: "lookups", Name: carobname.Name(fmt.Sprintf("i-%d", lifetime))}
		announcement := carobannouncement.Announcement{
			Target: target, Address: carobaddress.Address("10.0.0.1:1"), Profile: "p", Slots: 4, Connections: 4, Readiness: carobreadiness.Ready,
			Incarnation: carobincarnation.Incarnation(lifetime + 1), Sequence: 1, //nolint:gosec // positive
		}
		now = now.Add(time.Second)
		core.Tick(now, carobinbox.Inbox{Announcements: []carobannouncement.Announcement{announcement}})
		call := carobcallid.ID{Node: "n", Incarnation: 1, Sequence: uint64(lifetime + 1)} //nolint:gosec // positive
		now = now.Add(time.Millisecond)
		out := core.Tick(now, carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: call, Service: "lookups", Timeout: time.Second}}})
		require.Len(t, out.Sends, 1, "lifetime %d", lifetime)
		job := out.Sends[0].Job
		now = now.Add(time.Millisecond)
		core.Tick(now, carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Job: job, Target: target, Status: 200}}})
	}
	require.Less(t, core.World().Loads.Len(), limits.Targets)
	require.LessOrEqual(t, core.World().AdmissionStates.Len(), 2)
}
