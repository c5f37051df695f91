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
)

// interval is how often counts move on to the reporter.
const interval = time.Second

// Meter counts effects.
type Meter struct {
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   io.Closer
}

// NewMeter returns a meter whose counts are all zero.
func NewMeter() *Meter {
	registry := client.NewRegistry()
	m := &Meter{reporter: prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})}
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
		m.tagged("kind", nameOf(out.Conclusions[i].Kind)).Counter("calls").Inc(1)
	}
	for i := range out.Refusals {
		m.tagged("kind", nameOf(out.Refusals[i].Kind)).Counter("refusals").Inc(1)
	}
	for i := range out.Reports {
		rp := &out.Reports[i]
		scope := m.tagged("target", rp.Target.String())
		scope.Gauge("running").Update(float64(rp.Running))
		scope.Gauge("queued").Update(float64(rp.Queued))
		scope.Gauge("slots").Update(float64(rp.Slots))
	}
	for i := range out.Hops {
		m.tagged("role", out.Hops[i].Role).Histogram("took", buckets()).RecordDuration(out.Hops[i].Took.Duration())
	}
	m.add("attempts", len(out.Sends))
	m.add("starts", len(out.Starts))
	m.add("cancels", len(out.Cancels))
	m.add("messages", len(out.Messages))
	m.add("audits", len(out.Audits))
}

func (m *Meter) add(name string, n int) {
	if n > 0 {
		m.scope.Counter(name).Inc(int64(n))
	}
}

func (m *Meter) tagged(key, value string) tally.Scope {
	return m.scope.Tagged(map[string]string{key: value})
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
