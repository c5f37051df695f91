package carobemulator_test

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobknot/carobknot/internal/carobemulator"
	"github.com/carobknot/carobknot/internal/carobscenario"
	"github.com/carobknot/carobknot/internal/carobtally"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/caroborganisationid"
)

// clinics is a deployment at two thirds of its capacity, with two large organisations and eight
// small ones of three priorities. Its end is missing, so that a load can be added.
const clinics = `{
	"centres": ["west", "east"], "hop": "250us", "far": "750us", "measure": {"checks": 48},
	"profile": {"name": "emulated", "once": "call", "policy": "local", "queue": 4, "hedge": "0%", "near": "0%"},
	"services": [{"name": "records", "targets": 3, "slots": 6}, {"name": "bookings", "targets": 3, "slots": 6}],
	"kinds": [
		{"name": "check", "service": "bookings", "work": "30ms", "spread": "30%", "slo": "200ms", "timeout": "600ms", "deadline": "600ms", "once": "no"},
		{"name": "lookup", "service": "records", "rate": 70, "work": "150ms", "spread": "30%", "slo": "800ms", "timeout": "1600ms", "deadline": "2500ms",
			"once": "no", "rank": 1, "retries": 2, "calls": "check", "times": 1, "share": "50%"},
		{"name": "booking", "service": "bookings", "rate": 70, "work": "200ms", "spread": "30%", "slo": "800ms", "timeout": "1600ms", "deadline": "2500ms",
			"once": "call", "rank": 0, "retries": 2},
		{"name": "upload", "service": "records", "rate": 15, "work": "500ms", "spread": "30%", "slo": "2500ms", "timeout": "5s", "deadline": "8s",
			"once": "no", "rank": 2, "retries": 2}
	],
	"organisations": [
		{"name": "large-a", "rank": 1, "weight": 10}, {"name": "large-b", "rank": 2, "weight": 10},
		{"name": "small-1", "rank": 0, "weight": 2}, {"name": "small-2", "rank": 0, "weight": 2}, {"name": "small-3", "rank": 1, "weight": 2},
		{"name": "small-4", "rank": 1, "weight": 2}, {"name": "small-5", "rank": 1, "weight": 2}, {"name": "small-6", "rank": 2, "weight": 2},
		{"name": "small-7", "rank": 2, "weight": 2}, {"name": "small-8", "rank": 2, "weight": 2}
	]`

// overloads are the loads under which the orders are compared.
var overloads = []struct{ name, settings string }{
	{"lasting overload", `, "surges": [{"at": "0s", "lasting": "60s", "factor": 2.2}]`},
	{"burst of 3 s", `, "surges": [{"at": "5s", "lasting": "3s", "factor": 4}]`},
	{"one organisation at seven times", `, "surges": [{"at": "3s", "lasting": "60s", "factor": 7, "organisation": "large-a"}]`},
	{"a third of the targets slow", `, "slow": {"share": "34%", "factor": 5}`},
}

// admissionOrders are the orders of jobs: first come first served, earliest deadline first, that
// of deployments without organisations, and that of those with organisations.
var admissionOrders = []string{"arrival", "deadline", "priority", "urgency"}

const overloadTime = 20 * time.Second

// playOverload plays a load under an order with three seeds.
func playOverload(t *testing.T, settings, order string) []*carobemulator.Emulator {
	t.Helper()
	var runs []*carobemulator.Emulator
	for seed := range uint64(3) {
		scenario, err := carobscenario.Parse("clinics", []byte(clinics+settings+"}"))
		require.NoError(t, err)
		emulator, err := carobemulator.NewEmulator(carobemulator.Config{Scenario: scenario, Seed: seed, AdmissionOrder: order})
		require.NoError(t, err)
		emulator.Run(overloadTime)
		runs = append(runs, emulator)
	}
	return runs
}

// lowestShare returns the lowest share of requests served among all organisations, in relation
// to the overall share.
func lowestShare(run *carobemulator.Emulator) float64 {
	lowest := 1.0
	for _, organisation := range []caroborganisationid.ID{"large-a", "large-b", "small-1", "small-2", "small-3", "small-4", "small-5", "small-6", "small-7", "small-8"} {
		lowest = min(lowest, run.Tally("", organisation).ServedShare()/run.Tally("", "").ServedShare())
	}
	return lowest
}

// Guards against an order under which callers get less: under each load, no organisation may fall below a quarter of what all get, and more requests must be answered within the SLO, and no more may be refused late, than with first come first served.
func TestOverloadByOrder(t *testing.T) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
	for _, load := range overloads {
		t.Run(load.name, func(t *testing.T) {
			sums, lowest := map[string]carobtally.Tally{}, map[string]float64{}
			for _, order := range admissionOrders {
				if !testing.Verbose() && order != "arrival" && order != "urgency" {
					continue // only for the table
				}
				runs := playOverload(t, load.settings, order)
				sums[order], lowest[order] = sumTallies(runs, "", ""), 1
				for _, run := range runs {
					lowest[order] = min(lowest[order], lowestShare(run))
				}
				if testing.Verbose() {
					writeTallies(table, load.name, order, runs)
				}
			}
			require.GreaterOrEqual(t, lowest["urgency"], 0.25, "no organisation is below a quarter")
			require.Greater(t, sums["urgency"].ServedShare(), sums["arrival"].ServedShare())
			require.LessOrEqual(t, float64(sums["urgency"].RefusedLate)/float64(sums["urgency"].Requests()),
				float64(sums["arrival"].RefusedLate)/float64(sums["arrival"].Requests()))
		})
	}
	_ = table.Flush()
}

// writeTallies writes what callers got by kind and by some organisations, and in all, with the
// lowest share of an organisation.
func writeTallies(table *tabwriter.Writer, load, order string, runs []*carobemulator.Emulator) {
	for _, kind := range []carobname.Name{"lookup", "booking", "upload"} {
		writeTally(table, load, order, string(kind), sumTallies(runs, kind, ""))
	}
	for _, organisation := range []caroborganisationid.ID{"large-a", "large-b", "small-1", "small-8"} {
		writeTally(table, load, order, string(organisation), sumTallies(runs, "", organisation))
	}
	lowest := 1.0
	for _, run := range runs {
		lowest = min(lowest, lowestShare(run))
	}
	writeTally(table, load, order, fmt.Sprintf("all, lowest %.2f", lowest), sumTallies(runs, "", ""))
}

func sumTallies(runs []*carobemulator.Emulator, kind carobname.Name, organisation caroborganisationid.ID) carobtally.Tally {
	var sum carobtally.Tally
	for _, run := range runs {
		sum = sum.Plus(run.Tally(kind, organisation))
	}
	return sum
}

func writeTally(table *tabwriter.Writer, load, order, who string, tally carobtally.Tally) {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, tally.Requests())) }
	_, _ = fmt.Fprintf(table, "| %s\t| %s\t| %s\t| %d\t| %.1f\t| %.1f\t| %.1f\t| %.1f\t|\n", load, order, who, tally.Requests(),
		share(tally.InSLO), share(tally.Late), share(tally.RefusedAtOnce), share(tally.RefusedLate))
}
