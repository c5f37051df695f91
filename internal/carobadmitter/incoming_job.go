package carobadmitter

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobrequestbody"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstart"
)

// incomingJobKey is the key of the user value that keeps an admitted job from
// HandleExpect until the HTTP library calls Serve.
type incomingJobKey struct{}

// maxBufferedBody is the largest body that is read before the request is sent to the
// target. Such a body is sent in one write with the header.
const maxBufferedBody = 4 * carobsize.KiB

// holder is a connection that is not closed to make room for others while it is held.
type holder interface {
	// Hold holds the connection until release is called.
	Hold() (release func())
}

// hold holds the connection of an attempt, if it may have to yield.
func hold(conn net.Conn) (release func()) {
	if h, ok := conn.(holder); ok {
		return sync.OnceFunc(h.Hold())
	}
	return func() {}
}

// incomingJob is a job that another node sent, from its offer until the response has
// been forwarded. It is cancelled when the entry node closes its connection.
type incomingJob struct {
	admitter *Admitter
	offer    caroboffer.Offer
	start    *carobstart.Start
	context  context.Context //nolint:containedctx // spans two calls of the HTTP library
	cancel   context.CancelFunc
	// unwatch ends the watch of the entry node's connection.
	unwatch func()
	// release lets the entry node's connection yield to others again.
	release func()
	// acquired is true once Serve runs the job or abandon has ended it.
	acquired atomic.Bool
}

// acquire reports whether this is the first call. Only the first caller may run or end
// the job.
func (j *incomingJob) acquire() bool {
	return j.acquired.CompareAndSwap(false, true)
}

// abandon ends the job if its entry node closed the connection before Serve was
// called.
func (j *incomingJob) abandon() {
	if j.acquire() {
		j.close()
		j.admitter.postFinish(carobfinish.Finish{Job: j.offer.Job, Kind: carobkind.Cancelled})
	}
}

// close ends the watch of the entry node's connection and the job's context.
func (j *incomingJob) close() {
	j.unwatch()
	j.release()
	j.cancel()
}

// run sends the request to the target and forwards the response. The time left to the
// call limits the wait for the header of the response, not the transfer of its body.
func (j *incomingJob) run(ctx *fasthttp.RequestCtx) error {
	config := j.admitter.config
	// The header is copied before the body is read, since the library then adds the body's
	// trailers to it.
	req := &fasthttp.Request{}
	ctx.Request.Header.CopyTo(&req.Header)
	body, err := carobrequestbody.NewRequestBody(carobrequestbody.Config{
		Stream: ctx.RequestBodyStream(), Length: ctx.Request.Header.ContentLength(), MaxBuffered: maxBufferedBody,
		Conn: ctx.Conn(), Timer: config.Timer, StallTimeout: config.StallTimeout,
	})
	if err != nil {
		j.admitter.postFinish(carobfinish.Finish{Job: j.offer.Job, Kind: carobkind.ConnectionLost})
		return carobkind.Wrap(carobkind.ConnectionLost, err, "read request body from entry node")
	}
	if err := body.Attach(req); err != nil {
		return err
	}
	setDeadline := config.Timer.Subscribe(j.cancel)
	setDeadline(config.Timer.Now().Add(j.start.TimeLeft))
	answer, err := j.admitter.run(j.context, j.start, req, j.offer.Target)
	setDeadline(carobinstant.Never)
	if err != nil {
		body.Release()
		return err
	}
	j.forward(ctx, answer, body)
	return nil
}

// forward sends a response to the entry node.
func (j *incomingJob) forward(ctx *fasthttp.RequestCtx, answer *carobanswer.Answer, body *carobrequestbody.RequestBody) {
	answer.Response.Header.CopyTo(&ctx.Response.Header)
	j.admitter.addReport(ctx, j.offer.Target)
	carobbody.SetResponseBody(ctx, answer, j.admitter.config.Timer, j.admitter.config.StallTimeout, func(carobkind.Kind) {
		body.Release()
		j.close()
	})
}
