package carobregistry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobannouncement"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobregistry"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// rig runs the registry system of a node with an announcement timeout of 4 s.
type rig struct {
	world  *carobworld.World
	system *carobregistry.System
	now    carobinstant.Instant
}

func newRig() *rig {
	return &rig{
		world:  carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here"}, Limits: caroblimits.NewLimits()}),
		system: carobregistry.NewSystem(carobregistry.Config{AnnouncementTimeout: 4 * time.Second}), now: carobinstant.Instant(time.Hour),
	}
}

func (r *rig) step(announcements ...carobannouncement.Announcement) {
	r.now = r.now.Add(time.Millisecond)
	r.world.BeginTick(carobinbox.Inbox{Announcements: announcements})
	r.system.Run(r.world, r.now)
}

// readiness returns the readiness of a target; empty if the target is unknown.
func (r *rig) readiness(name carobname.Name) carobreadiness.Readiness {
	if tg := r.world.Targets.Get(carobtargetid.ID{Service: "lookups", Name: name}); tg != nil {
		return tg.Readiness
	}
	return ""
}

func announcement(name carobname.Name, incarnation carobincarnation.Incarnation, sequence uint64, readiness carobreadiness.Readiness) carobannouncement.Announcement {
	return carobannouncement.Announcement{
		Target: carobtargetid.ID{Service: "lookups", Name: name}, Address: "127.0.0.1:1", Profile: "p",
		Slots: 12, Connections: 1, Readiness: readiness, Incarnation: incarnation, Sequence: sequence,
	}
}

func withdrawal(name carobname.Name, incarnation carobincarnation.Incarnation) carobannouncement.Announcement {
	return carobannouncement.Announcement{Target: carobtargetid.ID{Name: name}, Withdrawn: true, Incarnation: incarnation}
}

// Guards against announcements that arrive out of order and overwrite a newer state, or
// that restore a target which has withdrawn or whose address another target has now.
func TestOutdatedAnnouncementsAreIgnored(t *testing.T) {
	const ready, leaving = carobreadiness.Ready, carobreadiness.Leaving
	for _, c := range []struct {
		name          string
		announcements []carobannouncement.Announcement
		want          map[carobname.Name]carobreadiness.Readiness
	}{
		{
			"older sequence",
			[]carobannouncement.Announcement{announcement("a", 5, 4, leaving), announcement("a", 5, 3, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": leaving},
		},
		{
			"newer sequence",
			[]carobannouncement.Announcement{announcement("a", 5, 4, leaving), announcement("a", 5, 5, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": ready},
		},
		{
			"earlier incarnation, of another target at the address",
			[]carobannouncement.Announcement{announcement("b", 7, 1, ready), announcement("a", 5, 9, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": "", "b": ready},
		},
		{
			"later incarnation, of another target at the address",
			[]carobannouncement.Announcement{announcement("a", 5, 9, ready), announcement("b", 7, 1, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": "", "b": ready},
		},
		{
			"later incarnation of the same target restarts the sequence",
			[]carobannouncement.Announcement{announcement("a", 5, 9, leaving), announcement("a", 7, 1, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": ready},
		},
		{
			"announcement after the withdrawal",
			[]carobannouncement.Announcement{announcement("a", 5, 1, ready), withdrawal("a", 0), announcement("a", 5, 2, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": ""},
		},
		{
			"withdrawal of an earlier incarnation",
			[]carobannouncement.Announcement{announcement("a", 7, 1, ready), withdrawal("a", 5)},
			map[carobname.Name]carobreadiness.Readiness{"a": ready},
		},
		{
			"target without incarnation",
			[]carobannouncement.Announcement{announcement("a", 0, 0, leaving), announcement("a", 0, 0, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": ready},
		},
		{
			"health check result after a heartbeat",
			[]carobannouncement.Announcement{announcement("a", 5, 1, leaving), announcement("a", 0, 0, ready)},
			map[carobname.Name]carobreadiness.Readiness{"a": leaving},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig()
			for _, announced := range c.announcements {
				r.step(announced)
			}
			for name, readiness := range c.want {
				require.Equal(t, readiness, r.readiness(name), "target %s", name)
			}
		})
	}
}

// Guards against calls to a target that has stopped without withdrawing, and against a
// target that stays leaving after its announcements resume.
func TestTargetWithoutAnnouncementsIsLeaving(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	r.now = r.now.Add(4 * time.Second)
	r.step()
	require.Equal(t, carobreadiness.Leaving, r.readiness("a"))
	r.step(announcement("a", 5, 2, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.readiness("a"))
}

// Guards against an admission state that is removed while jobs still refer to it, and
// against one that is never removed.
func TestAdmissionStateIsRemovedAfterItsLastJob(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	id := carobtargetid.ID{Service: "lookups", Name: "a"}
	r.world.AdmissionStates.Get(id).Running = 1
	r.step(withdrawal("a", 5))
	require.NotNil(t, r.world.AdmissionStates.Get(id), "a job is still running")
	r.world.AdmissionStates.Get(id).Running = 0
	r.step()
	require.Nil(t, r.world.AdmissionStates.Get(id))
}

// Guards against a heartbeat that raises the job limit of a target whose VM is slow.
func TestAnnouncementKeepsTheJobLimit(t *testing.T) {
	r := newRig()
	r.step(announcement("a", 5, 1, carobreadiness.Ready))
	state := r.world.AdmissionStates.Get(carobtargetid.ID{Service: "lookups", Name: "a"})
	require.Equal(t, 12, state.Limit)
	state.Limit = 5
	r.step(announcement("a", 5, 2, carobreadiness.Ready))
	require.Equal(t, 5, state.Limit)
	more := announcement("a", 5, 3, carobreadiness.Ready)
	more.Slots = 20
	r.step(more)
	require.Equal(t, 20, state.Limit, "a new number of slots sets a new limit")
}
