package carobentrance

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboutcome"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// caller tells a caller the end of its call.
type caller struct {
	entrance *Entrance
	ctx      *fasthttp.RequestCtx
	call     carobcallid.ID
}

// Answer passes an answer on, and keeps a copy if the call has a key.
func (c *caller) Answer(an *carobanswer.Answer, abandon func(), over func(kind carobkind.Kind, kept *carobstoredanswer.StoredAnswer)) {
	carobheader.CleanResponse(&an.Response.Header)
	an.Response.Header.CopyTo(&c.ctx.Response.Header)
	c.ctx.Response.Header.Set(carobheader.Outcome, string(caroboutcome.Answered))
	c.ctx.Response.Header.Set(carobheader.Call, c.call.String())
	var copied *copier
	if len(c.ctx.Request.Header.Peek(carobheader.Key)) > 0 {
		copied = keepCopy(an)
	}
	cf := c.entrance.config
	unwatch := cf.Watch.Add(c.ctx.Conn(), abandon)
	carobbody.Attach(c.ctx, an, cf.Timer, cf.Limits.StallTimeout.Duration(), func(kind carobkind.Kind) {
		unwatch()
		if kind != carobkind.None {
			over(kind, nil)
			return
		}
		over(kind, copied.kept())
	})
}

// Repeat passes on the answer to an earlier call.
func (c *caller) Repeat(kept *carobstoredanswer.StoredAnswer) {
	deliverKept(c.ctx, c.call, kept)
}

// Refuse tells an error.
func (c *caller) Refuse(kind carobkind.Kind, _ time.Duration, detail string) {
	c.entrance.refuse(c.ctx, c.call, carobkind.New(kind, "%s", detail))
}
