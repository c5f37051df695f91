package carobfrontend

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

// responder sends the result of a call to its caller.
type responder struct {
	frontEnd *FrontEnd
	ctx      *fasthttp.RequestCtx
	call     carobcallid.ID
	// key is the idempotency key of the call; empty if there is none.
	key string
}

// SendAnswer streams an answer of a target to the caller. If the call has an
// idempotency key, a small answer is also recorded, so that it can be stored for
// the key.
func (r *responder) SendAnswer(answer *carobanswer.Answer, abandon func(), done func(kind carobkind.Kind, stored *carobstoredanswer.StoredAnswer)) {
	carobheader.CleanResponse(&answer.Response.Header)
	answer.Response.Header.CopyTo(&r.ctx.Response.Header)
	r.ctx.Response.Header.Set(carobheader.Outcome, string(caroboutcome.Answered))
	r.ctx.Response.Header.Set(carobheader.CallID, r.call.String())
	var recorder *bodyRecorder
	if r.key != "" {
		recorder = recordBody(answer)
	}
	config := r.frontEnd.config
	unwatch := config.DisconnectWatch.Add(r.ctx.Conn(), abandon)
	carobbody.SetResponseBody(r.ctx, answer, config.Timer, config.Limits.StallTimeout.Duration(), func(kind carobkind.Kind) {
		unwatch()
		if kind != carobkind.None {
			done(kind, nil)
			return
		}
		done(kind, recorder.storedAnswer())
	})
}

// SendStored sends the answer that is stored for the call's idempotency key.
func (r *responder) SendStored(stored *carobstoredanswer.StoredAnswer) {
	writeStored(r.ctx, r.call, stored)
}

// SendError sends an error. The Retry-After header always has the delay of the kind;
// the given delay is not used.
func (r *responder) SendError(kind carobkind.Kind, _ time.Duration, detail string) {
	r.frontEnd.refuse(r.ctx, r.call, carobkind.New(kind, "%s", detail))
}
