package carobheader

import (
	"strconv"
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobduration"
	"github.com/carobknot/carobknot/pkg/carobreport"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// FormatReport writes a report's numbers: running, queued, slots, and the
// latency in nanoseconds.
func FormatReport(rp carobreport.Report) string {
	const base = 10
	b := strconv.AppendInt(nil, int64(rp.Running), base)
	b = strconv.AppendInt(append(b, ' '), int64(rp.Queued), base)
	b = strconv.AppendInt(append(b, ' '), int64(rp.Slots), base)
	b = strconv.AppendInt(append(b, ' '), int64(rp.Latency), base)
	return string(b)
}

// ParseReport reads what FormatReport writes, or returns nil.
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
