package carobbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/carobknot/carobknot/internal/carobloader"
	"github.com/carobknot/carobknot/internal/carobsummary"
	"github.com/carobknot/carobknot/pkg/carobservice"
	"github.com/carobknot/carobknot/pkg/carobsize"
)

const (
	// warm is how long calls are sent before they are counted.
	warm = 500 * time.Millisecond
	// after is when a fault has to be dealt with.
	after    = time.Second
	bodySize = 256 * carobsize.Byte
	// rest is the pause after a cell, in which all calls end.
	rest = 200 * time.Millisecond
)

// result is what one cell gave.
type result struct {
	Deployment string                `json:"deployment"`
	Case       string                `json:"case"`
	Variant    string                `json:"variant"`
	Round      int                   `json:"round"`
	Callers    *carobsummary.Summary `json:"callers"`
	// Capacity is how many calls a second all slots of the service can run.
	Capacity float64 `json:"capacity"`
	// Extra is the runs beyond the first, as a share of all calls.
	Extra float64 `json:"extra"`
	// Sick is the share of calls that the first target got from one second after
	// its fault until it healed.
	Sick float64 `json:"sick"`
	// Back is the share of calls that the first target got at the end.
	Back float64 `json:"back"`
	// CPU is the processor time of a node in cores, the mean of all nodes.
	CPU float64 `json:"cpu"`
	// Bytes is what a node sent for measuring, a second.
	Bytes float64 `json:"bytes"`
	// Hedges is the second attempts as a share of all calls.
	Hedges float64 `json:"hedges"`
}

// reading is the counts of all processes at one instant.
type reading struct {
	targets []totals
	cpu     time.Duration
	bytes   float64
	hedges  int
}

// measure runs one cell.
func (b *Bench) measure(cx context.Context, cl *cluster, cs scenario, vr variant, round int) (result, error) {
	if err := cl.prepare(cx, cs, vr); err != nil {
		return result{}, err
	}
	before, err := cl.read(cx)
	if err != nil {
		return result{}, err
	}
	length := cs.length(b.config.Duration)
	main := cl.deployment.services[0]
	capacity := float64(slots*main.targets) / b.config.Mean.Seconds()
	ld := carobloader.NewLoader(carobloader.Config{
		Name: vr.name, Nodes: cl.calls(), Service: carobservice.Service(main.name), Rate: cs.load * capacity,
		Duration: warm + length, Skip: warm, Seed: b.config.Seed + uint64(round), //nolint:gosec // not negative
		Size: bodySize, Deadline: cs.deadline, Timer: b.config.Timer,
	})
	rs := result{Deployment: cl.deployment.name, Case: cs.name, Variant: vr.name, Round: round, Capacity: capacity}
	played := make(chan error, 1)
	go func() { played <- cl.play(cx, cs, &rs) }()
	rs.Callers = ld.Run(cx)
	if err := <-played; err != nil {
		return result{}, err
	}
	now, err := cl.read(cx)
	if err != nil {
		return result{}, err
	}
	rs.compare(before, now, len(cl.nodes), warm+length, cs.load*capacity)
	return rs, b.config.Timer.Wait(cx, rest)
}

// prepare heals all targets, puts the profile in force and sets the case up.
func (c *cluster) prepare(cx context.Context, cs scenario, vr variant) error {
	for _, tg := range c.targets {
		if err := behave(cx, tg, healthy); err != nil {
			return err
		}
	}
	if err := c.publish(cx, vr); err != nil {
		return err
	}
	if err := c.settle(cx); err != nil {
		return err
	}
	for _, tg := range c.targets {
		if cs.all == "" {
			break
		}
		if err := behave(cx, tg, cs.all); err != nil {
			return err
		}
	}
	return nil
}

