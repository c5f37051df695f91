package carobheader

import (
	"strconv"
	"strings"
	"time"

	"github.com/carobknot/carobknot/pkg/carobonce"
	"github.com/carobknot/carobknot/pkg/carobrequestid"
	"github.com/carobknot/carobknot/pkg/carobwish"
)

// FormatWish writes a wish: rank, the time left to the SLO and the whole of it in
// microseconds, how often the call may run, and the caller's name for it.
func FormatWish(ws carobwish.Wish) string {
	const base = 10
	b := strconv.AppendInt(nil, int64(ws.Rank), base)
	b = strconv.AppendInt(append(b, ' '), ws.Slo.Microseconds(), base)
	b = strconv.AppendInt(append(b, ' '), ws.Whole.Microseconds(), base)
	return string(b) + " " + string(ws.Once) + " " + string(ws.Request)
}

// ParseWish reads what FormatWish writes. Of text that is none, it makes an empty
// wish.
func ParseWish(text string) carobwish.Wish {
	const parts = 5
	fields := strings.SplitN(text, " ", parts)
	if len(fields) != parts {
		return carobwish.Wish{}
	}
	var values [3]int64
	for i := range values {
		var err error
		if values[i], err = strconv.ParseInt(fields[i], 10, 64); err != nil {
			return carobwish.Wish{}
		}
	}
	return carobwish.Wish{
		Rank: int(values[0]), Slo: time.Duration(values[1]) * time.Microsecond,
		Whole: time.Duration(values[2]) * time.Microsecond,
		Once:  carobonce.Once(fields[3]), Request: carobrequestid.ID(fields[4]),
	}
}
