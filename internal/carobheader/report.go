package carobheader

import (
	"strconv"
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// FormatReport encodes the numbers of a load report: running, queued, slots, and
// the latency in nanoseconds.
func FormatReport(report carobreport.Report) string {
	const base = 10
	buf := strconv.AppendInt(nil, int64(report.Running), base)
	buf = strconv.AppendInt(append(buf, ' '), int64(report.Queued), base)
	buf = strconv.AppendInt(append(buf, ' '), int64(report.Slots), base)
	buf = strconv.AppendInt(append(buf, ' '), int64(report.Latency), base)
	return string(buf)
}

// ParseReport decodes what FormatReport encodes. It returns nil if text is
// malformed.
func ParseReport(target carobtargetid.ID, text string) *carobreport.Report {
	const numbers = 4
	fields := strings.Fields(text)
	if len(fields) != numbers {
		return nil
	}
	var values [numbers]int
	for i, field := range fields {
		n, err := strconv.Atoi(field)
		if err != nil || n < 0 {
			return nil
		}
		values[i] = n
	}
	return &carobreport.Report{
		Target: target, Running: values[0], Queued: values[1], Slots: values[2],
		Latency: carobduration.Duration(time.Duration(values[3])),
	}
}
