package carobbody

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// maxSingleWriteBody is the size of the largest body that is sent in one write with its
// header, in bytes. The header of a response with a longer body is sent at once.
const maxSingleWriteBody = 4096

// SetResponseBody forwards the body of answer as the body of the response to ctx, whose
// header must already be set. Sending fails if the receiver accepts no bytes for the
// duration stallTimeout. onEnd is called like Config.OnEnd.
func SetResponseBody(ctx *fasthttp.RequestCtx, answer *carobanswer.Answer, timer *carobtimer.Timer, stallTimeout time.Duration, onEnd func(kind carobkind.Kind)) {
	ctx.Response.Header.SetNoDefaultContentType(true)
	conn := ctx.Conn()
	extendDeadline := func() { _ = conn.SetWriteDeadline(timer.WallTime().Add(stallTimeout)) }
	extendDeadline()
	if answer.NoBody {
		_ = answer.Body.Close()
		onEnd(carobkind.None)
		return
	}
	ctx.Response.ImmediateHeaderFlush = answer.Length > maxSingleWriteBody
	carobheader.SetContentLength(&ctx.Response.Header, answer.Length)
	ctx.Response.SetBodyStream(NewBody(Config{Stream: answer.Body, Length: answer.Length, ExtendDeadline: extendDeadline, OnEnd: onEnd}), answer.Length)
}
