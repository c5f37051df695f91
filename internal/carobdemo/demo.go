// Package carobdemo runs a log, nodes, targets and load in one process, and slows one
// target down for a while.
package carobdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobloadgenerator"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshare"
)

// Config holds the settings of a demo.
type Config struct {
	// PhaseDuration is the duration of each of the three phases.
	PhaseDuration time.Duration
	// Seed seeds the random arrivals and service times.
	Seed uint64
	// Out receives the table and the result.
	Out io.Writer
}

// Demo runs all components of a small deployment in one process.
type Demo struct {
	config Config
	timer  *carobtimer.Timer
	logger *logrus.Logger
	// stops has a function for each running component that stops it; they are called
	// in reverse order.
	stops []func()
	// nodes and targets hold the addresses of all nodes and targets.
	nodes   []nodeAddresses
	targets []runningTarget
}

// service is one of the demo's services.
type service struct {
	name      carobservice.Service
	guarantee carobguarantee.Guarantee
	// rate is the mean number of calls a second.
	rate float64
	// keyShare is the share of calls with an idempotency key.
	keyShare carobshare.Share
}

var services = []service{
	{name: "lookups", guarantee: carobguarantee.Idempotent, rate: 300},
	{name: "payouts", guarantee: carobguarantee.OncePerKey, rate: 60, keyShare: 1},
}

const (
	nodeCount = 4
	slots     = 12
	// latency is the mean service time of targets, and deadline the time for which
	// callers wait.
	latency  = 4 * time.Millisecond
	deadline = 2 * time.Second
	// slowFactor multiplies the service times of one target in the middle phase.
	slowFactor = 25
	// timeLimit ends a demo that hangs.
	timeLimit = time.Minute
)

// NewDemo returns a demo that has not started.
func NewDemo(c Config) *Demo {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Demo{config: c, timer: carobtimer.NewTimer(), logger: logger}
}

// Run runs the demo and prints its table. It returns an error if a call has an unknown
// outcome, ran more than once or got a wrong answer, or if the demo could not be run.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	d.printf("%d nodes, each with a target of lookups and one of payouts, %d slots, log and load, on loopback", nodeCount, slots)
	var summaries []*carobsummary.Summary
	for _, phase := range []struct {
		name   string
		factor float64
	}{{"steady", 1}, {"jump", slowFactor}, {"after", 1}} {
		if err := d.setSlowness(ctx, d.targets[0], phase.factor); err != nil {
			return err
		}
		summaries = append(summaries, d.runPhase(ctx, phase.name)...)
	}
	d.printf("in the phase jump, the first target of lookups takes %d times as long:\n", slowFactor)
	carobsummary.WriteTable(d.config.Out, summaries...)
	return d.verify(ctx, summaries)
}

// runPhase sends the load of one phase to all services at once and returns a summary
// for each service.
func (d *Demo) runPhase(ctx context.Context, phase string) []*carobsummary.Summary {
	summaries := make([]*carobsummary.Summary, len(services))
	var generators sync.WaitGroup
	for i, service := range services {
		c := carobloadgenerator.Config{
			Name: string(service.name) + ", " + phase, Service: service.name, Rate: service.rate, KeyShare: service.keyShare,
			Duration: d.config.PhaseDuration, Deadline: deadline, Seed: d.seed(string(service.name) + phase), RequestSize: 512, Timer: d.timer,
		}
		for _, node := range d.nodes {
			c.Nodes = append(c.Nodes, node.call)
		}
		generators.Go(func() { summaries[i] = carobloadgenerator.NewLoadGenerator(c).Run(ctx) })
	}
	generators.Wait()
	return summaries
}

// seed returns a different seed for each load, so that no two loads send the same
// idempotency keys.
func (d *Demo) seed(load string) uint64 {
	return d.config.Seed + xxhash.Sum64String(load)
}

// verify checks the answers that callers got and the runs that targets counted, and
// prints the result.
func (d *Demo) verify(ctx context.Context, summaries []*carobsummary.Summary) error {
	duplicates, err := d.countDuplicates(ctx)
	if err != nil {
		return err
	}
	wrong, unknown, notRun := 0, 0, 0
	for _, summary := range summaries {
		wrong, unknown, notRun = wrong+summary.Wrong, unknown+summary.Unknown, notRun+summary.NotRun
	}
	d.printf("\nunknown outcome %d, duplicate runs %d, wrong answers %d; not run %d", unknown, duplicates, wrong, notRun)
	if duplicates+wrong+unknown > 0 {
		return carobkind.New(carobkind.Internal, "calls have an unknown outcome, ran more than once or got a wrong answer")
	}
	return nil
}

func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.config.Out, format+"\n", args...)
}
