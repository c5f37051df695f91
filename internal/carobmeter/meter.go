// Package carobmeter counts what the control goroutine orders.
package carobmeter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutbox"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// interval is how often counts move on to the reporter.
const interval = time.Second

// Meter counts effects. What it counts into is looked up once and kept, since to
// look a tagged scope up costs more than to count.
type Meter struct {
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   io.Closer
	// The maps belong to the goroutine that calls Carry.
	calls    map[carobkind.Kind]tally.Counter
	refusals map[carobkind.Kind]tally.Counter
	loads    map[carobtargetid.ID]load
	took     map[string]tally.Histogram
}

// load has the gauges of one target.
type load struct {
	running, queued, slots tally.Gauge
}

// NewMeter returns a meter whose counts are all zero.
func NewMeter() *Meter {
	registry := client.NewRegistry()
	m := &Meter{
		reporter: prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry}),
		calls:    map[carobkind.Kind]tally.Counter{}, refusals: map[carobkind.Kind]tally.Counter{},
		loads: map[carobtargetid.ID]load{}, took: map[string]tally.Histogram{},
	}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "carobknot", CachedReporter: m.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, interval)
	return m
}

// Handler gives the counts as Prometheus text.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close stops counting.
func (m *Meter) Close() error {
	return m.closer.Close()
}

// Carry counts the effects of a tick.
func (m *Meter) Carry(out *caroboutbox.Outbox) {
	for i := range out.Conclusions {
		m.counter(m.calls, "calls", out.Conclusions[i].Kind).Inc(1)
	}
	for i := range out.Refusals {
		m.counter(m.refusals, "refusals", out.Refusals[i].Kind).Inc(1)
	}
	for i := range out.Reports {
		rp := &out.Reports[i]
		ld := m.load(rp.Target)
		ld.running.Update(float64(rp.Running))
		ld.queued.Update(float64(rp.Queued))
		ld.slots.Update(float64(rp.Slots))
	}
	for i := range out.Hops {
		m.histogram(out.Hops[i].Role).RecordDuration(out.Hops[i].Duration.Duration())
	}
	m.add("attempts", len(out.Sends))
	m.add("starts", len(out.Starts))
	m.add("checks", len(out.HealthChecks))
	m.add("cancels", len(out.Cancels))
	m.add("messages", len(out.Messages))
	m.add("audits", len(out.Audits))
}

func (m *Meter) add(name string, n int) {
	if n > 0 {
		m.scope.Counter(name).Inc(int64(n))
	}
}

// counter returns the counter of a kind.
func (m *Meter) counter(counters map[carobkind.Kind]tally.Counter, name string, kind carobkind.Kind) tally.Counter {
	ct, ok := counters[kind]
	if !ok {
		ct = m.scope.Tagged(map[string]string{"kind": nameOf(kind)}).Counter(name)
		counters[kind] = ct
	}
	return ct
}

func (m *Meter) load(target carobtargetid.ID) load {
	ld, ok := m.loads[target]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": string(target.Service), "target": string(target.Name)})
		ld = load{running: scope.Gauge("running"), queued: scope.Gauge("queued"), slots: scope.Gauge("slots")}
		m.loads[target] = ld
	}
	return ld
}

func (m *Meter) histogram(role string) tally.Histogram {
	hg, ok := m.took[role]
	if !ok {
		hg = m.scope.Tagged(map[string]string{"role": role}).Histogram("took", buckets())
		m.took[role] = hg
	}
	return hg
}

func nameOf(kind carobkind.Kind) string {
	if kind == carobkind.None {
		return "none"
	}
	return string(kind)
}

// buckets are the bounds of the histograms of time.
func buckets() tally.DurationBuckets {
	const first, factor, count = 100 * time.Microsecond, 2, 18
	return tally.MustMakeExponentialDurationBuckets(first, factor, count)
}
