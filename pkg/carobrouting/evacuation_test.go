package carobrouting

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
	"github.com/carobknot/carobknot/pkg/carobstage"
)

// Guards against hedges that are sent into an evacuated data centre although first attempts are not.
func TestNoHedgeIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		world, s := newWaitingWorld(1, 3, carobreadiness.Ready), NewSystem()
		world.Self.Centre = "west"
		world.Evacuations.Put("west", carobevacuation.Evacuation{Centre: "west", Active: evacuated})
		for _, call := range world.Calls.All() {
			call.Stage, call.HedgeDue = carobstage.Attempting, true
			call.Attempts = []carobattempt.Attempt{{SentAt: 1}}
		}
		world.BeginTick(carobinbox.Inbox{})
		s.Run(world, 2)
		require.Equal(t, evacuated, len(world.Outbox.Sends) == 0)
	}
}
