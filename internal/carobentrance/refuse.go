package carobentrance

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

// refuse answers a caller with an error.
func (e *Entrance) refuse(rc *fasthttp.RequestCtx, call carobcallid.ID, err error) {
	kind := carobkind.Of(err)
	rc.Response.Reset()
	rc.Response.SetStatusCode(kind.Status())
	rc.Response.Header.SetContentType("text/plain; charset=utf-8")
	rc.Response.Header.Set(carobheader.Outcome, string(kind.Outcome()))
	rc.Response.Header.Set(carobheader.Call, call.String())
	rc.Response.Header.Set(carobheader.Kind, string(kind))
	if retry := kind.RetryAfter(); retry > 0 {
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retry/time.Second)))
	}
	rc.Response.SetBodyString(string(kind) + ": " + err.Error() + "\n")
	if unread(rc) {
		part(rc)
	}
}

// reject refuses a call that could not be read to its end. Nothing more is read
// from its connection, since what follows might be a part of it.
func (e *Entrance) reject(rc *fasthttp.RequestCtx, call carobcallid.ID, err error) {
	e.refuse(rc, call, err)
	part(rc)
}

// part closes a call's connection once its answer was sent.
func part(rc *fasthttp.RequestCtx) {
	rc.SetConnectionClose()
	linger(rc.Conn())
}

// unread reports whether bytes of the call's body may still be coming.
func unread(rc *fasthttp.RequestCtx) bool {
	return rc.RequestBodyStream() != nil || rc.Request.MayContinue()
}

// fail answers what the HTTP library could not read as a request.
func (e *Entrance) fail(rc *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		err = carobkind.New(carobkind.HeaderTooLarge, "the header is longer than the limit of %s", e.config.Limits.HeaderSize)
	case errors.As(err, &network) && network.Timeout():
		err = carobkind.New(carobkind.RequestTimeout, "the header did not come within %s", e.config.Limits.HeaderTimeout)
	default:
		err = carobkind.New(carobkind.Invalid, "the request is malformed")
	}
	e.reject(rc, e.newCall(), err)
}

// silence drops the HTTP library's own log lines.
type silence struct{}

// Printf drops a line.
func (silence) Printf(string, ...any) {}
