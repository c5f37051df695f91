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
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobtarget"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// newWaitingWorld returns a world in which calls wait for a service whose
// targets all belong to one node.
func newWaitingWorld(calls, targets int, state carobreadiness.Readiness) *carobworld.World {
	world := carobworld.NewWorld(carobworld.Config{Self: carobmember.Member{Node: "self"}, Limits: caroblimits.NewLimits()})
	group := carobgroup.Group{}
	for i := range targets {
		id := carobtargetid.ID{Service: "lookups", Name: carobname.Name(rune('a' + i))}
		world.Targets.Put(id, carobtarget.Target{ID: id, Node: "self", Slots: 1, Readiness: state})
		group.Targets = append(group.Targets, id)
	}
	world.Groups.Put("lookups", group)
	for i := range calls {
		id := carobcallid.ID{Node: "self", Sequence: uint64(i)}
		world.Calls.Put(id, carobcall.Call{
			Arrival: carobarrival.Arrival{Call: id, Service: "lookups"}, Profile: carobprofile.NewProfile("lookups"), Deadline: 1 << 60,
		})
	}
	return world
}

// Guards against calls that stay waiting after their service was found without
// a target in an earlier tick.
func TestWaitingCallsAreAllPlacedWhenTargetsBecomeReady(t *testing.T) {
	world, s := newWaitingWorld(100, 3, carobreadiness.Leaving), NewSystem()
	world.BeginTick(carobinbox.Inbox{})
	s.Run(world, 1)
	require.Empty(t, world.Outbox.Sends)
	for _, target := range world.Targets.All() {
		target.Readiness = carobreadiness.Ready
	}
	world.BeginTick(carobinbox.Inbox{})
	s.Run(world, 2)
	require.Len(t, world.Outbox.Sends, 100)
}

// Measures a tick with thousands of calls of a service that has no ready
// target.
func BenchmarkWaitingCallsWithoutTarget(b *testing.B) {
	world, s := newWaitingWorld(10_000, 20, carobreadiness.Leaving), NewSystem()
	for b.Loop() {
		world.BeginTick(carobinbox.Inbox{})
		s.Run(world, 1)
	}
}

// Guards against a call that is moved from target to target without end, or
// whose long body is sent a second time.
func TestOnlyFirstAttemptOfSmallCallIsMovable(t *testing.T) {
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
			world := newWaitingWorld(1, c.targets, carobreadiness.Ready)
			for _, call := range world.Calls.All() {
				call.Arrival.Size, call.Attempts = c.size, make([]carobattempt.Attempt, c.attempts)
			}
			world.BeginTick(carobinbox.Inbox{})
			NewSystem().Run(world, 1)
			require.Equal(t, c.movable, world.Outbox.Sends[0].Requirements.Movable)
		})
	}
}
