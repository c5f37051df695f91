package carobbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobloadgenerator"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

const (
	// warmup is how long calls are sent before they are counted.
	warmup = 500 * time.Millisecond
	// detectionTime is how long nodes may take to detect a fault; the faulty target's
	// calls are counted after it.
	detectionTime = time.Second
	bodySize      = 256 * carobsize.Byte
	// cooldown is the pause after a cell, in which all calls end.
	cooldown = 200 * time.Millisecond
)

// result is the measurements of one cell.
type result struct {
	Deployment string `json:"deployment"`
	Case       string `json:"case"`
	Variant    string `json:"variant"`
	Round      int    `json:"round"`
	// Callers holds the results and latencies that callers saw.
	Callers *carobsummary.Summary `json:"callers"`
	// Capacity is the number of calls a second that all slots of the service can run.
	Capacity float64 `json:"capacity"`
	// ExtraRuns is the number of runs above one for each call, as a share of all calls.
	ExtraRuns float64 `json:"extra"`
	// FaultyShare is the share of calls that the first target received while it was
	// faulty, without the first detectionTime, or the first half of the fault if that
	// is shorter; 0 without a fault.
	FaultyShare float64 `json:"sick"`
	// RecoveredShare is the share of calls that the first target received in the second
	// half of the time after its recovery; 0 without one.
	RecoveredShare float64 `json:"back"`
	// CPU is the processor time that a node used, in cores; the mean of all nodes.
	CPU float64 `json:"cpu"`
	// ProbeBytes is the number of bytes a second that a node sent for probes and their
	// answers; the mean of all nodes.
	ProbeBytes float64 `json:"bytes"`
	// Hedges is the number of hedged attempts as a share of all calls.
	Hedges float64 `json:"hedges"`
}

// snapshot is the counters of all processes at one instant.
type snapshot struct {
	targets []totals
	// cpu, bytes and hedges are sums over all nodes since their start.
	cpu    time.Duration
	bytes  float64
	hedges int
}

// measureCell prepares the cluster, sends the load of one cell with its faults, and
// returns the measurements.
func (b *Bench) measureCell(ctx context.Context, cluster *cluster, benchCase benchCase, variant variant, round int) (result, error) {
	if err := cluster.prepare(ctx, benchCase, variant); err != nil {
		return result{}, err
	}
	before, err := cluster.snapshot(ctx)
	if err != nil {
		return result{}, err
	}
	length := benchCase.duration(b.config.Duration)
	service := cluster.deployment.services[0]
	capacity := float64(slots*service.targets) / b.config.MeanLatency.Seconds()
	generator := carobloadgenerator.NewLoadGenerator(carobloadgenerator.Config{
		Name: variant.name, Nodes: cluster.callAddresses(), Service: carobservice.Service(service.name), Rate: benchCase.load * capacity,
		Duration: warmup + length, Warmup: warmup, Seed: b.config.Seed + uint64(round), //nolint:gosec // not negative
		RequestSize: bodySize, Deadline: benchCase.deadline, Timer: b.config.Timer,
	})
	measured := result{Deployment: cluster.deployment.name, Case: benchCase.name, Variant: variant.name, Round: round, Capacity: capacity}
	faultDone := make(chan error, 1)
	go func() { faultDone <- cluster.injectFault(ctx, benchCase, &measured) }()
	measured.Callers = generator.Run(ctx)
	if err := <-faultDone; err != nil {
		return result{}, err
	}
	after, err := cluster.snapshot(ctx)
	if err != nil {
		return result{}, err
	}
	measured.setDifferences(before, after, len(cluster.nodes), warmup+length, benchCase.load*capacity)
	return measured, b.config.Timer.Wait(ctx, cooldown)
}

// prepare ends the faults of all targets, publishes the variant's profile, waits until
// all nodes have it, and sets the case's behaviour of all targets.
func (c *cluster) prepare(ctx context.Context, benchCase benchCase, variant variant) error {
	for _, target := range c.targets {
		if err := setBehaviour(ctx, target, healthy); err != nil {
			return err
		}
	}
	if err := c.publish(ctx, variant); err != nil {
		return err
	}
	if err := c.waitUntilReady(ctx); err != nil {
		return err
	}
	for _, target := range c.targets {
		if benchCase.allTargets == "" {
			break
		}
		if err := setBehaviour(ctx, target, benchCase.allTargets); err != nil {
			return err
		}
	}
	return nil
}

