package carobentry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobcentre"
	"github.com/carobknot/carobknot/pkg/carobevacuation"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreadiness"
)

// newEvacuatedRig returns a rig whose targets a and b are in the data centre west, and c and d
// in east.
func newEvacuatedRig(t *testing.T, evacuated ...carobcentre.Centre) *rig {
	t.Helper()
	r := newRig(t, carobguarantee.OncePerCall)
	for _, peer := range r.world.Peers.All() {
		peer.Member.Centre = "east"
		if peer.Member.Node == "node-a" || peer.Member.Node == "node-b" {
			peer.Member.Centre = "west"
		}
	}
	r.evacuate(evacuated...)
	return r
}

func (r *rig) evacuate(centres ...carobcentre.Centre) {
	for _, centre := range centres {
		r.world.Evacuations.Put(centre, carobevacuation.Evacuation{Centre: centre, Active: true})
	}
}

// Guards against calls at targets of an evacuated data centre, first attempts and later ones, also if all others have refused.
func TestNoCallIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	r := newEvacuatedRig(t, "west")
	r.arrive(false)
	for attempt := 1; attempt < 8; attempt++ {
		require.Contains(t, []string{"c", "d"}, string(r.world.Outbox.Sends[0].Target.Name))
		r.reply(attempt, carobkind.Leaving)
		if len(r.world.Outbox.Sends) == 0 {
			return
		}
	}
}

// Guards against calls that wait for a target until a part of their SLO has passed although none is left.
func TestCallIsRefusedAtOnceIfAllTargetsAreEvacuated(t *testing.T) {
	r := newEvacuatedRig(t, "west", "east")
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: r.call, Service: service, Timeout: callTimeout}}})
	r.requireConcluded(carobkind.NoTarget)
}

// Guards against the same for targets outside the data centre that leave.
func TestLeavingTargetsAreNoTargetsOutside(t *testing.T) {
	r := newEvacuatedRig(t, "west")
	for _, target := range r.world.Targets.All() {
		if target.ID.Name > "b" {
			target.Readiness = carobreadiness.Leaving
		}
	}
	r.step(carobinbox.Inbox{Arrivals: []carobarrival.Arrival{{Call: r.call, Service: service, Timeout: callTimeout}}})
	r.requireConcluded(carobkind.NoTarget)
}

// Guards against a call that is refused by its target's node because of the evacuation, and then waits although no target is left.
func TestCallIsConcludedAtOnceIfItsLastTargetIsEvacuated(t *testing.T) {
	r := newEvacuatedRig(t)
	r.arrive(false)
	r.evacuate("west", "east")
	r.reply(1, carobkind.Leaving)
	r.advance(50 * time.Millisecond)
	r.requireConcluded(carobkind.NoTarget)
}

// Guards against calls under way that are ended by an evacuation.
func TestCallUnderWayIsAnswered(t *testing.T) {
	r := newEvacuatedRig(t)
	r.arrive(false)
	r.evacuate("west", "east")
	r.advance(300 * time.Millisecond)
	r.requireOpen()
	r.reply(1, carobkind.None)
	require.Equal(t, carobkind.None, r.world.Outbox.Conclusions[0].Kind)
}
