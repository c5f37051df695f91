// Package carobmeter keeps the metrics of a node: it counts the effects of the control
// goroutine.
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
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobrouteversion"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstoreera"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// flushInterval is how often counts are passed on to the reporter.
const flushInterval = time.Second

// Meter counts effects. Each counter, gauge and histogram is looked up once and then
// kept, because the look-up of a tagged scope takes longer than the counting.
type Meter struct {
	reporter prometheus.Reporter
	scope    tally.Scope
	closer   io.Closer
	// Only the goroutine that calls Execute uses the maps.
	calls    map[carobkind.Kind]tally.Counter
	refusals map[carobkind.Kind]tally.Counter
	byTarget map[carobtargetid.ID]targetGauges
	// coldLimits has the gauges of targets that were cold under a limit.
	coldLimits map[carobtargetid.ID]tally.Gauge
	durations  map[string]tally.Histogram
	// routes is the version of the route table in force, and routesAge how many seconds ago
	// it was last confirmed to be the newest.
	routes, routesAge tally.Gauge
	// routesReadAge is how many seconds ago the last read of this node began that confirmed a
	// route table. It appears once one has.
	routesReadAge tally.Gauge
	// tickDelay has by how much scheduled ticks were late. It appears with the first.
	tickDelay tally.Histogram
	// organisations is the number of organisations in the route table in force.
	organisations tally.Gauge
	// routesRejected is 1 while the newest route table in the store cannot be read.
	routesRejected tally.Gauge
	// quotaNodes, quotaLeases and allocating show the lending of quotas; all are 0 while no
	// organisation has a quota.
	quotaNodes, quotaLeases, allocating tally.Gauge
	// storeEra is the store's number of the newest era that is known. It appears once one is.
	storeEra tally.Gauge
	// evacuations is the number of data centres that are evacuated. It appears with the first.
	evacuations tally.Gauge
}

const (
	// maxTargets is the largest number of targets with gauges of their own, because a gauge
	// cannot be removed again. The label "target" of later ones is otherTargets.
	maxTargets   = 256
	otherTargets = "other"
)

// targetGauges are the gauges of one target.
type targetGauges struct {
	running, queued, slots tally.Gauge
}

// NewMeter returns a meter whose metrics are all zero.
func NewMeter() *Meter {
	registry := client.NewRegistry()
	m := &Meter{
		reporter: prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry}),
		calls:    map[carobkind.Kind]tally.Counter{}, refusals: map[carobkind.Kind]tally.Counter{},
		byTarget: map[carobtargetid.ID]targetGauges{}, coldLimits: map[carobtargetid.ID]tally.Gauge{}, durations: map[string]tally.Histogram{},
	}
	m.scope, m.closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "carobknot", CachedReporter: m.reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, flushInterval)
	m.routes, m.routesAge = m.scope.Gauge("routes"), m.scope.Gauge("routes_age")
	m.routesRejected, m.organisations = m.scope.Gauge("routes_rejected"), m.scope.Gauge("organisations")
	m.quotaNodes, m.quotaLeases, m.allocating = m.scope.Gauge("quota_nodes"), m.scope.Gauge("quota_leases"), m.scope.Gauge("quota_allocating")
	return m
}

// Handler serves the metrics in the text format of Prometheus.
func (m *Meter) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close passes the last counts on to the reporter and stops.
func (m *Meter) Close() error {
	return m.closer.Close()
}

// Execute counts the effects of a tick.
func (m *Meter) Execute(out *caroboutbox.Outbox) {
	for i := range out.Conclusions {
		m.counter(m.calls, "calls", out.Conclusions[i].Kind).Inc(1)
	}
	for i := range out.Refusals {
		m.counter(m.refusals, "refusals", out.Refusals[i].Kind).Inc(1)
	}
	for i := range out.Reports {
		report := &out.Reports[i]
		gauges := m.gauges(report.Target)
		gauges.running.Update(float64(report.Running))
		gauges.queued.Update(float64(report.Queued))
		gauges.slots.Update(float64(report.Slots))
		m.updateColdLimit(report)
	}
	for i := range out.Hops {
		m.histogram(out.Hops[i].Role).RecordDuration(out.Hops[i].Duration.Duration())
	}
	if out.RoutesVersion != carobrouteversion.None {
		m.routes.Update(float64(out.RoutesVersion))
		m.organisations.Update(float64(out.Organisations))
		m.routesAge.Update(out.RoutesAge.Seconds())
	}
	m.recordDelays(out)
	m.routesRejected.Update(0)
	if out.RoutesRejected {
		m.routesRejected.Update(1)
	}
	m.countQuotas(out)
	if out.StoreEra != carobstoreera.None {
		if m.storeEra == nil {
			m.storeEra = m.scope.Gauge("store_era")
		}
		m.storeEra.Update(float64(out.StoreEra.Number()))
	}
	if out.Evacuations > 0 && m.evacuations == nil {
		m.evacuations = m.scope.Gauge("evacuations")
	}
	if m.evacuations != nil {
		m.evacuations.Update(float64(out.Evacuations))
	}
	m.add("attempts", len(out.Sends))
	m.add("attempts_behind", countBehind(out.Sends))
	m.add("starts", len(out.Starts))
	m.add("checks", len(out.HealthChecks))
	m.add("cancels", len(out.Cancels))
	m.add("messages", len(out.Messages))
	m.add("audits", len(out.Audits))
}

