package carobfrontend

import (
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// refuse responds with an error. If parts of the body may be unread, the
// connection is closed afterwards.
func (f *FrontEnd) refuse(ctx *fasthttp.RequestCtx, call carobcallid.ID, err error) {
	kind := carobkind.Of(err)
	ctx.Response.Reset()
	ctx.Response.SetStatusCode(kind.Status())
	ctx.Response.Header.SetContentType("text/plain; charset=utf-8")
	ctx.Response.Header.Set(carobheader.Outcome, string(kind.Outcome()))
	ctx.Response.Header.Set(carobheader.CallID, call.String())
	ctx.Response.Header.Set(carobheader.ErrorKind, string(kind))
	if retry := kind.RetryAfter(); retry > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retry/time.Second)))
	}
	ctx.Response.SetBodyString(string(kind) + ": " + err.Error() + "\n")
	if bodyPending(ctx) {
		ctx.SetConnectionClose()
	}
}

// reject refuses a call that could not be parsed or read completely. The
// connection is closed afterwards, because the bytes that follow may belong to
// the call's body and must not be taken for a new request.
func (f *FrontEnd) reject(ctx *fasthttp.RequestCtx, call carobcallid.ID, err error) {
	f.refuse(ctx, call, err)
	ctx.SetConnectionClose()
}

// bodyPending reports whether bytes of the call's body may still be unread.
func bodyPending(ctx *fasthttp.RequestCtx) bool {
	return ctx.RequestBodyStream() != nil || ctx.Request.MayContinue()
}

// handleError responds to a request that the HTTP library could not read.
func (f *FrontEnd) handleError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &smallBuffer):
		err = carobkind.New(carobkind.HeaderTooLarge, "the header is longer than the limit of %s", f.config.Limits.HeaderSize)
	case errors.As(err, &netErr) && netErr.Timeout():
		err = carobkind.New(carobkind.RequestTimeout, "the header was not received within %s", f.config.Limits.HeaderTimeout)
	default:
		err = carobkind.New(carobkind.Invalid, "the request is malformed")
	}
	f.reject(ctx, f.newCallID(), err)
}

// noLogger discards the log lines of the HTTP library.
type noLogger struct{}

// Printf discards a line.
func (noLogger) Printf(string, ...any) {}
