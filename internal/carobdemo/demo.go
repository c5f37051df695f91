// Package carobdemo runs the main job on one machine: a log, nodes, targets and
// load, with a jump of load in the middle.
package carobdemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/carobknot/carobknot/internal/carobloader"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobguarantee"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobshare"
)

// Config is how a demo is made.
type Config struct {
	// Phase is how long each of the three phases takes.
	Phase time.Duration
	// Seed is what arrivals and service times follow from.
	Seed uint64
	Out  io.Writer
}

// Demo is the main job on one machine.
type Demo struct {
	config Config
	timer  *carobtimer.Timer
	logger *logrus.Logger
	// parts have all that runs, to be ended in reverse order.
	parts []func()
	// nodes and targets are where they answer.
	nodes   []nodeAddresses
	targets []runningTarget
}

// service is one of the demo's services.
type service struct {
	name carobservice.Service
	once carobguarantee.Guarantee
	rate float64
	// keys is the share of calls with an idempotency key.
	keys carobshare.Share
}

var services = []service{
	{name: "lookups", once: carobguarantee.Idempotent, rate: 300},
	{name: "payouts", once: carobguarantee.OncePerKey, rate: 60, keys: 1},
}

const (
	nodeCount = 4
	slots     = 12
	latency   = 4 * time.Millisecond
	deadline  = 2 * time.Second
	// straggle is how much slower one VM gets in the middle phase.
	straggle = 25
	// bound ends a demo that hangs.
	bound = time.Minute
)

// NewDemo returns a demo that has not begun.
func NewDemo(c Config) *Demo {
	lg := logrus.New()
	lg.SetOutput(io.Discard)
	return &Demo{config: c, timer: carobtimer.NewTimer(), logger: lg}
}

// Run runs the demo and prints its table. An error says that a call was lost,
// doubled or mixed up, or that the demo could not be run.
func (d *Demo) Run(cx context.Context) error {
	cx, cancel := context.WithTimeout(cx, bound)
	defer cancel()
	defer d.end()
	if err := d.begin(cx); err != nil {
		return err
	}
	d.say("%d nodes, each with a target of lookups and one of payouts, %d slots, log and load, on loopback", nodeCount, slots)
	var all []*carobsummary.Summary
	for _, ph := range []struct {
		name     string
		straggle float64
	}{{"steady", 1}, {"jump", straggle}, {"after", 1}} {
		if err := d.slow(cx, d.targets[0], ph.straggle); err != nil {
			return err
		}
		all = append(all, d.load(cx, ph.name)...)
	}
	d.say("in the jump, the first target of lookups takes %d times as long:\n", straggle)
	carobsummary.Table(d.config.Out, all...)
	return d.judge(cx, all)
}

// load sends one phase of load to all services at once.
func (d *Demo) load(cx context.Context, phase string) []*carobsummary.Summary {
	summaries := make([]*carobsummary.Summary, len(services))
	var running sync.WaitGroup
	for i, sv := range services {
		c := carobloader.Config{
			Name: string(sv.name) + ", " + phase, Service: sv.name, Rate: sv.rate, Keys: sv.keys,
			Duration: d.config.Phase, Deadline: deadline, Seed: d.seed(string(sv.name) + phase), Size: 512, Timer: d.timer,
		}
		for _, nd := range d.nodes {
			c.Nodes = append(c.Nodes, nd.call)
		}
		running.Go(func() { summaries[i] = carobloader.NewLoader(c).Run(cx) })
	}
	running.Wait()
	return summaries
}

// seed is another one for each load, so that no two send the same keys.
func (d *Demo) seed(load string) uint64 {
	return d.config.Seed + xxhash.Sum64String(load)
}

// judge compares what callers were told with what the targets ran.
func (d *Demo) judge(cx context.Context, summaries []*carobsummary.Summary) error {
	doubled, err := d.doubled(cx)
	if err != nil {
		return err
	}
	wrong, unknown, notRun := 0, 0, 0
	for _, sm := range summaries {
		wrong, unknown, notRun = wrong+sm.Wrong, unknown+sm.Unknown, notRun+sm.NotRun
	}
	d.say("\nlost %d, doubled %d, mixed up or cut %d; told \"not run\" %d", unknown, doubled, wrong, notRun)
	if doubled+wrong+unknown > 0 {
		return carobkind.New(carobkind.Internal, "calls were lost, doubled or mixed up")
	}
	return nil
}

func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.config.Out, format+"\n", args...)
}
