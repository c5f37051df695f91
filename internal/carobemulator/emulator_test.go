package carobemulator_test

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobemulator"
	"github.com/carobknot/carobknot/internal/carobscenario"
	"github.com/carobknot/carobknot/internal/carobsummary"
)

func noisy(t *testing.T) carobscenario.Scenario {
	t.Helper()
	sc, err := carobscenario.Load("../../examples/emulate/noisy.json")
	require.NoError(t, err)
	return sc
}

func play(t *testing.T, sc carobscenario.Scenario, seed uint64) map[string]*carobsummary.Summary {
	t.Helper()
	em, err := carobemulator.NewEmulator(carobemulator.Config{Scenario: sc, Seed: seed})
	require.NoError(t, err)
	kinds := map[string]*carobsummary.Summary{}
	sums := em.Run(10 * time.Second)
	if testing.Verbose() {
		carobsummary.Table(os.Stdout, sums...)
	}
	for _, sm := range sums {
		kinds[sm.Name] = sm
	}
	return kinds
}

func good(sm *carobsummary.Summary) float64 { return float64(sm.Good) / float64(sm.Calls) }

func TestRunRepeatsUnderItsSeed(t *testing.T) {
	one, two, other := play(t, noisy(t), 1), play(t, noisy(t), 1), play(t, noisy(t), 2)
	require.Equal(t, one["lookup"].Good, two["lookup"].Good)
	require.Equal(t, one["lookup"].Latency, two["lookup"].Latency)
	require.NotEqual(t, one["lookup"].Latency, other["lookup"].Latency)
}

func TestQuietVMsAnswerNearlyAllInTime(t *testing.T) {
	sc := noisy(t)
	sc.Noise.Factor = 1
	kinds := play(t, sc, 1)
	require.Greater(t, kinds["lookup"].Calls, 500)
	require.Greater(t, good(kinds["lookup"]), 0.97)
	require.Greater(t, good(kinds["payout"]), 0.97)
}

// Jobs that start in a slow moment of their VM are late. With health checks they wait
// or move, and callers get more in time.
func TestCallersGetMoreWhenJobsWaitForTheirVM(t *testing.T) {
	for seed := range uint64(3) {
		blind := noisy(t)
		blind.Measure.ChecksPerSecond = 0
		before, after := play(t, blind, seed), play(t, noisy(t), seed)
		for _, kind := range []string{"lookup", "payout"} {
			require.Greater(t, good(after[kind]), good(before[kind])+0.05, "%s, seed %d", kind, seed)
		}
	}
}

// More comes than the targets can do: what is refused is refused early, and what is
// taken is mostly in time.
func TestOverloadIsRefusedAndNotHeldUp(t *testing.T) {
	sc := noisy(t)
	for i := range sc.Kinds {
		sc.Kinds[i].Rate *= 4
		sc.Kinds[i].Retries = 0
	}
	for seed := range uint64(3) {
		lookup := play(t, sc, seed)["lookup"]
		require.Greater(t, lookup.NotRun, lookup.Calls/20, "seed %d: this is overload", seed)
		require.Greater(t, lookup.Good, lookup.Answered/2, "seed %d", seed)
		require.Less(t, lookup.Unknown, lookup.Calls/20, "seed %d", seed)
	}
}
