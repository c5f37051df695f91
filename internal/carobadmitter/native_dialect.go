package carobadmitter

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobaddress"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobname"
	"github.com/carobknot/carobknot/pkg/carobstart"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// nativeDialect is the dialect of targets that read carobknot's own headers.
type nativeDialect struct{}

// Ask sets the time left until the call's deadline in milliseconds, the call's ID and
// its trace context.
func (nativeDialect) Ask(req *fasthttp.Request, start *carobstart.Start, _ carobtargetid.ID) {
	const base = 10
	req.Header.Set(carobheader.Deadline, strconv.FormatInt(max(1, int64(start.TimeLeft/time.Millisecond)), base))
	req.Header.Set(carobheader.Call, start.Job.Call.String())
	if start.Traceparent != "" {
		req.Header.Set(carobheader.Trace, start.Traceparent)
	}
}

// Check leaves the request empty: these targets have no health check that reports
// how slow their VM is.
func (nativeDialect) Check(*fasthttp.Request, carobaddress.Address) {}

// Identity returns no name and no slots, since these targets do not identify
// themselves.
func (nativeDialect) Identity(*fasthttp.Response) (carobname.Name, int) { return "", 0 }

// Judge accepts every response as the answer to the call.
func (nativeDialect) Judge(*fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad) {
	return carobkind.None, nil
}
