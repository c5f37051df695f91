package carobadmitter

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobbody"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobincarnation"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/caroboffer"
	"github.com/carobknot/carobknot/pkg/carobtargetid"
)

// Serve answers an attempt that an entry node sent to the peer address.
func (a *Admitter) Serve(rc *fasthttp.RequestCtx) {
	of, err := parseOffer(&rc.Request.Header)
	if err != nil {
		refuse(rc, carobkind.Of(err))
		return
	}
	cx, cancel := context.WithTimeout(context.Background(), of.Patience)
	an, err := a.Do(cx, of, &rc.Request)
	if rp := a.Report(of.Target); rp != nil {
		rc.Response.Header.Set(carobheader.Report, carobheader.FormatReport(*rp))
	}
	if err != nil {
		cancel()
		refuse(rc, carobkind.Of(err))
		return
	}
	report := rc.Response.Header.Peek(carobheader.Report)
	an.Response.Header.CopyTo(&rc.Response.Header)
	rc.Response.Header.SetBytesV(carobheader.Report, report)
	rc.Response.SetBodyStream(carobbody.NewBody(carobbody.Config{
		Stream: an.Body, Length: an.Length, Over: func(carobkind.Kind) { cancel() },
	}), an.Length)
}

// refuse answers an error as its kind.
func refuse(rc *fasthttp.RequestCtx, kind carobkind.Kind) {
	rc.Response.SetStatusCode(kind.Status())
	rc.Response.Header.Set(carobheader.Kind, string(kind))
}

func parseOffer(hd *fasthttp.RequestHeader) (caroboffer.Offer, error) {
	const base, bits = 10, 64
	var of caroboffer.Offer
	call, err := carobcallid.Parse(string(hd.Peek(carobheader.Call)))
	if err != nil {
		return of, err
	}
	attempt, err := strconv.Atoi(string(hd.Peek(carobheader.Attempt)))
	if err != nil || attempt < 1 {
		return of, carobkind.New(carobkind.Invalid, "attempt is not a number above 0")
	}
	incarnation, err := strconv.ParseUint(string(hd.Peek(carobheader.Incarnation)), base, bits)
	if err != nil {
		return of, carobkind.New(carobkind.Invalid, "incarnation is not a number")
	}
	patience, err := strconv.ParseInt(string(hd.Peek(carobheader.Patience)), base, bits)
	if err != nil {
		return of, carobkind.New(carobkind.Invalid, "patience is not a number")
	}
	var target carobtargetid.ID
	if err := target.UnmarshalText(hd.Peek(carobheader.Target)); err != nil {
		return of, err
	}
	return caroboffer.Offer{
		Job: carobjobid.ID{Call: call, Attempt: attempt}, Target: target,
		Incarnation: carobincarnation.Incarnation(incarnation), Patience: time.Duration(patience),
		Key: string(hd.Peek(carobheader.Key)), Trace: string(hd.Peek(carobheader.Trace)),
	}, nil
}
