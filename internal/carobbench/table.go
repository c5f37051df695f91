package carobbench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// medianRange is the median and the range of a value over the rounds.
type medianRange struct {
	low, median, high float64
}

func medianRangeOf(results []result, value func(r *result) float64) medianRange {
	values := make([]float64, len(results))
	for i := range results {
		values[i] = value(&results[i])
	}
	slices.Sort(values)
	upper := len(values) / 2
	lower := (len(values) - 1) / 2
	return medianRange{low: values[0], median: (values[lower] + values[upper]) / 2, high: values[len(values)-1]}
}

func (m medianRange) String() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", m.median, m.low, m.high)
}

// column is one column of the table.
type column struct {
	title string
	value func(r *result) float64
}

const (
	percent     = 100
	millisecond = float64(time.Millisecond)
)

// columns is the table of all columns. Latencies are those of all calls: a call
// without a good answer counts with its deadline, or with its own latency if that is
// longer.
var columns = []column{
	{"p50 ms", func(r *result) float64 { return float64(r.Callers.EffectiveLatency.P50) / millisecond }},
	{"p99 ms", func(r *result) float64 { return float64(r.Callers.EffectiveLatency.P99) / millisecond }},
	{"p99.9 ms", func(r *result) float64 { return float64(r.Callers.EffectiveLatency.P999) / millisecond }},
	{"good %", func(r *result) float64 {
		return percent * float64(r.Callers.Good) / max(float64(r.Callers.Calls), 1)
	}},
	{"of capacity %", func(r *result) float64 { return percent * r.Callers.Goodput() / r.Capacity }},
	{"hedges %", func(r *result) float64 { return percent * r.Hedges }},
	{"sick %", func(r *result) float64 { return percent * r.FaultyShare }},
	{"back %", func(r *result) float64 { return percent * r.RecoveredShare }},
	{"B/s a node", func(r *result) float64 { return r.ProbeBytes }},
	{"cpu % a node", func(r *result) float64 { return percent * r.CPU }},
}

// writeTable writes the results of a deployment, with median and range over the rounds.
func writeTable(output io.Writer, deployment string, results []result) {
	const columnGap = 2
	writer := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintf(writer, "\n%s\tvariant", deployment)
	for _, column := range columns {
		_, _ = fmt.Fprintf(writer, "\t%s", column.title)
	}
	_, _ = fmt.Fprintln(writer)
	for _, benchCase := range cases {
		for _, variant := range variants {
			cell := slices.DeleteFunc(slices.Clone(results), func(r result) bool {
				return r.Deployment != deployment || r.Case != benchCase.name || r.Variant != variant.name
			})
			if len(cell) == 0 {
				continue
			}
			_, _ = fmt.Fprintf(writer, "%s\t%s", benchCase.name, variant.name)
			for _, column := range columns {
				_, _ = fmt.Fprintf(writer, "\t%s", medianRangeOf(cell, column.value))
			}
			_, _ = fmt.Fprintln(writer)
		}
	}
	_ = writer.Flush()
}
