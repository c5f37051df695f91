// Package carobbench measures the decisions under shifting load: real nodes and
// stand-in targets as processes on loopback, several variants of a profile side
// by side under the same seeded load and faults.
package carobbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobrate"
)

// Config is how a bench is made.
type Config struct {
	// Program is the path of the carobknot program.
	Program string
	// Folder takes the settings and profiles of the processes.
	Folder string
	// Deployments, Cases and Variants name what is measured; empty is all
	// deployments, the deciding cases and the usual variants.
	Deployments, Cases, Variants []string
	// Rounds is how often each cell is measured; it is positive.
	Rounds int
	// Duration is how long calls are counted in each cell.
	Duration time.Duration
	// Mean is the mean time that a call takes on its target.
	Mean time.Duration
	// Measure is the most bytes a second that a node sends for measuring.
	Measure carobrate.Rate
	// Limit is how long the bench may take; cells that do not fit are left out.
	Limit time.Duration
	// Seed is what load and faults follow from.
	Seed  uint64
	Out   io.Writer
	Timer *carobtimer.Timer
}

// Bench measures cells: each case with each variant, in each round.
type Bench struct {
	config  Config
	results []result
	// until is when no further cell is begun.
	until carobinstant.Instant
}

// NewBench returns a bench that has measured nothing yet.
func NewBench(c Config) *Bench {
	if len(c.Cases) == 0 {
		c.Cases = deciding
	}
	if len(c.Variants) == 0 {
		c.Variants = usual
	}
	return &Bench{config: c}
}

// Run measures all cells and writes their table.
func (b *Bench) Run(cx context.Context) error {
	b.until = b.config.Timer.Now().Add(b.config.Limit)
	for _, dp := range deployments {
		if !wanted(b.config.Deployments, dp.name) {
			continue
		}
		if err := b.deploy(cx, dp); err != nil {
			return err
		}
		table(b.config.Out, dp.name, b.results)
	}
	return nil
}

// Report returns all results, for a file.
func (b *Bench) Report() any {
	return struct {
		Seed     uint64        `json:"seed"`
		Duration time.Duration `json:"duration"`
		Mean     time.Duration `json:"mean"`
		Results  []result      `json:"results"`
	}{b.config.Seed, b.config.Duration, b.config.Mean, b.results}
}

// deploy measures all cells of one deployment. The variants of a case take
// turns, so that a busy spell of the machine does not fall on one alone.
func (b *Bench) deploy(cx context.Context, dp deployment) error {
	cl, err := b.start(cx, dp)
	if err != nil {
		return err
	}
	defer cl.stop()
	for round := range b.config.Rounds {
		for _, cs := range cases {
			if !wanted(b.config.Cases, cs.name) {
				continue
			}
			if err := b.compare(cx, cl, cs, round); err != nil {
				return err
			}
		}
	}
	return nil
}

// compare measures a case with all variants.
func (b *Bench) compare(cx context.Context, cl *cluster, cs scenario, round int) error {
	for _, vr := range variants {
		if !wanted(b.config.Variants, vr.name) {
			continue
		}
		if b.until.Reached(b.config.Timer.Now()) {
			_, _ = fmt.Fprintf(b.config.Out, "not run, the time is over: %s %s %s #%d\n", cl.deployment.name, cs.name, vr.name, round)
			continue
		}
		rs, err := b.measure(cx, cl, cs, vr, round)
		if err != nil {
			return err
		}
		b.results = append(b.results, rs)
		_, _ = fmt.Fprintf(b.config.Out, "%s\n", rs.line())
	}
	return nil
}

func wanted(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, nm := range names {
		if nm == name {
			return true
		}
	}
	return false
}
