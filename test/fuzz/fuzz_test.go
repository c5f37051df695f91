// Package fuzz runs several cores in a simulation with random calls and faults, while an
// oracle checks every guarantee. It contains only test files.
package fuzz

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobstream"
)

// longDuration is how long TestLong runs with new seeds; 0 skips it. make fuzz sets it.
var longDuration = flag.Duration("long", 0, "how long TestLong runs")

func TestMain(m *testing.M) {
	// The seed is fixed so that every run has the same result.
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "150", "rapid.steps": "50", "rapid.nofailfile": "true", "rapid.shrinktime": "20s",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// summary is the sum of all simulations of a test.
type summary struct {
	cases, ticks int
	// identified counts the runs for an organisation, and late those of them with a key that
	// the newest table did not hold.
	identified, late int
	tally            tally
	kinds            map[carobkind.Kind]int
	// violated is true once a simulation violated a guarantee. Later simulations, in
	// which rapid reproduces and shrinks the failure, are not counted.
	violated bool
}

func (c *summary) add(sim *simulation) {
	if c.violated {
		return
	}
	c.violated = sim.oracle.violation != ""
	c.cases++
	c.ticks += sim.ticks
	for kind, n := range sim.kinds {
		if c.kinds == nil {
			c.kinds = map[carobkind.Kind]int{}
		}
		c.kinds[kind] += n
	}
	if sim.operator != nil {
		c.late += sim.operator.oracle.Late
		c.identified += sim.operator.oracle.Runs
	}
	a, b := &c.tally, sim.oracle.tally
	a.Calls, a.Answered, a.NotRun, a.Unknown, a.Gone = a.Calls+b.Calls, a.Answered+b.Answered, a.NotRun+b.NotRun, a.Unknown+b.Unknown, a.Gone+b.Gone
	a.Runs, a.Doubled, a.Lost, a.Mixed = a.Runs+b.Runs, a.Doubled+b.Doubled, a.Lost+b.Lost, a.Mixed+b.Mixed
}

func (c *summary) String() string {
	return fmt.Sprintf("%d cases, %d ticks: %+v %v, %d for organisations, %d late", c.cases, c.ticks, c.tally, c.kinds, c.identified, c.late)
}

// settleTime is how long a simulation without faults runs before all calls must have ended.
const settleTime = 12 * time.Second

// plan configures a simulation. The zero plan runs all actions on the unchanged product.
type plan struct {
	mutation mutation
	// onlyActions lists the names of the actions to run; nil runs all.
	onlyActions []string
	// reuseKeys makes callers use a key more than once.
	reuseKeys bool
	// noCallTimeouts makes callers set no timeout, so that the deadline of the profile
	// applies.
	noCallTimeouts bool
	// healthChecks enables health checks, which report the slowness of VMs, and gives
	// nodes that shut down a deadline.
	healthChecks bool
	// coldTargets gives nodes a route table with a limit for cold targets, and makes targets
	// cold.
	coldTargets bool
	// organisations makes calls carry API keys, which the operator adds and withdraws.
	organisations bool
}

// runSimulation runs actions that rapid draws on one simulation, ends all faults and
// checks that calls are answered again.
func runSimulation(t *rapid.T, plan plan, total *summary) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "nodes"), plan)
	defer total.add(sim)
	sim.advance(time.Second)
	if rapid.Bool().Draw(t, "old log") {
		// The log has expired records, which makes a node append a snapshot.
		stream := sim.log.stream(carobstream.Profiles)
		stream.expire(len(stream.records) - 1)
		sim.advance(3 * time.Second)
	}
	all := actions(sim)
	if plan.onlyActions != nil {
		selected := map[string]func(*rapid.T){"": all[""]}
		for _, name := range plan.onlyActions {
			selected[name] = all[name]
		}
		all = selected
	}
	t.Repeat(all)
	sim.endFaults()
	sim.advance(settleTime)
	sim.oracle.checkAllEnded()
	all[""](t)
	checkCallsAnswered(t, sim)
	all[""](t)
}

