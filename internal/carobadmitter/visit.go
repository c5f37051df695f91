package carobadmitter

import (
	"context"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobupload"
	"github.com/carobknot/carobknot/pkg/carobfinish"
	"github.com/carobknot/carobknot/pkg/carobinstant"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobsize"
	"github.com/carobknot/carobknot/pkg/carobstart"
)

// visitKey is where an admitted visit waits for its body.
type visitKey struct{}

// prompt is the longest body that is read before the target is called, so that
// it goes in one write with its header.
const prompt = 4 * carobsize.KiB

// visit is an attempt of an entry node, from its admission until the answer was
// passed on. It ends early when the entry node closes its connection.
type visit struct {
	admitter *Admitter
	offer    caroboffer.Offer
	start    *carobstart.Start
	context  context.Context //nolint:containedctx // spans two calls of the HTTP library
	cancel   context.CancelFunc
	unwatch  func()
	// taken says that the job will be run, or was given up.
	taken atomic.Bool
}

// take reports whether the caller is the one to say how the job ends.
func (v *visit) take() bool {
	return v.taken.CompareAndSwap(false, true)
}

// abandon ends a job whose entry node is gone before the body began.
func (v *visit) abandon() {
	if v.take() {
		v.close()
		v.admitter.finish(carobfinish.Finish{Job: v.offer.Job, Kind: carobkind.Cancelled})
	}
}

func (v *visit) close() {
	v.unwatch()
	v.cancel()
}

// run sends the request to the target and passes the answer on.
func (v *visit) run(rc *fasthttp.RequestCtx) error {
	cf := v.admitter.config
	upload, err := carobupload.NewUpload(carobupload.Config{
		Stream: rc.RequestBodyStream(), Length: rc.Request.Header.ContentLength(), Keep: prompt,
		Conn: rc.Conn(), Timer: cf.Timer, Stall: cf.Stall,
	})
	if err != nil {
		v.admitter.finish(carobfinish.Finish{Job: v.offer.Job, Kind: carobkind.ConnectionLost})
		return carobkind.Wrap(carobkind.ConnectionLost, err, "read body")
	}
	rq := &fasthttp.Request{}
	rc.Request.Header.CopyTo(&rq.Header)
	if err := upload.Attach(rq); err != nil {
		return err
	}
	deadline := cf.Timer.Subscribe(v.cancel)
	deadline(cf.Timer.Now().Add(v.start.TimeLeft))
	an, err := v.admitter.run(v.context, v.start, rq, v.offer.Target)
	deadline(carobinstant.Never)
	if err != nil {
		upload.Release()
		return err
	}
	v.deliver(rc, an, upload)
	return nil
}

// deliver passes an answer on to the entry node.
func (v *visit) deliver(rc *fasthttp.RequestCtx, an *carobanswer.Answer, upload *carobupload.Upload) {
	an.Response.Header.CopyTo(&rc.Response.Header)
	v.admitter.report(rc, v.offer.Target)
	carobbody.Attach(rc, an, v.admitter.config.Timer, v.admitter.config.Stall, func(carobkind.Kind) {
		upload.Release()
		v.close()
	})
}
