package carobrouting

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobgroup"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobmember"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobword"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// crowd returns a world in which calls wait for a service of one node's targets.
func crowd(calls, targets int, state carobreadiness.Readiness) *carobworld.World {
	w := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "self"}, Limits: caroblimits.NewLimits()})
	gp := carobgroup.Group{}
	for i := range targets {
		id := carobtargetid.ID{Service: "lookups", Name: carobword.Word(rune('a' + i))}
		w.Targets.Put(id, carobtarget.Target{ID: id, Node: "self", Slots: 1, State: state})
		gp.Targets = append(gp.Targets, id)
	}
	w.Groups.Put("lookups", gp)
	for i := range calls {
		id := carobcallid.ID{Node: "self", Sequence: uint64(i)}
		w.Calls.Put(id, carobcall.Call{
			Arrival: carobarrival.Arrival{Call: id, Service: "lookups"}, Profile: carobprofile.NewProfile("lookups"), Deadline: 1 << 60,
		})
	}
	return w
}

// Calls that wait while no target is ready are all placed once one is.
func TestCrowdIsPlacedTogether(t *testing.T) {
	w, s := crowd(100, 3, carobreadiness.Leaving), NewSystem()
	w.Begin(carobinbox.Inbox{})
	s.Run(w, 1)
	require.Empty(t, w.Outbox.Sends)
	for _, tg := range w.Targets.All() {
		tg.State = carobreadiness.Ready
	}
	w.Begin(carobinbox.Inbox{})
	s.Run(w, 2)
	require.Len(t, w.Outbox.Sends, 100)
}

func BenchmarkCrowdWithoutTarget(b *testing.B) {
	w, s := crowd(10_000, 20, carobreadiness.Leaving), NewSystem()
	for b.Loop() {
		w.Begin(carobinbox.Inbox{})
		s.Run(w, 1)
	}
}

func TestSmallCallMayMoveOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		targets  int
		size     carobsize.Size
		attempts int
		movable  bool
	}{
		{"first attempt", 2, 0, 0, true},
		{"second attempt", 2, 0, 1, false},
		{"no other target", 1, 0, 0, false},
		{"long body", 2, 64 * carobsize.KiB, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := crowd(1, c.targets, carobreadiness.Ready)
			for _, cl := range w.Calls.All() {
				cl.Arrival.Size, cl.Attempts = c.size, make([]carobattempt.Attempt, c.attempts)
			}
			w.Begin(carobinbox.Inbox{})
			NewSystem().Run(w, 1)
			require.Equal(t, c.movable, w.Outbox.Sends[0].Wish.Movable)
		})
	}
}
