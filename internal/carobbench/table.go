package carobbench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// spread is the median and the range of a figure over the rounds.
type spread struct {
	low, median, high float64
}

func spreadOf(results []result, figure func(r *result) float64) spread {
	values := make([]float64, len(results))
	for i := range results {
		values[i] = figure(&results[i])
	}
	slices.Sort(values)
	upper := len(values) / 2
	lower := (len(values) - 1) / 2
	return spread{low: values[0], median: (values[lower] + values[upper]) / 2, high: values[len(values)-1]}
}

func (s spread) String() string {
	return fmt.Sprintf("%.1f (%.1f-%.1f)", s.median, s.low, s.high)
}

// column is one figure of the table.
type column struct {
	title  string
	figure func(r *result) float64
}

const (
	percent     = 100
	millisecond = float64(time.Millisecond)
)

// columns is the look-up table of all figures. Latencies are those that callers
// felt: a call without a good answer counts as its whole deadline.
var columns = []column{
	{"p50 ms", func(r *result) float64 { return float64(r.Callers.Felt.P50) / millisecond }},
	{"p99 ms", func(r *result) float64 { return float64(r.Callers.Felt.P99) / millisecond }},
	{"p99.9 ms", func(r *result) float64 { return float64(r.Callers.Felt.P999) / millisecond }},
	{"good %", func(r *result) float64 {
		return percent * float64(r.Callers.Good) / max(float64(r.Callers.Calls), 1)
	}},
	{"of capacity %", func(r *result) float64 { return percent * r.Callers.Goodput() / r.Capacity }},
	{"hedges %", func(r *result) float64 { return percent * r.Hedges }},
	{"sick %", func(r *result) float64 { return percent * r.Sick }},
	{"back %", func(r *result) float64 { return percent * r.Back }},
	{"B/s a node", func(r *result) float64 { return r.Bytes }},
	{"cpu % a node", func(r *result) float64 { return percent * r.CPU }},
}

// table writes the results of a deployment, median and range over the rounds.
func table(to io.Writer, deployment string, results []result) {
	const gap = 2
	tw := tabwriter.NewWriter(to, 0, 0, gap, ' ', 0)
	_, _ = fmt.Fprintf(tw, "\n%s\tvariant", deployment)
	for _, cm := range columns {
		_, _ = fmt.Fprintf(tw, "\t%s", cm.title)
	}
	_, _ = fmt.Fprintln(tw)
	for _, cs := range cases {
		for _, vr := range variants {
			cell := slices.DeleteFunc(slices.Clone(results), func(r result) bool {
				return r.Deployment != deployment || r.Case != cs.name || r.Variant != vr.name
			})
			if len(cell) == 0 {
				continue
			}
			_, _ = fmt.Fprintf(tw, "%s\t%s", cs.name, vr.name)
			for _, cm := range columns {
				_, _ = fmt.Fprintf(tw, "\t%s", spreadOf(cell, cm.figure))
			}
			_, _ = fmt.Fprintln(tw)
		}
	}
	_ = tw.Flush()
}
