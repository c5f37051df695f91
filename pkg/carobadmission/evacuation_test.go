package carobadmission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// Guards against jobs that start in an evacuated data centre, because they were queued or because their entry node does not know of it yet, and against jobs under way that are ended.
func TestEvacuatedTargetStartsNothing(t *testing.T) {
	r := newRig(1, 4)
	running := r.offer(requirements(1, time.Second))
	require.Len(t, r.world.Outbox.Starts, 1)
	queued := r.offer(requirements(1, time.Second))
	require.Empty(t, r.world.Outbox.Refusals)
	r.world.Self.Centre = "west"
	r.world.Evacuations.Put("east", carobevacuation.Evacuation{Centre: "east", Active: true})
	r.step(time.Millisecond, carobinbox.Inbox{})
	require.Empty(t, r.world.Outbox.Refusals, "another data centre")
	r.world.Evacuations.Put("west", carobevacuation.Evacuation{Centre: "west", Active: true})
	r.step(time.Millisecond, carobinbox.Inbox{})
	require.Len(t, r.world.Outbox.Refusals, 1)
	require.Equal(t, queued, r.world.Outbox.Refusals[0].Job)
	require.Equal(t, carobkind.Leaving, r.world.Outbox.Refusals[0].Kind)
	r.offer(requirements(1, time.Second))
	require.Equal(t, carobkind.Leaving, r.world.Outbox.Refusals[0].Kind)
	require.Empty(t, r.finish(running, 1))
	require.Zero(t, r.world.Jobs.Len(), "the running job has ended normally")
	r.world.Evacuations.Get("west").Active = false
	r.offer(requirements(1, time.Second))
	require.Len(t, r.world.Outbox.Starts, 1, "the evacuation has ended")
}
