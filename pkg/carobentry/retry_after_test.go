package carobentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/caroborganisation"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// Guards against refused callers that all return within an eighth of their SLO although only a part of all calls is served, and against a change for deployments without organisations.
func TestRefusedCallersReturnOverATimeThatFitsTheLoad(t *testing.T) {
	const slo, now = 800 * time.Millisecond, carobinstant.Instant(time.Hour)
	for _, c := range []struct {
		name            string
		keyed           bool
		served, refused int
		longest         time.Duration
	}{
		{"without organisations", false, 1, 9, 150 * time.Millisecond},
		{"all served", true, 10, 0, 150 * time.Millisecond},
		{"half served", true, 5, 5, 250 * time.Millisecond},
		{"a tenth served", true, 1, 9, slo / 2},
		{"none served", true, 0, 9, slo / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits(), Seed: 1})
			call := &carobcall.Call{RequiresKey: c.keyed, ArrivedAt: now, SLODeadline: now.Add(slo)}
			for range c.served {
				world.OverallDemand.Add(now, true)
			}
			for range c.refused {
				world.OverallDemand.Add(now, false)
			}
			var longest time.Duration
			shortest := slo
			for range 1000 {
				after := retryAfter(world, now, call, carobkind.Busy)
				longest, shortest = max(longest, after), min(shortest, after)
			}
			require.LessOrEqual(t, longest, c.longest)
			require.Greater(t, longest, c.longest*9/10)
			require.Less(t, shortest, 60*time.Millisecond, "some return soon")
		})
	}
}

// Guards against an organisation that gains precedence over others by calls that it gives up or that are beyond its quota.
func TestOnlyCallsThatFoundNoRoomCountAsNotServed(t *testing.T) {
	const now = carobinstant.Instant(time.Hour)
	for kind, counted := range map[carobkind.Kind]bool{
		carobkind.Busy: true, carobkind.NotStartedInTime: true, carobkind.ConnectionLost: true,
		carobkind.Cancelled: false, carobkind.Quota: false, carobkind.NotReady: false,
	} {
		for _, keyed := range []bool{true, false} {
			world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits(), Seed: 1})
			organisation := &caroborganisation.Organisation{ID: "clinic"}
			conclude(world, now, &carobcall.Call{RequiresKey: keyed, Organisation: organisation, ArrivedAt: now}, kind)
			require.Equal(t, counted && keyed, world.OrganisationDemands.Get("clinic") != nil, "%s, keyed: %t", kind, keyed)
		}
	}
}
