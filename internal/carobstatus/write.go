package carobstatus

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/carobknot/carobknot/pkg/carobrouteversion"

	"github.com/carobknot/carobknot/pkg/carobduration"
)

// WriteTables prints the status as tables, for operators.
func (s Status) WriteTables(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	printRow := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	printRow("node %s, incarnation %d, %s/%s, stopping %t, calls %d, jobs %d",
		s.Node, s.Incarnation, s.Region, s.Centre, s.Stopping, s.Calls, s.Jobs)
	if s.Routes != carobrouteversion.None {
		printRow("routes %d", s.Routes)
	}
	if s.Rejected != nil {
		printRow("routes %d cannot be used: %s", s.Rejected.Version, s.Rejected.Reason)
	}
	printRow("")
	printRow("TARGET\tNODE\tPROFILE\tSTATE\tSLOTS\tRUNNING\tQUEUED\tLATENCY\tREPORT AGE\tEJECTED")
	for _, t := range s.Targets {
		load, age := "?\t?\t?", "none"
		if t.LoadKnown {
			load = fmt.Sprintf("%d\t%d\t%s", t.Running, t.Queued, formatDuration(t.Latency))
			age = formatDuration(t.ReportAge)
		}
		printRow("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%t", t.ID, t.Node, t.Profile, t.Readiness, t.Slots, load, age, t.Ejected)
	}
	printRow("")
	printRow("PEER\tINCARNATION\tCENTRE\tLEAVING\tLAST HEARD")
	for _, p := range s.Peers {
		printRow("%s\t%d\t%s\t%t\t%s", p.Node, p.Incarnation, p.Centre, p.Leaving, formatDuration(p.SinceLastHeard))
	}
	printRow("")
	printRow("PROFILE\tREVISION\tBY")
	for _, p := range s.Profiles {
		printRow("%s\t%d\t%s", p.Name, p.Offset, p.PublishedBy)
	}
	return table.Flush()
}

// formatDuration rounds to milliseconds above one second, and to microseconds up to
// it, because operators need no finer digits.
func formatDuration(span carobduration.Duration) string {
	d := span.Duration()
	if d > time.Second {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(time.Microsecond).String()
}
