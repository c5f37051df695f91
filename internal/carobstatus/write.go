package carobstatus

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
)

// Write prints the status as tables.
func (s Status) Write(to io.Writer) error {
	tb := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(tb, format+"\n", args...) }
	row("node %s, incarnation %d, %s/%s, stopping %t, calls %d, jobs %d",
		s.Node, s.Incarnation, s.Region, s.Centre, s.Stopping, s.Calls, s.Jobs)
	row("")
	row("TARGET\tNODE\tPROFILE\tSTATE\tSLOTS\tRUNNING\tQUEUED\tLATENCY\tREPORT AGE\tEJECTED")
	for _, t := range s.Targets {
		load, age := "?\t?\t?", "none"
		if t.Known {
			load = fmt.Sprintf("%d\t%d\t%s", t.Running, t.Queued, short(t.Latency))
			age = short(t.Age)
		}
		row("%s\t%s\t%s\t%s\t%d\t%s\t%s\t%t", t.ID, t.Node, t.Profile, t.State, t.Slots, load, age, t.Ejected)
	}
	row("")
	row("PEER\tINCARNATION\tCENTRE\tLEAVING\tLAST WORD")
	for _, p := range s.Peers {
		row("%s\t%d\t%s\t%t\t%s", p.Node, p.Incarnation, p.Centre, p.Leaving, short(p.Age))
	}
	row("")
	row("PROFILE\tREVISION\tBY")
	for _, p := range s.Profiles {
		row("%s\t%d\t%s", p.Name, p.Offset, p.Who)
	}
	return tb.Flush()
}

// short writes a span without digits that nobody reads.
func short(s carobduration.Duration) string {
	d := s.Duration()
	if d > time.Second {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(time.Microsecond).String()
}
