package carobadmitter

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Serve answers an attempt that an entry node sent to the peer address.
func (a *Admitter) Serve(rc *fasthttp.RequestCtx) {
	v, ok := rc.UserValue(visitKey{}).(*visit)
	if !ok {
		var err error
		if v, err = a.receive(rc); err != nil {
			a.refuse(rc, nil, err)
			return
		}
	}
	if !v.take() {
		a.refuse(rc, v, carobkind.Cancelled)
		return
	}
	if err := v.run(rc); err != nil {
		v.close()
		a.refuse(rc, v, err)
	}
}

// Expect decides on an attempt whose body waits for it. A job that is refused
// has used nothing of its body up.
func (a *Admitter) Expect(rc *fasthttp.RequestCtx) int {
	v, err := a.receive(rc)
	if err != nil {
		a.refuse(rc, nil, err)
		return rc.Response.StatusCode()
	}
	context.AfterFunc(v.context, v.abandon)
	rc.SetUserValue(visitKey{}, v)
	return fasthttp.StatusContinue
}

// receive offers the job of an attempt and waits until it is started.
func (a *Admitter) receive(rc *fasthttp.RequestCtx) (*visit, error) {
	of, err := parseOffer(&rc.Request.Header)
	if err != nil {
		return nil, err
	}
	v := &visit{admitter: a, offer: of}
	v.context, v.cancel = context.WithCancel(context.Background())
	v.unwatch = a.config.Watch.Add(rc.Conn(), v.cancel)
	if v.start, err = a.admit(v.context, of); err != nil {
		v.close()
		a.report(rc, of.Target)
		return nil, err
	}
	return v, nil
}

func (a *Admitter) report(rc *fasthttp.RequestCtx, target carobtargetid.ID) {
	if rp := a.Report(target); rp != nil {
		rc.Response.Header.Set(carobheader.Report, carobheader.FormatReport(*rp))
	}
}

// refuse answers an error as its kind.
func (a *Admitter) refuse(rc *fasthttp.RequestCtx, v *visit, err error) {
	kind := carobkind.Of(err)
	rc.Response.SetStatusCode(kind.Status())
	rc.Response.Header.Set(carobheader.Kind, string(kind))
	if v != nil {
		a.report(rc, v.offer.Target)
	}
}

// Fail answers what the HTTP library could not read as a request.
func (a *Admitter) Fail(rc *fasthttp.RequestCtx, _ error) {
	a.refuse(rc, nil, carobkind.Invalid)
}

func parseOffer(hd *fasthttp.RequestHeader) (caroboffer.Offer, error) {
	of, err := carobheader.ParseOffer(string(hd.Peek(carobheader.Offer)))
	of.Key, of.Traceparent = string(hd.Peek(carobheader.Key)), string(hd.Peek(carobheader.Trace))
	return of, err
}
