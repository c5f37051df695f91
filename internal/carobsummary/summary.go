// Package carobsummary sums up what callers saw of a run of calls.
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

// Config is how a summary is made.
type Config struct {
	// Name tells the summary from others of the same run.
	Name string
	// Deadline is what a call without a good answer counts as in Felt.
	Deadline time.Duration
}

// Summary counts calls by their ends. Many goroutines may add to it.
type Summary struct {
	Name string `json:"name"`
	// Calls counts all; Answered, NotRun and Unknown part it.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	NotRun   int `json:"notrun"`
	Unknown  int `json:"unknown"`
	// Good counts the answers that are whole, the call's own, no error of the
	// target and within the deadline.
	Good int `json:"good"`
	// Wrong counts answers that are cut or belong to another call.
	Wrong int `json:"wrong"`
	// Failed counts errors of targets that were passed on as answers.
	Failed int `json:"failed"`
	// Kinds counts the kinds of errors told by nodes.
	Kinds map[carobkind.Kind]int `json:"kinds"`
	// Took is from the first to the last intended arrival that was counted.
	Took carobduration.Duration `json:"took"`
	// Latency is that of good calls from their intended arrival.
	Latency quantiles `json:"latency"`
	// Felt is that of all calls; one without a good answer counts as its whole
	// deadline.
	Felt quantiles `json:"felt"`

	deadline time.Duration
	mutex    sync.Mutex
	good     *hdrhistogram.Histogram
	felt     *hdrhistogram.Histogram
}

// quantiles are points of a distribution of times.
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
		Name: c.Name, Kinds: map[carobkind.Kind]int{}, deadline: c.Deadline,
		good: hdrhistogram.New(1, longest, digits), felt: hdrhistogram.New(1, longest, digits),
	}
}

// AddAnswer counts a call that was answered.
func (s *Summary) AddAnswer(took time.Duration, status int, whole bool) {
	const firstError = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Calls++
	s.Answered++
	switch {
	case !whole:
		s.Wrong++
	case status >= firstError:
		s.Failed++
	case took <= s.deadline:
		s.Good++
		_ = s.good.RecordValue(took.Nanoseconds())
		_ = s.felt.RecordValue(took.Nanoseconds())
		return
	}
	s.miss(took)
}

// AddError counts a call that was not answered.
func (s *Summary) AddError(took time.Duration, outcome caroboutcome.Outcome, kind carobkind.Kind) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Calls++
	s.Kinds[kind]++
	if outcome == caroboutcome.NotRun {
		s.NotRun++
	} else {
		s.Unknown++
	}
	s.miss(took)
}

func (s *Summary) miss(took time.Duration) {
	_ = s.felt.RecordValue(max(took, s.deadline).Nanoseconds())
}

// Close works the quantiles out. The calls arrived during took.
func (s *Summary) Close(took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Took = carobduration.Duration(took)
	s.Latency, s.Felt = quantilesOf(s.good), quantilesOf(s.felt)
}

// Goodput returns the good answers a second.
func (s *Summary) Goodput() float64 {
	return float64(s.Good) / max(s.Took.Duration().Seconds(), 1e-9)
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	at := func(percentile float64) carobduration.Duration {
		return carobduration.Duration(h.ValueAtPercentile(percentile))
	}
	return quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: at(100)}
}

// Table writes summaries as lines of one table.
func Table(to io.Writer, summaries ...*Summary) {
	const gap = 2
	tw := tabwriter.NewWriter(to, 0, 0, gap, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(tw, "run\tcalls\tgood\tanswered\tnot run\tunknown\twrong\tfailed\tgood/s\tp50\tp99\tp99.9\tmax\t")
	for _, s := range summaries {
		_, _ = fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\t%s\t%s\t\n",
			s.Name, s.Calls, s.Good, s.Answered, s.NotRun, s.Unknown, s.Wrong, s.Failed, s.Goodput(),
			Milliseconds(s.Latency.P50), Milliseconds(s.Latency.P99), Milliseconds(s.Latency.P999), Milliseconds(s.Latency.Max))
	}
	_ = tw.Flush()
}

// Milliseconds writes a time as tables show it.
func Milliseconds(sp carobduration.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(sp)/float64(time.Millisecond))
}
