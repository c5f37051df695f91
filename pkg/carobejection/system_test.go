package carobejection

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobattemptreply"
	"github.com/carobknot/carobknot/pkg/carobchange"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobload"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobrevision"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

func target(name string) carobtargetid.ID {
	return carobtargetid.ID{Service: "lookups", Name: carobname.Name(name)}
}

// newWorld returns a world with one service, whose targets have the given
// loads.
func newWorld(loads map[string]carobload.Load) *carobworld.World {
	world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	world.Profiles.Put("p", carobrevision.Revision{Change: carobchange.Change{Profile: carobprofile.NewProfile("p")}})
	group := carobgroup.Group{Profile: "p"}
	for name, load := range loads {
		group.Targets = append(group.Targets, target(name))
		world.Loads.Put(target(name), load)
	}
	world.Groups.Put("lookups", group)
	return world
}

// tickWithReply runs a tick with one reply of target a.
func tickWithReply(world *carobworld.World, now carobinstant.Instant, status int) {
	world.BeginTick(carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Target: target("a"), Status: status}}})
	NewSystem().Run(world, now)
}

// Guards against keeping a failing target, and against ejecting targets on too
// few replies or so many that the rest is overloaded.
func TestEjectsTargetsThatFailMoreThanOthers(t *testing.T) {
	healthy, failing := carobload.Load{Successes: 10}, carobload.Load{Successes: 1, Failures: 9}
	ejected := carobload.Load{EjectionEnd: carobinstant.Instant(time.Hour)}
	for _, tc := range []struct {
		name  string
		loads map[string]carobload.Load
		want  bool
	}{
		{"fails more than other targets", map[string]carobload.Load{"a": failing, "b": healthy, "c": healthy}, true},
		{"fails as often as other targets", map[string]carobload.Load{"a": failing, "b": failing, "c": failing}, false},
		{"fails several times in a row after many successes", map[string]carobload.Load{"a": {Successes: 90, Failures: 4, ConsecutiveFailures: 4}, "b": healthy}, true},
		{"too few replies", map[string]carobload.Load{"a": {Failures: 2}, "b": healthy, "c": healthy}, false},
		{"half are ejected already", map[string]carobload.Load{"a": failing, "b": healthy, "c": ejected}, false},
		{"the only target", map[string]carobload.Load{"a": failing}, false},
		{"fails occasionally", map[string]carobload.Load{"a": {Successes: 9, Failures: 1}, "b": healthy}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newWorld(tc.loads)
			tickWithReply(world, 1, http.StatusInternalServerError)
			require.Equal(t, tc.want, world.Loads.Get(target("a")).EjectionEnd != carobinstant.Never)
		})
	}
}

// Guards against targets that stay ejected after they recovered, and against
// full traffic to those that still fail.
func TestTrialReplyDecidesEjection(t *testing.T) {
	for _, tc := range []struct {
		name       string
		status     int
		readmitted bool
	}{
		{"healed", http.StatusOK, true},
		{"still failing", http.StatusInternalServerError, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			world := newWorld(map[string]carobload.Load{"a": {Failures: 9}, "b": {Successes: 10}})
			tickWithReply(world, 1, http.StatusInternalServerError)
			load := world.Loads.Get(target("a"))
			require.NotEqual(t, carobinstant.Never, load.EjectionEnd)
			require.Equal(t, load.EjectionEnd, world.Wake())
			world.BeginTick(carobinbox.Inbox{})
			NewSystem().Run(world, load.EjectionEnd)
			require.True(t, load.OnTrial)
			tickWithReply(world, load.EjectionEnd+1, tc.status)
			require.False(t, load.OnTrial)
			require.Equal(t, tc.readmitted, load.EjectionEnd == carobinstant.Never)
		})
	}
}

// Guards against readmitting a target that has only refused, which proves
// nothing of its health.
func TestRefusalDoesNotEndTrial(t *testing.T) {
	world := newWorld(map[string]carobload.Load{"a": {OnTrial: true}, "b": {Successes: 10}})
	world.BeginTick(carobinbox.Inbox{AttemptReplies: []carobattemptreply.AttemptReply{{Target: target("a"), Kind: carobkind.Busy}}})
	NewSystem().Run(world, 1)
	require.True(t, world.Loads.Get(target("a")).OnTrial)
}
