package carobadmitter

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallrate"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Serve handles an attempt that an entry node sent to the peer address.
func (a *Admitter) Serve(ctx *fasthttp.RequestCtx) {
	job, ok := ctx.UserValue(incomingJobKey{}).(*incomingJob)
	if !ok {
		var err error
		if job, err = a.receive(ctx); err != nil {
			a.refuse(ctx, nil, err)
			return
		}
	}
	if !job.acquire() {
		a.refuse(ctx, job, carobkind.Cancelled)
		return
	}
	if err := job.run(ctx); err != nil {
		job.close()
		a.refuse(ctx, job, err)
	}
}

// HandleHeader is called with the header of an attempt before its body is read. No node
// sends one without an offer. Its fields, which take many times their size and which the
// HTTP library would hold until a body has arrived, are dropped, so that the attempt is
// refused at once.
func (a *Admitter) HandleHeader(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if len(header.Peek(carobheader.Offer)) == 0 {
		*header = fasthttp.RequestHeader{}
	}
	return fasthttp.RequestConfig{}
}

// HandleExpect handles the header of an attempt with "Expect: 100-continue". It
// returns 100 once the job is started, and otherwise the status of the refusal. After a
// refusal the entry node sends no body, so it can send the body to another target.
func (a *Admitter) HandleExpect(ctx *fasthttp.RequestCtx) int {
	job, err := a.receive(ctx)
	if err != nil {
		a.refuse(ctx, nil, err)
		return ctx.Response.StatusCode()
	}
	context.AfterFunc(job.context, job.abandon)
	ctx.SetUserValue(incomingJobKey{}, job)
	// The deadline of the response before may have passed.
	_ = ctx.Conn().SetWriteDeadline(a.config.Timer.WallTime().Add(a.config.StallTimeout))
	return fasthttp.StatusContinue
}

// receive offers the job of an attempt and waits until it is started. It cancels the
// job if the entry node closes the connection.
func (a *Admitter) receive(ctx *fasthttp.RequestCtx) (*incomingJob, error) {
	offer, err := parseOffer(&ctx.Request.Header)
	if err != nil {
		ctx.SetConnectionClose()
		return nil, err
	}
	job := &incomingJob{admitter: a, offer: offer}
	job.context, job.cancel = context.WithCancel(context.Background())
	job.release = hold(ctx.Conn())
	job.unwatch = a.config.DisconnectWatch.Add(ctx.Conn(), job.cancel)
	if job.start, err = a.admit(job.context, offer); err != nil {
		job.close()
		a.addReport(ctx, offer.Target)
		return nil, err
	}
	return job, nil
}

// addReport adds the newest report of a target to the response.
func (a *Admitter) addReport(ctx *fasthttp.RequestCtx, target carobtargetid.ID) {
	if report := a.Report(target); report != nil {
		ctx.Response.Header.Set(carobheader.Report, carobheader.FormatReport(*report))
		if report.RateLimit > 0 {
			ctx.Response.Header.Set(carobheader.RateLimit, report.RateLimit.String())
		}
	}
}

// refuse responds with the kind of an error and its status, and adds the report of the
// job's target. job is nil if the attempt could not be read or was not admitted.
func (a *Admitter) refuse(ctx *fasthttp.RequestCtx, job *incomingJob, err error) {
	kind := carobkind.Of(err)
	ctx.Response.SetStatusCode(kind.Status())
	ctx.Response.Header.Set(carobheader.ErrorKind, string(kind))
	if job != nil {
		a.addReport(ctx, job.offer.Target)
	}
}

// HandleError handles a request that the HTTP library could not read.
func (a *Admitter) HandleError(ctx *fasthttp.RequestCtx, _ error) {
	a.refuse(ctx, nil, carobkind.Invalid)
}

// parseOffer reads the offer of a job from the header of an attempt.
func parseOffer(header *fasthttp.RequestHeader) (caroboffer.Offer, error) {
	offer, err := carobheader.ParseOffer(string(header.Peek(carobheader.Offer)))
	offer.Traceparent = string(header.Peek(carobheader.TraceContext))
	if limit, errLimit := carobcallrate.ParseLimit(string(header.Peek(carobheader.RateLimit))); errLimit == nil {
		offer.RateLimit = limit
	}
	return offer, err
}