// injectFault starts the fault of the case after the warm-up and ends it if the case
// has a recovery. It measures the share of calls of the faulty target.
func (c *cluster) injectFault(ctx context.Context, benchCase benchCase, result *result) error {
	timer, duration := c.bench.config.Timer, benchCase.duration(c.bench.config.Duration)
	if err := timer.Wait(ctx, warmup); err != nil {
		return err
	}
	if benchCase.fault == "" {
		return nil
	}
	if err := setBehaviour(ctx, c.targets[0], benchCase.fault); err != nil {
		return err
	}
	faultTime := time.Duration(float64(duration) * faultShare)
	detection := min(detectionTime, faultTime/2)
	share, err := c.firstTargetShare(ctx, detection, faultTime-detection)
	if err != nil {
		return err
	}
	result.FaultyShare = share
	if benchCase.recovery == "" {
		return nil
	}
	if err := setBehaviour(ctx, c.targets[0], benchCase.recovery); err != nil {
		return err
	}
	remaining := duration - faultTime
	result.RecoveredShare, err = c.firstTargetShare(ctx, remaining/2, remaining/2)
	return err
}

// firstTargetShare waits, and returns the first target's share of all calls that
// targets receive during the given duration.
func (c *cluster) firstTargetShare(ctx context.Context, wait, duration time.Duration) (float64, error) {
	if err := c.bench.config.Timer.Wait(ctx, wait); err != nil {
		return 0, err
	}
	before, err := c.callCounts(ctx)
	if err != nil {
		return 0, err
	}
	if err := c.bench.config.Timer.Wait(ctx, duration); err != nil {
		return 0, err
	}
	after, err := c.callCounts(ctx)
	if err != nil {
		return 0, err
	}
	all := 0
	for i := range after {
		all += after[i] - before[i]
	}
	return float64(after[0]-before[0]) / max(float64(all), 1), nil
}

// callCounts returns the number of calls that each target has received so far.
func (c *cluster) callCounts(ctx context.Context) ([]int, error) {
	var counts []int
	for _, target := range c.targets {
		counters, err := totalsOf(ctx, target)
		if err != nil {
			return nil, err
		}
		counts = append(counts, counters.Started+counters.Shed)
	}
	return counts, nil
}

// snapshot reads the counters of all targets and nodes.
func (c *cluster) snapshot(ctx context.Context) (snapshot, error) {
	var reading snapshot
	for _, target := range c.targets {
		counters, err := totalsOf(ctx, target)
		if err != nil {
			return reading, err
		}
		reading.targets = append(reading.targets, counters)
	}
	for _, node := range c.nodes {
		status, err := statusOf(ctx, node)
		if err != nil {
			return reading, err
		}
		reading.cpu += node.cpuTime()
		reading.bytes += status.Overhead.Bytes
		reading.hedges += status.Overhead.Hedges
	}
	return reading, nil
}

// setDifferences computes the measurements from two snapshots of the cluster. The
// number of calls is that expected from the rate.
func (r *result) setDifferences(before, after snapshot, nodes int, elapsed time.Duration, rate float64) {
	calls := rate * elapsed.Seconds()
	perNode := float64(nodes) * elapsed.Seconds()
	r.CPU = (after.cpu - before.cpu).Seconds() / perNode
	r.ProbeBytes = (after.bytes - before.bytes) / perNode
	r.Hedges = float64(after.hedges-before.hedges) / calls
	started := 0
	for i := range after.targets {
		started += after.targets[i].Started - before.targets[i].Started
	}
	r.ExtraRuns = max(0, (float64(started)-calls)/calls)
}

// format returns the result as one line of text.
func (r result) format() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s %s #%d: p50 %s p99 %s p99.9 %s", r.Deployment, r.Case, r.Variant, r.Round,
		carobsummary.FormatMilliseconds(r.Callers.EffectiveLatency.P50), carobsummary.FormatMilliseconds(r.Callers.EffectiveLatency.P99),
		carobsummary.FormatMilliseconds(r.Callers.EffectiveLatency.P999))
	fmt.Fprintf(&text, " good %.1f%% of %d, hedges %.1f%%, sick %.2f%%, back %.1f%%, %.0f B/s, cpu %.3f",
		100*float64(r.Callers.Good)/max(float64(r.Callers.Calls), 1), r.Callers.Calls, 100*r.Hedges,
		100*r.FaultyShare, 100*r.RecoveredShare, r.ProbeBytes, r.CPU)
	if len(r.Callers.ErrorKinds) > 0 || r.Callers.Failed > 0 {
		fmt.Fprintf(&text, ", failed %d, errors %v", r.Callers.Failed, r.Callers.ErrorKinds)
	}
	return text.String()
}