// recordDelays updates the metrics that show how late the node reads the store or runs its ticks.
func (m *Meter) recordDelays(out *caroboutbox.Outbox) {
	if out.RoutesReadAge > 0 {
		if m.routesReadAge == nil {
			m.routesReadAge = m.scope.Gauge("routes_read_age")
		}
		m.routesReadAge.Update(out.RoutesReadAge.Seconds())
	}
	if out.TickDelay > 0 {
		if m.tickDelay == nil {
			m.tickDelay = m.scope.Histogram("tick_delay", durationBuckets())
		}
		m.tickDelay.RecordDuration(out.TickDelay)
	}
}

// updateColdLimit sets the limit of a target that counts as cold. The gauge first appears with a
// limit.
func (m *Meter) updateColdLimit(report *carobreport.Report) {
	gauge, ok := m.coldLimits[report.Target]
	if !ok && (report.ColdLimit == 0 || len(m.coldLimits) >= maxTargets) {
		return
	}
	if !ok {
		gauge = m.scope.Tagged(map[string]string{"service": string(report.Target.Service), "target": string(report.Target.Name)}).Gauge("cold_limit")
		m.coldLimits[report.Target] = gauge
	}
	gauge.Update(float64(report.ColdLimit))
}

// countBehind returns the number of attempts at calls whose organisation or route is far behind.
func countBehind(sends []carobsend.Send) int {
	count := 0
	for i := range sends {
		if sends[i].Requirements.Behind {
			count++
		}
	}
	return count
}

// countQuotas updates the metrics of quotas.
func (m *Meter) countQuotas(out *caroboutbox.Outbox) {
	m.quotaNodes.Update(float64(out.QuotaNodes))
	m.quotaLeases.Update(float64(out.QuotaLeases))
	m.allocating.Update(0)
	if out.Allocating {
		m.allocating.Update(1)
	}
	m.add("quota_tokens", out.QuotaTokens)
}

// CountYielded counts a connection that was closed, or a request that was refused, because
// the memory for connections was short. It may be called from any goroutine.
func (m *Meter) CountYielded(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("yielded").Inc(1)
}

// add adds n to a counter without labels. The counter first appears with a count above
// zero.
func (m *Meter) add(name string, n int) {
	if n > 0 {
		m.scope.Counter(name).Inc(int64(n))
	}
}

// counter returns the counter of a kind from counters, and creates it if needed.
func (m *Meter) counter(counters map[carobkind.Kind]tally.Counter, name string, kind carobkind.Kind) tally.Counter {
	counter, ok := counters[kind]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"kind": labelOf(kind)}).Counter(name)
		counters[kind] = counter
	}
	return counter
}

// gauges returns the gauges of a target, and creates them if needed.
func (m *Meter) gauges(target carobtargetid.ID) targetGauges {
	gauges, ok := m.byTarget[target]
	if !ok && len(m.byTarget) >= maxTargets {
		target.Name = otherTargets
		gauges, ok = m.byTarget[target]
	}
	if !ok {
		scope := m.scope.Tagged(map[string]string{"service": string(target.Service), "target": string(target.Name)})
		gauges = targetGauges{running: scope.Gauge("running"), queued: scope.Gauge("queued"), slots: scope.Gauge("slots")}
		m.byTarget[target] = gauges
	}
	return gauges
}

// histogram returns the histogram of the durations of a role's hops, and creates it
// if needed.
func (m *Meter) histogram(role string) tally.Histogram {
	histogram, ok := m.durations[role]
	if !ok {
		histogram = m.scope.Tagged(map[string]string{"role": role}).Histogram("took", durationBuckets())
		m.durations[role] = histogram
	}
	return histogram
}

// labelOf returns the value of the label "kind": a kind, or "none" for success.
func labelOf(kind carobkind.Kind) string {
	if kind == carobkind.None {
		return "none"
	}
	return string(kind)
}

// durationBuckets are the bounds of the histograms: 18 from 100 µs on, each twice the
// one before.
func durationBuckets() tally.DurationBuckets {
	const first, factor, count = 100 * time.Microsecond, 2, 18
	return tally.MustMakeExponentialDurationBuckets(first, factor, count)
}