// checkCallsAnswered sends every node a call of every service and checks that all are
// answered.
func checkCallsAnswered(t *rapid.T, sim *simulation) {
	before := sim.oracle.tally
	if sim.operator != nil {
		sim.operator.settled = true
	}
	calls := 0
	for _, n := range sim.nodes {
		for i := range services {
			calls++
			n.startCall(i, fmt.Sprintf("last-%d", calls), 0)
		}
	}
	sim.advance(settleTime)
	sim.oracle.checkAllEnded()
	if answered := sim.oracle.tally.Answered - before.Answered; answered != calls {
		for call, history := range sim.oracle.calls {
			t.Logf("%s %+v", call, *history)
		}
		sim.oracle.recordViolation("after the end of all faults %d of %d calls are answered", answered, calls)
	}
}

// TestFaults runs all actions.
func TestFaults(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, plan{}, &total) })
	t.Log(total.String())
}

// TestKeys runs all actions, while callers use keys again at the same entry node and at
// others.
func TestKeys(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, plan{reuseKeys: true}, &total) })
	t.Log(total.String())
}

// TestGracefulStops shuts nodes down gracefully without other faults. No call may end with
// an unknown outcome.
func TestGracefulStops(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) {
		runSimulation(rt, plan{noCallTimeouts: true, onlyActions: []string{"wait a little", "wait", "call", "call often", "stop", "restart stopped", "leave", "return"}}, &total)
	})
	t.Log(total.String())
	require.Zero(t, total.tally.Unknown, "calls whose outcome is unknown")
}

// TestHealthChecks runs all actions with health checks that fail, are late or report a
// slow VM at random, so that jobs wait or are retried elsewhere. Nodes that shut down must
// refuse calls that they may not be able to finish before their deadline.
func TestHealthChecks(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, plan{healthChecks: true}, &total) })
	t.Log(total.String())
}

// TestColdTargets runs all actions while targets get cold under load and restart. In no second
// may more jobs start at a cold target than its limit allows, over all lifetimes of its node.
func TestColdTargets(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, plan{healthChecks: true, coldTargets: true}, &total) })
	t.Log(total.String())
}

// TestOrganisations runs all actions while the operator adds and withdraws keys and nodes are
// cut off from its store. No call may run with a key that no table in force within the bound
// held, or for another organisation.
func TestOrganisations(t *testing.T) {
	var total summary
	rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, plan{organisations: true}, &total) })
	t.Log(total.String())
	require.Positive(t, total.late, "runs with a key that is not in the newest table, which the bound allows")
}

// TestSeedsThatFailed plays the seeds with which TestLong has failed.
func TestSeedsThatFailed(t *testing.T) {
	fixed := flag.Lookup("rapid.seed").Value.String()
	defer func() { require.NoError(t, flag.Set("rapid.seed", fixed)) }()
	for _, c := range []struct {
		name, seed string
		plan       plan
	}{
		{"more than the budget of probes after a restart", "1796471199331391511", plan{}},
		{"the same with keys", "1796471301303422367", plan{reuseKeys: true}},
		{"the same with health checks", "1796487481595824156", plan{healthChecks: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.NoError(t, flag.Set("rapid.seed", c.seed))
			var total summary
			rapid.Check(t, func(rt *rapid.T) { runSimulation(rt, c.plan, &total) })
		})
	}
}

