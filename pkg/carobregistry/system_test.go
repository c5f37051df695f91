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
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobregistry"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

type rig struct {
	world  *carobworld.World
	system *carobregistry.System
	now    carobinstant.Instant
}

func newRig() *rig {
	return &rig{
		world:  carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "here"}, Limits: caroblimits.NewLimits()}),
		system: carobregistry.NewSystem(carobregistry.Config{Silence: 4 * time.Second}), now: carobinstant.Instant(time.Hour),
	}
}

func (r *rig) step(ans ...carobannouncement.Announcement) {
	r.now = r.now.Add(time.Millisecond)
	r.world.Begin(carobinbox.Inbox{Announcements: ans})
	r.system.Run(r.world, r.now)
}

// state returns what is known of a target; empty if it is not known.
func (r *rig) state(name carobword.Word) carobreadiness.Readiness {
	if tg := r.world.Targets.Get(carobtargetid.ID{Service: "lookups", Name: name}); tg != nil {
		return tg.State
	}
	return ""
}

func word(name carobword.Word, life carobincarnation.Incarnation, sequence uint64, state carobreadiness.Readiness) carobannouncement.Announcement {
	return carobannouncement.Announcement{
		Target: carobtargetid.ID{Service: "lookups", Name: name}, Address: "127.0.0.1:1", Profile: "p",
		Slots: 12, Conns: 1, State: state, Incarnation: life, Sequence: sequence,
	}
}

func leave(name carobword.Word, life carobincarnation.Incarnation) carobannouncement.Announcement {
	return carobannouncement.Announcement{Target: carobtargetid.ID{Name: name}, Withdrawn: true, Incarnation: life}
}

func TestOvertakenWordsDoNotCount(t *testing.T) {
	const ready, leaving = carobreadiness.Ready, carobreadiness.Leaving
	for _, c := range []struct {
		name  string
		words []carobannouncement.Announcement
		want  map[carobword.Word]carobreadiness.Readiness
	}{
		{
			"older sequence",
			[]carobannouncement.Announcement{word("a", 5, 4, leaving), word("a", 5, 3, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": leaving},
		},
		{
			"newer sequence",
			[]carobannouncement.Announcement{word("a", 5, 4, leaving), word("a", 5, 5, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": ready},
		},
		{
			"earlier life of another target at the address",
			[]carobannouncement.Announcement{word("b", 7, 1, ready), word("a", 5, 9, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": "", "b": ready},
		},
		{
			"later life of another target at the address",
			[]carobannouncement.Announcement{word("a", 5, 9, ready), word("b", 7, 1, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": "", "b": ready},
		},
		{
			"same name, later life, counts anew",
			[]carobannouncement.Announcement{word("a", 5, 9, leaving), word("a", 7, 1, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": ready},
		},
		{
			"word after its leave",
			[]carobannouncement.Announcement{word("a", 5, 1, ready), leave("a", 0), word("a", 5, 2, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": ""},
		},
		{
			"leave of an earlier life",
			[]carobannouncement.Announcement{word("a", 7, 1, ready), leave("a", 5)},
			map[carobword.Word]carobreadiness.Readiness{"a": ready},
		},
		{
			"target that tells no life",
			[]carobannouncement.Announcement{word("a", 0, 0, leaving), word("a", 0, 0, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": ready},
		},
		{
			"what a health path said goes behind a heartbeat",
			[]carobannouncement.Announcement{word("a", 5, 1, leaving), word("a", 0, 0, ready)},
			map[carobword.Word]carobreadiness.Readiness{"a": leaving},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig()
			for _, an := range c.words {
				r.step(an)
			}
			for name, state := range c.want {
				require.Equal(t, state, r.state(name), "target %s", name)
			}
		})
	}
}

func TestSilentTargetIsLeaving(t *testing.T) {
	r := newRig()
	r.step(word("a", 5, 1, carobreadiness.Ready))
	r.now = r.now.Add(4 * time.Second)
	r.step()
	require.Equal(t, carobreadiness.Leaving, r.state("a"))
	r.step(word("a", 5, 2, carobreadiness.Ready))
	require.Equal(t, carobreadiness.Ready, r.state("a"))
}

func TestGateGoesWithItsTarget(t *testing.T) {
	r := newRig()
	r.step(word("a", 5, 1, carobreadiness.Ready))
	id := carobtargetid.ID{Service: "lookups", Name: "a"}
	r.world.Gates.Get(id).Running = 1
	r.step(leave("a", 5))
	require.NotNil(t, r.world.Gates.Get(id), "a job still runs")
	r.world.Gates.Get(id).Running = 0
	r.step()
	require.Nil(t, r.world.Gates.Get(id))
}
