package carobexchange

import (
	"context"
	"sync"

	"github.com/valyala/fasthttp"

	"github.com/carobknot/carobknot/internal/carobanswer"
	"github.com/carobknot/carobknot/internal/carobheader"
	"github.com/carobknot/carobknot/internal/carobupload"
	"github.com/carobknot/carobknot/pkg/carobcallid"
	"github.com/carobknot/carobknot/pkg/carobconclusion"
	"github.com/carobknot/carobknot/pkg/carobdelivery"
	"github.com/carobknot/carobknot/pkg/carobinbox"
	"github.com/carobknot/carobknot/pkg/carobjobid"
	"github.com/carobknot/carobknot/pkg/carobkind"
	"github.com/carobknot/carobknot/pkg/carobreply"
	"github.com/carobknot/carobknot/pkg/carobsend"
	"github.com/carobknot/carobknot/pkg/carobstoredanswer"
)

// exchange is a call in traffic.
type exchange struct {
	exchanges *Exchanges
	call      carobcallid.ID
	request   *fasthttp.Request
	caller    caller
	// upload is the body, for every attempt.
	upload *carobupload.Upload
	mutex  sync.Mutex
	// attempts are those sent so far.
	attempts map[int]*attempt
}

// attempt is one sending of the call.
type attempt struct {
	cancel context.CancelFunc
	// answer is nil until its head is here.
	answer *carobanswer.Answer
	// dropped says that nobody wants the answer.
	dropped bool
}

// follow carries out orders until the call is concluded.
func (x *exchange) follow(orders <-chan order) {
	for od := range orders {
		switch {
		case od.send != nil:
			x.send(*od.send)
		case od.cancel != 0:
			x.drop(od.cancel)
		default:
			x.conclude(*od.conclusion)
			return
		}
	}
}

// conclude tells the caller how its call ended. Attempts that the control
// goroutine does not want any more were cancelled by earlier orders.
func (x *exchange) conclude(cn carobconclusion.Conclusion) {
	if cn.StoredAnswer != nil {
		x.upload.Release()
		x.caller.Repeat(cn.StoredAnswer)
		return
	}
	if cn.Kind == carobkind.None {
		x.deliver(cn.Attempt)
		return
	}
	x.upload.Release()
	detail := "the call ended without an answer"
	fault := x.upload.Fault()
	switch {
	case fault != nil:
		detail = fault.Error() + "; a part of it was sent to a target"
	case x.upload.Streamed() && !cn.Kind.NotRun():
		detail = "the body was too long to be kept, so that it was sent once and can not be sent again"
	case cn.Kind.NotRun():
		detail = "no target ran the call"
	}
	x.caller.Refuse(cn.Kind, cn.RetryAfter, detail)
}

func (x *exchange) send(sd carobsend.Send) {
	rq := &fasthttp.Request{}
	x.request.Header.CopyTo(&rq.Header)
	carobheader.CleanRequest(&rq.Header)
	if err := x.upload.Attach(rq); err != nil {
		x.reply(carobreply.Reply{Job: sd.Job, Target: sd.Target, Kind: carobkind.Of(err)})
		return
	}
	cx, cancel := context.WithCancel(context.Background())
	at := &attempt{cancel: cancel}
	x.attempts[sd.Job.Attempt] = at
	go func() {
		an, report, err := x.exchanges.config.Relay.Do(cx, sd, rq)
		if most := int(x.exchanges.config.Gather); an != nil && most > 0 {
			if errGather := an.Gather(most); errGather != nil {
				an, err = nil, carobkind.Wrap(carobkind.ConnectionLost, errGather, "read answer")
			}
		}
		x.keep(at, an)
		rp := carobreply.Reply{Job: sd.Job, Target: sd.Target, Kind: carobkind.Of(err), Report: report}
		switch {
		case an != nil:
			rp.Status = an.Response.StatusCode()
		case cx.Err() != nil:
			rp.Kind = carobkind.Cancelled
		}
		x.reply(rp)
	}()
}

func (x *exchange) reply(rp carobreply.Reply) {
	x.exchanges.config.Mailbox.Post(func(in *carobinbox.Inbox) { in.Replies = append(in.Replies, rp) })
}

// keep holds an answer until it is delivered, or closes it if nobody wants it.
func (x *exchange) keep(at *attempt, an *carobanswer.Answer) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	at.answer = an
	if at.dropped && an != nil {
		_ = an.Body.Close()
	}
}

// drop gives an attempt up.
func (x *exchange) drop(number int) {
	at := x.attempts[number]
	if at == nil {
		return
	}
	at.cancel()
	x.mutex.Lock()
	defer x.mutex.Unlock()
	at.dropped = true
	if at.answer != nil {
		_ = at.answer.Body.Close()
	}
}

// deliver passes the answer of an attempt on. If the caller hangs up meanwhile,
// the attempt is cancelled.
func (x *exchange) deliver(number int) {
	at := x.attempts[number]
	x.mutex.Lock()
	an := at.answer
	x.mutex.Unlock()
	job := carobjobid.ID{Call: x.call, Attempt: number}
	x.caller.Answer(an, at.cancel, func(kind carobkind.Kind, kept *carobstoredanswer.StoredAnswer) {
		at.cancel()
		x.upload.Release()
		x.exchanges.config.Mailbox.Post(func(in *carobinbox.Inbox) {
			in.Deliveries = append(in.Deliveries, carobdelivery.Delivery{Job: job, Kind: kind, StoredAnswer: kept})
		})
	})
}
