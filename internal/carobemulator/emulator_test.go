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

// loadNoisyScenario loads the example scenario in which VMs have slow periods.
func loadNoisyScenario(t *testing.T) carobscenario.Scenario {
	t.Helper()
	scenario, err := carobscenario.Load("../../examples/emulate/noisy.json")
	require.NoError(t, err)
	return scenario
}

// runScenario runs a scenario for ten seconds of virtual time and returns its
// summaries by the name of the kind.
func runScenario(t *testing.T, scenario carobscenario.Scenario, seed uint64) map[string]*carobsummary.Summary {
	t.Helper()
	emulator, err := carobemulator.NewEmulator(carobemulator.Config{Scenario: scenario, Seed: seed})
	require.NoError(t, err)
	kinds := map[string]*carobsummary.Summary{}
	summaries := emulator.Run(10 * time.Second)
	if testing.Verbose() {
		carobsummary.WriteTable(os.Stdout, summaries...)
	}
	for _, summary := range summaries {
		kinds[summary.Name] = summary
	}
	return kinds
}

// goodShare returns the share of calls that were answered correctly and in time.
func goodShare(summary *carobsummary.Summary) float64 {
	return float64(summary.Good) / float64(summary.Calls)
}

// Guards against state outside the seed, such as map order, that changes the result.
func TestRunRepeatsUnderItsSeed(t *testing.T) {
	one, two, other := runScenario(t, loadNoisyScenario(t), 1), runScenario(t, loadNoisyScenario(t), 1), runScenario(t, loadNoisyScenario(t), 2)
	require.Equal(t, one["lookup"].Good, two["lookup"].Good)
	require.Equal(t, one["lookup"].GoodLatency, two["lookup"].GoodLatency)
	require.NotEqual(t, one["lookup"].GoodLatency, other["lookup"].GoodLatency)
}

// Guards against decisions that miss deadlines although no VM is slow and the load is
// below the capacity.
func TestVMsWithoutNoiseAnswerInTime(t *testing.T) {
	scenario := loadNoisyScenario(t)
	scenario.Noise.Factor = 1
	kinds := runScenario(t, scenario, 1)
	require.Greater(t, kinds["lookup"].Calls, 500)
	require.Greater(t, goodShare(kinds["lookup"]), 0.97)
	require.Greater(t, goodShare(kinds["payout"]), 0.97)
}

// Guards against health checks without effect. Jobs that start in a slow period of
// their VM end late; with health checks, the node delays them or they run on another
// target, which brings more answers in time.
func TestHealthChecksIncreaseAnswersInTime(t *testing.T) {
	for seed := range uint64(3) {
		noChecks := loadNoisyScenario(t)
		noChecks.ProbeLimits.ChecksPerSecond = 0
		without, with := runScenario(t, noChecks, seed), runScenario(t, loadNoisyScenario(t), seed)
		for _, kind := range []string{"lookup", "payout"} {
			require.Greater(t, goodShare(with[kind]), goodShare(without[kind])+0.05, "%s, seed %d", kind, seed)
		}
	}
}

// Guards against nodes that, under a load above the capacity of the targets, queue
// calls until they expire instead of refusing them early: most answered calls must be
// in time, and few may have an unknown outcome.
func TestOverloadIsRefusedEarly(t *testing.T) {
	scenario := loadNoisyScenario(t)
	for i := range scenario.CallKinds {
		scenario.CallKinds[i].Rate *= 4
		scenario.CallKinds[i].Retries = 0
	}
	for seed := range uint64(3) {
		lookup := runScenario(t, scenario, seed)["lookup"]
		require.Greater(t, lookup.NotRun, lookup.Calls/20, "seed %d: the load exceeds the capacity", seed)
		require.Greater(t, lookup.Good, lookup.Answered/2, "seed %d", seed)
		require.Less(t, lookup.Unknown, lookup.Calls/20, "seed %d", seed)
	}
}
