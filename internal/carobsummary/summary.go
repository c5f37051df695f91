// Package carobsummary counts the results and latencies that callers see in a run of
// calls.
package carobsummary

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
)

// Config holds the settings of a summary.
type Config struct {
	// Name is the name of the summary in reports and tables.
	Name string
	// Deadline is the longest latency of a good answer. A call without a good answer
	// counts in EffectiveLatency with at least this latency.
	Deadline time.Duration
}

// Summary counts calls by their results. It is safe for concurrent use, but its
// exported fields may be read only after Close.
type Summary struct {
	Name string `json:"name"`
	// Calls counts all calls; it is the sum of Answered, NotRun and Unknown.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	// Good counts the answers that are complete, belong to the call, are no error of
	// the target and arrive within the deadline.
	Good int `json:"good"`
	// Wrong counts answers that are incomplete or belong to another call.
	Wrong int `json:"wrong"`
	// Failed counts errors of targets (status 500 and above) that nodes forwarded as
	// answers.
	Failed int `json:"failed"`
	// ErrorKinds counts the error kinds that nodes returned.
	ErrorKinds map[carobkind.Kind]int `json:"kinds"`
	// Duration is the time during which the counted calls were scheduled to arrive.
	Duration carobduration.Duration `json:"took"`
	// GoodLatency holds quantiles of the latency of good calls, from their scheduled
	// arrival.
	GoodLatency quantiles `json:"latency"`
	// EffectiveLatency holds quantiles of the latency of all calls. A call without a
	// good answer counts with its deadline, or with its own latency if that is longer.
	EffectiveLatency quantiles `json:"felt"`

	deadline           time.Duration
	mutex              sync.Mutex
	goodHistogram      *hdrhistogram.Histogram
	effectiveHistogram *hdrhistogram.Histogram
}

// quantiles are quantiles and the maximum of a latency distribution; 0 before Close.
type quantiles struct {
	P50  carobduration.Duration `json:"p50"`
	P90  carobduration.Duration `json:"p90"`
	P99  carobduration.Duration `json:"p99"`
	P999 carobduration.Duration `json:"p999"`
	Max  carobduration.Duration `json:"max"`
}

// NewSummary returns an empty summary.
func NewSummary(c Config) *Summary {
	const digits = 3
	longest := (10 * time.Minute).Nanoseconds()
	return &Summary{
		Name: c.Name, ErrorKinds: map[carobkind.Kind]int{}, deadline: c.Deadline,
		goodHistogram: hdrhistogram.New(1, longest, digits), effectiveHistogram: hdrhistogram.New(1, longest, digits),
	}
}

// AddAnswer counts a call that was answered. The answer is correct if it is complete
// and belongs to the call.
func (s *Summary) AddAnswer(duration time.Duration, status int, correct bool) {
	const minServerError = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Calls++
	s.Answered++
	switch {
	case !correct:
		s.Wrong++
	case status >= minServerError:
		s.Failed++
	case duration <= s.deadline:
		s.Good++
		_ = s.goodHistogram.RecordValue(duration.Nanoseconds())
		_ = s.effectiveHistogram.RecordValue(duration.Nanoseconds())
		return
	}
	s.recordFailure(duration)
}

// AddError counts a call that was not answered.
func (s *Summary) AddError(duration time.Duration, outcome caroboutcome.Outcome, kind carobkind.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Calls++
	s.ErrorKinds[kind]++
	if outcome == caroboutcome.NotRun {
		s.NotRun++
	} else {
		s.Unknown++
	}
	s.recordFailure(duration)
}

// recordFailure records the latency of a call without a good answer.
func (s *Summary) recordFailure(duration time.Duration) {
	_ = s.effectiveHistogram.RecordValue(max(duration, s.deadline).Nanoseconds())
}

// Close computes the quantiles. The duration is that during which the counted calls
// were scheduled to arrive.
func (s *Summary) Close(duration time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Duration = carobduration.Duration(duration)
	s.GoodLatency, s.EffectiveLatency = quantilesOf(s.goodHistogram), quantilesOf(s.effectiveHistogram)
}

// Goodput returns the number of good answers a second.
func (s *Summary) Goodput() float64 {
	return float64(s.Good) / max(s.Duration.Duration().Seconds(), 1e-9)
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(percentile float64) carobduration.Duration {
		return carobduration.Duration(h.ValueAtPercentile(percentile))
	}
	return quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// WriteTable writes a table with one line for each summary.
func WriteTable(to io.Writer, summaries ...*Summary) {
	const gap = 2
	writer := tabwriter.NewWriter(to, 0, 0, gap, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(writer, "run\tcalls\tgood\tanswered\tnot run\tunknown\twrong\tfailed\tgood/s\tp50\tp99\tp99.9\tmax\t")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\t%s\t%s\t\n",
			s.Name, s.Calls, s.Good, s.Answered, s.NotRun, s.Unknown, s.Wrong, s.Failed, s.Goodput(),
			FormatMilliseconds(s.GoodLatency.P50), FormatMilliseconds(s.GoodLatency.P99), FormatMilliseconds(s.GoodLatency.P999), FormatMilliseconds(s.GoodLatency.Max))
	}
	_ = writer.Flush()
}

// FormatMilliseconds formats a duration in milliseconds with two decimals, as in
// tables.
func FormatMilliseconds(duration carobduration.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(duration)/float64(time.Millisecond))
}
