// Package fuzz drives several cores together through calls and faults and asks
// an oracle whether every promise was kept. It holds test files only.
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

// long is how long TestLong runs with new seeds; make fuzz sets it.
var long = flag.Duration("long", 0, "how long TestLong runs")

func TestMain(m *testing.M) {
	// Seeds are fixed, so that every run has the same verdict.
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

// count sums up the simulations of a test.
type count struct {
	cases, steps int
	tally        tally
	kinds        map[carobkind.Kind]int
	// caught says that a promise was found broken. Simulations after it, which
	// rapid plays again to make sure, do not count.
	caught bool
}

func (c *count) add(s *simulation) {
	if c.caught {
		return
	}
	c.caught = s.oracle.broken != ""
	c.cases++
	c.steps += s.steps
	for kind, n := range s.kinds {
		if c.kinds == nil {
			c.kinds = map[carobkind.Kind]int{}
		}
		c.kinds[kind] += n
	}
	a, b := &c.tally, s.oracle.tally
	a.Calls, a.Answered, a.NotRun, a.Unknown, a.Gone = a.Calls+b.Calls, a.Answered+b.Answered, a.NotRun+b.NotRun, a.Unknown+b.Unknown, a.Gone+b.Gone
	a.Runs, a.Doubled, a.Lost, a.Mixed = a.Runs+b.Runs, a.Doubled+b.Doubled, a.Lost+b.Lost, a.Mixed+b.Mixed
}

func (c *count) String() string {
	return fmt.Sprintf("%d cases, %d steps: %+v %v", c.cases, c.steps, c.tally, c.kinds)
}

const settling = 12 * time.Second

// plan says what a simulation goes through.
type plan struct {
	mutation mutation
	// only names the actions; nil stands for all.
	only []string
	// resubmit has callers use a key more than once.
	resubmit bool
	// patient callers give the profile's deadline.
	patient bool
	// checked has targets tell how slow their VMs are, and nodes that stop know when
	// they end.
	checked bool
}

// play runs one simulation through actions that rapid picks, ends all faults
// and checks that calls are answered again.
func play(t *rapid.T, p plan, c *count) {
	s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "nodes"), p)
	defer c.add(s)
	s.advance(time.Second)
	if rapid.Bool().Draw(t, "old log") {
		// The first record is gone, which has a node append a snapshot.
		st := s.log.of(carobstream.Profiles)
		st.expire(len(st.records) - 1)
		s.advance(3 * time.Second)
	}
	all := actions(s)
	if p.only != nil {
		picked := map[string]func(*rapid.T){"": all[""]}
		for _, name := range p.only {
			picked[name] = all[name]
		}
		all = picked
	}
	t.Repeat(all)
	s.heal()
	s.advance(settling)
	s.oracle.settled()
	all[""](t)
	checkLiveness(t, s)
	all[""](t)
}

// checkLiveness asks every node for every service.
func checkLiveness(t *rapid.T, s *simulation) {
	before := s.oracle.tally
	calls := 0
	for _, n := range s.nodes {
		for i := range services {
			calls++
			n.call(i, fmt.Sprintf("last-%d", calls), 0)
		}
	}
	s.advance(settling)
	s.oracle.settled()
	if answered := s.oracle.tally.Answered - before.Answered; answered != calls {
		for call, h := range s.oracle.calls {
			t.Logf("%s %+v", call, *h)
		}
		s.oracle.complain("after the last fault %d of %d calls are answered", answered, calls)
	}
}

// Everything at once.
func TestFaults(t *testing.T) {
	var c count
	rapid.Check(t, func(rt *rapid.T) { play(rt, plan{}, &c) })
	t.Log(c.String())
}

// Callers send a key again, at the same entry and at others, through everything.
func TestKeys(t *testing.T) {
	var c count
	rapid.Check(t, func(rt *rapid.T) { play(rt, plan{resubmit: true}, &c) })
	t.Log(c.String())
}