// play sets the fault in and heals it, and counts the calls of the sick target.
func (c *cluster) play(cx context.Context, cs scenario, rs *result) error {
	timer, duration := c.bench.config.Timer, cs.length(c.bench.config.Duration)
	if err := timer.Wait(cx, warm); err != nil {
		return err
	}
	if cs.first == "" {
		return nil
	}
	if err := behave(cx, c.targets[0], cs.first); err != nil {
		return err
	}
	heal := time.Duration(float64(duration) * healing)
	sick := min(after, heal/2)
	share, err := c.share(cx, sick, heal-sick)
	if err != nil {
		return err
	}
	rs.Sick = share
	if cs.healed == "" {
		return nil
	}
	if err := behave(cx, c.targets[0], cs.healed); err != nil {
		return err
	}
	left := duration - heal
	rs.Back, err = c.share(cx, left/2, left/2)
	return err
}

// share waits, and returns the share of the calls of the time that follows
// which the first target gets.
func (c *cluster) share(cx context.Context, wait, during time.Duration) (float64, error) {
	if err := c.bench.config.Timer.Wait(cx, wait); err != nil {
		return 0, err
	}
	before, err := c.counts(cx)
	if err != nil {
		return 0, err
	}
	if err := c.bench.config.Timer.Wait(cx, during); err != nil {
		return 0, err
	}
	now, err := c.counts(cx)
	if err != nil {
		return 0, err
	}
	all := 0
	for i := range now {
		all += now[i] - before[i]
	}
	return float64(now[0]-before[0]) / max(float64(all), 1), nil
}

// counts returns the calls that each target has got so far.
func (c *cluster) counts(cx context.Context) ([]int, error) {
	var counts []int
	for _, tg := range c.targets {
		tt, err := totalsOf(cx, tg)
		if err != nil {
			return nil, err
		}
		counts = append(counts, tt.Started+tt.Shed)
	}
	return counts, nil
}

func (c *cluster) read(cx context.Context) (reading, error) {
	var rd reading
	for _, tg := range c.targets {
		tt, err := totalsOf(cx, tg)
		if err != nil {
			return rd, err
		}
		rd.targets = append(rd.targets, tt)
	}
	for _, nd := range c.nodes {
		st, err := statusOf(cx, nd)
		if err != nil {
			return rd, err
		}
		rd.cpu += nd.cpu()
		rd.bytes += st.Measured.Bytes
		rd.hedges += st.Measured.Hedges
	}
	return rd, nil
}

// compare works out what happened between two readings.
func (r *result) compare(before, now reading, nodes int, took time.Duration, rate float64) {
	calls := rate * took.Seconds()
	perNode := float64(nodes) * took.Seconds()
	r.CPU = (now.cpu - before.cpu).Seconds() / perNode
	r.Bytes = (now.bytes - before.bytes) / perNode
	r.Hedges = float64(now.hedges-before.hedges) / calls
	started := 0
	for i := range now.targets {
		started += now.targets[i].Started - before.targets[i].Started
	}
	r.Extra = max(0, (float64(started)-calls)/calls)
}

// line tells the result in short.
func (r result) line() string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s %s %s #%d: p50 %s p99 %s p99.9 %s", r.Deployment, r.Case, r.Variant, r.Round,
		carobsummary.Milliseconds(r.Callers.Felt.P50), carobsummary.Milliseconds(r.Callers.Felt.P99),
		carobsummary.Milliseconds(r.Callers.Felt.P999))
	fmt.Fprintf(&sb, " good %.1f%% of %d, hedges %.1f%%, sick %.2f%%, back %.1f%%, %.0f B/s, cpu %.3f",
		100*float64(r.Callers.Good)/max(float64(r.Callers.Calls), 1), r.Callers.Calls, 100*r.Hedges,
		100*r.Sick, 100*r.Back, r.Bytes, r.CPU)
	if len(r.Callers.Kinds) > 0 || r.Callers.Failed > 0 {
		fmt.Fprintf(&sb, ", failed %d, errors %v", r.Callers.Failed, r.Callers.Kinds)
	}
	return sb.String()
}