// TestLong runs the tests above with new seeds until the time of -long is over.
func TestLong(t *testing.T) {
	if *longDuration == 0 {
		t.Skip("runs with -long only, as make fuzz does")
	}
	var total summary
	end := time.Now().Add(*longDuration)              //nolint:forbidigo // limits the duration of the run, not part of a simulation
	for round := 0; time.Now().Before(end); round++ { //nolint:forbidigo // as above
		seed := strconv.FormatInt(time.Now().UnixNano(), 10) //nolint:forbidigo // a new seed
		require.NoError(t, flag.Set("rapid.seed", seed))
		name, config := "TestFaults", plan{}
		run := func(rt *rapid.T) { runSimulation(rt, config, &total) }
		switch round % 6 {
		case 1:
			name, config = "TestKeys", plan{reuseKeys: true}
		case 2:
			name, config = "TestHealthChecks", plan{healthChecks: true}
		case 3:
			name, config = "TestColdTargets", plan{healthChecks: true, coldTargets: true}
		case 4:
			name, config = "TestOrganisations", plan{organisations: true}
		case 5:
			name, run = "TestQuotasHold", func(rt *rapid.T) { runQuotaSimulation(rt, plan{}, &total) }
		}
		ok := t.Run("seed="+seed, func(t *testing.T) {
			rapid.Check(t, run)
		})
		if !ok {
			t.Fatalf("reproduce: go test ./test/fuzz -run '^%s$' -rapid.seed=%s\n%s", name, seed, total.String())
		}
	}
	fmt.Println("fuzz:", total.String())
}

// TestMutations checks that the oracle finds each fault of mutations. It logs the
// simulations and ticks that this took, and the violation found.
func TestMutations(t *testing.T) {
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	defer func() { require.NoError(t, flag.Set("rapid.shrinktime", "20s")) }()
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			var total summary
			recorder := &failureRecorder{name: t.Name()}
			recorder.run(func() {
				rapid.Check(recorder, func(rt *rapid.T) {
					runSimulation(rt, plan{
						mutation: mutation, onlyActions: mutation.onlyActions, reuseKeys: mutation.reuseKeys,
						healthChecks: mutation.coldTargets, coldTargets: mutation.coldTargets, organisations: mutation.organisations,
					}, &total)
				})
			})
			require.True(t, recorder.failed, "no violation was found in %s", total.String())
			reason, _, _ := strings.Cut(recorder.firstFailure[strings.Index(recorder.firstFailure, ":")+2:], "\n")
			t.Logf("| %s | %d | %d | %s |", mutation.name, total.cases, total.ticks, reason)
		})
	}
}

// failureRecorder is a rapid.TB that records failures instead of failing the test.
type failureRecorder struct {
	name         string
	firstFailure string
	failed       bool
}

// run runs a check on a goroutine of its own, because Fatalf and Skip end the goroutine.
func (r *failureRecorder) run(check func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		check()
	}()
	<-done
}

func (r *failureRecorder) recordFailure(text string) {
	if r.firstFailure == "" {
		r.firstFailure = text
	}
	r.failed = true
}

func (r *failureRecorder) Helper()                        {}
func (r *failureRecorder) Name() string                   { return r.name }
func (r *failureRecorder) Logf(string, ...any)            {}
func (r *failureRecorder) Log(...any)                     {}
func (r *failureRecorder) Skipf(string, ...any)           { runtime.Goexit() }
func (r *failureRecorder) Skip(...any)                    { runtime.Goexit() }
func (r *failureRecorder) SkipNow()                       { runtime.Goexit() }
func (r *failureRecorder) Errorf(format string, a ...any) { r.recordFailure(fmt.Sprintf(format, a...)) }
func (r *failureRecorder) Error(a ...any)                 { r.recordFailure(fmt.Sprint(a...)) }
func (r *failureRecorder) Fatalf(format string, a ...any) { r.Errorf(format, a...); runtime.Goexit() }
func (r *failureRecorder) Fatal(a ...any)                 { r.Error(a...); runtime.Goexit() }
func (r *failureRecorder) FailNow()                       { r.failed = true; runtime.Goexit() }
func (r *failureRecorder) Fail()                          { r.failed = true }
func (r *failureRecorder) Failed() bool                   { return r.failed }