// Nodes shut down gracefully, and nothing else goes wrong: no call may end
// with its outcome unknown.
func TestGracefulStops(t *testing.T) {
	var c count
	rapid.Check(t, func(rt *rapid.T) {
		play(rt, plan{patient: true, only: []string{"wait a little", "wait", "call", "call often", "stop", "restart stopped", "leave", "return"}}, &c)
	})
	t.Log(c.String())
	require.Zero(t, c.tally.Unknown, "calls were cut")
}

// Jobs wait for VMs that are slow, or move; health checks are lost, late and wrong;
// nodes that end take nothing that they may have to cut.
func TestHealthChecks(t *testing.T) {
	var c count
	rapid.Check(t, func(rt *rapid.T) { play(rt, plan{checked: true}, &c) })
	t.Log(c.String())
}

// New seeds for as long as asked, one rapid check after the other.
func TestLong(t *testing.T) {
	if *long == 0 {
		t.Skip("make fuzz runs this")
	}
	var c count
	end := time.Now().Add(*long)                      //nolint:forbidigo // the length of a run, no decision
	for round := 0; time.Now().Before(end); round++ { //nolint:forbidigo // as above
		seed := strconv.FormatInt(time.Now().UnixNano(), 10) //nolint:forbidigo // a new seed
		require.NoError(t, flag.Set("rapid.seed", seed))
		name, p := "TestFaults", plan{}
		switch round % 3 {
		case 1:
			name, p = "TestKeys", plan{resubmit: true}
		case 2:
			name, p = "TestHealthChecks", plan{checked: true}
		}
		ok := t.Run("seed="+seed, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { play(rt, p, &c) })
		})
		if !ok {
			t.Fatalf("reproduce: go test ./test/fuzz -run '^%s$' -rapid.seed=%s\n%s", name, seed, c.String())
		}
	}
	fmt.Println("fuzz:", c.String())
}

// Each mutation must be caught. Prints the steps that it took.
func TestMutations(t *testing.T) {
	require.NoError(t, flag.Set("rapid.shrinktime", "0s"))
	defer func() { require.NoError(t, flag.Set("rapid.shrinktime", "20s")) }()
	for _, mt := range mutations {
		t.Run(mt.name, func(t *testing.T) {
			var c count
			rc := &recorder{name: t.Name()}
			rc.run(func() {
				rapid.Check(rc, func(rt *rapid.T) { play(rt, plan{mutation: mt, only: mt.only, resubmit: mt.resubmit}, &c) })
			})
			require.True(t, rc.failed, "mutation was not caught in %s", c.String())
			reason, _, _ := strings.Cut(rc.first[strings.Index(rc.first, ":")+2:], "\n")
			t.Logf("| %s | %d | %d | %s |", mt.name, c.cases, c.steps, reason)
		})
	}
}

// recorder is a test that is meant to fail.
type recorder struct {
	name   string
	first  string
	failed bool
}

func (r *recorder) run(do func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		do()
	}()
	<-done
}

func (r *recorder) fail(text string) {
	if r.first == "" {
		r.first = text
	}
	r.failed = true
}

func (r *recorder) Helper()                        {}
func (r *recorder) Name() string                   { return r.name }
func (r *recorder) Logf(string, ...any)            {}
func (r *recorder) Log(...any)                     {}
func (r *recorder) Skipf(string, ...any)           { runtime.Goexit() }
func (r *recorder) Skip(...any)                    { runtime.Goexit() }
func (r *recorder) SkipNow()                       { runtime.Goexit() }
func (r *recorder) Errorf(format string, a ...any) { r.fail(fmt.Sprintf(format, a...)) }
func (r *recorder) Error(a ...any)                 { r.fail(fmt.Sprint(a...)) }
func (r *recorder) Fatalf(format string, a ...any) { r.Errorf(format, a...); runtime.Goexit() }
func (r *recorder) Fatal(a ...any)                 { r.Error(a...); runtime.Goexit() }
func (r *recorder) FailNow()                       { r.failed = true; runtime.Goexit() }
func (r *recorder) Fail()                          { r.failed = true }
func (r *recorder) Failed() bool                   { return r.failed }
