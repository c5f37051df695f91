// Package carobbench measures the effect of routing decisions under load and faults.
// It runs real nodes and stand-in targets as processes on loopback and compares
// several variants of a profile under the same seeded load and faults.
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

// Config holds the settings of a bench.
type Config struct {
	// Program is the path of the carobknot program.
	Program string
	// Folder is where settings, profiles and logs of the processes are written.
	Folder string
	// Deployments, Cases and Variants are the names of what is measured; empty means
	// all deployments, defaultCases and defaultVariants.
	Deployments, Cases, Variants []string
	// Rounds is the number of measurements of each cell; it is positive.
	Rounds int
	// Duration is how long calls are counted in each cell, before the case's
	// durationFactor.
	Duration time.Duration
	// MeanLatency is the mean time that a call takes on its target.
	MeanLatency time.Duration
	// ProbeRate is the limit of bytes a second that a node sends for probes and their
	// answers.
	ProbeRate carobrate.Rate
	// TimeLimit is the time after which no further cell is started.
	TimeLimit time.Duration
	// Seed seeds the load and the service times of targets.
	Seed uint64
	// Out receives a line for each cell and the tables.
	Out   io.Writer
	Timer *carobtimer.Timer
}

// Bench measures cells. A cell is one case with one variant in one round.
type Bench struct {
	config  Config
	results []result
	// deadline is when Config.TimeLimit is reached.
	deadline carobinstant.Instant
}

// NewBench returns a bench without results.
func NewBench(c Config) *Bench {
	if len(c.Cases) == 0 {
		c.Cases = defaultCases
	}
	if len(c.Variants) == 0 {
		c.Variants = defaultVariants
	}
	return &Bench{config: c}
}

// Run measures all selected cells and writes a table for each deployment. It stops at
// the first cell that cannot be measured and returns its error.
func (b *Bench) Run(ctx context.Context) error {
	b.deadline = b.config.Timer.Now().Add(b.config.TimeLimit)
	for _, deployment := range deployments {
		if !selected(b.config.Deployments, deployment.name) {
			continue
		}
		if err := b.measureDeployment(ctx, deployment); err != nil {
			return err
		}
		writeTable(b.config.Out, deployment.name, b.results)
	}
	return nil
}

// Report returns the settings and all results, to be encoded as JSON.
func (b *Bench) Report() any {
	return struct {
		Seed     uint64        `json:"seed"`
		Duration time.Duration `json:"duration"`
		Mean     time.Duration `json:"mean"`
		Results  []result      `json:"results"`
	}{b.config.Seed, b.config.Duration, b.config.MeanLatency, b.results}
}

// measureDeployment measures all cells of one deployment. Each round measures all
// variants of a case in turn, so that other load on the host affects all variants
// and not a single one.
func (b *Bench) measureDeployment(ctx context.Context, deployment deployment) error {
	cluster, err := b.startCluster(ctx, deployment)
	if err != nil {
		return err
	}
	defer cluster.stop()
	for round := range b.config.Rounds {
		for _, benchCase := range cases {
			if !selected(b.config.Cases, benchCase.name) {
				continue
			}
			if err := b.measureVariants(ctx, cluster, benchCase, round); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureVariants measures a case with all selected variants. Cells that would start
// after the time limit are printed as not run.
func (b *Bench) measureVariants(ctx context.Context, cluster *cluster, benchCase benchCase, round int) error {
	for _, variant := range variants {
		if !selected(b.config.Variants, variant.name) {
			continue
		}
		if b.deadline.Reached(b.config.Timer.Now()) {
			_, _ = fmt.Fprintf(b.config.Out, "not run, time limit reached: %s %s %s #%d\n", cluster.deployment.name, benchCase.name, variant.name, round)
			continue
		}
		result, err := b.measureCell(ctx, cluster, benchCase, variant, round)
		if err != nil {
			return err
		}
		b.results = append(b.results, result)
		_, _ = fmt.Fprintf(b.config.Out, "%s\n", result.format())
	}
	return nil
}

// selected reports whether a name is among the given ones, or none are given.
func selected(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, selectedName := range names {
		if selectedName == name {
			return true
		}
	}
	return false
}
