package carobhedging

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/pkg/carobarrival"
	"github.com/carobknot/carobknot/pkg/carobattempt"
	"github.com/carobknot/carobknot/pkg/carobcall"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/caroblimits"
	"github.com/carobknot/carobknot/pkg/carobprofile"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstage"
	"github.com/carobknot/carobknot/pkg/carobworld"
)

// newHedgeableCall runs a tick that sends the first attempt of a call to a
// service that answers within 10 ms.
func newHedgeableCall(t *testing.T, change func(call *carobcall.Call)) (*System, *carobworld.World, *carobcall.Call) {
	t.Helper()
	world := carobworld.NewWorld(carobworld.Config{Limits: caroblimits.NewLimits()})
	profile := carobprofile.NewProfile("lookups")
	profile.Guarantee = carobguarantee.Idempotent
	latency := latencyOf(world, "lookups")
	for range 1000 {
		latency.Histogram.Add(10 * time.Millisecond)
	}
	id := carobcallid.ID{Node: "n", Sequence: 1}
	call := world.Calls.Put(id, carobcall.Call{
		Arrival: carobarrival.Arrival{Call: id, Service: "lookups"}, Profile: profile, Stage: carobstage.Attempting,
		Attempts: []carobattempt.Attempt{{SentAt: 1}},
	})
	change(call)
	s := NewSystem()
	world.Outbox.Sends = []carobsend.Send{{Job: carobjobid.ID{Call: id, Attempt: 1}}}
	s.Run(world, 1)
	return s, world, call
}

// Guards against hedging too early, and against hedging calls that must not run
// twice, cannot be sent again or have no attempts left.
func TestSlowIdempotentCallIsHedged(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(call *carobcall.Call)
		want   bool
	}{
		{"idempotent", func(*carobcall.Call) {}, true},
		{"at most once", func(call *carobcall.Call) { call.Profile.Guarantee = carobguarantee.OncePerCall }, false},
		{"keyed", func(call *carobcall.Call) { call.Profile.Guarantee = carobguarantee.OncePerKey }, false},
		{"streamed body", func(call *carobcall.Call) { call.Arrival.Streamed = true }, false},
		{"one attempt allowed", func(call *carobcall.Call) { call.Profile.Attempts = 1 }, false},
		{"no hedging", func(call *carobcall.Call) { call.Profile.HedgeQuantile = 0 }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, world, call := newHedgeableCall(t, tc.change)
			world.BeginTick(carobinbox.Inbox{})
			s.Run(world, carobinstant.Instant(5*time.Millisecond))
			require.False(t, call.HedgeDue)
			s.Run(world, carobinstant.Instant(20*time.Millisecond))
			require.Equal(t, tc.want, call.HedgeDue)
		})
	}
}

// Guards against hedges beyond the retry budget, and against a call that is
// dropped from the schedule when the budget is spent.
func TestHedgeWaitsForRetryBudget(t *testing.T) {
	s, world, call := newHedgeableCall(t, func(*carobcall.Call) {})
	world.BeginTick(carobinbox.Inbox{})
	world.RetryBudgetOf("lookups").Tokens = 0.99
	s.Run(world, carobinstant.Instant(20*time.Millisecond))
	require.False(t, call.HedgeDue)
	// The hedge is still scheduled.
	world.RetryBudgetOf("lookups").Tokens = 1
	s.Run(world, carobinstant.Instant(30*time.Millisecond))
	require.True(t, call.HedgeDue)
}

// Guards against hedges that are requested after the call was answered.
func TestAnsweredCallIsNotHedged(t *testing.T) {
	s, world, call := newHedgeableCall(t, func(*carobcall.Call) {})
	world.BeginTick(carobinbox.Inbox{})
	call.Stage = carobstage.Delivering
	s.Run(world, carobinstant.Instant(20*time.Millisecond))
	require.False(t, call.HedgeDue)
}
