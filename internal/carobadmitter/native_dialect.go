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
	"github.com/carobknot/carobknot/pkg/carobtargetdirective"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
	"github.com/carobknot/carobknot/pkg/carobtargetload"
)

// nativeDialect is the dialect of targets that read carobknot's own headers.
type nativeDialect struct{}

// PrepareRequest sets the time left until the call's deadline in milliseconds, the
// call's ID and its trace context.
func (nativeDialect) PrepareRequest(req *fasthttp.Request, start *carobstart.Start, _ carobtargetid.ID) {
	const base = 10
	// A cleaned header has none of these two, since they are reserved.
	req.Header.Set(carobheader.Deadline, strconv.FormatInt(max(1, int64(start.TimeLeft/time.Millisecond)), base))
	req.Header.Set(carobheader.CallID, start.Job.Call.String())
	if start.Traceparent != "" {
		carobheader.Replace(&req.Header, carobheader.TraceContext, start.Traceparent)
	}
}

// ResponseHeaders returns nil, since these callers recognise a response by the headers that the
// entry node adds.
func (nativeDialect) ResponseHeaders() []string { return nil }

// PrepareHealthCheck leaves the request empty: these targets have no health check that
// reports their load or how slow their VM is.
func (nativeDialect) PrepareHealthCheck(*fasthttp.Request, carobaddress.Address) {}

// ParseIdentity returns no name and no slots, since these targets do not identify
// themselves.
func (nativeDialect) ParseIdentity(*fasthttp.Response) (carobname.Name, int) { return "", 0 }

// ParseDirective returns nil, since these targets request nothing in their responses.
func (nativeDialect) ParseDirective(*fasthttp.Response) *carobtargetdirective.TargetDirective {
	return nil
}

// Classify accepts every response as the answer to the call.
func (nativeDialect) Classify(*fasthttp.Response) (carobkind.Kind, *carobtargetload.TargetLoad) {
	return carobkind.None, nil
}
