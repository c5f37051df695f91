package carobbody

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobtimer"
	"github.com/carobknot/carobknot/pkg/carobkind"
)

// oneWrite is the longest body that is sent in one write with its header.
const oneWrite = 4096

// Attach makes the body of an answer that of the response to be sent, whose
// header is set already. The receiver may take no bytes for as long as stall.
// over is told how the body ended, like Config.Over.
func Attach(rc *fasthttp.RequestCtx, an *carobanswer.Answer, timer *carobtimer.Timer, stall time.Duration, over func(kind carobkind.Kind)) {
	rc.Response.Header.SetNoDefaultContentType(true)
	cn := rc.Conn()
	allow := func() { _ = cn.SetWriteDeadline(timer.Wall().Add(stall)) }
	allow()
	if an.Bodiless {
		_ = an.Body.Close()
		over(carobkind.None)
		return
	}
	rc.Response.ImmediateHeaderFlush = an.Length > oneWrite
	rc.Response.SetBodyStream(NewBody(Config{Stream: an.Body, Length: an.Length, Allow: allow, Over: over}), an.Length)
}
